"""The catalogue of log events names exactly the events of the code."""

import re
import unittest
from pathlib import Path

from mulberryrill.internal.events import Event

CATALOGUE = Path(__file__).resolve().parents[2] / "docs" / "events.md"


class CatalogueTest(unittest.TestCase):
    """Guards against events that operators cannot look up."""

    def test_every_event_is_listed_once(self) -> None:
        rows = re.findall(r"^\| (\d+) \| (\w+) \|", CATALOGUE.read_text(encoding="utf-8"), re.M)
        self.assertEqual(
            [(int(number), name) for number, name in rows],
            sorted((int(event), event.name) for event in Event),
        )
