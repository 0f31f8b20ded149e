"""Calls that end every target that runs them are recognized and refused, on all instances."""

import http.client
import itertools
import random
import threading
import time
import unittest
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from tests.common.callerthreads import CallerThreads
from tests.common.entry import HOST, LOCAL, MODEL, ReceivedCall
from tests.common.entryfleet import EntryFleet, EntryProcess, FleetTarget

# Bounds from the users' specification: after this many crashes, and a time for instances to learn
# of them, at most this many calls of the kind may still reach a target.
MAX_CRASHES = 5
MAX_CRASHES_OF_ONE_REQUEST = 3
CONTACT_S = 3.0
MAX_LATE_CALLS = 3
# From twice the contact time on, sound calls begin at the first attempt at least half as often as
# without the trouble.
MIN_SOUND_SHARE = 0.5
SOUND_INTERVAL_S = 0.1
CRASHING_INTERVAL_S = 0.2
TROUBLE_S = 14.0
AFTER_RESTART_S = 8.0
CALL_TIMEOUT_S = 4.0
CRASHING_PART = "dead"


@dataclass
class CrashRecord:
    """Calls that targets received and that would end them."""

    crashed_at: list[float] = field(default_factory=list)
    # When each instance was sent the call, by request id.
    sent_at: dict[str, float] = field(default_factory=dict)
    # Request id and path, once for each attempt that reached a target.
    reached: list[tuple[str, str]] = field(default_factory=list)
    # When each target ended under a call, by the call's path and the target's name.
    ends: dict[str, dict[str, float]] = field(default_factory=lambda: defaultdict(dict))

    def list_late(self, max_crashes: int, path: str | None = None) -> list[str]:
        """Returns the calls that were sent too late to reach a target, and reached one.

        ``path``: only calls with this path count, and the ends under them.
        """
        times = self.crashed_at if path is None else list(self.ends[path].values())
        if len(times) < max_crashes:
            return []
        limit = sorted(times)[max_crashes - 1] + CONTACT_S
        return [
            request
            for request, reached_path in self.reached
            if self.sent_at[request] > limit and path in (None, reached_path)
        ]


class CrashTest(unittest.TestCase):
    instances = 4
    targets = 8

    def setUp(self) -> None:
        self.record = CrashRecord()
        self.fleet = EntryFleet(self.instances, self.targets)
        self.addCleanup(self.fleet.close)
        self.numbers = itertools.count()
        # The call that a target's thread runs.
        self.running = threading.local()
        self.statuses: list[tuple[str, float, int | None]] = []
        for target in self.fleet.targets:
            target.crashes_on = self.crashes
            target.on_crash = self.crash
        self.fleet.start()
        self.callers = CallerThreads(self.fleet.entries)
        self.addCleanup(self.callers.close)

    def crashes(self, call: ReceivedCall) -> bool:
        is_crashing = CRASHING_PART in call.headers.get("prefix-hash", "") or call.path.endswith(
            CRASHING_PART
        )
        if is_crashing:
            self.record.reached.append((call.headers["request-id"], call.path))
            self.running.path = call.path
        return is_crashing

    def crash(self, target: FleetTarget) -> None:
        self.record.ends[self.running.path].setdefault(target.name, time.monotonic())
        if target.link is not None:
            self.record.crashed_at.append(time.monotonic())
            self.fleet.crash_target(target)

    def start_caller(self, name: str, interval_s: float, path: str, parts: str = "") -> None:
        """Makes calls at all instances in turn until the test ends."""
        self.callers.start(interval_s, lambda entry: self.call(name, entry, path, parts))

    def call(
        self,
        name: str,
        entry: EntryProcess,
        path: str,
        parts: str = "",
        host: str = HOST,
        *,
        is_chunked: bool = False,
    ) -> None:
        number = next(self.numbers)
        request_id = f"{name}-{number}"
        headers = {
            "Host": host,
            "Request-Id": request_id,
            "X-Api-Key": self.fleet.keys[0],
            "Deadline-Ms": "2000",
        }
        if parts:
            # The last part belongs to the request alone.
            prefix = f"{parts},{number + 0x1000:x}:10"
            headers |= {"Model": MODEL, "Token-Usage": "1000,16", "Prefix-Hash": prefix}
        sent_at = self.record.sent_at[request_id] = time.monotonic()
        if is_chunked:
            headers["Transfer-Encoding"] = "chunked"
        connection = http.client.HTTPConnection(LOCAL, entry.callers_port, timeout=CALL_TIMEOUT_S)
        status: int | None = None
        try:
            body = iter([b"{", b"}"]) if is_chunked else b"{}"
            connection.request("POST", path, body, headers, encode_chunked=is_chunked)
            response = connection.getresponse()
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException):
            pass  # The stream was cut, or the instance is restarting.
        finally:
            connection.close()
        self.statuses.append((name, sent_at, status))

    def count_statuses(self, name: str, since: float) -> Counter[int | None]:
        return Counter(s for n, sent_at, s in list(self.statuses) if n == name and sent_at > since)

    def check_sound_calls(self, name: str, since: float) -> None:
        counts = self.count_statuses(name, since)
        self.assertGreaterEqual(counts[200], MIN_SOUND_SHARE * counts.total(), counts)
        self.assertGreaterEqual(counts.total(), 20)

    def check_late_calls(self, max_crashes: int) -> None:
        late = self.record.list_late(max_crashes)
        self.assertGreater(len(self.record.reached), 0)
        self.assertLessEqual(len(late), MAX_LATE_CALLS, f"{len(self.record.crashed_at)} crashes")


