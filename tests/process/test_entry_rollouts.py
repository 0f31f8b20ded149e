"""Rollouts of a software version by entry programs with a store and targets."""

import json
import threading
import time
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from mulberryrill.internal.core.rendezvous import rank_members
from mulberryrill.internal.entry import peers
from mulberryrill.internal.entry.program import EntryProgram
from mulberryrill.internal.ids import ServiceName, SoftwareVersion
from mulberryrill.internal.schema.settings_pb2 import EntrySettings
from mulberryrill.platform.calls import PlatformDialect
from mulberryrill.platform.tasks import PlatformTasks
from tests.common.entry import (
    LOCAL,
    EntryDeployment,
    ReceivedCall,
    RequestHandler,
    TargetStandin,
    answer_plain,
    create_configuration,
    run_entry,
    wait_for,
)
from tests.common.ports import find_port

KEY = "rollout/desk"
SERVICE, NEW = ServiceName("desk"), SoftwareVersion("v2")
DURATION_S = 8.0
CALLER_COUNT = 4


def answer_badly(target: TargetStandin, request: RequestHandler, call: ReceivedCall) -> None:
    """Responds to a plain call with an error of the target's own."""
    request.reply(500, b"error", **target.build_origin_headers(call))


def answer_slowly(target: TargetStandin, request: RequestHandler, call: ReceivedCall) -> None:
    time.sleep(0.3)
    answer_plain(target, request, call)


class Callers:
    """Threads that call without a pause, each on a connection of its own."""

    def __init__(self, deployment: EntryDeployment, path: str = "/get/1") -> None:
        self._deployment = deployment
        self._path = path
        self._is_stopped = False
        self.statuses: list[int] = []
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True) for n in range(CALLER_COUNT)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, number: int) -> None:
        connection = self._deployment.connect()
        count = 0
        while not self._is_stopped:
            count += 1
            request_id = f"r-{number}-{count}"
            try:
                response = self._deployment.call_on(connection, self._path, Request_Id=request_id)
                self.statuses.append(response.status)
            except OSError:
                connection.close()
            time.sleep(0.01)
        connection.close()

    def stop(self) -> None:
        self._is_stopped = True
        for thread in self._threads:
            thread.join()


class RolloutCase(unittest.TestCase):
    """Runs a service with old targets and callers."""

    @contextmanager
    def run_service(self) -> Iterator[EntryDeployment]:
        with run_entry() as deployment:
            for name in ("old-1", "old-2"):
                deployment.add_target(name, "desk", answer_plain)
            deployment.wait_ready()
            wait_for(lambda: deployment.program.state.has_peer_list)
            callers = Callers(deployment)
            try:
                yield deployment
            finally:
                callers.stop()
            self.statuses = callers.statuses

    def order(self, deployment: EntryDeployment, target: object = "v2", **changes: object) -> None:
        order = {"service": "desk", "target": target, "duration_s": DURATION_S}
        deployment.store.put("keyed.op", KEY, order | changes)

    def add_new(self, deployment: EntryDeployment, answer=answer_plain) -> list[TargetStandin]:
        targets = []
        for name in ("new-1", "new-2"):
            targets.append(deployment.add_target(name, "desk", answer, version="v2"))
        return targets

    def read_status(self, deployment: EntryDeployment) -> dict | None:
        value = deployment.store.get_values("keyed.status").get(KEY)
        return json.loads(value) if value is not None else None

    def wait_for_state(self, deployment: EntryDeployment, state: str) -> None:
        expected = {"state": state, "target": "v2"}
        wait_for(lambda: self.read_status(deployment) == expected, DURATION_S)

    def count_calls(self, deployment: EntryDeployment, name: str) -> int:
        return sum(len(t.received_calls) for t in deployment.targets if t.name.startswith(name))

    def add_instance(
        self, deployment: EntryDeployment, name: str, data_centre: str = "z1"
    ) -> EntryProgram:
        """Starts another instance and waits until both know each other."""
        settings = EntrySettings()
        settings.CopyFrom(deployment.settings)
        settings.instance, settings.data_centre = name, data_centre
        for kind in ("callers", "readiness", "peer", "metrics"):
            setattr(settings, f"{kind}_address", f"{LOCAL}:{find_port()}")
        program = EntryProgram(settings, PlatformDialect(), PlatformTasks)
        program.start()
        self.addCleanup(program.abort)
        programs = (deployment.program, program)
        wait_for(lambda: all(len(p.state.instances) == 2 for p in programs))
        return program


