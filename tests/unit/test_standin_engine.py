"""The engine stand-in has deterministic output and injects the faults of real engines."""

import json
import time
import unittest
from collections.abc import Callable

from mulberryrill.errors import HttpError
from mulberryrill.internal.httpclient import HttpClient, HttpResponse
from mulberryrill.internal.schema.settings_pb2 import EngineSettings, Listen, StoreSettings
from mulberryrill.internal.standins.engine import EngineStandin
from mulberryrill.internal.standins.enginemodel import EngineSimulation, Run, SubmitResult
from mulberryrill.internal.standins.pseudotext import digest_text, generate_tokens
from mulberryrill.internal.standins.store import StoreStandin


def create_settings(**fields: object) -> EngineSettings:
    defaults: dict = {
        "id": "engine-1",
        "listen": Listen(host="127.0.0.1"),
        "models": ["flavour-7b@3"],
        "max_concurrency": 4,
        "cache_blocks": 8,
        "decode_ms_per_token": 1,
    }
    return EngineSettings(**{**defaults, **fields})


def create_run(prompt: str = "hello", **fields: object) -> Run:
    defaults: dict = {
        "request": "req-1",
        "attempt": "att-1",
        "customer": "kariakoo",
        "model": "flavour-7b",
        "version": "3",
        "path": "/v1/completions",
        "max_tokens": 4,
    }
    return Run(prompt=prompt, **{**defaults, **fields})


class EngineSimulationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.events: list[tuple[str, dict[str, object]]] = []
        self.crashed: list[Run] = []

    def create_simulation(self, **fields: object) -> EngineSimulation:
        return EngineSimulation(
            create_settings(**fields),
            lambda event, details: self.events.append((event, details)),
            self.crashed.extend,
            now=0.0,
        )

    def test_one_request_too_many_while_cold_crashes_the_engine(self) -> None:
        simulation = self.create_simulation(cold_concurrency=1, cold_ms=1000)
        first = create_run()
        incarnation = simulation.incarnation
        self.assertIs(simulation.submit(first, 0.0), SubmitResult.ACCEPTED)
        self.assertIs(simulation.submit(create_run(), 0.1), SubmitResult.CRASHED)
        self.assertEqual(self.crashed, [first])
        self.assertNotEqual(simulation.incarnation, incarnation)
        self.assertEqual([event for event, _ in self.events], ["execution", "overload"])
        self.assertIs(simulation.submit(create_run(), 0.2), SubmitResult.DOWN)

    def test_warm_engine_queues_beyond_its_concurrency_by_priority(self) -> None:
        simulation = self.create_simulation(cold_concurrency=1, cold_ms=1000, max_concurrency=1)
        runs = [create_run(priority=priority) for priority in (0, 2, 1)]
        for run in runs:
            self.assertIs(simulation.submit(run, 2.0), SubmitResult.ACCEPTED)
        self.assertEqual((simulation.running, simulation.waiting), (1, 2))
        finished = [
            emission.run
            for at in (3, 4, 5)
            for emission in simulation.advance(at)
            if emission.finished
        ]
        self.assertEqual(finished, [runs[0], runs[2], runs[1]])

    def test_second_run_of_a_prompt_finds_its_blocks_cached_per_customer(self) -> None:
        simulation = self.create_simulation()
        prompt = "x" * 8192 * 2
        for customer, cached in (("kariakoo", 0), ("kariakoo", 4096), ("msasani", 0)):
            run = create_run(prompt, customer=customer)
            simulation.submit(run, 0.0)
            self.assertEqual(run.cached_tokens, cached)

    def test_checked_fence_refuses_an_older_order(self) -> None:
        simulation = self.create_simulation(checks_fence=True)
        self.assertTrue(simulation.load("flavour-7b", "4", 10, 0.0))
        self.assertFalse(simulation.load("flavour-7b", "3", 9, 0.1))
        self.assertEqual(simulation.get_loaded_version("flavour-7b", 0.5), "3")
        self.assertEqual(simulation.get_loaded_version("flavour-7b", 1.0), "4")


