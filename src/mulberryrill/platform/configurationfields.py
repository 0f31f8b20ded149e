"""Names and lines of the fields in the text of a platform configuration."""

import yaml

from ..internal.core.serving.configurationcheck import FieldPath
from .records import CONFIGURATION_KEY

# The platform's words for the product's; all others are the same. An empty word is no level of
# the platform's document.
_SECTIONS = {"customers": "tenants"}
_WORDS = {
    "routes": {
        "timeout_s": "timeout_ms",
        "latency_objective_s": "target_latency_ms",
        "is_public": "public",
        "has_prompt": "sticky",
        "is_resumable": "resumable",
        "max_event_gap_s": "gap_aim_ms",
    },
    "services": {
        "max_connections": "max_conns",
        "cold_duration_s": "cold_start_s",
        "cold_rate": "cold_per_s",
        "store": "",
        "address": "kv_store_addr",
        "data_centre": "zone",
        "cache_tokens": "kv_capacity",
        "token_bytes": "kv_token_bytes",
        "link_bits_per_s": "link_mbps",
        "transfer_setup_s": "first_ms",
        "max_event_polls": "max_inflight",
    },
    "customers": {"customer": "", "is_isolated": "isolated"},
    "limits": {
        "max_head_bytes": "max_header_bytes",
        "head_timeout_s": "header_timeout_ms",
        "idle_timeout_s": "idle_timeout_ms",
    },
}


class ConfigurationText:
    """Finds fields of a configuration in its text."""

    def __init__(self, text: bytes) -> None:
        """``text`` is JSON; without a readable text, no line is known."""
        self._lines: dict[str, int] = {}
        # Fields that an object has more than once; only the last one counts.
        self.repeated_fields: list[tuple[str, int]] = []
        try:
            # JSON is YAML, whose reader tells lines.
            root = yaml.compose(text, Loader=yaml.CSafeLoader)
        except (yaml.YAMLError, RecursionError):
            return
        self._record_lines(root, "", 1)

    def name_field(self, path: FieldPath) -> str:
        """Returns the platform's name of a field, such as "routes[0].timeout_ms"."""
        section = str(path[0])
        words = _WORDS.get(section, {})
        name = _SECTIONS.get(section, section)
        for part in path[1:]:
            if isinstance(part, int):
                name += f"[{part}]"
            elif section == "routes" and part == "services":
                name += ".split" if f"{name}.split" in self._lines else ".service"
            elif word := words.get(part, part):
                name += f".{word}"
        return name

    def find_line(self, field: str) -> int | None:
        """Returns the line of a field, or of the nearest object that would hold it, from 1."""
        field = strip_record_name(field)
        while field and field not in self._lines:
            field = field[: max(field.rfind("."), field.rfind("["), 0)]
        return self._lines.get(field)

    def _record_lines(self, node: yaml.Node | None, path: str, line: int) -> None:
        self._lines[path] = line
        if isinstance(node, yaml.MappingNode):
            for key, value in node.value:
                child = f"{path}.{key.value}" if path else str(key.value)
                line = key.start_mark.line + 1
                if child in self._lines:
                    self.repeated_fields.append((child, line))
                self._record_lines(value, child, line)
        elif isinstance(node, yaml.SequenceNode):
            for index, value in enumerate(node.value):
                self._record_lines(value, f"{path}[{index}]", value.start_mark.line + 1)


def strip_record_name(field: str) -> str:
    """Returns a field's name without that of the configuration's record."""
    return "" if field == CONFIGURATION_KEY else field.removeprefix(f"{CONFIGURATION_KEY}.")
