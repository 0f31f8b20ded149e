"""The entry program with stand-ins for the platform's store and targets."""

import http.client
import json
import socket
import struct
import threading
import time
import unittest

from mulberryrill.internal.core.serving.callcosts import MIN_SAMPLES, CostKind
from mulberryrill.internal.events import Event
from mulberryrill.internal.schema.log_pb2 import QuarantineEntry
from mulberryrill.platform.follower import INSTANCE_TOPICS
from mulberryrill.platform.store import QUARANTINE_TOPIC
from tests.common.entry import (
    KEY,
    MODEL,
    CallerResponse,
    EntryDeployment,
    ReceivedCall,
    TargetStandin,
    answer_plain,
    answer_stream,
    create_configuration,
    run_entry,
    wait_for,
)

PROMPT_HEADERS = {
    "Model": MODEL,
    "Token_Usage": "1000,16",
    "Prefix_Hash": "aa:500,bb:300,cc:200",
}


def break_connection(target: TargetStandin, request, call: ReceivedCall) -> None:
    """Runs a call and closes the connection without a response."""
    request.close_connection = True
    request.connection.shutdown(socket.SHUT_RDWR)


def refuse(target: TargetStandin, request, call: ReceivedCall) -> None:
    """Refuses a call as an overloaded target does."""
    request.reply(503, b"", Not_Run="1", Request_Id=call.headers["request-id"])


def answer_without_stamp(target: TargetStandin, request, call: ReceivedCall) -> None:
    """Responds without the server stamp that shows that the target itself produced it."""
    request.reply(200, b"forged", Request_Id=call.headers["request-id"])


def truncate(target: TargetStandin, request, call: ReceivedCall) -> None:
    """Ends a response before its Content-Length."""
    request.send_response(200)
    for name, value in target.build_origin_headers(call).items():
        request.send_header(name.replace("_", "-"), value)
    request.send_header("content-length", "100")
    request.end_headers()
    request.wfile.write(b"short")
    request.close_connection = True


def answer_for_another(target: TargetStandin, request, call: ReceivedCall) -> None:
    """Sends a response to an earlier request before the right one."""
    request.reply(200, b"old", Request_Id="r-0", Server_Stamp="old")
    answer_plain(target, request, call)


def break_stream(target: TargetStandin, request, call: ReceivedCall) -> None:
    """Closes the connection in the middle of a stream's third event."""
    target.begin_stream(request, call)
    target.send_event(request, 1)
    target.send_event(request, 2)
    request.wfile.write(b"8\r\nid: 3\nda\r\n")
    request.wfile.flush()
    break_connection(target, request, call)


def answer_until_close(
    target: TargetStandin, request, call: ReceivedCall, body: bytes, *, resets: bool = False
) -> None:
    """Sends a body without length or chunks that ends with its connection, or with a reset."""
    request.send_response(200)
    for name, value in target.build_origin_headers(call).items():
        request.send_header(name.replace("_", "-"), value)
    request.send_header("connection", "close")
    request.end_headers()
    request.wfile.write(body)
    request.wfile.flush()
    if resets:
        # With this option the close sends a reset instead of the end of the data.
        option = struct.pack("ii", 1, 0)
        request.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        time.sleep(0.05)
        request.connection.close()


class EntryCase(unittest.TestCase):
    """Runs a deployment for each test."""

    def setUp(self) -> None:
        manager = run_entry()
        self.deployment: EntryDeployment = manager.__enter__()
        self.addCleanup(manager.__exit__, None, None, None)


