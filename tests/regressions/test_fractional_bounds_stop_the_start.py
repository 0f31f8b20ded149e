"""No entry process started where a bound of the deployment was not a whole number.

Seen on the small twin of the grown Kimolia, whose reserve of retries is 37.142857142857146: each
process ended with "expected a whole number". A grace period of 8.5 s would have been read as
8.5 ms with three more digits.
"""

import re
import tempfile
import unittest
from pathlib import Path

from mulberryrill.errors import SettingsError
from mulberryrill.internal.schema.settings_pb2 import EntrySettings
from mulberryrill.internal.settings.checks import check_settings
from mulberryrill.internal.settings.files import load_settings

TEMPLATE = Path(__file__).resolve().parents[2] / "deploy" / "entry.yaml.template"
OTHER_VALUES = {
    "node": "front-1",
    "zone": "z1",
    "ip": "10.1.0.1",
    "listen.front": "10.1.0.1:8000",
    "listen.ready": "10.1.0.1:8001",
    "internal_ports.0": "8002",
    "platform.address": "10.0.0.1:80",
}
NUMBERS = {"drain_ms": "2500.5", "grace_s": "8.5", "retry_slack": "37.142857142857146"}


def render(numbers: dict[str, str]) -> str:
    """Fills the template in as the platform does."""

    def find(match: re.Match[str]) -> str:
        name = match[1]
        if name.startswith("bounds."):
            return numbers.get(name.removeprefix("bounds."), "1.5")
        return OTHER_VALUES[name]

    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", find, TEMPLATE.read_text(encoding="utf-8"))


class FractionalBoundsTest(unittest.TestCase):
    def load(self, numbers: dict[str, str]) -> EntrySettings:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.yaml"
            path.write_text(render(numbers), encoding="utf-8")
            settings = load_settings(str(path), EntrySettings)
        check_settings(settings, "entry.yaml")
        return settings

    def test_fractions_are_read_as_they_are(self) -> None:
        bounds = self.load(NUMBERS).bounds
        self.assertEqual((bounds.drain_ms, bounds.grace_s), (2500.5, 8.5))
        self.assertAlmostEqual(bounds.retry_reserve, 37.142857142857146)
        self.assertEqual(bounds.cold_reserve, 1.5)

    def test_bounds_without_an_end_are_refused(self) -> None:
        for number in ("inf", "nan", "-1"):
            with self.subTest(number=number), self.assertRaises(SettingsError) as caught:
                self.load({"grace_s": number})
            self.assertIn("bounds.grace_s", str(caught.exception))
