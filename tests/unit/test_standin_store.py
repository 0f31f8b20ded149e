"""The store stand-in returns only committed blocks and frees the least recently used."""

import hashlib
import json
import time
import unittest

from mulberryrill.internal.httpclient import HttpClient
from mulberryrill.internal.schema.settings_pb2 import Listen, StoreSettings
from mulberryrill.internal.standins.store import StoreStandin


class StoreStandinTest(unittest.TestCase):
    def setUp(self) -> None:
        settings = StoreSettings(
            id="store-1", listen=Listen(host="127.0.0.1"), memory_bytes=1000, disk_bytes=1000
        )
        self.store = StoreStandin(settings)
        self.store.start()
        self.addCleanup(self.store.close)
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        self.url = f"http://127.0.0.1:{self.store.port}/v1/blocks"

    def open(self, key: str) -> str:
        opened = self.client.send("POST", f"{self.url}/{key}").parse_json()
        assert isinstance(opened, dict)
        return f"{self.url}/{key}/{opened['generation']}"

    def write(self, key: str, data: bytes) -> str:
        url = self.open(key)
        self.client.send("PUT", url, data)
        body = {"length": len(data), "digest": hashlib.sha256(data).hexdigest()}
        response = self.client.send("POST", f"{url}/commit", json.dumps(body).encode())
        self.assertEqual(response.status, 200)
        return url

    def get(self, url: str) -> int:
        return self.client.send("GET", url).status

    def test_partial_write_is_never_visible(self) -> None:
        url = self.open("a")
        self.client.send("PUT", url, b"half")
        self.assertEqual((self.get(f"{self.url}/a"), self.get(url)), (404, 404))
        commit = json.dumps({"length": 8, "digest": hashlib.sha256(b"half").hexdigest()}).encode()
        self.assertEqual(self.client.send("POST", f"{url}/commit", commit).status, 422)
        self.assertEqual(self.get(url), 404)

    def test_new_generation_frees_the_old_one(self) -> None:
        first, second = self.write("a", b"1"), self.write("a", b"2")
        self.assertEqual((self.get(first), self.get(second)), (404, 200))

    def test_least_recently_used_moves_to_disk_then_is_freed(self) -> None:
        urls = [self.write(key, bytes(600)) for key in ("a", "b", "c")]
        block = self.client.send("GET", f"{self.url}/b").parse_json()
        assert isinstance(block, dict)
        self.assertEqual(block["tier"], "disk")
        self.assertEqual([self.get(url) for url in urls], [404, 200, 200])

    def test_link_limits_the_transfer_rate(self) -> None:
        url = self.write("a", bytes(500))
        faults = self.url.replace("/blocks", "/faults")
        self.client.send("POST", faults, b'{"link_bytes_per_second": 1000}')
        started = time.monotonic()
        self.get(url)
        self.assertGreaterEqual(time.monotonic() - started, 0.5)