class PlainCallTest(EntryCase):
    def test_answer_is_passed_on_unchanged(self) -> None:
        target = self.deployment.add_target("t1", "desk", answer_plain)
        self.deployment.wait_ready()
        response = self.deployment.call("/get/a?b=c", Tenant="other", Hold="h", Kv_From="x")
        self.assertEqual((response.status, response.body), (200, b"t1"))
        self.assertEqual(response.headers["server-stamp"], "stamp-of-t1")
        call = target.received_calls[0]
        self.assertEqual(call.path, "/get/a?b=c")
        self.assertEqual(call.headers["tenant"], "asha")
        self.assertEqual(call.headers["expect-instance"], "t1")
        self.assertLessEqual(int(call.headers["deadline-ms"]), 2000)
        for name in ("x-api-key", "hold", "kv-from"):
            self.assertNotIn(name, call.headers)

    def test_unknown_keys_and_routes_are_refused_on_a_kept_connection(self) -> None:
        self.deployment.add_target("t1", "desk", answer_plain)
        self.deployment.wait_ready()
        connection = self.deployment.connect()
        self.addCleanup(connection.close)
        call = self.deployment.call_on
        self.assertEqual(call(connection, "/get/", X_Api_Key="wrong").status, 401)
        self.assertEqual(call(connection, "/none/").status, 404)
        self.assertEqual(call(connection, "/get/").status, 200)

    def test_idempotent_call_is_repeated_elsewhere(self) -> None:
        self.deployment.add_target("t1", "desk", break_connection)
        self.deployment.add_target("t2", "desk", answer_plain)
        self.deployment.wait_ready()
        for _ in range(6):
            self.assertEqual(self.deployment.call("/get/").body, b"t2")

    def test_non_idempotent_call_runs_once_and_is_not_reported_as_not_run(self) -> None:
        """Guards against a call that runs twice, and against reporting it as not run."""
        targets = [self.deployment.add_target(f"t{i}", "desk", break_connection) for i in range(3)]
        self.deployment.wait_ready()
        response = self.deployment.call("/pay/", "POST", b"{}")
        self.assertEqual(response.status, 502)
        self.assertEqual(sum(len(target.received_calls) for target in targets), 1)

    def test_kept_connection_that_breaks_does_not_repeat_a_payment(self) -> None:
        """Guards against an implicit resend when the target has closed a reused connection."""
        target = self.deployment.add_target("t1", "desk", answer_plain)
        self.deployment.wait_ready()
        self.assertEqual(self.deployment.call("/pay/", "POST", b"1").status, 200)
        target.behaviour = break_connection
        self.assertEqual(self.deployment.call("/pay/", "POST", b"2").status, 502)
        self.assertEqual([a.body for a in target.received_calls], [b"1", b"2"])

    def test_connections_that_targets_forget_are_not_used_again(self) -> None:
        """Guards against calls that are lost on connections which the target dropped while idle."""
        target = self.deployment.add_target("t1", "desk", answer_plain)
        self.deployment.wait_ready()
        last_used: dict[object, float] = {}

        def drop_if_idle(standin: TargetStandin, request, call: ReceivedCall) -> None:
            idle_s = time.monotonic() - last_used.get(request.connection, time.monotonic())
            if idle_s > 0.3:
                break_connection(standin, request, call)
            else:
                answer_plain(standin, request, call)
            last_used[request.connection] = time.monotonic()

        target.behaviour = drop_if_idle
        statuses = []
        for _ in range(6):
            statuses.append(self.deployment.call("/pay/", "POST", b"1").status)
            time.sleep(0.4)
        self.assertEqual(statuses.count(502), 2)
        self.assertEqual(statuses[-2:], [200, 200])

    def test_refused_payment_is_offered_to_another_target(self) -> None:
        self.deployment.add_target("t1", "desk", refuse)
        self.deployment.add_target("t2", "desk", answer_plain)
        self.deployment.wait_ready()
        self.assertEqual(self.deployment.call("/pay/", "POST", b"1").body, b"t2")

    def test_call_refused_by_all_targets_is_reported_as_not_run(self) -> None:
        self.deployment.add_target("t1", "desk", refuse)
        self.deployment.wait_ready()
        response = self.deployment.call("/pay/", "POST", b"1")
        self.assertEqual(response.status, 503)
        self.assertIn("retry-after", response.headers)

    def test_answers_without_proof_or_whole_body_are_not_delivered(self) -> None:
        target = self.deployment.add_target("t1", "desk", answer_without_stamp)
        self.deployment.wait_ready()
        for behaviour in (answer_without_stamp, truncate):
            target.behaviour = behaviour
            self.assertEqual(self.deployment.call("/pay/", "POST", b"1").status, 502)

    def test_answer_to_another_request_is_dropped(self) -> None:
        self.deployment.add_target("t1", "desk", answer_for_another)
        self.deployment.wait_ready()
        self.assertEqual(self.deployment.call("/get/").body, b"t1")

    def test_call_without_targets_is_refused_at_once(self) -> None:
        self.deployment.wait_ready()
        start = time.monotonic()
        self.assertEqual(self.deployment.call("/get/").status, 503)
        self.assertLess(time.monotonic() - start, 0.5)