class RolloutTest(RolloutCase):
    """Guards against orders that are not carried out, or that move calls to a bad version."""

    def test_statuses_are_read_only_once_an_order_is_known(self) -> None:
        with self.run_service() as deployment:
            time.sleep(0.5)
            self.assertEqual(deployment.store.count_reads("keyed.status"), 0)
            self.order(deployment, target="v9")
            wait_for(lambda: deployment.store.count_reads("keyed.status") > 0)
            time.sleep(0.5)
            # One read of all records, and one that waits.
            self.assertEqual(deployment.store.count_reads("keyed.status"), 2)

    def test_good_version_is_done(self) -> None:
        with self.run_service() as deployment:
            self.order(deployment)
            self.add_new(deployment)
            self.wait_for_state(deployment, "running")
            self.wait_for_state(deployment, "done")
            old_calls = self.count_calls(deployment, "old")
            # The old targets stop at once, while their records are still there.
            for target in deployment.targets:
                if target.name.startswith("old"):
                    target.close()
            time.sleep(0.5)
            self.assertEqual(self.count_calls(deployment, "old"), old_calls)
        self.assertEqual(set(self.statuses), {200})

    def check_bad(self, answer) -> None:
        with self.run_service() as deployment:
            self.order(deployment)
            new = self.add_new(deployment, answer)
            self.wait_for_state(deployment, "rolled_back")
            wait_for(lambda: deployment.program.state.rollouts.is_blocked(SERVICE, NEW))
            calls = self.count_calls(deployment, "new")
            self.assertLess(calls, 50)
            self.assertGreater(calls, 0)
            time.sleep(0.5)
            self.assertEqual(self.count_calls(deployment, "new"), calls)
            self.assertEqual(len(new), 2)
            # The same order once more moves nothing.
            with self.assertLogs("mulberryrill.internal.entry.state", "WARNING") as logs:
                self.order(deployment)
                wait_for(lambda: "ended already" in str(logs.output))
            time.sleep(0.5)
            self.assertEqual(self.count_calls(deployment, "new"), calls)

    def test_version_that_fails_is_rolled_back(self) -> None:
        self.check_bad(answer_badly)

    def test_version_that_is_slow_is_rolled_back(self) -> None:
        self.check_bad(answer_slowly)

    def test_bad_orders_move_nothing(self) -> None:
        for changes in ({"duration_s": -1}, {"duration_s": 0}, {"duration_s": "soon"}):
            with self.subTest(changes), self.run_service() as deployment:
                with self.assertLogs("mulberryrill.internal.entry.state", "WARNING") as logs:
                    self.order(deployment, **changes)
                    wait_for(lambda: "rollout order ignored: duration" in str(logs.output))
                self.assertIsNone(self.read_status(deployment))

    def test_order_of_an_unknown_service_moves_nothing(self) -> None:
        with self.run_service() as deployment:
            order = {"service": "bakery", "target": "v2", "duration_s": DURATION_S}
            with self.assertLogs("mulberryrill.internal.entry.state", "WARNING") as logs:
                deployment.store.put("keyed.op", "rollout/bakery", order)
                wait_for(lambda: "unknown service" in str(logs.output))
            self.assertEqual(deployment.store.get_values("keyed.status"), {})

    def test_order_of_an_unknown_version_moves_nothing(self) -> None:
        with self.run_service() as deployment:
            with self.assertLogs("mulberryrill.internal.entry.state", "WARNING") as logs:
                self.order(deployment, duration_s=1.5)
                wait_for(lambda: "no target of this version" in str(logs.output))
            self.assertIsNone(self.read_status(deployment))

    def test_second_order_at_once_is_ignored(self) -> None:
        with self.run_service() as deployment:
            self.order(deployment)
            self.add_new(deployment)
            self.wait_for_state(deployment, "running")
            other = deployment.add_target("third-1", "desk", answer_plain, version="v3")
            with self.assertLogs("mulberryrill.internal.entry.state", "WARNING") as logs:
                self.order(deployment, target="v3")
                wait_for(lambda: "another order" in str(logs.output))
            self.wait_for_state(deployment, "done")
            time.sleep(0.5)
            self.assertEqual(other.received_calls, [])

    def test_nothing_is_promoted_while_the_store_is_away(self) -> None:
        with self.run_service() as deployment:
            self.order(deployment)
            self.add_new(deployment)
            self.wait_for_state(deployment, "running")
            wait_for(lambda: self.count_calls(deployment, "new") > 0)
            deployment.store.is_unavailable = True
            time.sleep(0.7 * DURATION_S)
            self.assertEqual(self.read_status(deployment), {"state": "running", "target": "v2"})
            total = self.count_calls(deployment, "")
            self.assertLessEqual(self.count_calls(deployment, "new"), 0.1 * total + 50)
            deployment.store.is_unavailable = False
            self.wait_for_state(deployment, "done")

    def test_status_that_exists_ends_the_order_at_a_starting_instance(self) -> None:
        deployment = EntryDeployment()
        deployment.store.put("keyed.op", "config", create_configuration())
        self.order(deployment)
        status = {"state": "rolled_back", "target": "v2"}
        deployment.store.put("keyed.status", KEY, status)
        deployment.start()
        self.addCleanup(deployment.close)
        deployment.add_target("old-1", "desk", answer_plain)
        self.add_new(deployment)
        deployment.wait_ready()
        for number in range(30):
            response = deployment.call("/get/1", Request_Id=f"r-{number}")
            self.assertEqual(response.status, 200)
        self.assertEqual(self.count_calls(deployment, "new"), 0)
        self.assertEqual(self.read_status(deployment), status)

    def test_lost_status_is_written_again(self) -> None:
        with self.run_service() as deployment:
            copy = deployment.store.take_copy()
            self.order(deployment)
            self.add_new(deployment, answer_badly)
            self.wait_for_state(deployment, "rolled_back")
            wait_for(lambda: deployment.program.state.rollouts.is_blocked(SERVICE, NEW))
            calls = self.count_calls(deployment, "new")
            lost = deployment.store.restore(copy)
            deployment.store.write_again(copy, lost)
            self.wait_for_state(deployment, "rolled_back")
            self.assertEqual(self.count_calls(deployment, "new"), calls)


