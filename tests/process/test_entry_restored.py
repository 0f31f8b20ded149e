"""What instances know holds when the platform's store comes back from an older copy.

The copy is some seconds old: configurations, keys, targets and evacuations of before are in it, and
what was written since is missing until it is written again.
"""

import time
import unittest
from contextlib import ExitStack
from functools import partial

from mulberryrill.internal.ids import TargetId
from mulberryrill.internal.schema.log_pb2 import QuarantineEntry
from tests.common.entry import (
    CUSTOMER,
    MODEL,
    EntryDeployment,
    TargetStandin,
    answer_plain,
    answer_stream,
    create_configuration,
    run_entry,
    wait_for,
)
from tests.common.entryfleet import EntryFleet, EntryProcess, FleetCaller
from tests.common.promises import CallKind

# For this long the store has not got back what it lost.
OLD_COPY_S = 1.5
CONFIGURATION_BOUND_S = 2.0
PROMPT = {"Model": MODEL, "Token_Usage": "1000,16", "Prefix_Hash": "aa:500,bb:300"}


class RestoredStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        stack = ExitStack()
        self.addCleanup(stack.close)
        self.deployment: EntryDeployment = stack.enter_context(run_entry())
        self.store = self.deployment.store

    def start(self, *targets: str) -> None:
        for name in targets:
            self.deployment.add_target(name, "desk", answer_plain)
        self.deployment.wait_ready()

    def call(self) -> tuple[int, bytes]:
        response = self.deployment.call("/get/a")
        return response.status, response.body

    def call_for(self, seconds: float) -> set[tuple[int, bytes]]:
        """Returns the distinct responses to calls over a time."""
        end = time.monotonic() + seconds
        responses = set()
        while time.monotonic() < end:
            responses.add(self.call())
            time.sleep(0.02)
        return responses

    def knows(self, target: str) -> bool:
        """Returns whether a target is registered as far as the instance knows."""
        return self.deployment.program.state.targets.get(TargetId(target)) is not None

    def put_configuration(self, version: int, **changes: object) -> None:
        self.store.put("keyed.op", "config", create_configuration(version, **changes))

    def wait_version(self, version: int) -> None:
        line = f"mulberryrill_entry_configuration_version {version}"
        wait_for(lambda: line in self.deployment.read_metrics(), CONFIGURATION_BOUND_S)

    def test_change_after_the_restore_is_in_force_in_time(self) -> None:
        self.start("t1")
        copy = self.store.take_copy()
        for version in (3, 4, 7):
            self.put_configuration(version)
            self.wait_version(version)
        self.store.restore(copy)
        time.sleep(0.5)
        self.put_configuration(9)
        self.wait_version(9)

    def test_withdrawn_key_is_not_accepted_again(self) -> None:
        self.start("t1")
        copy = self.store.take_copy()
        withdrawn = {"tenants": [{"name": CUSTOMER, "api_keys": ["another"]}]}
        self.put_configuration(2, **withdrawn)
        wait_for(lambda: self.call()[0] == 401)
        self.store.restore(copy)
        self.assertEqual({status for status, _ in self.call_for(OLD_COPY_S)}, {401})
        self.put_configuration(2, **withdrawn)
        self.assertEqual({status for status, _ in self.call_for(OLD_COPY_S)}, {401})

    def test_target_that_left_gets_no_calls_again(self) -> None:
        self.check_gone_target(is_removed=True)

    def test_target_that_was_leaving_gets_no_calls_again(self) -> None:
        self.check_gone_target(is_removed=False)

    def check_gone_target(self, *, is_removed: bool) -> None:
        self.start("t1", "t2")
        wait_for(lambda: self.call() == (200, b"t2"))
        leaving = self.deployment.targets[1]
        copy = self.store.take_copy()
        draining = leaving.build_registry_entry("desk", state="draining")
        self.store.put("keyed.servers", "t2", draining)
        if is_removed:
            self.store.put("keyed.servers", "t2", None)
            wait_for(lambda: not self.knows("t2"))
        time.sleep(0.5)
        self.store.restore(copy)
        self.assertEqual(self.call_for(OLD_COPY_S), {(200, b"t1")})
        self.store.put("keyed.servers", "t2", None if is_removed else draining)
        self.assertEqual(self.call_for(OLD_COPY_S), {(200, b"t1")})

    def test_target_that_lives_comes_back_with_its_next_registration(self) -> None:
        """Guards against live targets that stay away because they had lapsed before the restore."""
        self.start("t1", "t2")
        entry = self.deployment.targets[1].build_registry_entry("desk")
        self.store.put("keyed.servers", "t2", None)
        wait_for(lambda: not self.knows("t2"))
        copy = self.store.take_copy()
        self.store.restore(copy)
        time.sleep(0.5)
        self.store.put("keyed.servers", "t2", entry)
        wait_for(lambda: self.call() == (200, b"t2"))

    def test_target_that_started_since_the_copy_is_used_on(self) -> None:
        """It registers again within about two seconds."""
        self.start("t1")
        copy = self.store.take_copy()
        new = self.deployment.add_target("t2", "desk", answer_plain)
        wait_for(lambda: self.call() == (200, b"t2"))
        self.store.put("keyed.servers", "t1", None)
        wait_for(lambda: not self.knows("t1"))
        self.store.restore(copy)
        self.assertEqual(self.call_for(OLD_COPY_S), {(200, b"t2")})
        self.store.put("keyed.servers", "t2", new.build_registry_entry("desk"))
        self.store.put("keyed.servers", "t1", None)
        self.assertEqual(self.call_for(2 * OLD_COPY_S), {(200, b"t2")})

    def test_target_that_does_not_register_again_is_removed(self) -> None:
        """Guards against targets that ended during the outage and stay in use."""
        self.start("t1")
        copy = self.store.take_copy()
        self.deployment.add_target("t2", "desk", answer_plain)
        wait_for(lambda: self.knows("t2"))
        self.store.restore(copy)
        self.store.put(
            "keyed.servers", "t1", self.deployment.targets[0].build_registry_entry("desk")
        )
        wait_for(lambda: not self.knows("t2"), 6.0)
        self.assertEqual(self.call(), (200, b"t1"))

    def test_evacuation_holds_until_it_is_taken_back(self) -> None:
        self.start("t1")
        copy = self.store.take_copy()
        self.store.put("keyed.op", "evacuate/z1", {})
        wait_for(lambda: self.call()[0] == 503)
        self.store.restore(copy)
        self.assertEqual({status for status, _ in self.call_for(OLD_COPY_S)}, {503})
        self.store.put("keyed.op", "evacuate/z1", {})
        self.assertEqual({status for status, _ in self.call_for(OLD_COPY_S)}, {503})
        self.store.put("keyed.op", "evacuate/z1", None)
        wait_for(lambda: self.call()[0] == 200, CONFIGURATION_BOUND_S)

    def test_evacuation_that_was_taken_back_ends_once_that_is_written_again(self) -> None:
        self.start("t1")
        self.store.put("keyed.op", "evacuate/z1", {})
        wait_for(lambda: self.call()[0] == 503)
        copy = self.store.take_copy()
        self.store.put("keyed.op", "evacuate/z1", None)
        wait_for(lambda: self.call()[0] == 200)
        self.store.restore(copy)
        time.sleep(OLD_COPY_S)
        self.store.put("keyed.op", "evacuate/z1", None)
        wait_for(lambda: self.call()[0] == 200, CONFIGURATION_BOUND_S)

    def test_quarantine_is_written_again(self) -> None:
        """Guards against calls that end targets again after a restart of all instances."""
        self.start("t1")
        copy = self.store.take_copy()
        expires = int((time.time() + 600) * 1000)
        entry = QuarantineEntry(fingerprint="part:dead", crashes=4, expires_unix_ms=expires)
        self.store.put_raw("keyed.quarantine", "part:dead", entry.SerializeToString())
        state = self.deployment.program.state
        wait_for(lambda: not state.quarantine.is_empty)
        self.store.restore(copy)
        wait_for(lambda: "part:dead" in self.store.get_values("keyed.quarantine"))
        self.assertFalse(state.quarantine.is_empty)

    def test_lifted_quarantine_stays_lifted(self) -> None:
        self.start("t1")
        expires = int((time.time() + 600) * 1000)
        entry = QuarantineEntry(fingerprint="part:dead", crashes=4, expires_unix_ms=expires)
        self.store.put_raw("keyed.quarantine", "part:dead", entry.SerializeToString())
        state = self.deployment.program.state
        wait_for(lambda: not state.quarantine.is_empty)
        copy = self.store.take_copy()
        self.store.put_raw("keyed.quarantine", "part:dead", None)
        wait_for(lambda: state.quarantine.is_empty)
        self.store.restore(copy)
        wait_for(lambda: "part:dead" not in self.store.get_values("keyed.quarantine"))
        self.assertTrue(state.quarantine.is_empty)