class TimeoutTest(EntryCase):
    """Guards against calls that outlast their timeout."""

    def test_call_ends_at_the_timeout_of_its_route(self) -> None:
        def stay_silent(target: TargetStandin, request, call: ReceivedCall) -> None:
            time.sleep(5.0)

        self.deployment.add_target("t1", "desk", stay_silent)
        self.deployment.wait_ready()
        start = time.monotonic()
        response = self.deployment.call("/pay/", "POST", b"1", Deadline_Ms="9000")
        self.assertEqual(response.status, 504)
        self.assertAlmostEqual(time.monotonic() - start, 2.0, delta=0.4)
        start = time.monotonic()
        self.assertEqual(self.deployment.call("/pay/", "POST", b"1", Deadline_Ms="500").status, 504)
        self.assertAlmostEqual(time.monotonic() - start, 0.5, delta=0.3)

    def test_silent_target_is_left_for_another(self) -> None:
        def stay_silent(target: TargetStandin, request, call: ReceivedCall) -> None:
            time.sleep(3.0)

        self.deployment.add_target("t1", "desk", stay_silent)
        self.deployment.add_target("t2", "desk", answer_plain)
        self.deployment.wait_ready()
        for _ in range(4):
            self.assertEqual(self.deployment.call("/get/").body, b"t2")


