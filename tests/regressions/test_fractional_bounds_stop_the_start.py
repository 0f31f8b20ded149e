"""Guards against entry processes that do not start if a bound of the deployment is a fraction.

The bounds were integer fields, so a retry reserve of 37.142857142857146 ended each process with
"expected a whole number". The template turned seconds into milliseconds by appending "000", so a
grace period of 8.5 s would have become 8.5 ms.
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
    "limits.memory_mb": "128.5",
    "limits.max_fds": "4100.0",
}
# A bound that a deployment does not have.
ABSENT = "absent"
BOUND_VALUES = {"drain_ms": "2500.5", "grace_s": "8.5", "retry_slack": "37.142857142857146"}


def render(bound_values: dict[str, str]) -> str:
    """Fills in the template as the platform does."""

    def look_up(match: re.Match[str]) -> str:
        name = match[1]
        if name.startswith("bounds."):
            return bound_values.get(name.removeprefix("bounds."), "1.5")
        return OTHER_VALUES[name]

    def expand(match: re.Match[str]) -> str:
        """Expands a section, which is left out if there is no value."""
        value = bound_values.get(match[1], "1.5")
        return match[2].replace("{{.}}", value) if value != ABSENT else ""

    text = TEMPLATE.read_text(encoding="utf-8")
    text = re.sub(r"\{\{#bounds\.([a-z_]+)\}\}(.*?)\{\{/bounds\.\1\}\}", expand, text, flags=re.S)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", look_up, text)


class FractionalBoundsTest(unittest.TestCase):
    def load(self, bound_values: dict[str, str]) -> EntrySettings:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.yaml"
            path.write_text(render(bound_values), encoding="utf-8")
            settings = load_settings(str(path), EntrySettings)
        check_settings(settings, "entry.yaml")
        return settings

    def test_fractions_are_read_as_they_are(self) -> None:
        bounds = self.load(BOUND_VALUES).bounds
        self.assertEqual((bounds.drain_ms, bounds.grace_s), (2500.5, 8.5))
        self.assertAlmostEqual(bounds.retry_reserve, 37.142857142857146)
        self.assertEqual(bounds.cold_reserve, 1.5)

    def test_bounds_of_rollouts_may_be_absent(self) -> None:
        names = ("expose_share", "expose_slack", "rollback_ms")
        bounds = self.load(dict.fromkeys(names, ABSENT)).bounds
        self.assertEqual([getattr(bounds, name) for name in names], [0.0] * 3)
        bounds = self.load({"expose_share": "0.1", "rollback_ms": "5000"}).bounds
        self.assertEqual((bounds.expose_share, bounds.rollback_ms), (0.1, 5000.0))

    def test_fractional_limits_are_read_as_they_are(self) -> None:
        settings = self.load(BOUND_VALUES)
        self.assertEqual((settings.memory_mb, settings.max_descriptors), (128.5, 4100.0))

    def test_non_finite_and_negative_bounds_are_refused(self) -> None:
        for number in ("inf", "nan", "-1"):
            with self.subTest(number=number), self.assertRaises(SettingsError) as caught:
                self.load({"grace_s": number})
            self.assertIn("bounds.grace_s", str(caught.exception))
