"""Runs the processes of a site for process tests: stand-ins, control processes and gateways.

Each process is started here and stopped through its own handle. The operating system chooses the
ports.
"""

import hashlib
import json
import signal
import subprocess
import sys
import tempfile
import threading
import time
import uuid
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from urllib.parse import urlsplit

from mulberryrill.errors import HttpError
from mulberryrill.internal.history.writer import HistoryWriter
from mulberryrill.internal.httpclient import HttpClient, HttpResponse
from mulberryrill.internal.schema.settings_pb2 import (
    ControlSettings,
    EngineSettings,
    GatewaySettings,
    PlainServiceSettings,
    PlatformSettings,
    StoreSettings,
)
from mulberryrill.internal.standins.pseudotext import digest_text, render_prompt
from mulberryrill.internal.standins.site import (
    InstancePlan,
    ProcessPlan,
    SiteDataCentre,
    SiteDescription,
    SitePlan,
    SiteWriter,
)

from .links import Link, LinkState

READY_TIMEOUT_S = 40.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
EXAMPLES = Path(__file__).resolve().parents[2] / "examples" / "pipi-tamu"
DOCUMENTS = ["flavour-questions.yaml", "stock.yaml"]


def create_site(
    data_centres: int = 2, instances: int = 1, engines: int = 1, services: int = 1, **fields: object
) -> SiteDescription:
    """Returns a small site with short timeouts; ``fields`` replace fields of the description."""
    names = ["kariakoo", "msasani", "temeke"][:data_centres]
    defaults: dict = {
        "name": "test",
        "data_centres": [
            SiteDataCentre(name, instances, engines, services, stores=0) for name in names
        ],
        "operators": ["asha", "juma"],
        "documents": DOCUMENTS,
        "platform": PlatformSettings(
            retention_ms=3_600_000, list_lag_ms=300, member_ttl_ms=3000, append_ms=1
        ),
        "engine": EngineSettings(
            pool="language",
            models=["flavour-7b@3"],
            max_concurrency=16,
            cold_concurrency=2,
            cold_ms=500,
            prefill_tokens_per_second=50_000,
            decode_ms_per_token=5,
            cache_blocks=64,
        ),
        "service": PlainServiceSettings(pool="vendor", max_concurrency=16, service_ms=10),
        "store": StoreSettings(),
        "gateway": GatewaySettings(
            worker_threads=16,
            max_body_bytes=4 * 1024 * 1024,
            relay_buffer_bytes=256 * 1024,
            stream_progress_timeout_ms=3000,
            connect_timeout_ms=1000,
            balancer_lag_ms=200,
            routing_policy="full",
            seed=1,
        ),
        "control": ControlSettings(
            max_instances=4,
            list_lag_ms=300,
            retention_ms=3_600_000,
            key_window_ms=1_800_000,
            claim_streams=1,
            seed=1,
        ),
    }
    return SiteDescription(**{**defaults, **fields})