class DataCentresTest(RolloutCase):
    """Guards against counts that stay in one data centre of a site with many instances."""

    def check(self, answer, state: str) -> None:
        with mock.patch.object(peers, "MAX_MESH_PEERS", 0), self.run_service() as deployment:
            # All calls go to the first instance; the second one writes what it learns of them.
            name = choose_higher_ranked(deployment.settings.instance)
            second = self.add_instance(deployment, name, "z2")
            self.order(deployment)
            self.add_new(deployment, answer)
            self.wait_for_state(deployment, state)
            rollout = second.state.rollouts.get(SERVICE)
            assert rollout is not None
            self.assertGreater(rollout.evidence.sum_calls().new_calls, 0)
            self.assertEqual(set(rollout.reports), {"front-1", name})

    def test_good_version_is_done(self) -> None:
        self.check(answer_plain, "done")

    def test_bad_version_is_rolled_back(self) -> None:
        self.check(answer_badly, "rolled_back")


class TakeoverTest(RolloutCase):
    """Guards against a rollout that nobody ends because the instance that would is gone."""

    def check(self, answer, state: str) -> None:
        with self.run_service() as deployment:
            # The first instance of the other tests is second in rank.
            name = choose_higher_ranked(deployment.settings.instance)
            second = self.add_instance(deployment, name)
            self.order(deployment)
            wait_for(lambda: second.state.rollouts.get(SERVICE) is not None)
            self.add_new(deployment, answer)
            self.wait_for_state(deployment, "running")
            second.abort()
            deployment.store.remove_member(name)
            self.wait_for_state(deployment, state)

    def test_good_version_is_done(self) -> None:
        self.check(answer_plain, "done")

    def test_bad_version_is_rolled_back(self) -> None:
        self.check(answer_badly, "rolled_back")


def choose_higher_ranked(instance: str) -> str:
    """Returns the name of an instance that writes before the given one."""
    names = (f"front-{number}" for number in range(2, 100))
    return next(n for n in names if rank_members(KEY, (instance, n))[0] == n)


if __name__ == "__main__":
    unittest.main()
