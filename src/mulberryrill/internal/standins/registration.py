"""Registers a stand-in in the platform's member list and keeps it registered."""

import json
import logging
import threading
import time

from ...errors import HttpError
from ..events import Event
from ..httpclient import HttpClient
from ..logs import log_event

RENEWALS_PER_TTL = 3
DEFAULT_TTL_S = 10.0
# Interval between attempts while the list can't be reached.
RETRY_INTERVAL_S = 0.5
REQUEST_TIMEOUT_S = 3.0
# Readers poll the list about once a second, so they see a change up to this long after its lag.
LEAVING_MARGIN_S = 1.0
_LOGGER = logging.getLogger(__name__)


class Registration:
    """Keeps one member's entry in the list; does nothing without a list URL."""

    def __init__(
        self, list_url: str, member_id: str, kind: str, data_centre: str, address: str, pool: str
    ) -> None:
        self._url = f"{list_url.rstrip('/')}/v1/members/{member_id}" if list_url else ""
        self._body = {
            "id": member_id,
            "kind": kind,
            "data_centre": data_centre,
            "address": address,
            "pool": pool,
            "state": "live",
        }
        self._ttl_s = DEFAULT_TTL_S
        self._list_lag_s = 0.0
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Registers and starts renewing."""
        if self._url:
            self._thread = threading.Thread(target=self._renew, name="registration", daemon=True)
            self._thread.start()

    def leave(self) -> None:
        """Sets the state to leaving and waits until readers of the list have seen it."""
        if not self._url:
            return
        with self._lock:
            self._body["state"] = "leaving"
        if self._put_entry():
            time.sleep(self._list_lag_s + LEAVING_MARGIN_S)

    def close(self) -> None:
        """Stops renewing and removes the entry."""
        self._stop.set()
        if self._thread is None:
            return
        self._thread.join()
        client = HttpClient()
        try:
            client.send("DELETE", self._url, timeout_s=REQUEST_TIMEOUT_S)
        except HttpError as error:
            log_event(_LOGGER, logging.WARNING, Event.STANDIN_LIST_UNREACHABLE, str(error))
        finally:
            client.close()

    def _renew(self) -> None:
        while True:
            delay_s = self._ttl_s / RENEWALS_PER_TTL if self._put_entry() else RETRY_INTERVAL_S
            if self._stop.wait(delay_s):
                return

    def _put_entry(self) -> bool:
        with self._lock:
            body = json.dumps(self._body).encode("utf-8")
            client = HttpClient()
            try:
                response = client.send("PUT", self._url, body, timeout_s=REQUEST_TIMEOUT_S)
                timing = response.parse_json()
            except HttpError as error:
                log_event(_LOGGER, logging.WARNING, Event.STANDIN_LIST_UNREACHABLE, str(error))
                return False
            finally:
                client.close()
            if response.status != 200 or not isinstance(timing, dict):
                return False
            self._ttl_s = float(timing.get("ttl_ms", self._ttl_s * 1000)) / 1000
            self._list_lag_s = float(timing.get("list_lag_ms", 0)) / 1000
            return True
