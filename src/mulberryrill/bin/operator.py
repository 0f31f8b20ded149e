"""Entry point of ``mulberryrill``, the operators' command line.

Exit codes: 0 done, 1 refused or invalid, 2 wrong usage, 3 no instance reachable or result unknown,
4 not in force in time.
"""

import json
import os
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from absl import flags

from ..errors import OperatorError
from ..internal.clock import Clock, SystemClock
from ..internal.httpclient import HttpClient
from ..internal.operator.client import Body, ExitCode, OperatorApiClient, Sender
from ..internal.operator.commands import Commands, check_files
from ..internal.operator.output import format_history, format_object

USAGE = """\
usage: mulberryrill [FLAGS] COMMAND ...

  check FILE...              check documents without sending them
  apply FILE                 put a document in force
      --base-revision N      revision that was edited (0: new service); 'show' writes it to line 1
      --reason TEXT          reason, kept in the history
      --wait SECONDS         wait until it is in force everywhere
  show SERVICE               print the document in force
  history SERVICE            print all changes, with author, time and result
  drain DATA_CENTRE          give a data centre no new work (--reason TEXT)
  return DATA_CENTRE         return it to service (--reason TEXT)
  status                     print what an instance knows of the site
  explain REQUEST_ID         print what happened to a request

flags:
  --operators-url URL[,URL]  operators' interfaces; the next is tried when one is unreachable
                             (or $MULBERRYRILL_OPERATORS_URL)
  --token-file FILE          file with your token (or $MULBERRYRILL_TOKEN_FILE)
  --ca-file FILE             certificate authority of the interfaces (or $MULBERRYRILL_CA_FILE)
  --json                     print one JSON object

exit codes: 0 done, 1 refused or invalid, 2 wrong usage, 3 no instance reachable or result unknown,
4 not in force in time"""
# The names of each command's arguments.
_COMMANDS: dict[str, tuple[str, ...]] = {
    "check": ("FILE...",),
    "apply": ("FILE",),
    "show": ("SERVICE",),
    "history": ("SERVICE",),
    "drain": ("DATA_CENTRE",),
    "return": ("DATA_CENTRE",),
    "status": (),
    "explain": ("REQUEST_ID",),
}
_APPLY_FLAGS = ("base-revision", "wait")
_REASON_COMMANDS = ("apply", "drain", "return")
_DATA_CENTRE_STATES = {"drain": "drained", "return": "in_service"}


@dataclass(frozen=True)
class Runtime:
    """The clock, sleep function and HTTP client of the command; tests replace them."""

    clock: Clock
    sleep: Callable[[float], None]
    create_sender: Callable[[str], Sender]


SYSTEM_RUNTIME = Runtime(SystemClock(), time.sleep, HttpClient)


def _define_flags() -> flags.FlagValues:
    values = flags.FlagValues()
    environment = os.environ.get
    flags.DEFINE_list(
        "operators-url",
        environment("MULBERRYRILL_OPERATORS_URL", ""),
        "operators' interfaces",
        flag_values=values,
    )
    flags.DEFINE_string(
        "token-file", environment("MULBERRYRILL_TOKEN_FILE", ""), "token", flag_values=values
    )
    flags.DEFINE_string(
        "ca-file", environment("MULBERRYRILL_CA_FILE", ""), "authority", flag_values=values
    )
    flags.DEFINE_bool("json", False, "print JSON", flag_values=values)
    flags.DEFINE_bool("help", False, "print the usage", flag_values=values)
    flags.DEFINE_string("reason", "", "reason", flag_values=values)
    flags.DEFINE_integer("base-revision", None, "revision", lower_bound=0, flag_values=values)
    flags.DEFINE_float("wait", None, "seconds", lower_bound=0, flag_values=values)
    return values


def _get_flag(values: flags.FlagValues, name: str) -> Any:
    return values[name].value