class StreamTest(EntryCase):
    def test_stream_is_passed_on(self) -> None:
        target = self.deployment.add_target("t1", "lm", answer_stream)
        self.deployment.wait_ready()
        response = self.deployment.call("/plan/", "POST", b"p", **PROMPT_HEADERS)
        self.assertEqual(response.body.count(b"id: "), 3)
        headers = target.received_calls[0].headers
        self.assertEqual(headers["expect-version"], "1")
        self.assertEqual(headers["cache-salt"], "1")
        self.assertEqual(headers["prefix-hash"], "aa:500,bb:300,cc:200")

    def test_resumable_stream_goes_on_at_another_target(self) -> None:
        """Guards against lost or duplicated events, and a truncated event merged with the next."""
        targets = [self.deployment.add_target(f"t{i}", "lm", break_stream) for i in range(2)]
        self.deployment.wait_ready()

        def answer_second(target: TargetStandin, request, call: ReceivedCall) -> None:
            is_second = "last-event-id" in call.headers
            (answer_stream if is_second else break_stream)(target, request, call)

        for target in targets:
            target.behaviour = answer_second
        response = self.deployment.call("/plan/", "POST", b"p", **PROMPT_HEADERS)
        numbers = [line for line in response.body.split(b"\n") if line.startswith(b"id:")]
        self.assertEqual(numbers, [b"id: %d" % i for i in range(1, 6)])

    def test_stream_that_cannot_go_on_does_not_look_complete(self) -> None:
        self.deployment.add_target("t1", "lm", break_stream)
        self.deployment.wait_ready()
        with self.assertRaises(Exception) as raised:
            self.deployment.call("/quick/", "POST", b"p", **PROMPT_HEADERS)
        self.assertIn(type(raised.exception).__name__, ("IncompleteRead", "ConnectionResetError"))

    def test_caller_that_leaves_ends_the_run(self) -> None:
        """Guards against engines that keep generating for callers that have disconnected."""
        ended = threading.Event()

        def stream_until_closed(target: TargetStandin, request, call: ReceivedCall) -> None:
            target.begin_stream(request, call)
            try:
                for number in range(1, 1000):
                    target.send_event(request, number)
                    time.sleep(0.01)
            except OSError:
                ended.set()

        self.deployment.add_target("t1", "lm", stream_until_closed)
        self.deployment.wait_ready()
        caller = self.deployment.open_socket()
        caller.sendall(
            f"POST /quick/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r\r\nX-Api-Key: {KEY}\r\n"
            f"Model: {MODEL}\r\nToken-Usage: 10,9\r\nPrefix-Hash: a:10\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        self.assertTrue(caller.recv(1000))
        caller.close()
        self.assertTrue(ended.wait(1.0))


class ConfigurationTest(EntryCase):
    def test_newer_configuration_is_used_and_older_one_is_not(self) -> None:
        self.deployment.add_target("t1", "desk", answer_plain)
        self.deployment.wait_ready()
        self.assertEqual(self.deployment.call("/get/").status, 200)
        self.deployment.store.put("keyed.op", "config", create_configuration(3, routes=[]))
        wait_for(lambda: self.deployment.call("/get/").status == 404)
        self.deployment.store.put("keyed.op", "config", create_configuration(2))
        time.sleep(0.3)
        self.assertEqual(self.deployment.call("/get/").status, 404)

    def test_unreadable_records_change_nothing(self) -> None:
        self.deployment.add_target("t1", "desk", answer_plain)
        self.deployment.wait_ready()
        self.deployment.store.put_raw("keyed.op", "config", b"{torn")
        self.deployment.store.put("keyed.servers", "forged", {"service": "desk", "state": "up"})
        self.deployment.store.put_raw("keyed.servers", "torn", b"\xff\xfe")
        time.sleep(0.5)
        self.assertEqual(self.deployment.call("/get/").status, 200)

    def test_change_is_seen_after_history_was_lost(self) -> None:
        self.deployment.add_target("t1", "desk", answer_plain)
        self.deployment.wait_ready()
        self.deployment.store.is_unavailable = True
        time.sleep(0.5)
        self.deployment.store.put("keyed.op", "config", create_configuration(5, routes=[]))
        for topic in ("keyed.op", "keyed.servers"):
            self.deployment.store.put(topic, "other", {})
            self.deployment.store.compact(topic)
        self.assertEqual(self.deployment.call("/get/").status, 200)
        self.deployment.store.is_unavailable = False
        wait_for(lambda: self.deployment.call("/get/").status == 404)

    def test_lost_answer_of_a_waiting_read_does_not_hide_a_change(self) -> None:
        """Guards against a read that waits forever for a response that the store never sends."""
        self.deployment.add_target("t1", "desk", answer_plain)
        self.deployment.wait_ready()
        self.deployment.store.drops_long_poll_responses = True
        # Completes the pending read, so that the next one gets no response.
        self.deployment.store.put("keyed.op", "other", {})
        time.sleep(0.5)
        self.deployment.store.drops_long_poll_responses = False
        self.deployment.store.put("keyed.op", "config", create_configuration(3, routes=[]))
        wait_for(lambda: self.deployment.call("/get/").status == 404, timeout_s=3.0)

    def test_draining_target_gets_no_new_work(self) -> None:
        first = self.deployment.add_target("t1", "desk", answer_plain)
        self.deployment.wait_ready()
        entry = first.build_registry_entry("desk", state="draining")
        self.deployment.store.put("keyed.servers", "t1", entry)
        wait_for(lambda: self.deployment.call("/get/").status == 503, timeout_s=2.0)


class ListenerTest(EntryCase):
    """Guards against callers that block others, and against ambiguous requests."""

    def exchange(self, data: bytes) -> bytes:
        with self.deployment.open_socket() as caller:
            caller.sendall(data)
            caller.shutdown(socket.SHUT_WR) if not data else None
            received = b""
            while True:
                try:
                    chunk = caller.recv(4096)
                except ConnectionResetError:
                    return received
                if not chunk:
                    return received
                received += chunk

    def test_malformed_requests_get_400(self) -> None:
        self.deployment.wait_ready()
        head = b"POST /pay/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r\r\n"
        both = head + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        twice = head + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"
        for data in (b"nonsense\r\n\r\n", both, twice):
            self.assertTrue(self.exchange(data).startswith(b"HTTP/1.1 400"), data)

    def test_too_large_requests_get_413_and_431(self) -> None:
        self.deployment.wait_ready()
        head = b"POST /pay/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r\r\n"
        large_body = head + b"Content-Length: 70000\r\n\r\n"
        large_head = head + b"X: " + b"a" * 9000 + b"\r\n\r\n"
        self.assertTrue(self.exchange(large_body).startswith(b"HTTP/1.1 413"))
        self.assertTrue(self.exchange(large_head).startswith(b"HTTP/1.1 431"))

    def test_half_sent_requests_delay_nobody_and_end_with_408(self) -> None:
        self.deployment.add_target("t1", "desk", answer_plain)
        self.deployment.wait_ready()
        waiting = [self.deployment.open_socket() for _ in range(300)]
        for caller in waiting:
            self.addCleanup(caller.close)
            caller.sendall(b"GET /get/ HT")
        start = time.monotonic()
        self.assertEqual(self.deployment.call("/get/").status, 200)
        self.assertLess(time.monotonic() - start, 0.4)
        self.assertTrue(waiting[0].recv(100).startswith(b"HTTP/1.1 408"))

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        self.deployment.add_target("t1", "desk", answer_plain)
        self.deployment.wait_ready()
        requests = b"".join(
            b"GET /get/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r%d\r\nX-Api-Key: %s\r\n%s\r\n"
            % (i, KEY.encode(), b"Connection: close\r\n" if i == 2 else b"")
            for i in range(3)
        )
        received = self.exchange(requests)
        order = [received.find(b"Request-Id: r%d" % i) for i in range(3)]
        lower = [received.lower().find(b"request-id: r%d" % i) for i in range(3)]
        self.assertEqual(sorted(lower), lower, order)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 3)


