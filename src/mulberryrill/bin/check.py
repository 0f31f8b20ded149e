"""Entry point of ``mulberryrill-check``: checks a platform configuration before it is sent.

Exit codes: 0 no errors, 1 errors, 2 wrong usage or a file that cannot be read. It sends nothing.
"""

import json
import sys
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from absl import flags

from ..errors import OperatorError
from ..internal.core.serving.configurationcheck import (
    ConfigurationDocument,
    Finding,
    Severity,
    check_configuration,
    compare_configurations,
)
from ..platform.configurationfields import ConfigurationText, strip_record_name
from ..platform.records import FieldProblem, InvalidFieldsError, parse_configuration_document

USAGE = """\
usage: mulberryrill-check [FLAGS] FILE

Reports errors of the configuration in FILE, settings without effect, and what differs from the
version in force. Sends nothing.

flags:
  --in-force FILE        the version in force
  --format text|json     one finding a line, or one JSON object

exit codes: 0 no errors, 1 errors, 2 wrong usage or a file that cannot be read"""
EXIT_ERRORS = 1
EXIT_USAGE = 2


@dataclass(frozen=True)
class Report:
    """A finding with its place in a file."""

    severity: str
    file: str
    # Counted from 1; None: not known.
    line: int | None
    # The platform's name; empty: the whole document.
    field: str
    message: str

    def __str__(self) -> str:
        place = self.file if self.line is None else f"{self.file}:{self.line}"
        return ": ".join(filter(None, (place, self.severity, self.field, self.message)))


class ConfigurationFile:
    """A configuration as a file holds it."""

    def __init__(self, name: str) -> None:
        """Raises OperatorError if the file cannot be read."""
        self._name = name
        try:
            content = Path(name).read_bytes()
        except (OSError, ValueError) as error:
            raise OperatorError(f"{name}: cannot be read: {error}", EXIT_USAGE) from error
        self._text = ConfigurationText(content)
        self.document: ConfigurationDocument | None = None
        self.reports: list[Report] = []
        try:
            self.document = parse_configuration_document(content)
        except InvalidFieldsError as error:
            self.reports = [self._describe_problem(problem) for problem in error.problems]
        for field, line in self._text.repeated_fields:
            message = "is given more than once, and only the last one counts; remove the others"
            self.reports.append(Report(Severity.ERROR.value, name, line, field, message))

    def describe_finding(self, finding: Finding) -> Report:
        """Returns a finding with its place in this file."""
        field = self._text.name_field(finding.path)
        line = self._text.find_line(field)
        return Report(finding.severity.value, self._name, line, field, finding.message)

    def _describe_problem(self, problem: FieldProblem) -> Report:
        line = problem.line or self._text.find_line(problem.field)
        field = strip_record_name(problem.field)
        message = f"{problem.text}; {problem.remedy}"
        return Report(Severity.ERROR.value, self._name, line, field, message)


def check_files(name: str, in_force_name: str | None) -> list[Report]:
    """Returns all findings of a file; raises OperatorError.

    The content is checked only if all of it can be parsed, and compared only if this holds for both
    files: otherwise what is missing would be reported once more.
    """
    file = ConfigurationFile(name)
    in_force = ConfigurationFile(in_force_name) if in_force_name is not None else None
    reports = list(file.reports)
    findings: list[Finding] = []
    if file.document is not None:
        findings += check_configuration(file.document)
    if in_force is not None:
        reports += in_force.reports
        if file.document is not None and in_force.document is not None:
            findings += compare_configurations(file.document, in_force.document)
    return reports + [file.describe_finding(finding) for finding in findings]


def _define_flags() -> flags.FlagValues:
    values = flags.FlagValues()
    flags.DEFINE_string("in-force", None, "file with the version in force", flag_values=values)
    flags.DEFINE_enum("format", "text", ["text", "json"], "output", flag_values=values)
    flags.DEFINE_bool("help", False, "print the usage", flag_values=values)
    return values


def main(argv: list[str]) -> int:
    """Checks the files and returns the exit code. ``argv`` includes the program's name."""
    values = _define_flags()
    try:
        _, *names = values(argv)
    except flags.Error as error:
        return _report_usage_error(f"{error}\n\n{USAGE}", as_json=False)
    if values["help"].value:
        print(USAGE)
        return 0
    as_json = values["format"].value == "json"
    if len(names) != 1:
        return _report_usage_error(f"give one file\n\n{USAGE}", as_json)
    try:
        reports = check_files(names[0], values["in-force"].value)
    except OperatorError as error:
        return _report_usage_error(str(error), as_json)
    counts = Counter(report.severity for report in reports)
    exit_code = EXIT_ERRORS if counts[Severity.ERROR.value] else 0
    totals = {f"{severity.value}s": counts[severity.value] for severity in Severity}
    if as_json:
        result: dict[str, Any] = {"file": names[0], "exit_code": exit_code, **totals}
        print(json.dumps({**result, "findings": [asdict(report) for report in reports]}))
        return exit_code
    for report in reports:
        print(report)
    print(f"{names[0]}: " + ", ".join(f"{name}: {count}" for name, count in totals.items()))
    return exit_code


def _report_usage_error(text: str, as_json: bool) -> int:
    if as_json:
        print(json.dumps({"error": text, "exit_code": EXIT_USAGE}))
    else:
        print(f"mulberryrill-check: {text}", file=sys.stderr)
    return EXIT_USAGE


def run() -> None:
    """Runs the command and exits the process."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
