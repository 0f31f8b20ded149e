"""Runs a gateway in this process, with a test double of its control process."""

import hashlib
import json
import socket
import threading
import time
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import zmq

from mulberryrill.internal.gateway.program import GatewayProgram
from mulberryrill.internal.httpclient import HttpClient, HttpResponse
from mulberryrill.internal.schema.log_pb2 import DRAINED, DataCentreOrder
from mulberryrill.internal.schema.settings_pb2 import (
    EngineSettings,
    GatewaySettings,
    KeyPair,
    Listen,
    PlainServiceSettings,
)
from mulberryrill.internal.schema.wire_pb2 import (
    GRANTED,
    HEALTHY,
    ClaimReply,
    ClaimRequest,
    Envelope,
    GrantUpdate,
    Member,
    ModelView,
    RequestTrace,
    ServiceView,
    SnapshotUpdate,
    TargetGrant,
    TargetView,
    engine,
    entry,
    live,
    service,
)
from mulberryrill.internal.standins.engine import EngineStandin
from mulberryrill.internal.standins.service import ServiceStandin
from mulberryrill.internal.transport import (
    Authenticator,
    decode_envelope,
    encode_envelope,
    open_server,
)
from tests.common.control import create_key_pair

TOKEN = "secret-of-kariakoo"
MODEL = "flavour-7b"
WAIT_TIMEOUT_S = 20.0
GRANT_DURATION_S = 60.0
LOCAL = "127.0.0.1"
MODEL_DOCUMENT = """
service: flavour
owners: [asha]
kind: model
pool: language
models: [{{name: flavour-7b, version: "3"}}]
customers:
  - {{name: kariakoo, token_sha256: ["{token}"], concurrent: {concurrent}, weight: 1}}
priority: interactive
deadline_ms: {deadline_ms}
"""
PLAIN_DOCUMENT = """
service: sugar
owners: [asha]
kind: plain
pool: vendor
customers:
  - {{name: kariakoo, token_sha256: ["{token}"], concurrent: 0, weight: 1}}
priority: interactive
deadline_ms: {deadline_ms}
calls: [{{method: POST, path: /pay, repeatable: false}}]
"""


def wait_until(condition: Callable[[], object], description: str) -> None:
    """Polls until the condition holds; raises AssertionError with the description on a timeout."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out after {WAIT_TIMEOUT_S:g} s: {description}")
        time.sleep(0.01)


class ControlDouble:
    """Plays the control process: sends snapshots and grants, stores what the gateway sends."""

    def __init__(self, keys: KeyPair) -> None:
        self.received: list[Envelope] = []
        self.answer_claim: Callable[[ClaimRequest], ClaimReply | None] = grant_claim
        self.snapshot = SnapshotUpdate(epoch="run-1", ready=True, live_instances=1, max_instances=1)
        self.slots = 8
        # Whether each report is answered with new slot grants.
        self.renews_grants = True
        self._keys = keys
        self._context = zmq.Context()
        self._authenticator = Authenticator(self._context, [keys.public_key])
        self._authenticator.start()
        self._socket = open_server(self._context, f"tcp://{LOCAL}:*", keys)
        self.endpoint = str(self._socket.get_string(zmq.LAST_ENDPOINT))
        self._lock = threading.Lock()
        self._outgoing: list[Envelope] = []
        self._identities: set[bytes] = set()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        self._stop.set()
        self._thread.join()
        self._authenticator.close()
        self._context.destroy(0)

    def send(self, envelope: Envelope) -> None:
        with self._lock:
            self._outgoing.append(envelope)

    def publish(self) -> None:
        """Sends the snapshot with the next version, and slot grants for all its targets."""
        self.snapshot.version += 1
        copy = SnapshotUpdate()
        copy.CopyFrom(self.snapshot)
        self.send(Envelope(snapshot_update=copy))
        self.send_grant()

    def send_grant(self) -> None:
        """Grants slots for all targets; repeated after each report, as a slot holder does."""
        grant = GrantUpdate(valid_until=time.monotonic() + GRANT_DURATION_S)
        for view in self.snapshot.targets:
            grant.grants.append(
                TargetGrant(target=view.target, incarnation=view.incarnation, slots=self.slots)
            )
        self.send(Envelope(grant_update=grant))

    def list_messages(self, kind: str) -> list:
        return [getattr(e, kind) for e in list(self.received) if e.WhichOneof("body") == kind]

    def _run(self) -> None:
        while not self._stop.is_set():
            if self._socket.poll(10):
                identity, frame = self._socket.recv_multipart()
                self._identities.add(identity)
                envelope = decode_envelope(frame)
                self.received.append(envelope)
                if envelope.WhichOneof("body") == "gateway_report" and self.renews_grants:
                    self.send_grant()
                if envelope.WhichOneof("body") == "claim_request":
                    reply = self.answer_claim(envelope.claim_request)
                    if reply is not None:
                        self.send(Envelope(claim_reply=reply))
            with self._lock:
                outgoing = self._outgoing if self._identities else []
                self._outgoing = self._outgoing[len(outgoing) :]
            for envelope in outgoing:
                envelope.sender = "kariakoo-1/control"
                for identity in self._identities:
                    self._socket.send_multipart([identity, encode_envelope(envelope)])
        self._socket.close()


def grant_claim(request: ClaimRequest) -> ClaimReply:
    """Grants every claim."""
    return ClaimReply(
        request_id=request.request_id, claim_id=request.claim.claim_id, status=GRANTED
    )


def create_settings(control: ControlDouble, keys: KeyPair, **fields: object) -> GatewaySettings:
    """Returns a gateway's settings."""
    defaults: dict = {
        "instance": "kariakoo-1",
        "data_centre": "kariakoo",
        "name": "gateway-0",
        "callers": Listen(host=LOCAL),
        "admin": Listen(host=LOCAL),
        "control_endpoint": control.endpoint,
        "control_public_key": keys.public_key,
        "keys": keys,
        "stream_progress_timeout_ms": 500,
    }
    return GatewaySettings(**{**defaults, **fields})


