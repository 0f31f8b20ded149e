"""Reads the histories of all processes of a run into one, ordered by the host's monotonic time."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import cached_property
from pathlib import Path

from ...errors import HistoryError


@dataclass(frozen=True)
class HistoryEvent:
    """One event of a process. ``at`` is the host's monotonic time in seconds."""

    kind: str
    process: str
    at: float
    fields: dict[str, object] = field(default_factory=dict)

    def get(self, name: str) -> str:
        """Returns a field as text, or an empty text if it is absent."""
        value = self.fields.get(name)
        return "" if value is None else str(value)

    def get_number(self, name: str) -> int:
        """Returns a field as an integer, or 0 if it is absent."""
        value = self.fields.get(name, 0)
        return int(value) if isinstance(value, (int, float, str)) else 0


class History:
    """All events of a run, oldest first."""

    def __init__(self, events: Iterable[HistoryEvent]) -> None:
        self.events = sorted(events, key=lambda event: event.at)

    def select(self, *kinds: str) -> list[HistoryEvent]:
        """Returns the events of some kinds, oldest first."""
        return [event for event in self.events if event.kind in kinds]

    @cached_property
    def executions(self) -> list[HistoryEvent]:
        """Executions of requests on targets, oldest first."""
        return self.select("execution")

    @cached_property
    def calls(self) -> dict[str, HistoryEvent]:
        """The first event that describes each request, by request id."""
        calls: dict[str, HistoryEvent] = {}
        for event in self.select("call", "caller_answer"):
            request = event.get("request")
            if request:
                calls.setdefault(request, event)
        return calls


def read_history(paths: Iterable[Path]) -> History:
    """Reads history files; raises HistoryError."""
    events: list[HistoryEvent] = []
    for path in paths:
        try:
            lines = path.read_text(encoding="utf-8").split("\n")
        except (OSError, UnicodeDecodeError) as error:
            raise HistoryError(f"{path}: cannot be read: {error}") from error
        # A process that was killed while it wrote leaves an incomplete last line.
        for number, line in enumerate(lines[:-1], start=1):
            if line:
                events.append(_parse_line(line, f"{path}:{number}"))
    return History(events)


def _parse_line(line: str, location: str) -> HistoryEvent:
    try:
        fields = json.loads(line)
        return HistoryEvent(
            kind=str(fields["event"]),
            process=str(fields["process"]),
            at=float(fields["monotonic"]),
            fields=fields,
        )
    except (ValueError, KeyError, TypeError) as error:
        raise HistoryError(f"{location}: not a history event: {error!r}") from error
