"""Reads YAML files into schema messages and reports every problem with file, line and field."""

from pathlib import Path
from typing import Any, TypeVar

import yaml
from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from ...errors import SettingsError

MessageT = TypeVar("MessageT", bound=Message)

_INTEGERS = (
    FieldDescriptor.CPPTYPE_INT32,
    FieldDescriptor.CPPTYPE_INT64,
    FieldDescriptor.CPPTYPE_UINT32,
    FieldDescriptor.CPPTYPE_UINT64,
)


def load_settings(path: str, message_type: type[MessageT]) -> MessageT:
    """Reads a settings file; raises SettingsError with all problems found."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: cannot be read: {error}"]) from error
    return parse_yaml(text, message_type, path)


def parse_yaml(text: str, message_type: type[MessageT], file_name: str) -> MessageT:
    """Parses YAML text; ``file_name`` is used in messages."""
    try:
        root = yaml.compose(text, Loader=yaml.CSafeLoader)
    except yaml.YAMLError as error:
        raise SettingsError([f"{file_name}: not valid YAML: {error}"]) from error
    message = message_type()
    reader = _Reader(file_name)
    if not isinstance(root, yaml.MappingNode):
        raise SettingsError([f"{file_name}:1: expected a mapping of fields at the top level"])
    reader.read_mapping(root, message, "")
    if reader.problems:
        raise SettingsError(reader.problems)
    return message


class _Reader:
    """Copies YAML nodes into messages and collects problems."""

    def __init__(self, file_name: str) -> None:
        self._file_name = file_name
        self.problems: list[str] = []

    def read_mapping(self, node: yaml.MappingNode, message: Message, path: str) -> None:
        """Reads all fields; unknown fields and fields given twice are problems."""
        seen: set[str] = set()
        for key_node, value_node in node.value:
            field_name = str(key_node.value)
            field_path = f"{path}.{field_name}" if path else field_name
            field = message.DESCRIPTOR.fields_by_name.get(field_name)
            if field is None:
                known = ", ".join(sorted(message.DESCRIPTOR.fields_by_name))
                self._report(key_node, field_path, f"unknown field; use one of: {known}")
            elif field_name in seen:
                self._report(key_node, field_path, "given twice; remove one of them")
            else:
                seen.add(field_name)
                self._read_field(value_node, message, field, field_path)

    def _read_field(self, node: yaml.Node, message: Message, field: Any, path: str) -> None:
        if not field.is_repeated:
            self._read_single(node, message, field, path)
            return
        if not isinstance(node, yaml.SequenceNode):
            self._report(node, path, "expected a list")
            return
        for index, item in enumerate(node.value):
            self._read_item(item, message, field, f"{path}[{index}]")

    def _read_single(self, node: yaml.Node, message: Message, field: Any, path: str) -> None:
        if field.message_type is not None:
            submessage = getattr(message, field.name)
            submessage.SetInParent()
            self._read_message(node, submessage, path)
            return
        value = self._read_scalar(node, field, path)
        if value is not None:
            self._try_assign(node, path, lambda: setattr(message, field.name, value))

    def _read_item(self, node: yaml.Node, message: Message, field: Any, path: str) -> None:
        items = getattr(message, field.name)
        if field.message_type is not None:
            self._read_message(node, items.add(), path)
            return
        value = self._read_scalar(node, field, path)
        if value is not None:
            self._try_assign(node, path, lambda: items.append(value))

    def _read_message(self, node: yaml.Node, submessage: Message, path: str) -> None:
        if isinstance(node, yaml.MappingNode):
            self.read_mapping(node, submessage, path)
        else:
            self._report(node, path, "expected a mapping of fields")

    def _try_assign(self, node: yaml.Node, path: str, assign) -> None:
        try:
            assign()
        except (TypeError, ValueError) as error:
            self._report(node, path, f"invalid value: {error}")

    def _read_scalar(self, node: yaml.Node, field: Any, path: str) -> object | None:
        if not isinstance(node, yaml.ScalarNode):
            self._report(node, path, "expected a single value")
            return None
        text = node.value
        if field.cpp_type == FieldDescriptor.CPPTYPE_STRING:
            return text
        if field.cpp_type == FieldDescriptor.CPPTYPE_BOOL:
            return self._choose(node, path, {"true": True, "false": False})
        if field.cpp_type == FieldDescriptor.CPPTYPE_ENUM:
            enum_values = {v.name: v.number for v in field.enum_type.values if v.number != 0}
            return self._choose(node, path, enum_values)
        converter = int if field.cpp_type in _INTEGERS else float
        try:
            return converter(text)
        except ValueError:
            expected = "a whole number" if converter is int else "a number"
            self._report(node, path, f"expected {expected}, got {text!r}")
            return None

    def _choose(self, node: yaml.ScalarNode, path: str, choices: dict[str, object]) -> object:
        if node.value not in choices:
            self._report(node, path, f"expected one of {', '.join(choices)}, got {node.value!r}")
            return None
        return choices[node.value]

    def _report(self, node: yaml.Node, path: str, text: str) -> None:
        self.problems.append(f"{self._file_name}:{node.start_mark.line + 1}: {path}: {text}")
