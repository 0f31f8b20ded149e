"""Problems in YAML files are all reported at once, each with a line and a way to fix it."""

import unittest

from mulberryrill.errors import SettingsError
from mulberryrill.internal.schema.documents_pb2 import ServiceDocument
from mulberryrill.internal.schema.settings_pb2 import GatewaySettings
from mulberryrill.internal.settings.files import parse_yaml


class SettingsFileTest(unittest.TestCase):
    """Guards against settings that are silently ignored or misread."""

    def list_problems(self, text: str) -> list[str]:
        with self.assertRaises(SettingsError) as caught:
            parse_yaml(text, GatewaySettings, "gateway.yaml")
        return caught.exception.problems

    def test_unknown_field_names_line_and_choices(self) -> None:
        problems = self.list_problems("instance: a\nwoker_threads: 3\n")
        self.assertEqual(len(problems), 1)
        self.assertTrue(problems[0].startswith("gateway.yaml:2: woker_threads: unknown field"))
        self.assertIn("worker_threads", problems[0])

    def test_all_problems_are_reported_together(self) -> None:
        problems = self.list_problems("worker_threads: many\ncallers: {port: [1]}\ninstance: [a]\n")
        self.assertEqual(
            [p.split(": ")[1] for p in problems], ["worker_threads", "callers.port", "instance"]
        )

    def test_number_out_of_range_is_a_problem(self) -> None:
        self.assertIn("worker_threads", self.list_problems("worker_threads: 99999999999")[0])

    def test_repeated_field_is_a_problem(self) -> None:
        self.assertIn("given twice", self.list_problems("instance: a\ninstance: b\n")[0])

    def test_malformed_yaml_is_a_problem(self) -> None:
        self.assertIn("not valid YAML", self.list_problems("instance: [")[0])
        self.assertIn("expected a mapping", self.list_problems("- a")[0])

    def test_document_is_read_with_enums_and_nested_lists(self) -> None:
        text = "service: s\nkind: plain\ncalls: [{method: POST, path: /pay, repeatable: false}]\n"
        document = parse_yaml(text, ServiceDocument, "s.yaml")
        self.assertEqual(document.calls[0].path, "/pay")
        self.assertTrue(document.calls[0].HasField("repeatable"))
