"""Checks of service documents; each problem names its line and says how to fix it."""

import math
import re

import yaml

from ...errors import SettingsError
from ..schema import documents_pb2 as documents
from ..schema.documents_pb2 import Customer, ServiceDocument
from .files import parse_yaml

# Names are parts of URLs, headers and metric labels.
_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_NAME_RULE = "use 1 to 63 of a-z, 0-9, '.', '_', '-', starting with a letter or digit"
_TOKEN_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
_METHOD_PATTERN = re.compile(r"[A-Z]{1,20}")
# One day; a longer deadline is probably given in the wrong unit.
MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_DOCUMENT_BYTES = 512 * 1024


def check_document(text: str, file_name: str) -> ServiceDocument:
    """Returns the parsed document; raises SettingsError with all problems found.

    ``file_name`` is used in messages.
    """
    size = len(text.encode("utf-8"))
    if size > MAX_DOCUMENT_BYTES:
        raise SettingsError(
            [f"{file_name}: {size} bytes; a document has at most {MAX_DOCUMENT_BYTES}, so split it"]
        )
    _reject_aliases(text, file_name)
    document = parse_yaml(text, ServiceDocument, file_name)
    checker = _DocumentChecker(text, file_name)
    checker.check(document)
    if checker.problems:
        raise SettingsError(checker.problems)
    return document


def _reject_aliases(text: str, file_name: str) -> None:
    """Rejects YAML aliases, which could expand a short text beyond the available memory."""
    try:
        for event in yaml.parse(text, Loader=yaml.CSafeLoader):
            if isinstance(event, yaml.AliasEvent):
                line = event.start_mark.line + 1 if event.start_mark else 1
                place = f"{file_name}:{line}: *{event.anchor}"
                raise SettingsError([f"{place}: aliases are not allowed; write the value out"])
    except yaml.YAMLError:
        return  # parse_yaml reports it with its line.


