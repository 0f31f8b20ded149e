"""Settings that cannot work are rejected at startup; problems name their field."""

import unittest

import zmq

from mulberryrill.errors import SettingsError
from mulberryrill.internal.schema.settings_pb2 import ControlSettings
from mulberryrill.internal.settings.checks import check_settings
from mulberryrill.internal.settings.files import parse_yaml

PUBLIC, SECRET = (key.decode() for key in zmq.curve_keypair())
PEER = zmq.curve_keypair()[0].decode()
VALID_SETTINGS = f"""instance: kariakoo-1
data_centre: kariakoo
peer_endpoint: tcp://127.0.0.1:5001
gateway_endpoint: tcp://127.0.0.1:5002
operators: {{host: 127.0.0.1, port: 0}}
admin: {{host: "::1"}}
keys: {{public_key: "{PUBLIC}", secret_key: "{SECRET}"}}
peers: [{{instance: a, data_centre: b, endpoint: "tcp://127.0.0.1:5003", public_key: "{PEER}"}}]
log_url: http://127.0.0.1:8080
list_url: http://[::1]:8080
gateway_url: https://127.0.0.1:8443
max_instances: 4
retention_ms: 86400000
key_window_ms: 3600000
"""


class SettingsCheckTest(unittest.TestCase):
    """Guards against a process that starts with settings on which it fails later."""

    def test_good_settings_pass(self) -> None:
        check_settings(parse_yaml(VALID_SETTINGS, ControlSettings, "c.yaml"), "c.yaml")

    def test_each_problem_names_its_field(self) -> None:
        cases = {
            "instance: missing": ("instance: kariakoo-1\n", ""),
            "instance: invalid name": ("kariakoo-1", "a/b"),
            "operators: missing": ("operators: {host: 127.0.0.1, port: 0}\n", ""),
            "operators.host: 'localhost' is not an IP": ("host: 127.0.0.1", "host: localhost"),
            "operators.port: must be": ("port: 0", "port: 70000"),
            "operators.tls_certificate: needs": ("port: 0", "tls_certificate: a.pem"),
            "log_url: must be": ("http://127.0.0.1:8080", "http://platform:8080"),
            "peer_endpoint: must be": ("tcp://127.0.0.1:5001", "127.0.0.1:5001"),
            "keys.secret_key: not a CURVE key": (SECRET, "short"),
            "peers[0].public_key: not a CURVE key": (PEER, "short"),
            "peers: a public key is used twice": (PEER, PUBLIC),
            "peers: contains this instance": ("instance: a", "instance: kariakoo-1"),
            "max_instances: must not be negative": ("max_instances: 4", "max_instances: -4"),
            "retention_ms: must be at least": ("86400000", "3600000"),
        }
        for expected, (old, new) in cases.items():
            with self.subTest(expected), self.assertRaises(SettingsError) as caught:
                text = VALID_SETTINGS.replace(old, new, 1)
                check_settings(parse_yaml(text, ControlSettings, "c.yaml"), "c.yaml")
            problems = caught.exception.problems
            self.assertTrue(any(p.startswith(f"c.yaml: {expected}") for p in problems), problems)
            self.assertNotIn(SECRET, str(caught.exception))