class OrderTest(EntryCase):
    def test_targets_are_brought_to_the_named_version(self) -> None:
        targets = [self.deployment.add_target(f"t{i}", "lm", answer_stream) for i in range(3)]
        self.deployment.wait_ready()
        self.deployment.store.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 2})
        wait_for(lambda: all(target.version == 2 for target in targets))
        for target in targets:
            self.assertEqual(len(target.orders), 1)
            self.assertEqual(target.orders[0].body["expected"], 0)
            self.assertEqual(target.orders[0].body["holder"], "front-1")

    def test_no_order_is_given_while_another_instance_holds_the_lease(self) -> None:
        self.deployment.store.put_raw("keyed.order-lease", "lease", b"front-2")
        target = self.deployment.add_target("t1", "lm", answer_stream)
        self.deployment.wait_ready()
        self.deployment.store.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 2})
        time.sleep(2.0)
        self.assertEqual(target.orders, [])


class GroupTest(EntryCase):
    def test_more_instances_than_partitions_of_a_topic_are_known(self) -> None:
        """Guards against limits that are divided among too few instances.

        A group member is listed only if it owns a partition. With one topic of 24 partitions, only
        25 of 84 instances knew each other.
        """
        store = self.deployment.store.address
        host, port = store.split(":")
        for number in range(60):
            connection = http.client.HTTPConnection(host, int(port))
            member = f"front-x{number}|z2|127.0.0.1:{1 + number}"
            body = {"group": "entry-instances", "member": member, "topics": INSTANCE_TOPICS}
            connection.request("POST", "/-/log-join", json.dumps(body))
            self.assertEqual(connection.getresponse().status, 200)
            connection.close()
        wait_for(lambda: len(self.deployment.program.state.instances) == 61)


class ShutdownTest(EntryCase):
    def test_running_calls_end_and_readiness_fails_first(self) -> None:
        """Guards against calls that are cut off by a graceful stop."""

        def answer_slowly(target: TargetStandin, request, call: ReceivedCall) -> None:
            time.sleep(1.0)
            answer_plain(target, request, call)

        self.deployment.add_target("t1", "desk", answer_slowly)
        self.deployment.wait_ready()
        statuses: list[int] = []
        caller = threading.Thread(
            target=lambda: statuses.append(self.deployment.call("/get/").status)
        )
        caller.start()
        time.sleep(0.2)
        closer = threading.Thread(target=self.deployment.program.close)
        closer.start()
        wait_for(lambda: self.deployment.get_readiness_status() == 503, timeout_s=1.0)
        self.assertEqual(self.deployment.call("/get/").status, 200)
        caller.join()
        closer.join()
        self.assertEqual(statuses, [200])