class PromptPartTest(CrashTest):
    def check_part(self, parts: str) -> None:
        self.start_caller("sound", SOUND_INTERVAL_S, "/plan/a", "aa:500,bb:300")
        self.start_caller("sound", SOUND_INTERVAL_S, "/quick/a", "aa:500,cc:300")
        time.sleep(2.0)
        started_at = time.monotonic()
        self.start_caller("crashing", CRASHING_INTERVAL_S, "/quick/a", parts)
        time.sleep(TROUBLE_S)
        self.check_late_calls(MAX_CRASHES)
        self.check_sound_calls("sound", started_at + 2 * CONTACT_S + 2.0)

    def test_part_after_shared_ones(self) -> None:
        self.check_part(f"aa:500,{CRASHING_PART}:300")

    def test_first_part(self) -> None:
        self.check_part(f"{CRASHING_PART}:500,bb:300")

    def test_part_is_refused_after_restarts(self) -> None:
        """Guards against instances that send it to targets again after their restart."""
        self.start_caller("sound", SOUND_INTERVAL_S, "/plan/a", "aa:500,bb:300")
        time.sleep(2.0)
        self.start_caller(
            "crashing", CRASHING_INTERVAL_S, "/quick/a", f"aa:500,{CRASHING_PART}:300"
        )
        time.sleep(TROUBLE_S)
        for entry in self.fleet.entries:
            entry.kill()
        for entry in self.fleet.entries:
            entry.start()
        for entry in self.fleet.entries:
            self.fleet.wait_ready(entry)
        restarted_at = time.monotonic()
        time.sleep(AFTER_RESTART_S)
        self.check_late_calls(MAX_CRASHES)
        self.check_sound_calls("sound", restarted_at + 1.0)


class RepeatedRequestTest(CrashTest):
    def test_request_that_comes_again(self) -> None:
        """The same path, caller and body, at any instance."""
        self.start_caller("sound", SOUND_INTERVAL_S, "/get/a")
        time.sleep(1.0)
        started_at = time.monotonic()
        self.start_caller("crashing", CRASHING_INTERVAL_S, f"/get/{CRASHING_PART}")
        time.sleep(TROUBLE_S)
        self.check_late_calls(MAX_CRASHES_OF_ONE_REQUEST)
        self.check_sound_calls("sound", started_at + 2 * CONTACT_S + 2.0)