class GatewayTestCase(unittest.TestCase):
    """Starts one gateway; tests add targets and then call ``start_gateway``."""

    deadline_ms = 10_000
    concurrent = 0

    def setUp(self) -> None:
        self.keys = create_key_pair()
        self.control = self.create_control()

    def create_control(self) -> ControlDouble:
        control = ControlDouble(self.keys)
        self.addCleanup(control.close)
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        texts = {"flavour": MODEL_DOCUMENT, "sugar": PLAIN_DOCUMENT}
        for name, text in texts.items():
            document = text.format(
                token=digest, deadline_ms=self.deadline_ms, concurrent=self.concurrent
            )
            control.snapshot.services.append(
                ServiceView(service=name, revision=1, document=document)
            )
        return control

    def start_gateway(self, **fields: object) -> GatewayProgram:
        program = self.start_gateway_without_snapshot(self.control, **fields)
        self.control.publish()
        self.url = f"http://{LOCAL}:{program.port}"
        self.admin_url = f"http://{LOCAL}:{program.admin_port}"
        wait_until(lambda: self.get_admin("/readyz").status == 200, "gateway ready")
        wait_until(lambda: self.control.list_messages("snapshot_ack"), "snapshot acknowledged")
        return program

    def start_gateway_without_snapshot(
        self, control: ControlDouble, **fields: object
    ) -> GatewayProgram:
        """Starts a gateway without a snapshot."""
        program = GatewayProgram(create_settings(control, self.keys, **fields))
        program.start()
        self.addCleanup(program.close)
        return program

    def start_engine(self, name: str = "engine-1", **fields: object) -> EngineStandin:
        defaults: dict = {
            "id": name,
            "listen": Listen(host=LOCAL),
            "models": ["flavour-7b@3"],
            "max_concurrency": 8,
            "cache_blocks": 8,
            "decode_ms_per_token": 1,
            "data_centre": "kariakoo",
            "pool": "language",
        }
        standin = EngineStandin(EngineSettings(**{**defaults, **fields}))
        standin.start()
        self.addCleanup(standin.close)
        self.add_target(name, f"http://{LOCAL}:{standin.port}")
        return standin

    def start_service(self, name: str = "vendor-1") -> ServiceStandin:
        standin = ServiceStandin(
            PlainServiceSettings(id=name, listen=Listen(host=LOCAL), max_concurrency=4)
        )
        standin.start()
        self.addCleanup(standin.close)
        self.add_target(name, f"http://{LOCAL}:{standin.port}", is_engine=False)
        return standin

    def add_target(
        self, name: str, address: str, is_engine: bool = True, data_centre: str = "kariakoo"
    ) -> None:
        """Adds a target to the snapshot, with the incarnation from its state."""
        state = send("GET", f"{address}/v1/state").parse_json()
        assert isinstance(state, dict)
        self.control.snapshot.members.append(
            Member(
                id=name,
                kind=engine if is_engine else service,
                data_centre=data_centre,
                address=address,
                pool="language" if is_engine else "vendor",
                state=live,
            )
        )
        models = [ModelView(name=MODEL, version="3")] if is_engine else []
        self.control.snapshot.targets.append(
            TargetView(
                target=name,
                incarnation=state["incarnation"],
                health=HEALTHY,
                max_concurrency=8,
                models=models,
            )
        )

    def add_remote_gateway(self, name: str, data_centre: str, address: str) -> None:
        """Adds the gateway of another instance to the snapshot."""
        self.control.snapshot.members.append(
            Member(id=name, kind=entry, data_centre=data_centre, address=address, state=live)
        )

    def wait_for_trace(self, index: int = 0, control: ControlDouble | None = None) -> RequestTrace:
        """Waits for the trace of a request and returns it."""
        sender = control or self.control
        wait_until(lambda: len(sender.list_messages("request_trace")) > index, "trace sent")
        trace: RequestTrace = sender.list_messages("request_trace")[index]
        return trace

    def list_attempt_results(self, index: int = 0) -> list[str]:
        """Returns the results of a request's attempts."""
        return [attempt.result.split(":")[0] for attempt in self.wait_for_trace(index).attempts]

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        token: str = TOKEN,
        **headers: str,
    ) -> HttpResponse:
        """Calls the gateway."""
        data = b"" if body is None else json.dumps(body).encode()
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        names["Authorization"] = f"Bearer {token}"
        return send(method, self.url + path, data, names)

    @contextmanager
    def open_call(self, path: str, body: bytes, headers: str = "") -> Iterator[socket.socket]:
        """Sends a call over a TCP connection that stays open until the block ends."""
        head = (
            f"POST {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {TOKEN}\r\n"
            f"Content-Length: {len(body)}\r\n{headers}\r\n"
        )
        with socket.create_connection((LOCAL, int(self.url.rsplit(":", 1)[1]))) as connection:
            connection.sendall(head.encode() + body)
            yield connection

    def get_admin(self, path: str) -> HttpResponse:
        """Reads from the admin port."""
        return send("GET", self.admin_url + path)

    def sum_uses(self, field: str) -> int:
        """Returns the sum of a field over all target uses in the gateway's last report."""
        reports = self.control.list_messages("gateway_report")
        return sum(getattr(use, field) for use in reports[-1].uses) if reports else 0

    def add_drain_order(self, *controls: ControlDouble, data_centre: str = "kariakoo") -> None:
        """Adds an order to drain a data centre to snapshots."""
        for control in controls:
            order = DataCentreOrder(data_centre=data_centre, epoch=1, state=DRAINED)
            control.snapshot.orders.append(order)

    def complete(self, prompt: str = "hello", **fields: object) -> HttpResponse:
        """Sends a completion request."""
        return self.call(
            "POST",
            "/v1/completions",
            {"model": MODEL, "prompt": prompt, "max_tokens": 8, **fields},
        )

    def set_faults(self, standin: EngineStandin | ServiceStandin, **faults: object) -> None:
        """Sets faults of a stand-in."""
        url = f"http://{LOCAL}:{standin.port}/v1/faults"
        self.assertEqual(send("POST", url, json.dumps(faults).encode()).status, 200)


def send(method: str, url: str, body: bytes = b"", headers: dict | None = None) -> HttpResponse:
    """Sends one request on a new connection."""
    client = HttpClient()
    try:
        return client.send(method, url, body, headers, timeout_s=WAIT_TIMEOUT_S)
    finally:
        client.close()


def parse_json_object(response: HttpResponse) -> dict:
    """Returns the fields of a JSON response."""
    content = response.parse_json()
    assert isinstance(content, dict)
    return content


def read_executed(response: HttpResponse) -> tuple[int, str]:
    """Returns the status of an error and its ``executed`` field."""
    return response.status, parse_json_object(response)["executed"]


def read_stream(response: HttpResponse) -> tuple[str, bool, list[dict]]:
    """Returns the text of a stream, whether it ended properly, and its other events."""
    text, others, done = "", [], False
    for event in response.body.decode().split("\n\n"):
        if event == "data: [DONE]":
            done = True
        elif event:
            content = json.loads(event.removeprefix("data: "))
            if content.get("choices"):
                text += content["choices"][0]["text"]
            else:
                others.append(content)
    return text, done, others
