"""The relay loop: one thread that owns all transfers, callers' sockets and the dispatcher's state.

libcurl is driven by ``CurlMulti.socket_action`` and ``epoll``. Its callbacks only collect bytes;
listeners run after libcurl has returned, because they may open, pause and cancel transfers.
"""

import select

import pycurl

from ..clock import Clock
from ..eventloop import EventLoop, Task, Timer
from .transfer import Transfer

__all__ = ["RelayLoop", "Task", "Timer"]


class RelayLoop(EventLoop):
    """An event loop that also runs transfers."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock, "relay")
        self._curl_sockets: dict[int, int] = {}
        self._curl_timer_due_at: float | None = None
        self._transfers: dict[pycurl.Curl, Transfer] = {}
        # Transfers with headers or data to deliver, in order of arrival.
        self._dirty_transfers: dict[Transfer, None] = {}
        self._multi = pycurl.CurlMulti()

    def start(self) -> None:
        """Starts the thread."""
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_curl_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_curl_timer)
        super().start()

    def close(self) -> None:
        """Stops the thread and cancels open transfers."""
        self.post(self._stop)
        self._thread.join()
        for transfer in list(self._transfers.values()):
            self.cancel_transfer(transfer)
        self._multi.close()
        super().close()

    def open_transfer(self, transfer: Transfer) -> None:
        """Starts a transfer; its listener is called until the transfer ends."""
        transfer.on_dirty = self._mark_dirty
        self._transfers[transfer.curl] = transfer
        self._multi.add_handle(transfer.curl)

    def cancel_transfer(self, transfer: Transfer) -> None:
        """Cancels a transfer and closes its connection; its listener is not called again."""
        transfer.listener = None
        self._dirty_transfers.pop(transfer, None)
        if self._transfers.pop(transfer.curl, None) is not None:
            self._multi.remove_handle(transfer.curl)
            transfer.close()

    def _run_soon(self) -> None:
        self._run_transfers()
        while self._soon_tasks or self._dirty_transfers:
            super()._run_soon()
            self._run_transfers()

    def _run_timers(self) -> None:
        if self._curl_timer_due_at is not None and self.now() >= self._curl_timer_due_at:
            self._curl_timer_due_at = None
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        super()._run_timers()

    def _compute_poll_timeout(self) -> float:
        if self._dirty_transfers:
            return 0.0
        wait = super()._compute_poll_timeout()
        if self._curl_timer_due_at is not None:
            wait = min(wait, self._curl_timer_due_at - self.now())
        return max(0.0, wait)

    def _dispatch(self, fd: int, mask: int) -> None:
        if fd not in self._curl_sockets:
            super()._dispatch(fd, mask)
            return
        action = 0
        if mask & (select.EPOLLIN | select.EPOLLHUP):
            action |= pycurl.CSELECT_IN
        if mask & select.EPOLLOUT:
            action |= pycurl.CSELECT_OUT
        if mask & select.EPOLLERR:
            action |= pycurl.CSELECT_ERR
        self._multi.socket_action(fd, action)

    def _run_transfers(self) -> None:
        dirty, self._dirty_transfers = self._dirty_transfers, {}
        for transfer in dirty:
            self._run_task(transfer.deliver)
        queued = 1
        while queued:
            queued, succeeded, failed = self._multi.info_read()
            for curl in succeeded:
                self._finish_transfer(curl, 0, "")
            for curl, code, message in failed:
                self._finish_transfer(curl, code, message)

    def _finish_transfer(self, curl: pycurl.Curl, code: int, message: str) -> None:
        transfer = self._transfers.pop(curl, None)
        if transfer is None:
            return
        self._dirty_transfers.pop(transfer, None)
        self._run_task(transfer.deliver)
        end = transfer.build_end(code, message)
        self._multi.remove_handle(curl)
        listener, transfer.listener = transfer.listener, None
        transfer.close()
        if listener is not None:
            self._run_task(lambda: listener.on_end(end))

    def _mark_dirty(self, transfer: Transfer) -> None:
        self._dirty_transfers[transfer] = None

    def _on_curl_socket(self, what: int, fd: int, multi: object, data: object) -> None:
        if what == pycurl.POLL_REMOVE:
            if self._curl_sockets.pop(fd, None) is not None:
                try:
                    self._epoll.unregister(fd)
                except OSError:
                    pass  # libcurl may have closed the descriptor already.
            return
        mask = 0
        if what in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            mask |= select.EPOLLIN
        if what in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            mask |= select.EPOLLOUT
        if fd in self._curl_sockets:
            self._epoll.modify(fd, mask)
        else:
            self._epoll.register(fd, mask)
        self._curl_sockets[fd] = mask

    def _on_curl_timer(self, timeout_ms: int) -> None:
        self._curl_timer_due_at = None if timeout_ms < 0 else self.now() + timeout_ms / 1000
