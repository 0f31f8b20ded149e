"""The control program as a separate process: settings, signals, history file and TLS."""

import ipaddress
import json
import os
import signal
import subprocess
import sys
import tempfile
from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from google.protobuf.json_format import MessageToDict

from mulberryrill.internal.httpclient import HttpClient
from mulberryrill.internal.schema.settings_pb2 import ControlSettings
from tests.common.control import TOKENS, ControlTestCase, build_document_text, wait_for
from tests.common.ports import find_port

START_TIMEOUT_S = 20


def write_certificate(directory: Path) -> None:
    """Writes a self-signed certificate for 127.0.0.1 and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "test")])
    now = datetime.now(UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - timedelta(hours=1))
        .not_valid_after(now + timedelta(hours=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    (directory / "cert.pem").write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    (directory / "key.pem").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )


class ControlProgramTest(ControlTestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.directory = Path(folder.name)
        self.errors = self.directory / "errors.jsonl"

    def start_process(self, settings: ControlSettings) -> subprocess.Popen[bytes]:
        file = self.directory / "control.yaml"
        file.write_text(json.dumps(MessageToDict(settings, preserving_proto_field_name=True)))
        command = [sys.executable, "-m", "mulberryrill.bin.control", "--settings", str(file)]
        with self.errors.open("wb") as errors:
            process = subprocess.Popen(command, stderr=errors, env=dict(os.environ))
        self.addCleanup(process.wait, START_TIMEOUT_S)
        self.addCleanup(process.kill)
        return process

    def test_process_serves_over_tls_and_leaves_its_history(self) -> None:
        write_certificate(self.directory)
        settings = self.create_settings()
        settings.history_file = str(self.directory / "history.jsonl")
        settings.operators.port = find_port()
        settings.peer_endpoint = f"tcp://127.0.0.1:{find_port()}"
        settings.gateway_endpoint = f"tcp://127.0.0.1:{find_port()}"
        settings.gateway_url = f"http://127.0.0.1:{find_port()}"
        settings.operators.tls_certificate = str(self.directory / "cert.pem")
        settings.operators.tls_key = str(self.directory / "key.pem")
        process = self.start_process(settings)
        client = HttpClient(str(self.directory / "cert.pem"))
        self.addCleanup(client.close)
        url = f"https://127.0.0.1:{settings.operators.port}"
        headers = {"Authorization": f"Bearer {TOKENS['asha']}"}

        def is_up() -> bool:
            try:
                return client.send("GET", f"{url}/v1/status", headers=headers).status == 200
            except Exception:  # The process isn't listening yet.
                return False

        wait_for(is_up, "the process answers")
        path = f"{url}/v1/documents/flavour-questions?base_revision=0"
        response = client.send("PUT", path, build_document_text().encode(), headers)
        self.assertEqual(response.status, 200, response.body)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(START_TIMEOUT_S), 0)
        lines = Path(settings.history_file).read_text().splitlines()
        events = [json.loads(line) for line in lines]
        changes = [event for event in events if event["event"] == "configuration"]
        self.assertEqual(
            [(e["service"], e["accepted"]) for e in changes], [("flavour-questions", True)]
        )
        logs = self.errors.read_text()
        for secret in (settings.keys.secret_key, TOKENS["asha"]):
            self.assertNotIn(secret, logs)

    def test_settings_that_cannot_work_end_the_process_with_the_remedy(self) -> None:
        settings = self.create_settings()
        settings.max_instances = 0
        settings.gateway_url = ""
        self.assertEqual(self.start_process(settings).wait(START_TIMEOUT_S), 2)
        text = self.errors.read_text()
        self.assertIn("max_instances", text)
        self.assertIn("gateway_url", text)
