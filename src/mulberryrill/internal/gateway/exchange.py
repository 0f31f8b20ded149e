"""Base class of attempts and forwarded calls: one transfer and its progress."""

from abc import ABC, abstractmethod

from .loop import RelayLoop
from .transfer import Transfer


class Exchange(ABC):
    """One HTTP exchange, paused while the caller is slow. Runs on the relay loop's thread.

    A subclass sets ``_transfer`` before ``start`` and calls ``_record_progress`` when a head, a
    complete event or a part of a body arrives. Bytes of an incomplete event are no progress.
    """

    _transfer: Transfer

    def __init__(self, loop: RelayLoop) -> None:
        self._loop = loop
        self.started_at = loop.now()
        self._last_progress_at = self.started_at
        self._is_paused = False
        self._is_over = False

    @property
    def sent(self) -> bool:
        """Whether a byte of the request may have reached the server."""
        return self._transfer.sent

    @property
    @abstractmethod
    def has_begun(self) -> bool:
        """Whether the response has begun, so that a pause in it counts as a stall."""

    def start(self) -> None:
        """Opens the connection."""
        self._loop.open_transfer(self._transfer)

    def cancel(self) -> None:
        """Closes the connection, which cancels the call at the server; no result follows."""
        self._is_over = True
        self._loop.cancel_transfer(self._transfer)

    def pause(self) -> None:
        """Stops reading while the caller is slow."""
        if not self._is_paused and not self._is_over:
            self._is_paused = True
            self._transfer.pause()

    def resume(self) -> None:
        """Continues reading."""
        if self._is_paused and not self._is_over:
            self._is_paused = False
            self._record_progress()
            self._transfer.resume()

    def is_stalled(self, now: float, limit_s: float) -> bool:
        """Returns whether a response that has begun makes no progress."""
        is_waiting = self.has_begun and not self._is_paused
        return is_waiting and now - self._last_progress_at > limit_s

    def _record_progress(self) -> None:
        self._last_progress_at = self._loop.now()