class FewTargetsTest(CrashTest):
    """All targets of the service can end before any instance has told another."""

    instances = 8
    # Three of them are of the service that gets the crashing request.
    targets = 6
    target_restart_s = 4.0
    crashing_interval_s = 0.25
    trouble_s = 22.0

    def check_request(self, *crashing_callers: Callable[[EntryProcess], None]) -> None:
        self.fleet.target_restart_s = self.target_restart_s
        self.start_caller("sound", SOUND_INTERVAL_S, "/get/a")
        time.sleep(1.0)
        started_at = time.monotonic()
        for caller in crashing_callers:
            self.callers.start(self.crashing_interval_s, caller)
        time.sleep(self.trouble_s)
        self.check_late_calls(MAX_CRASHES_OF_ONE_REQUEST)
        self.check_sound_calls("sound", started_at + 2 * CONTACT_S + 2.0)

    def test_differently_spelled_request_ends_targets_beyond_the_bound(self) -> None:
        """Guards against counting one request as several: the host's case, or a chunked body."""
        path = f"/get/{CRASHING_PART}"
        self.check_request(
            lambda entry: self.call("crashing", entry, path),
            lambda entry: self.call("crashing", entry, path, host=HOST.upper(), is_chunked=True),
        )

    def test_sound_requests_that_differ_in_the_query_clear_it(self) -> None:
        """Guards against a request that is never refused beside sound ones for its path."""
        self.start_caller("sound", SOUND_INTERVAL_S, "/get/find?lang=el&q=sound")
        self.check_request(
            lambda entry: self.call("crashing", entry, f"/get/find?lang=el&q={CRASHING_PART}"),
            lambda entry: self.call("crashing", entry, f"/get/find?lang=%65l&q={CRASHING_PART}"),
        )

    def call_crashing(self, entry: EntryProcess) -> None:
        self.call("crashing", entry, f"/get/{CRASHING_PART}")

    def test_request_ends_few_targets(self) -> None:
        """Guards against the loss of all targets at once, and again when they are back."""
        self.check_request(self.call_crashing)
        self.assertLessEqual(len(self.record.crashed_at), MAX_CRASHES_OF_ONE_REQUEST + 1)

    def test_request_that_may_not_be_repeated(self) -> None:
        self.check_request(lambda entry: self.call("crashing", entry, f"/pay/{CRASHING_PART}"))

    def test_two_requests_at_once(self) -> None:
        """Each may end three targets, and reach three later."""
        paths = [f"/get/{name}/{CRASHING_PART}" for name in ("first", "second")]
        for path in paths:
            self.callers.start(self.crashing_interval_s, partial(self.call, "crashing", path=path))
        self.fleet.target_restart_s = self.target_restart_s
        time.sleep(self.trouble_s)
        self.assertGreater(len(self.record.reached), 0)
        for path in paths:
            late = self.record.list_late(MAX_CRASHES_OF_ONE_REQUEST, path)
            self.assertLessEqual(len(late), MAX_LATE_CALLS, self.record.ends)

    def test_other_targets_end_as_well(self) -> None:
        """Guards against a cause that is missed because it does not explain all ends."""
        source = random.Random(1)
        self.repeat(2.0, lambda: self.fleet.crash_target(source.choice(self.fleet.targets)))
        self.check_request(self.call_crashing)

    def test_instances_are_killed_in_turn(self) -> None:
        """Guards against evidence that is lost with the instance that saw it."""
        entries = itertools.cycle(self.fleet.entries)
        self.repeat(1.5, lambda: self.restart(next(entries)))
        self.check_request(self.call_crashing)

    def repeat(self, interval_s: float, action: Callable[[], None]) -> None:
        """Acts at an interval until the test ends."""
        is_ended = threading.Event()

        def run() -> None:
            while not is_ended.wait(interval_s):
                action()

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(is_ended.set)

    def restart(self, entry: EntryProcess) -> None:
        entry.kill()
        entry.start()