class ConnectionLimitTest(EntryCase):
    def test_calls_beyond_the_share_of_connections_go_elsewhere_or_are_refused(self) -> None:
        """Guards against resets by a target whose connection limit the instances jointly exceed."""

        def answer_slowly(target: TargetStandin, request, call: ReceivedCall) -> None:
            time.sleep(0.5)
            answer_plain(target, request, call)

        services = [{"name": "desk", "max_conns": 1}]
        configuration = create_configuration(2, services=services)
        self.deployment.store.put("keyed.op", "config", configuration)
        for name in ("t1", "t2"):
            self.deployment.add_target(name, "desk", answer_slowly)
        self.deployment.wait_ready()
        wait_for(lambda: self.read_version() == 2)
        statuses: list[int] = []
        callers = [
            threading.Thread(
                target=lambda: statuses.append(self.deployment.call("/pay/", "POST", b"1").status)
            )
            for _ in range(3)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.assertEqual(sorted(statuses), [200, 200, 503])

    def read_version(self) -> int:
        table = self.deployment.program.state.route_table
        return table.version if table is not None else 0


class QuarantineRecordTest(EntryCase):
    """Calls that are refused because targets end under them, as the store's records say."""

    def put_entry(self, trait: str, *, seconds: float) -> None:
        expires_ms = int((time.time() + seconds) * 1000)
        entry = QuarantineEntry(fingerprint=trait, crashes=4, expires_unix_ms=expires_ms)
        self.deployment.store.put_raw(QUARANTINE_TOPIC, trait, entry.SerializeToString())

    def call_with_parts(self, parts: str) -> CallerResponse:
        headers = {**PROMPT_HEADERS, "Prefix_Hash": parts}
        return self.deployment.call("/quick/", "POST", b"p", **headers)

    def test_calls_are_refused_until_the_record_is_deleted(self) -> None:
        target = self.deployment.add_target("t1", "lm", answer_stream)
        self.deployment.wait_ready()
        self.deployment.store.put_raw(QUARANTINE_TOPIC, "part:ff", b"\xff unreadable")
        self.put_entry("part:bb", seconds=100)
        wait_for(lambda: self.call_with_parts("aa:5,bb:5,c1:5").status == 503)
        target.received_calls.clear()
        response = self.call_with_parts("aa:5,BB:5,c2:5")
        self.assertEqual((response.status, target.received_calls), (503, []))
        self.assertGreater(float(response.headers["retry-after"]), 90)
        # The last part belongs to the call itself.
        for parts in ("aa:5,c3:5", "aa:5,bb:5"):
            self.assertEqual(self.call_with_parts(parts).status, 200)
        self.deployment.store.put_raw(QUARANTINE_TOPIC, "part:bb", None)
        wait_for(lambda: self.call_with_parts("aa:5,bb:5,c4:5").status == 200)

    def test_expired_record_refuses_nothing(self) -> None:
        self.deployment.add_target("t1", "lm", answer_stream)
        self.put_entry("part:bb", seconds=-1)
        self.deployment.wait_ready()
        self.assertEqual(self.call_with_parts("aa:5,bb:5,c1:5").status, 200)


class CloseDelimitedTest(EntryCase):
    """Responses with neither a length nor chunks, which end with their connection."""

    def add_target(self, name: str, service: str, body: bytes, *, resets: bool = False) -> None:
        def answer(target: TargetStandin, request, call: ReceivedCall) -> None:
            answer_until_close(target, request, call, body, resets=resets)

        self.deployment.add_target(name, service, answer)

    def test_plain_answer_is_whole_and_the_caller_keeps_its_connection(self) -> None:
        self.add_target("t1", "desk", b"whole")
        self.deployment.wait_ready()
        connection = self.deployment.connect()
        self.addCleanup(connection.close)
        for _ in range(2):
            response = self.deployment.call_on(connection, "/pay/", "POST", b"p")
            self.assertEqual((response.status, response.body), (200, b"whole"))

    def test_plain_answer_that_is_reset_is_not_passed_on(self) -> None:
        self.add_target("t1", "desk", b"half", resets=True)
        self.deployment.wait_ready()
        self.assertEqual(self.deployment.call("/pay/", "POST", b"p").status, 502)

    def test_stream_is_passed_on(self) -> None:
        events = b"".join(b"id: %d\ndata: t1\n\n" % number for number in range(1, 4))
        self.add_target("t1", "lm", events)
        self.deployment.wait_ready()
        response = self.deployment.call("/quick/", "POST", b"p", **PROMPT_HEADERS)
        self.assertEqual((response.status, response.body), (200, events))

    def test_stream_that_ends_inside_an_event_does_not_look_complete(self) -> None:
        self.add_target("t1", "lm", b"id: 1\ndata: t1\n\nid: 2\nda")
        self.deployment.wait_ready()
        self.check_incomplete()

    def test_stream_that_is_reset_does_not_look_complete(self) -> None:
        self.add_target("t1", "lm", b"id: 1\ndata: t1\n\n", resets=True)
        self.deployment.wait_ready()
        self.check_incomplete()

    def test_stream_that_ends_before_its_first_event_is_not_complete(self) -> None:
        self.add_target("t1", "lm", b"")
        self.deployment.wait_ready()
        response = self.deployment.call("/quick/", "POST", b"p", **PROMPT_HEADERS)
        self.assertEqual(response.status, 502)

    def test_resumable_stream_that_ends_inside_an_event_goes_on_elsewhere(self) -> None:
        """Guards against a lost event, a repeated one and one joined from two runs."""

        def answer(target: TargetStandin, request, call: ReceivedCall) -> None:
            if "last-event-id" in call.headers:
                answer_stream(target, request, call)
            else:
                body = b"id: 1\ndata: t1\n\nid: 2\nda"
                answer_until_close(target, request, call, body)

        for name in ("t1", "t2"):
            self.deployment.add_target(name, "lm", answer)
        self.deployment.wait_ready()
        response = self.deployment.call("/plan/", "POST", b"p", **PROMPT_HEADERS)
        numbers = [line for line in response.body.split(b"\n") if line.startswith(b"id:")]
        self.assertEqual(numbers, [b"id: %d" % number for number in range(1, 5)])

    def check_incomplete(self) -> None:
        with self.assertRaises(Exception) as raised:
            self.deployment.call("/quick/", "POST", b"p", **PROMPT_HEADERS)
        self.assertIn(type(raised.exception).__name__, ("IncompleteRead", "ConnectionResetError"))


class MetricsTest(EntryCase):
    def test_calls_and_latencies_are_counted(self) -> None:
        self.deployment.add_target("t1", "desk", answer_plain)
        self.deployment.wait_ready()
        self.deployment.call("/get/")
        self.deployment.call("/none/")
        text = self.deployment.read_metrics()
        self.assertIn('calls_total{kind="idempotent",result="answered"} 1', text)
        self.assertIn('refusals_total{reason="no route"} 1', text)
        self.assertIn('call_ms_count{kind="idempotent"} 1', text)
        self.assertIn("mulberryrill_entry_targets 1", text)
        self.assertRegex(text, r"mulberryrill_entry_configuration_age_seconds [0-9.e-]+\n")

    def test_errors_of_predicted_durations_are_shown(self) -> None:
        """Guards against attempts that the learned durations are not told of."""
        self.deployment.add_target("t1", "desk", answer_plain)
        self.deployment.add_target("t2", "lm", answer_stream)
        self.deployment.wait_ready()
        for _ in range(MIN_SAMPLES):
            self.deployment.call("/get/")
            self.deployment.call("/plan/", "POST", b"p", **PROMPT_HEADERS)
        self.assertNotIn("prediction_error", self.deployment.read_metrics())
        self.deployment.call("/get/")
        self.deployment.call("/plan/", "POST", b"p", **PROMPT_HEADERS)
        text = self.deployment.read_metrics()
        for kind in CostKind:
            self.assertRegex(text, rf"mulberryrill_entry_{kind.value}_prediction_error [0-9.e-]+\n")

    def test_refusal_names_request_and_age_of_the_configuration(self) -> None:
        """Without them nobody can tell which configuration refused a request, and why."""
        self.deployment.wait_ready()
        with self.assertLogs(level="INFO") as logs:
            self.deployment.call("/none/", Request_Id="r-7")
        lines = [vars(record) for record in logs.records]
        refused = [line for line in lines if line["event"] == Event.ENTRY_CALL_REFUSED]
        self.assertEqual([line["request"] for line in refused], ["r-7"])
        self.assertLess(refused[0]["configuration_checked_s"], 5.0)