class EngineStandinTest(unittest.TestCase):
    def setUp(self) -> None:
        self.engine = EngineStandin(create_settings())
        self.engine.start()
        self.addCleanup(self.engine.close)
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        self.url = f"http://127.0.0.1:{self.engine.port}"

    def post(self, path: str, body: dict, **headers: str) -> HttpResponse:
        all_headers = {"X-Request-Id": "req-1", "X-Attempt-Id": "att-1", "X-Customer": "kariakoo"}
        all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        return self.client.send("POST", self.url + path, json.dumps(body).encode(), all_headers)

    def stream(self, **fields: object) -> tuple[str, list]:
        body = {"model": "flavour-7b", "prompt": "hi", "max_tokens": 12, "stream": True, **fields}
        response = self.post("/v1/completions", body)
        events = [part.removeprefix("data: ") for part in response.body.decode().split("\n\n")[:-1]]
        parsed = [json.loads(event) for event in events[:-1]]
        self.assertEqual(events[-1], "[DONE]")
        return "".join(event["choices"][0]["text"] for event in parsed[:-1]), parsed

    def test_stream_has_one_token_an_event_then_usage(self) -> None:
        text, events = self.stream()
        expected = "".join(generate_tokens("flavour-7b", "3", digest_text("hi"), 12))
        self.assertEqual(text, expected)
        self.assertEqual((len(events), events[-1]["usage"]["completion_tokens"]), (13, 12))
        self.assertEqual(events[-2]["choices"][0]["finish_reason"], "length")
        self.assertEqual(events[0]["id"], "req-1")

    def test_resumed_stream_continues_exactly(self) -> None:
        text, _ = self.stream()
        beginning = "".join(generate_tokens("flavour-7b", "3", digest_text("hi"), 5))
        engine = {"continue_text": beginning, "continue_tokens": 5}
        self.assertEqual(beginning + self.stream(engine=engine)[0], text)

    def test_chat_answer_echoes_its_headers(self) -> None:
        messages = [{"role": "user", "content": "hi"}]
        body = {"model": "flavour-7b", "messages": messages, "max_tokens": 3}
        response = self.post("/v1/chat/completions", body)
        parsed = response.parse_json()
        assert isinstance(parsed, dict)
        expected = "".join(generate_tokens("flavour-7b", "3", digest_text("user: hi"), 3))
        self.assertEqual(parsed["choices"][0]["message"]["content"], expected)
        echoed = [response.headers[f"x-{name}"] for name in ("attempt-id", "customer")]
        self.assertEqual([*echoed, response.headers["x-model-version"]], ["att-1", "kariakoo", "3"])

    def test_other_version_is_refused(self) -> None:
        body = {"model": "flavour-7b", "prompt": "hi"}
        self.assertEqual(self.post("/v1/completions", body, X_Model_Version="2").status, 409)

    def test_faults(self) -> None:
        body = {"model": "flavour-7b", "prompt": "hi", "max_tokens": 6, "stream": True}

        def check(fault: dict, expectation: Callable[[], None]) -> None:
            with self.subTest(fault=fault):
                self.assertEqual(self.post("/v1/faults", fault).status, 200)
                expectation()

        def expect_broken() -> None:
            with self.assertRaises(HttpError):
                self.post("/v1/completions", body)

        def expect_rejected() -> None:
            response = self.post("/v1/completions", body)
            self.assertEqual((response.status, b'"executed": "no"' in response.body), (503, True))

        def expect_wrong_attempt() -> None:
            response = self.post("/v1/completions", body)
            self.assertNotEqual(response.headers["x-attempt-id"], "att-1")

        def expect_stall() -> None:
            with self.assertRaises(HttpError):
                self.client.send(
                    "POST", f"{self.url}/v1/completions", json.dumps(body).encode(), timeout_s=0.5
                )
            self.assertEqual(self.stream()[1][-1]["usage"]["completion_tokens"], 12)

        check({"cut_after_tokens": 2}, expect_broken)
        check({"stall_after_tokens": 2}, expect_stall)
        check({"reject": 1}, expect_rejected)
        check({"wrong_attempt": 1}, expect_wrong_attempt)
        before = self.client.send("GET", f"{self.url}/v1/state").parse_json()
        check({"poison": "hi"}, expect_broken)
        time.sleep(0.6)
        after = self.client.send("GET", f"{self.url}/v1/state").parse_json()
        assert isinstance(before, dict) and isinstance(after, dict)
        self.assertNotEqual(before["incarnation"], after["incarnation"])

    def test_closed_connection_cancels_the_run(self) -> None:
        body = {"model": "flavour-7b", "prompt": "hi", "max_tokens": 100_000, "stream": True}
        with self.assertRaises(HttpError):
            self.client.send(
                "POST", f"{self.url}/v1/completions", json.dumps(body).encode(), timeout_s=0.3
            )
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            state = self.client.send("GET", f"{self.url}/v1/state").parse_json()
            assert isinstance(state, dict)
            if state["running"] == 0:
                return
            time.sleep(0.05)
        self.fail("the run continues after its client closed the connection")

    def test_exported_blocks_are_imported_only_for_the_same_prefix(self) -> None:
        store = StoreStandin(StoreSettings(id="store-1", listen=Listen(host="127.0.0.1")))
        store.start()
        self.addCleanup(store.close)
        url = f"http://127.0.0.1:{store.port}"
        prompt = "y" * 8192
        self.stream(prompt=prompt, engine={"kv_export": {"store": url, "keys": ["k1"]}})
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            response = self.client.send("GET", f"{url}/v1/blocks/k1")
            if response.status == 200:
                break
            time.sleep(0.05)
        block = response.parse_json()
        other = EngineStandin(create_settings())
        other.start()
        self.addCleanup(other.close)
        self.url = f"http://127.0.0.1:{other.port}"
        kv_import = {"kv_import": {"store": url, "blocks": [block]}}
        for requested, cached in (("z" * 8192, 0), (prompt, 2048)):
            _, events = self.stream(prompt=requested, engine=kv_import)
            usage = events[-1]["usage"]["prompt_tokens_details"]
            self.assertEqual(usage["cached_tokens"], cached)
