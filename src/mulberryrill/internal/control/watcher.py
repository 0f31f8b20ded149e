"""Polls the state of targets over HTTP."""

import io
import json
from dataclasses import dataclass, field

import pycurl

from ..clock import Clock
from ..schema.wire_pb2 import Health, Member, ModelView, TargetView
from .messages import Inbox, TargetsPolled
from .metrics import POLLS
from .task import Task

# The poll interval of a target grows with the number of targets: a poll takes about 0.4 ms of
# CPU time, and polling must stay below 2% of a core.
MIN_POLL_INTERVAL_S = 0.25
MAX_POLLS_PER_SECOND = 40
# A poll without a response within this time has failed.
POLL_TIMEOUT_S = 1.0
MAX_STATE_BYTES = 256 * 1024
SELECT_TIMEOUT_S = 0.05
# Consecutive failed polls that make a target unreachable, so that one slow response is tolerated;
# a refused or reset connection makes it unreachable at once.
FAILED_POLL_LIMIT = 2
_CONNECTION_ERRORS = (pycurl.E_COULDNT_CONNECT, pycurl.E_RECV_ERROR, pycurl.E_GOT_NOTHING)
_LOADED = "loaded"


@dataclass
class _Poll:
    """The polling of one target; ``curl`` keeps the connection open."""

    member: Member
    curl: pycurl.Curl = field(default_factory=pycurl.Curl)
    body: io.BytesIO = field(default_factory=io.BytesIO)
    due_at: float = 0.0
    is_running: bool = False
    incarnation: str = ""
    failed_polls: int = 0


class Watcher(Task):
    """Polls all targets concurrently, so that a slow one does not delay the others."""

    def __init__(self, inbox: Inbox, clock: Clock, ca_file: str = "") -> None:
        super().__init__("watcher")
        self._inbox = inbox
        self._clock = clock
        self._ca_file = ca_file
        self._multi = pycurl.CurlMulti()
        self._polls: dict[str, _Poll] = {}
        self._requested_members: tuple[Member, ...] = ()
        self._applied_members: tuple[Member, ...] = ()

    def set_targets(self, members: tuple[Member, ...]) -> None:
        """Replaces the set of polled targets; may be called on any thread."""
        self._requested_members = members

    def step(self) -> None:
        """Starts due polls and posts the results of finished ones."""
        self._apply_targets()
        now = self._clock.monotonic()
        interval_s = max(MIN_POLL_INTERVAL_S, len(self._polls) / MAX_POLLS_PER_SECOND)
        for poll in self._polls.values():
            if not poll.is_running and now >= poll.due_at:
                self._start_poll(poll, now + interval_s)
        self._multi.perform()
        views = self._collect_results()
        if views:
            self._inbox.put(TargetsPolled(tuple(views)))
        if any(poll.is_running for poll in self._polls.values()):
            self._multi.select(SELECT_TIMEOUT_S)
        else:
            self._stop.wait(SELECT_TIMEOUT_S)

    def release(self) -> None:
        """Closes all connections."""
        for poll in self._polls.values():
            self._close_poll(poll)
        self._multi.close()

    def _apply_targets(self) -> None:
        requested = self._requested_members
        if requested is self._applied_members:
            return
        self._applied_members = requested
        members = {member.id: member for member in requested}
        for target, poll in list(self._polls.items()):
            if members.get(target) != poll.member:
                self._close_poll(self._polls.pop(target))
        for target, member in members.items():
            if target not in self._polls:
                self._polls[target] = _Poll(member)

    def _start_poll(self, poll: _Poll, due_at: float) -> None:
        curl = poll.curl
        poll.body = io.BytesIO()
        curl.setopt(pycurl.URL, poll.member.address.rstrip("/") + "/v1/state")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.TIMEOUT_MS, int(POLL_TIMEOUT_S * 1000))
        curl.setopt(pycurl.MAXFILESIZE, MAX_STATE_BYTES)
        curl.setopt(pycurl.WRITEFUNCTION, poll.body.write)
        if self._ca_file:
            curl.setopt(pycurl.CAINFO, self._ca_file)
        self._multi.add_handle(curl)
        poll.is_running = True
        poll.due_at = due_at

    def _collect_results(self) -> list[TargetView]:
        by_curl = {poll.curl: poll for poll in self._polls.values()}
        views = []
        _, finished, failed = self._multi.info_read()
        for curl in finished:
            poll = by_curl[curl]
            status = curl.getinfo(pycurl.RESPONSE_CODE)
            view = parse_state(poll.member.id, status, poll.body.getvalue())
            views.append(self._finish_poll(poll, view, is_connection_error=False))
        for curl, error, _ in failed:
            poll = by_curl[curl]
            unreachable = TargetView(target=poll.member.id, health=Health.UNREACHABLE)
            views.append(self._finish_poll(poll, unreachable, error in _CONNECTION_ERRORS))
        return [view for view in views if view is not None]

    def _finish_poll(
        self, poll: _Poll, view: TargetView, is_connection_error: bool
    ) -> TargetView | None:
        """Returns the view to post; None while the target may just be slow.

        A target that is just slow keeps its incarnation, and so its slots. One that refuses or
        resets connections loses its incarnation, because it may be restarting.
        """
        self._multi.remove_handle(poll.curl)
        poll.is_running = False
        POLLS.labels(Health.Name(view.health).lower()).inc()
        if view.health == Health.HEALTHY:
            poll.incarnation, poll.failed_polls = view.incarnation, 0
            return view
        poll.failed_polls += 1
        if is_connection_error:
            poll.incarnation = ""
        elif poll.failed_polls < FAILED_POLL_LIMIT:
            return None
        view.incarnation = poll.incarnation
        return view

    def _close_poll(self, poll: _Poll) -> None:
        if poll.is_running:
            self._multi.remove_handle(poll.curl)
        poll.curl.close()


def parse_state(target: str, status: int, body: bytes) -> TargetView:
    """Parses a target's response; the target counts as unreachable if that is invalid."""
    unreachable = TargetView(target=target, health=Health.UNREACHABLE)
    if status != 200:
        return unreachable
    try:
        state = json.loads(body)
        return TargetView(
            target=target,
            incarnation=state["incarnation"],
            health=Health.HEALTHY,
            running=state.get("running", 0),
            waiting=state.get("waiting", 0),
            max_concurrency=state["max_concurrency"],
            models=[
                ModelView(name=model["name"], version=str(model["version"]))
                for model in state.get("models", ())
                if model.get("state", _LOADED) in (_LOADED, "ready")
            ],
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return unreachable
