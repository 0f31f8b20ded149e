"""Runs control programs in this process, with a platform stand-in and test doubles of gateways."""

import json
import time
import unittest
import uuid
from collections.abc import Callable
from hashlib import sha256

import zmq

from mulberryrill.internal.control.program import ControlProgram
from mulberryrill.internal.httpclient import HttpClient, HttpResponse
from mulberryrill.internal.schema.log_pb2 import Claim
from mulberryrill.internal.schema.settings_pb2 import (
    ControlSettings,
    KeyPair,
    Listen,
    PeerSettings,
    PlatformSettings,
    SiteOperator,
)
from mulberryrill.internal.schema.wire_pb2 import (
    ClaimReply,
    ClaimRequest,
    Envelope,
    GatewayReport,
    SnapshotAck,
    TargetUse,
)
from mulberryrill.internal.standins.platform import PlatformStandin
from mulberryrill.internal.transport import decode_envelope, encode_envelope, open_client

from .ports import LOCAL, find_port

WAIT_TIMEOUT_S = 20.0
TOKENS = {"asha": "token-asha", "baraka": "token-baraka"}
DOCUMENT = """service: {service}
owners: [asha]
kind: model
pool: language
models: [{{name: flavour-7b, version: "3"}}]
customers:
  - name: kariakoo
    token_sha256: ["{digest}"]
    requests_per_second: 20
    concurrent: 16
    weight: 1
priority: interactive
deadline_ms: {deadline_ms}
"""


def build_document_text(service: str = "flavour-questions", deadline_ms: int = 5000) -> str:
    digest = sha256(b"customer").hexdigest()
    return DOCUMENT.format(service=service, digest=digest, deadline_ms=deadline_ms)


def create_idempotency_key() -> str:
    """Returns a UUIDv7 with the current time."""
    value = (int(time.time() * 1000) << 80) | uuid.uuid4().int & ((1 << 80) - 1)
    return str(uuid.UUID(int=value & ~(0xF << 76) | (7 << 76)))


def create_key_pair() -> KeyPair:
    public, secret = zmq.curve_keypair()
    return KeyPair(public_key=public.decode(), secret_key=secret.decode())


def wait_for(condition: Callable[[], bool], description: str) -> None:
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() >= deadline:
            raise AssertionError(f"timed out after {WAIT_TIMEOUT_S} s: {description}")
        time.sleep(0.02)


class GatewayDouble:
    """Plays a gateway: acknowledges snapshots and stores all messages that it receives."""

    def __init__(self, context: zmq.Context, settings: ControlSettings, endpoint: str) -> None:
        self.name = "gateway-0"
        self._instance = settings.instance
        self.snapshots: list = []
        self.other_messages: list[Envelope] = []
        self._sequence = 0
        self.acknowledges_snapshots = True
        self.uses: list[TargetUse] = []
        self._socket = open_client(
            context, endpoint, settings.keys.public_key, settings.keys, self.name
        )

    def send(self, **body) -> None:  # type: ignore[no-untyped-def]
        self._sequence += 1
        sender = f"{self._instance}/{self.name}"
        self._socket.send(encode_envelope(Envelope(sender=sender, sequence=self._sequence, **body)))

    def report_and_receive(self) -> None:
        """Sends one report and receives all pending messages."""
        report = GatewayReport(gateway=self.name, sent_at=time.monotonic(), uses=self.uses)
        self.send(gateway_report=report)
        while self._socket.poll(50):
            envelope = decode_envelope(self._socket.recv())
            if envelope.WhichOneof("body") != "snapshot_update":
                self.other_messages.append(envelope)
                continue
            self.snapshots.append(envelope.snapshot_update)
            if self.acknowledges_snapshots:
                version = envelope.snapshot_update.version
                self.send(snapshot_ack=SnapshotAck(gateway=self.name, version=version))

    def request_claim(self, claim_id: str, key: str, digest: bytes = b"digest") -> None:
        claim = Claim(
            claim_id=claim_id,
            customer="kariakoo",
            service="pay",
            key=key,
            request_digest=digest,
            instance=self._instance,
        )
        self.send(claim_request=ClaimRequest(request_id=f"req-{claim_id}", claim=claim))

    def find_claim_reply(self, claim_id: str) -> ClaimReply | None:
        replies = [e.claim_reply for e in self.other_messages if e.claim_reply.claim_id == claim_id]
        return replies[0] if replies else None

    def wait_for_claim_reply(self, claim_id: str) -> ClaimReply:
        self.wait_for(lambda: self.find_claim_reply(claim_id) is not None, f"a reply to {claim_id}")
        reply = self.find_claim_reply(claim_id)
        assert reply is not None
        return reply

    def wait_for(self, condition: Callable[[], bool], description: str) -> None:
        def step() -> bool:
            self.report_and_receive()
            return condition()

        wait_for(step, description)