def main(argv: list[str], runtime: Runtime = SYSTEM_RUNTIME) -> int:
    """Runs one command and returns its exit code. ``argv`` includes the program's name."""
    values = _define_flags()
    try:
        _, *arguments = values(argv)
    except flags.Error as error:
        return _report_error(OperatorError(f"{error}\n\n{USAGE}", ExitCode.USAGE), False)
    if _get_flag(values, "help"):
        print(USAGE)
        return ExitCode.OK
    try:
        command, arguments = _parse_command(arguments, values)
        result = _run(command, arguments, values, runtime)
    except OperatorError as error:
        return _report_error(error, _get_flag(values, "json"))
    print(json.dumps(result) if _get_flag(values, "json") else _format_result(command, result))
    return ExitCode.OK


def _parse_command(arguments: list[str], values: flags.FlagValues) -> tuple[str, list[str]]:
    if not arguments or arguments[0] not in _COMMANDS:
        problem = f"unknown command {arguments[0]!r}" if arguments else "no command"
        raise OperatorError(f"{problem}\n\n{USAGE}", ExitCode.USAGE)
    command, *rest = arguments
    names = _COMMANDS[command]
    is_complete = len(rest) >= 1 if names == ("FILE...",) else len(rest) == len(names)
    if not is_complete:
        expected = " ".join((command, *names))
        raise OperatorError(f"usage: mulberryrill [FLAGS] {expected}", ExitCode.USAGE)
    for name in (*_APPLY_FLAGS, "reason"):
        allowed = _REASON_COMMANDS if name == "reason" else ("apply",)
        if values[name].present and command not in allowed:
            raise OperatorError(f"--{name} does not belong to {command}", ExitCode.USAGE)
    return command, rest


def _run(command: str, arguments: list[str], values: flags.FlagValues, runtime: Runtime) -> Body:
    if command == "check":
        return check_files(arguments)
    client = _create_client(values, runtime)
    try:
        commands = Commands(client, runtime.clock, runtime.sleep)
        return _run_remote(commands, command, arguments, values)
    finally:
        client.close()


def _run_remote(
    commands: Commands, command: str, arguments: list[str], values: flags.FlagValues
) -> Body:
    reason = _get_flag(values, "reason")
    if command == "apply":
        base, wait_s = (_get_flag(values, name) for name in _APPLY_FLAGS)
        return commands.apply(arguments[0], base, reason, wait_s)
    if command in _DATA_CENTRE_STATES:
        return commands.set_data_centre_state(arguments[0], _DATA_CENTRE_STATES[command], reason)
    run: dict[str, Callable[..., Body]] = {
        "show": commands.show,
        "history": commands.history,
        "status": commands.status,
        "explain": commands.explain,
    }
    return run[command](*arguments)


def _create_client(values: flags.FlagValues, runtime: Runtime) -> OperatorApiClient:
    urls = [url for url in _get_flag(values, "operators-url") if url]
    if not urls:
        raise OperatorError("give --operators-url URL", ExitCode.USAGE)
    path = _get_flag(values, "token-file")
    if not path:
        raise OperatorError("give --token-file FILE", ExitCode.USAGE)
    try:
        token = Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorError(f"{path}: cannot be read: {error}", ExitCode.USAGE) from error
    if not token or len(token.split()) != 1:
        raise OperatorError(f"{path}: must contain one token and nothing else", ExitCode.USAGE)
    return OperatorApiClient(urls, token, _get_flag(values, "ca-file"), runtime.create_sender)


def _format_result(command: str, result: dict[str, Any]) -> str:
    if command == "check":
        return "\n".join(f"{service}: valid" for service in result["valid"])
    if command == "show":
        return f"# revision: {result['revision']}\n{result['document']}".rstrip("\n")
    if command == "history":
        return format_history(result["history"])
    if command == "apply":
        suffix = ", in force everywhere" if result.get("in_force") else ""
        return f"{result['service']}: accepted as revision {result['revision']}{suffix}"
    return format_object(result)


def _report_error(error: OperatorError, as_json: bool) -> int:
    if as_json:
        print(json.dumps({"error": str(error), "exit_code": int(error.exit_code)}))
    else:
        print(f"mulberryrill: {error}", file=sys.stderr)
    return int(error.exit_code)


def run() -> None:
    """Runs the command and exits the process."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
