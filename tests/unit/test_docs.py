"""Documentation pages name only existing tests, and the list of log events is complete."""

import re
import unittest
from pathlib import Path

from mulberryrill.internal.events import Event

ROOT = Path(__file__).resolve().parents[2]


class CatalogueTest(unittest.TestCase):
    """Guards against log events that operators cannot look up."""

    def test_every_event_is_listed_once(self) -> None:
        text = (ROOT / "docs" / "events.md").read_text(encoding="utf-8")
        rows = re.findall(r"^\| (\d+) \| (\w+) \|", text, re.M)
        self.assertEqual(
            [(int(number), name) for number, name in rows],
            sorted((int(event), event.name) for event in Event),
        )


class InvariantsPageTest(unittest.TestCase):
    """Guards against an invariant whose stated test was renamed or removed."""

    def test_every_named_test_exists(self) -> None:
        text = (ROOT / "docs" / "invariants.md").read_text(encoding="utf-8")
        code = "\n".join(p.read_text(encoding="utf-8") for p in (ROOT / "tests").rglob("test_*.py"))
        names = set(re.findall(r"`(test_\w+|[A-Z]\w*Test)`", text))
        self.assertGreater(len(names), 10)
        missing = {n for n in names if f"def {n}(" not in code and f"class {n}(" not in code}
        self.assertEqual(missing, set())

    def test_every_named_module_exists(self) -> None:
        text = (ROOT / "docs" / "invariants.md").read_text(encoding="utf-8")
        modules = set(re.findall(r"`(tests\.\w+\.\w+)`", text))
        self.assertGreater(len(modules), 10)
        missing = {m for m in modules if not (ROOT / f"{m.replace('.', '/')}.py").exists()}
        self.assertEqual(missing, set())
