"""Polls the platform's list of members and keeps this instance registered in it."""

import logging
from collections.abc import Callable

from ...errors import PlatformError
from ..events import Event
from ..logs import log_event
from ..platform.listclient import ListClient
from ..schema.wire_pb2 import Member, MemberState
from .messages import Inbox, ListFailed, MembersListed
from .task import Task

POLL_INTERVAL_S = 1.0
# Long lists are polled less often to limit traffic, up to the interval below, because leaving
# targets must still be noticed in time.
MAX_LIST_BYTES_PER_SECOND = 200_000
MAX_POLL_INTERVAL_S = 3.0
_LOGGER = logging.getLogger(__name__)


class Lister(Task):
    """Posts the list every 1 to 3 s, depending on its size, and renews the registration."""

    def __init__(self, member: Member, open_client: Callable[[], ListClient], inbox: Inbox) -> None:
        super().__init__("lister")
        self._member = member
        self._client = open_client()
        self._inbox = inbox
        self._reachable = True

    def step(self) -> None:
        """Registers, reads the list and waits for the next poll."""
        try:
            self._client.register(self._member)
            members = self._client.read_members()
        except PlatformError as error:
            self._handle_failure(error)
        else:
            self._mark_reachable()
            self._inbox.put(MembersListed(members))
        self._stop.wait(
            min(
                MAX_POLL_INTERVAL_S,
                max(POLL_INTERVAL_S, self._client.list_bytes / MAX_LIST_BYTES_PER_SECOND),
            )
        )

    def release(self) -> None:
        """Removes the registration and closes the connection."""
        try:
            self._client.remove(self._member.id)
        except PlatformError as error:
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.LIST_UNREACHABLE,
                f"registration not removed: {error}",
            )
        self._client.close()

    def leave(self) -> None:
        """Registers this instance as leaving from the next poll on."""
        leaving = Member()
        leaving.CopyFrom(self._member)
        leaving.state = MemberState.leaving
        self._member = leaving

    def _handle_failure(self, error: PlatformError) -> None:
        if self._reachable:
            self._reachable = False
            log_event(_LOGGER, logging.WARNING, Event.LIST_UNREACHABLE, str(error))
        self._inbox.put(ListFailed())

    def _mark_reachable(self) -> None:
        if not self._reachable:
            self._reachable = True
            log_event(_LOGGER, logging.INFO, Event.LIST_REACHABLE, "list reachable again")