class _DocumentChecker:
    """Collects the semantic problems of one document."""

    def __init__(self, text: str, file_name: str) -> None:
        self._file_name = file_name
        self._lines: dict[str, int] = {}
        self._record_lines(yaml.compose(text, Loader=yaml.CSafeLoader), "")
        self.problems: list[str] = []

    def check(self, document: ServiceDocument) -> None:
        """Checks every field."""
        self._check_name("service", document.service)
        self._check_owners(document)
        self._check_name("pool", document.pool)
        if document.kind == documents.model:
            self._check_models(document)
        elif document.kind == documents.plain:
            self._check_plain(document)
        else:
            self._report("kind", "missing; set it to model or plain")
        self._check_customers(document)
        self._check_deadline(document)
        self._check_costs(document)

    def _record_lines(self, node: yaml.Node | None, path: str) -> None:
        if node is None:
            return
        self._lines[path] = node.start_mark.line + 1
        if isinstance(node, yaml.MappingNode):
            for key, value in node.value:
                child = f"{path}.{key.value}" if path else str(key.value)
                self._record_lines(value, child)
                self._lines[child] = key.start_mark.line + 1
        elif isinstance(node, yaml.SequenceNode):
            for index, value in enumerate(node.value):
                self._record_lines(value, f"{path}[{index}]")

    def _report(self, path: str, text: str) -> None:
        line, ancestor = 1, path
        while ancestor:
            if ancestor in self._lines:
                line = self._lines[ancestor]
                break
            ancestor = re.sub(r"(\.[^.\[]*|\[\d+\]|^[^.\[]*)$", "", ancestor)
        self.problems.append(f"{self._file_name}:{line}: {path}: {text}")

    def _check_name(self, path: str, value: str) -> None:
        if not value:
            self._report(path, f"missing; {_NAME_RULE}")
        elif not _NAME_PATTERN.fullmatch(value):
            self._report(path, f"invalid name {value!r}; {_NAME_RULE}")

    def _check_owners(self, document: ServiceDocument) -> None:
        if not document.owners:
            self._report("owners", "missing; name at least one operator, who can change this later")
        for index, owner in enumerate(document.owners):
            self._check_name(f"owners[{index}]", owner)
            if owner in document.owners[:index]:
                self._report(f"owners[{index}]", f"{owner!r} is given twice; remove one")

    def _check_models(self, document: ServiceDocument) -> None:
        if not document.models:
            self._report("models", "missing; a model service lists at least one name and version")
        if document.calls:
            self._report("calls", "only plain services have calls; remove it or set kind: plain")
        names = [model.name for model in document.models]
        for index, model in enumerate(document.models):
            self._check_name(f"models[{index}].name", model.name)
            self._check_name(f"models[{index}].version", model.version)
            if model.name in names[:index]:
                self._report(f"models[{index}].name", f"{model.name!r} is given twice; remove one")

    def _check_plain(self, document: ServiceDocument) -> None:
        if document.models:
            self._report("models", "only model services have models; remove it or set kind: model")
        seen: set[tuple[str, str]] = set()
        for index, call in enumerate(document.calls):
            path = f"calls[{index}]"
            if not _METHOD_PATTERN.fullmatch(call.method):
                self._report(f"{path}.method", f"invalid method {call.method!r}; for example POST")
            if not call.path.startswith("/") or re.search(r"[\s?#]", call.path):
                self._report(f"{path}.path", "give a path that starts with '/', without a query")
            if (call.method, call.path) in seen:
                self._report(path, f"{call.method} {call.path} is given twice; remove one")
            seen.add((call.method, call.path))

    def _check_customers(self, document: ServiceDocument) -> None:
        if not document.customers:
            self._report("customers", "missing; without a customer nobody can call the service")
        names: set[str] = set()
        tokens: set[str] = set()
        for index, customer in enumerate(document.customers):
            path = f"customers[{index}]"
            self._check_name(f"{path}.name", customer.name)
            if customer.name in names:
                self._report(f"{path}.name", f"{customer.name!r} is given twice; merge the two")
            names.add(customer.name)
            self._check_tokens(path, customer, tokens)
            self._check_limits(path, customer)

    def _check_tokens(self, path: str, customer: Customer, seen: set[str]) -> None:
        if not customer.token_sha256:
            self._report(f"{path}.token_sha256", "missing; add the SHA-256 of the bearer token")
        for index, token in enumerate(customer.token_sha256):
            place = f"{path}.token_sha256[{index}]"
            if not _TOKEN_HASH_PATTERN.fullmatch(token):
                # The value is not shown: it may be the token itself.
                self._report(place, "not a SHA-256; give 64 hexadecimal digits in lower case")
            elif token in seen:
                self._report(place, "given twice; each token belongs to one customer")
            seen.add(token)

    def _check_limits(self, path: str, customer: Customer) -> None:
        if not _is_positive(customer.requests_per_second):
            self._report(f"{path}.requests_per_second", "must be a number above 0")
        if customer.concurrent <= 0:
            self._report(f"{path}.concurrent", "must be a whole number above 0")
        if not _is_positive(customer.weight):
            self._report(f"{path}.weight", "must be a number above 0; 1 is usual")

    def _check_deadline(self, document: ServiceDocument) -> None:
        if not 0 < document.deadline_ms <= MAX_DEADLINE_MS:
            self._report("deadline_ms", f"must be 1 to {MAX_DEADLINE_MS} milliseconds")
        if document.priority == documents.PRIORITY_UNSPECIFIED:
            self._report("priority", "missing; set it to interactive or batch")

    def _check_costs(self, document: ServiceDocument) -> None:
        for field, value in document.costs.ListFields():
            if not math.isfinite(value) or value < 0:
                self._report(f"costs.{field.name}", "must be 0 or a positive number")


def _is_positive(value: float) -> bool:
    return math.isfinite(value) and value > 0