class ControlTestCase(unittest.TestCase):
    """Starts a platform stand-in; tests start control programs with ``start_control``."""

    platform_settings = PlatformSettings(listen=Listen(host="127.0.0.1"))

    def setUp(self) -> None:
        self.platform = PlatformStandin(self.platform_settings)
        self.platform.start()
        self.addCleanup(self.platform.close)
        self.platform_url = f"http://127.0.0.1:{self.platform.port}"
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        self.context = zmq.Context()
        self.addCleanup(self.context.destroy, 0)

    def create_settings(self, instance: str = "k-1", data_centre: str = "k") -> ControlSettings:
        local = Listen(host="127.0.0.1", port=0)
        return ControlSettings(
            instance=instance,
            data_centre=data_centre,
            peer_endpoint="tcp://127.0.0.1:*",
            gateway_endpoint="tcp://127.0.0.1:*",
            operators=local,
            admin=local,
            keys=create_key_pair(),
            log_url=self.platform_url,
            list_url=self.platform_url,
            gateway_url=f"http://127.0.0.1/{instance}",
            max_instances=2,
            list_lag_ms=100,
            site_operators=[
                SiteOperator(name=name, token_sha256=[sha256(token.encode()).hexdigest()])
                for name, token in TOKENS.items()
            ],
        )

    def start_control(self, settings: ControlSettings) -> ControlProgram:
        program = ControlProgram(settings)
        program.start()
        self.addCleanup(program.close)
        return program

    def connect_gateway(self, program: ControlProgram, settings: ControlSettings) -> GatewayDouble:
        return GatewayDouble(self.context, settings, program.link.gateway_endpoint)

    def call(
        self,
        program: ControlProgram,
        method: str,
        path: str,
        body: bytes = b"",
        operator: str = "asha",
        headers: dict[str, str] | None = None,
    ) -> HttpResponse:
        token = {"Authorization": f"Bearer {TOKENS.get(operator, operator)}"}
        url = f"http://127.0.0.1:{program.ports[0]}{path}"
        client = HttpClient()
        try:
            return client.send(method, url, body, {**token, **(headers or {})}, timeout_s=30)
        finally:
            client.close()

    def get_json(self, program: ControlProgram, path: str) -> dict:
        body = self.call(program, "GET", path).parse_json()
        assert isinstance(body, dict)
        return body

    def put_document(
        self,
        program: ControlProgram,
        base: int,
        deadline_ms: int = 5000,
        operator: str = "asha",
        headers: dict[str, str] | None = None,
    ) -> HttpResponse:
        path = f"/v1/documents/flavour-questions?base_revision={base}&reason=test"
        body = build_document_text(deadline_ms=deadline_ms).encode()
        return self.call(program, "PUT", path, body, operator, headers)

    def create_document(self, program: ControlProgram) -> int:
        response = self.put_document(program, 0)
        self.assertEqual(response.status, 200, response.body)
        body = response.parse_json()
        assert isinstance(body, dict)
        return int(body["revision"])

    def set_faults(self, **faults: object) -> None:
        body = json.dumps(faults).encode()
        self.client.send("POST", f"{self.platform_url}/v1/faults", body)

    def wait_ready(self, program: ControlProgram) -> None:
        url = f"http://127.0.0.1:{program.ports[1]}/readyz"
        wait_for(lambda: self.client.send("GET", url).status == 200, "readiness")


def configure_peers(*all_settings: ControlSettings) -> None:
    """Gives each instance its own peer endpoint and lists the other instances as its peers."""
    for settings in all_settings:
        settings.peer_endpoint = f"tcp://{LOCAL}:{find_port()}"
    for settings in all_settings:
        for other in all_settings:
            if other is not settings:
                settings.peers.append(
                    PeerSettings(
                        instance=other.instance,
                        data_centre=other.data_centre,
                        endpoint=other.peer_endpoint,
                        public_key=other.keys.public_key,
                    )
                )