def has_version(engine: TargetStandin, version: int) -> bool:
    return engine.version == version


class RestoredLeaseTest(unittest.TestCase):
    def test_fencing_tokens_grow_and_orders_pause_after_the_restore(self) -> None:
        """Guards against orders of two holders in turn, or with a token that was given before."""
        with run_entry() as deployment:
            engine = deployment.add_target("e1", "lm", answer_stream)
            deployment.wait_ready()
            copy = deployment.store.take_copy()
            for version in (2, 3):
                deployment.store.put(
                    "keyed.op", f"version/{MODEL}", {"model": MODEL, "version": version}
                )
                wait_for(partial(has_version, engine, version), 12.0)
                time.sleep(2.0)
            deployment.store.restore(copy)
            restored_at = time.monotonic()
            deployment.store.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 4})
            wait_for(partial(has_version, engine, 4), 12.0)
            fences = [order.body["fence"] for order in engine.orders]
            self.assertEqual(fences, sorted(fences))
            self.assertGreater(fences[-1], fences[-2])
            lease_s = deployment.settings.bounds.order_lease_ms / 1000
            self.assertGreater(engine.orders[-1].received_at, restored_at + lease_s)


class StartingInstanceTest(unittest.TestCase):
    def test_starting_instance_does_not_use_what_the_old_copy_says(self) -> None:
        """Guards against a withdrawn key that is in use again at an instance that just started."""
        fleet = EntryFleet(instances=4, targets=4)
        self.addCleanup(fleet.close)
        fleet.start()
        copy = fleet.store.take_copy()
        key = fleet.keys.pop(0)
        fleet.publish_configuration()
        self.wait_status(fleet, fleet.entries[1], key, 401)
        starting = fleet.entries[0]
        starting.kill()
        fleet.store.restore(copy)
        starting.start()
        statuses = set()
        end = time.monotonic() + 4.0
        while time.monotonic() < end:
            statuses.add(self.call(fleet, starting, key))
            time.sleep(0.02)
        self.assertIn(401, statuses)
        self.assertLessEqual(statuses, {401, 503, None}, starting.log_file.read_text())

    def wait_status(self, fleet: EntryFleet, entry: EntryProcess, key: str, status: int) -> None:
        wait_for(lambda: self.call(fleet, entry, key) == status)

    def call(self, fleet: EntryFleet, entry: EntryProcess, key: str) -> int | None:
        caller = FleetCaller(fleet, "caller")
        try:
            return caller.call(entry, CallKind.GET, key)
        finally:
            caller.close()