def wait_until(condition: Callable[[], bool], timeout_s: float, description: str) -> None:
    """Polls until the condition holds; raises AssertionError with the description on a timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out after {timeout_s} s: {description}")
        time.sleep(POLL_INTERVAL_S)


class Deployment:
    """The processes of a site whose files are in a temporary folder.

    ``links`` are (source, destination) pairs whose connections pass through a ``Link``, so that
    tests can cut or pause them. Sources are instances or targets; destinations are instances or
    "platform".
    """

    def __init__(
        self, site: SiteDescription, links: Iterable[tuple[str, str]] = (), folder: Path = EXAMPLES
    ) -> None:
        self._temporary_folder = tempfile.TemporaryDirectory(prefix="mulberryrill-test-")
        self.folder = Path(self._temporary_folder.name)
        self._link_pairs = set(links)
        self._links: dict[tuple[str, str], Link] = {}
        self._processes: dict[str, subprocess.Popen] = {}
        self._writer = SiteWriter(site, folder, self.folder, self._rewrite_address, history=True)
        self.plan: SitePlan = self._writer.write()
        self.caller_history = HistoryWriter(
            str(self.folder / "history" / "callers.jsonl"), "callers"
        )
        self._thread_local = threading.local()

    def _rewrite_address(self, source: str, destination: str, address: str) -> str:
        if (source, destination) not in self._link_pairs:
            return address
        parts = urlsplit(address)
        link = Link(str(parts.hostname), int(parts.port or 0))
        self._links[source, destination] = link
        return f"{parts.scheme}://127.0.0.1:{link.port}"

    def start(self) -> None:
        """Starts all processes and waits until they are ready."""
        for process in self.plan.processes:
            self.start_process(process.name)
        self.wait_ready(process.name for process in self.plan.processes)

    def close(self) -> None:
        """Kills all processes, closes the links and deletes the folder."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        for link in self._links.values():
            link.close()
        self.caller_history.close()
        self._writer.close()
        self._temporary_folder.cleanup()

    def find_process(self, name: str) -> ProcessPlan:
        """Returns the plan of a process such as "kariakoo-1-gateway"."""
        return next(process for process in self.plan.processes if process.name == name)

    def find_instance(self, name: str) -> InstancePlan:
        """Returns the addresses of an instance such as "kariakoo-1"."""
        return next(instance for instance in self.plan.instances if instance.name == name)

    def start_process(self, name: str) -> None:
        """Starts one process; its log is appended to a file in the folder."""
        plan = self.find_process(name)
        # Histories name a process "instance/control", the plan "instance-control".
        instance, _, part = name.rpartition("-")
        self.caller_history.write("process_started", name=f"{instance}/{part}")
        with open(self.folder / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", plan.module, "--settings", plan.settings],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def wait_ready(self, names: Iterable[str], timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until the processes are ready.

        Raises AssertionError with the end of the log of the first process that has exited or is not
        ready in time.
        """
        deadline = time.monotonic() + timeout_s
        for name in names:
            while not self.is_ready(name):
                if self._processes[name].poll() is not None or time.monotonic() > deadline:
                    raise AssertionError(f"{name} is not ready:\n{self.read_log(name)[-3000:]}")
                time.sleep(POLL_INTERVAL_S)

    def is_ready(self, name: str) -> bool:
        """Returns whether a process is ready; one without a readiness URL only has to respond."""
        plan = self.find_process(name)
        try:
            response = self.send("GET", plan.ready_url or f"{plan.url}/v1/state", timeout_s=2)
        except HttpError:
            return False
        return response.status == 200 or not plan.ready_url

    def read_log(self, name: str) -> str:
        """Returns a process's log."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    def kill(self, name: str) -> None:
        """Kills a process and waits until it has exited."""
        self._processes[name].kill()
        self._processes[name].wait()

    def terminate(self, name: str) -> int:
        """Terminates a process gracefully and returns its exit code."""
        self._processes[name].terminate()
        return self._processes[name].wait(STOP_TIMEOUT_S)

    def pause(self, name: str) -> None:
        """Suspends a process until ``resume``."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a suspended process."""
        self._processes[name].send_signal(signal.SIGCONT)

    def restart(self, name: str) -> None:
        """Kills a process, starts it again and waits until it is ready."""
        self.kill(name)
        self.start_process(name)
        self.wait_ready([name])

    def set_link(self, source: str, destination: str, state: LinkState) -> None:
        """Pauses, cuts or opens one of the links."""
        self._links[source, destination].set_state(state)

    def set_faults(self, name: str, **faults: object) -> None:
        """Sets faults of a stand-in."""
        url = f"{self.find_process(name).url}/v1/faults"
        response = self.send("POST", url, json.dumps(faults).encode())
        if response.status != 200:
            raise AssertionError(
                f"cannot set faults of {name}: {response.status} {response.body!r}"
            )

    def send(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 20.0,
    ) -> HttpResponse:
        """Sends one request; may be used on any thread. Raises HttpError."""
        client = getattr(self._thread_local, "client", None)
        if client is None:
            client = self._thread_local.client = HttpClient()
        return client.send(method, url, body, headers, timeout_s)

    def call_operator_api(
        self, instance: str, method: str, path: str, body: bytes = b"", operator: str = "asha"
    ) -> HttpResponse:
        """Calls the operator API of an instance."""
        headers = {"Authorization": f"Bearer {self.plan.operator_tokens[operator]}"}
        url = f"{self.find_instance(instance).operators_url}{path}"
        return self.send(method, url, body, headers, timeout_s=30.0)

    def apply_documents(self) -> dict[str, int]:
        """Applies all documents and waits until they are in force; returns their revisions."""
        instance = self.plan.instances[0].name
        revisions = {}
        for path in self.plan.documents:
            text = Path(path).read_bytes()
            service = Path(path).stem
            revisions[service] = self.apply_document(instance, service, text, base_revision=0)
            self.wait_in_force(instance, service, revisions[service])
        return revisions

    def wait_serving(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until every instance serves calls with targets of its own data centre.

        Readiness only means that the log has been read; an instance without a member list still
        forwards its calls.
        """
        for instance in self.plan.instances:
            name, prefix = instance.name, f"{instance.data_centre}-"

            def serves(name: str = name, prefix: str = prefix) -> bool:
                response = self.call(name, "stock", "/lookup", b"serving?")
                if response is None or response.status != 200:
                    return False
                body = response.parse_json()
                return isinstance(body, dict) and str(body["service"]).startswith(prefix)

            wait_until(serves, timeout_s, f"{name} serves with targets of its data centre")

    def apply_document(self, instance: str, service: str, text: bytes, base_revision: int) -> int:
        """Applies a document and returns its revision."""
        path = f"/v1/documents/{service}?base_revision={base_revision}&reason=test"
        response = self.call_operator_api(instance, "PUT", path, text, operator=read_owner(text))
        body = response.parse_json()
        if response.status // 100 != 2 or not isinstance(body, dict):
            raise AssertionError(f"{service} not applied: {response.status} {response.body!r}")
        return int(body["revision"])

    def wait_in_force(
        self, instance: str, service: str, revision: int, timeout_s: float = 20.0
    ) -> None:
        """Waits until a revision is in force at every instance that is known to be live."""
        path = f"/v1/in-force?service={service}&revision={revision}"

        def is_in_force() -> bool:
            body = self.call_operator_api(instance, "GET", path).parse_json()
            return isinstance(body, dict) and bool(body.get("in_force"))

        wait_until(is_in_force, timeout_s, f"{service} {revision} in force")

    def call(
        self,
        instance: str,
        service: str,
        path: str,
        body: bytes,
        customer: str = "kariakoo-market",
        key: str = "",
        timeout_s: float = 20.0,
    ) -> HttpResponse | None:
        """Sends a plain call as a customer; returns None without a complete response."""
        headers = {"Authorization": f"Bearer {self.plan.customer_tokens[service][customer]}"}
        if key:
            headers["Idempotency-Key"] = key
        url = f"{self.find_instance(instance).gateway_url}/v1/services/{service}{path}"
        call_id = uuid.uuid4().hex
        fields: dict[str, object] = {
            "call": call_id,
            "customer": customer,
            "service": service,
            "key": key,
            "body_sha256": hashlib.sha256(body).hexdigest(),
        }
        self.caller_history.write("caller_call", **fields)
        try:
            response = self.send("POST", url, body, headers, timeout_s)
        except HttpError:
            self.caller_history.write("caller_answer", **fields, status=0, executed="unknown")
            return None
        self.caller_history.write(
            "caller_answer",
            **fields,
            request=response.headers.get("x-request-id", ""),
            status=response.status,
            executed=read_executed(response),
            replayed=response.headers.get("idempotent-replayed", "") == "true",
        )
        return response

    def complete(
        self,
        instance: str,
        prompt: str,
        max_tokens: int = 20,
        stream: bool = True,
        customer: str = "kariakoo-market",
        timeout_s: float = 30.0,
    ) -> str | None:
        """Sends a completion request; returns its text, or None if the response is incomplete."""
        service, model, version = "flavour-questions", "flavour-7b", "3"
        headers = {
            "Authorization": f"Bearer {self.plan.customer_tokens[service][customer]}",
            "Content-Type": "application/json",
        }
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": stream}
        url = f"{self.find_instance(instance).gateway_url}/v1/completions"
        fields: dict[str, object] = {
            "call": uuid.uuid4().hex,
            "customer": customer,
            "service": service,
            "model": model,
            "version": version,
            "max_tokens": max_tokens,
            "prompt_sha256": digest_text(render_prompt(body)),
        }
        self.caller_history.write("caller_call", **fields)
        text, complete, status = None, False, 0
        try:
            response = self.send("POST", url, json.dumps(body).encode(), headers, timeout_s)
            fields["request"] = response.headers.get("x-request-id", "")
            status = response.status
            if status == 200:
                text, complete = read_stream(response.body) if stream else read_completion(response)
        except HttpError:
            pass
        self.caller_history.write(
            "caller_answer",
            **fields,
            status=status,
            complete=complete,
            text_sha256=digest_text(text or ""),
        )
        return text if complete else None

    def run_parallel(self, calls: Iterable[Callable[[], object]], threads: int = 16) -> list:
        """Runs calls concurrently and returns their results in order."""
        with ThreadPoolExecutor(threads) as pool:
            return [future.result() for future in [pool.submit(call) for call in calls]]

    def list_history_files(self) -> list[Path]:
        """Returns the history files of all processes."""
        return sorted((self.folder / "history").glob("*.jsonl"))


def read_owner(text: bytes) -> str:
    """Returns the first owner of a document."""
    line = next(line for line in text.decode().splitlines() if line.startswith("- "))
    return line.removeprefix("- ").strip()


def read_executed(response: HttpResponse) -> str:
    """Returns the ``executed`` field of a problem document; empty for other responses."""
    if not response.headers.get("content-type", "").startswith("application/problem+json"):
        return ""
    body = response.parse_json()
    return str(body.get("executed", "")) if isinstance(body, dict) else ""


def read_stream(body: bytes) -> tuple[str, bool]:
    """Returns the text of a completion stream and whether it ended completely, without an error."""
    events = [part.removeprefix("data: ") for part in body.decode().split("\n\n") if part]
    if not events or events[-1] != "[DONE]":
        return "", False
    parsed = [json.loads(event) for event in events[:-1]]
    if any("error" in event for event in parsed):
        return "", False
    choices = [choice for event in parsed for choice in event.get("choices", [])]
    return "".join(choice["text"] for choice in choices), True


def read_completion(response: HttpResponse) -> tuple[str, bool]:
    """Returns the text of a completion that is not streamed, and whether it is complete."""
    body = response.parse_json()
    if not isinstance(body, dict):
        return "", False
    return str(body["choices"][0]["text"]), True
