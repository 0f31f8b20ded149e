"""Callers can use a gateway over TLS, even while another handshake is unfinished."""

import datetime
import ipaddress
import socket
import tempfile
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from mulberryrill.internal.httpclient import HttpClient
from mulberryrill.internal.schema.settings_pb2 import Listen
from tests.common.gateway import LOCAL, MODEL, TOKEN, GatewayTestCase, read_stream
from tests.process.test_gateway_calls import expect_text


def write_certificate(directory: Path) -> tuple[str, str]:
    """Writes a self-signed certificate and its key; returns their paths."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "gateway")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address(LOCAL))]), False
        )
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), True)
        .sign(key, hashes.SHA256())
    )
    paths = (directory / "certificate.pem", directory / "key.pem")
    paths[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    paths[1].write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return str(paths[0]), str(paths[1])


class GatewayTlsTest(GatewayTestCase):
    def test_streams_over_tls_while_a_handshake_hangs(self) -> None:
        """Guards against one unfinished handshake that blocks all other callers."""
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        certificate, key = write_certificate(directory)
        self.start_engine()
        program = self.start_gateway(
            callers=Listen(host=LOCAL, tls_certificate=certificate, tls_key=key)
        )
        client = HttpClient(ca_file=certificate)
        self.addCleanup(client.close)
        with socket.create_connection((LOCAL, program.port)):
            response = client.send(
                "POST",
                f"https://{LOCAL}:{program.port}/v1/completions",
                b'{"model": "%b", "prompt": "hello", "max_tokens": 400, "stream": true}'
                % MODEL.encode(),
                {"Authorization": f"Bearer {TOKEN}"},
            )
        self.assertEqual(read_stream(response)[:2], (expect_text("hello", 400), True))
