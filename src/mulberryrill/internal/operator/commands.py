"""The operators' commands. Each returns the object to show; failures raise OperatorError."""

import re
from collections.abc import Callable
from pathlib import Path

from ...errors import OperatorError, SettingsError
from ..clock import Clock
from ..ids import create_id
from ..settings.documents import check_document
from .client import Body, ExitCode, OperatorApiClient, ResultUnknownError

# ``show`` writes the revision to the first line, so that its output can be edited and applied.
_REVISION_LINE_PATTERN = re.compile(r"# revision: (\d+)\n")
POLL_INTERVAL_S = 0.5
# Longer than a control process waits to read a change back.
RESOLVE_TIMEOUT_S = 15.0


class Commands:
    """Runs commands through one client. ``sleep`` waits between polls."""

    def __init__(
        self, client: OperatorApiClient, clock: Clock, sleep: Callable[[float], None]
    ) -> None:
        self._client = client
        self._clock = clock
        self._sleep = sleep

    def apply(
        self, path: str, base_revision: int | None, reason: str, wait_s: float | None
    ) -> Body:
        """Submits a document and, with ``wait_s``, waits until it is in force everywhere."""
        text, revision_in_file = read_document(path)
        service = check_document_text(
            text, path, skipped_lines=0 if revision_in_file is None else 1
        )
        base = base_revision if base_revision is not None else revision_in_file
        if base is None:
            raise OperatorError(
                "give --base-revision: the revision that you edited, as 'mulberryrill show"
                f" {service}' prints it, or 0 for a new service",
                ExitCode.USAGE,
            )
        result = self._submit(service, text, base, reason)
        if wait_s is not None:
            result["in_force"] = self._wait_in_force(service, int(result["revision"]), wait_s)
        return result

    def _submit(self, service: str, text: str, base_revision: int, reason: str) -> Body:
        change_id = create_id("change")
        try:
            response = self._client.put_once(
                "documents",
                service,
                body=text.encode("utf-8"),
                headers={"X-Change-Id": change_id, "Content-Type": "application/yaml"},
                base_revision=base_revision,
                reason=reason,
            )
        except ResultUnknownError as error:
            revision = self._find_recorded_revision(service, change_id, str(error))
        else:
            revision = int(response.body["revision"])
        return {"service": service, "revision": revision, "change_id": change_id}

    def _find_recorded_revision(self, service: str, change_id: str, failure: str) -> int:
        """Looks up a change without a known result in the history; returns its revision."""
        deadline = self._clock.monotonic() + RESOLVE_TIMEOUT_S
        while self._clock.monotonic() < deadline:
            entry = self._find_entry(service, change_id)
            if entry is not None and not entry["accepted"]:
                raise OperatorError(f"Change refused: {entry['refusal']}", ExitCode.REFUSED)
            if entry is not None:
                return int(entry["offset"])
            self._sleep(POLL_INTERVAL_S)
        raise OperatorError(
            f"it is not known whether the change {change_id} was recorded ({failure});"
            f" look at 'mulberryrill history {service}' before you repeat it",
            ExitCode.UNREACHABLE,
        )

    def _find_entry(self, service: str, change_id: str) -> Body | None:
        try:
            entries = self.history(service)["history"]
        except OperatorError:  # Unreachable for now, or the service does not exist yet.
            return None
        return next((entry for entry in entries if entry["change_id"] == change_id), None)

    def _wait_in_force(self, service: str, revision: int, wait_s: float) -> bool:
        deadline = self._clock.monotonic() + wait_s
        lagging_instances: list[str] = []
        failure = ""
        while True:
            try:
                body = self._client.get("in-force", service=service, revision=revision).body
                if body["in_force"]:
                    return True
                lagging_instances = [str(name) for name in body["behind"]]
                failure = ""
            except OperatorError as error:
                failure = f"; {error}"
            if self._clock.monotonic() >= deadline:
                break
            self._sleep(POLL_INTERVAL_S)
        names = ", ".join(lagging_instances) or "unknown"
        raise OperatorError(
            f"revision {revision} of {service} is accepted, but after {wait_s:g} s not yet in force"
            f" at: {names}{failure}",
            ExitCode.NOT_IN_FORCE,
        )

    def history(self, service: str) -> Body:
        """Returns the decided changes of a service, oldest first."""
        return self._client.get("documents", service, "history").body

    def show(self, service: str) -> Body:
        """Returns the document in force."""
        return self._client.get("documents", service).body

    def set_data_centre_state(self, data_centre: str, state: str, reason: str) -> Body:
        """Drains a data centre or returns it to service."""
        return self._client.post(
            "datacentres", data_centre, "orders", body={"state": state, "reason": reason}
        ).body

    def status(self) -> Body:
        """Returns an instance's view of the site."""
        return self._client.get("status").body

    def explain(self, request_id: str) -> Body:
        """Returns what happened to a request, known only to the instance that served it."""
        return self._client.find("requests", request_id).body


def read_document(path: str) -> tuple[str, int | None]:
    """Returns the text and revision of a file; the revision line of ``show`` is cut off."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorError(f"{path}: cannot be read: {error}", ExitCode.USAGE) from error
    match = _REVISION_LINE_PATTERN.match(text)
    return (text[match.end() :], int(match[1])) if match else (text, None)


def check_document_text(text: str, path: str, skipped_lines: int = 0) -> str:
    """Returns the service's name; raises OperatorError with all problems of the document."""
    try:
        # Blank lines replace the skipped ones, so that line numbers are those of the file.
        return check_document("\n" * skipped_lines + text, path).service
    except SettingsError as error:
        raise OperatorError(str(error), ExitCode.REFUSED) from error


def check_files(paths: list[str]) -> Body:
    """Checks documents without sending them."""
    services, problems = [], []
    for path in paths:
        try:
            text, revision_in_file = read_document(path)
            services.append(
                check_document_text(text, path, skipped_lines=0 if revision_in_file is None else 1)
            )
        except OperatorError as error:
            problems.append(str(error))
    if problems:
        raise OperatorError("\n".join(problems), ExitCode.REFUSED)
    return {"valid": services}
