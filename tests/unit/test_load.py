"""A load run is reproducible, and its results count only requests after the warm-up."""

import threading
import unittest

from werkzeug.wrappers import Request, Response

from mulberryrill.errors import LoadError
from mulberryrill.internal.http.server import HttpServer
from mulberryrill.internal.load.client import RequestResult
from mulberryrill.internal.load.plan import plan_requests
from mulberryrill.internal.load.report import summarize
from mulberryrill.internal.load.run import run_load
from mulberryrill.internal.schema.load_pb2 import (
    ClassTokens,
    LoadClass,
    LoadDeployment,
    LoadSettings,
    Workload,
)
from mulberryrill.internal.schema.settings_pb2 import Listen

SEED = 7
TOKENS = [ClassTokens(class_name="notes", tokens=["t0", "t1"])]
STREAM = (
    b'data: {"choices":[{"text":"a"}]}\n\ndata: {"choices":[{"text":"b"}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":10,"completion_tokens":2,'
    b'"prompt_tokens_details":{"cached_tokens":4}}}\n\n'
)


def create_workload(duration_s: float = 2.0) -> Workload:
    load_class = LoadClass(
        name="notes",
        model="m",
        weights=[3, 1],
        requests_per_second=50,
        prompts=5,
        prompt_bytes=100,
        suffix_bytes=10,
        max_tokens=2,
        first_token_bound_s=30,
    )
    return Workload(classes=[load_class], duration_s=duration_s, warmup_s=0.5, timeout_s=10)


class PlanTest(unittest.TestCase):
    def test_same_seed_gives_same_arrivals_and_other_seed_does_not(self) -> None:
        workload = create_workload()
        self.assertEqual(plan_requests(workload, SEED), plan_requests(workload, SEED))
        self.assertNotEqual(plan_requests(workload, SEED), plan_requests(workload, SEED + 1))

    def test_prompts_return_to_the_same_customer(self) -> None:
        requests = plan_requests(create_workload(20.0), SEED)
        owners: dict[str, set[int]] = {}
        for request in requests:
            owners.setdefault(request.prompt[:100], set()).add(request.customer)
        self.assertEqual(len(owners), 5)
        self.assertTrue(all(len(customers) == 1 for customers in owners.values()))
        self.assertAlmostEqual(len(requests) / 20.0, 50, delta=8)


class RunTest(unittest.TestCase):
    """Guards against counting a truncated stream as complete."""

    def run_against(self, stream: bytes) -> str:
        self.seen = threading.Semaphore(0)

        def serve(request: Request) -> Response:
            self.seen.release()
            return Response(stream, content_type="text/event-stream")

        server = HttpServer(Listen(host="127.0.0.1", port=0), serve)
        server.start()
        self.addCleanup(server.close)
        url = f"http://127.0.0.1:{server.port}"
        deployment = LoadDeployment(name="only", urls=[url], tokens=TOKENS)
        settings = LoadSettings(deployments=[deployment], workload=create_workload(), seed=SEED)
        return run_load(settings)

    def read_counts(self, table: str) -> list[int]:
        return [int(field) for field in table.splitlines()[1].split()[2:6]]

    def test_complete_streams_are_counted(self) -> None:
        table = self.run_against(STREAM + b"data: [DONE]\n\n")
        sent, finished, rejected, failed = self.read_counts(table)
        self.assertGreater(sent, 0)
        self.assertEqual((finished, rejected, failed), (sent, 0, 0))
        self.assertIn("0.600", table)

    def test_stream_without_end_is_a_failure(self) -> None:
        sent, finished, _, failed = self.read_counts(self.run_against(STREAM))
        self.assertEqual((finished, failed), (0, sent))

    def test_run_without_urls_is_refused(self) -> None:
        with self.assertRaises(LoadError):
            run_load(LoadSettings(deployments=[LoadDeployment(name="empty")]))


class SummaryTest(unittest.TestCase):
    def test_warmup_and_late_answers_are_left_out_of_goodput(self) -> None:
        planned = plan_requests(create_workload(), SEED)
        results = [
            RequestResult(p, status=200, first_token_s=40.0 if i % 2 else 0.1, finished=True)
            for i, p in enumerate(planned)
        ]
        summary = summarize("d", "notes", results, 1.5)
        measured = [r for r in results if r.planned.measured]
        good = sum(1 for r in measured if r.first_token_s == 0.1)
        self.assertEqual(summary.requests, len(measured))
        self.assertLess(summary.requests, len(results))
        self.assertAlmostEqual(summary.goodput_per_s, good / 1.5, places=1)
