"""``mulberryrill-check``: exit codes, places in files, and output for scripts."""

import contextlib
import io
import json
import tempfile
import unittest
from dataclasses import fields
from pathlib import Path
from typing import Any

from mulberryrill.bin.check import main
from mulberryrill.internal.core.serving.routetable import (
    CallerLimits,
    Customer,
    EngineProfile,
    Route,
    Service,
    StoreProfile,
)
from mulberryrill.platform.configurationfields import ConfigurationText
from tests.common.entry import KEY, build_store_service, create_configuration


class CheckCommandTest(unittest.TestCase):
    """Guards against wrong exit codes and places, which mislead scripts and operators."""

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.file = Path(folder) / "new.json"
        self.in_force = Path(folder) / "old.json"

    def write(self, content: object) -> None:
        text = content if isinstance(content, str) else json.dumps(content, indent=1)
        self.file.write_text(text, encoding="utf-8")

    def run_check(self, *arguments: str) -> tuple[int, str, str]:
        """Returns exit code, standard output and standard error."""
        with (
            contextlib.redirect_stdout(io.StringIO()) as output,
            contextlib.redirect_stderr(io.StringIO()) as errors,
        ):
            code = main(["mulberryrill-check", *arguments])
        return code, output.getvalue(), errors.getvalue()

    def check(self) -> tuple[int, list[dict[str, Any]]]:
        """Returns the exit code and the findings for the file."""
        code, output, _ = self.run_check("--format", "json", str(self.file))
        result = json.loads(output)
        self.assertEqual(result["exit_code"], code)
        self.assertEqual(
            result["errors"], sum(f["severity"] == "error" for f in result["findings"])
        )
        return code, result["findings"]

    def find_line(self, part: str) -> int:
        """Returns the only line of the file that contains a text."""
        lines = self.file.read_text().splitlines()
        (line,) = [number for number, text in enumerate(lines, 1) if part in text]
        return line

    def test_valid_file(self) -> None:
        self.write(create_configuration())
        code, output, errors = self.run_check(str(self.file))
        self.assertEqual(
            (code, output, errors), (0, f"{self.file}: errors: 0, warnings: 0, changes: 0\n", "")
        )

    def test_warnings_alone_are_no_errors(self) -> None:
        configuration = create_configuration()
        configuration["routes"][1]["max_attempts"] = 77
        self.write(configuration)
        code, findings = self.check()
        self.assertEqual((code, [f["severity"] for f in findings]), (0, ["warning"]))
        self.assertEqual(findings[0]["field"], "routes[1].max_attempts")
        self.assertEqual(findings[0]["line"], self.find_line(": 77"))

    def test_text_that_is_not_json(self) -> None:
        for text, line in (('{\n "version": 1,\n "routes": [}\n', 3), ("", 1), ("{'a': 1}", 1)):
            self.write(text)
            code, findings = self.check()
            self.assertEqual((code, [f["line"] for f in findings]), (1, [line]), text)
        self.file.write_bytes(b'{"version": "\xff"}')
        self.assertEqual(self.check()[0], 1)
        self.write("[" * 100_000)
        self.assertEqual(self.check()[0], 1)

    def test_all_parts_that_cannot_be_parsed_are_reported(self) -> None:
        configuration = create_configuration() | {"version": "one"}
        configuration["routes"][0]["timeout_ms"] = "soon"
        configuration["routes"][2]["kind"] = "sometimes"
        del configuration["routes"][3]["name"]
        configuration["services"] = [{"name": ""}]
        configuration["tenants"][0]["api_keys"] = [5]
        configuration["limits"]["idle_timeout_ms"] = True
        self.write(configuration)
        code, findings = self.check()
        self.assertEqual(code, 1)
        places = {finding["field"]: finding["line"] for finding in findings}
        self.assertEqual(
            places,
            {
                "version": self.find_line('"version"'),
                "routes[0].timeout_ms": self.find_line("soon"),
                "routes[2].kind": self.find_line("sometimes"),
                # The line of the object that lacks the field.
                "routes[3].name": self.find_line("/quick/") - 5,
                "services[0].name": self.find_line('"name": ""'),
                "tenants[0].api_keys": self.find_line('"api_keys"'),
                "limits.idle_timeout_ms": self.find_line("idle_timeout_ms"),
            },
        )
        for finding in findings:
            self.assertIn("; ", finding["message"], "says what to do")

    def test_field_that_is_given_twice(self) -> None:
        self.write('{"version": 1,\n "limits": {"max_body_bytes": 5,\n  "max_body_bytes": 6}}')
        code, findings = self.check()
        self.assertEqual(code, 1)
        self.assertEqual(
            [(f["field"], f["line"]) for f in findings], [("limits.max_body_bytes", 3)]
        )

    def test_differences_from_the_version_in_force(self) -> None:
        self.in_force.write_text(json.dumps(create_configuration(4)))
        configuration = create_configuration(5)
        configuration["routes"][3]["timeout_ms"] = 1234
        self.write(configuration)
        code, output, _ = self.run_check("--in-force", str(self.in_force), str(self.file))
        lines = output.splitlines()
        self.assertEqual(code, 0)
        self.assertEqual(lines[0], f"{self.file}:2: change: version: changes from 4 to 5")
        self.assertTrue(lines[1].startswith(f"{self.file}:{self.find_line('1234')}: change: "))
        self.assertEqual(len(lines), 3)
        code, output, _ = self.run_check("--in-force", str(self.file), str(self.file))
        self.assertEqual(code, 1)

    def test_version_in_force_that_cannot_be_parsed(self) -> None:
        self.in_force.write_text("{}")
        self.write(create_configuration())
        code, output, _ = self.run_check("--in-force", str(self.in_force), str(self.file))
        self.assertEqual(code, 1)
        self.assertIn(f"{self.in_force}:1: error: version: ", output)

    def test_no_key_is_printed(self) -> None:
        configuration = create_configuration(2)
        configuration["tenants"].append({"name": "juma", "api_keys": [KEY, "other-key"]})
        self.write(configuration)
        self.in_force.write_text(json.dumps(create_configuration(1)))
        code, output, _ = self.run_check("--in-force", str(self.in_force), str(self.file))
        self.assertEqual(code, 1)
        self.assertIn("tenants[1].api_keys[0]", output)
        self.assertNotIn(KEY, output)
        self.assertNotIn("other-key", output)

    def test_wrong_usage_and_unreadable_files(self) -> None:
        self.write(create_configuration())
        missing = str(self.file) + ".missing"
        for arguments in (
            [],
            [str(self.file), str(self.file)],
            [missing],
            [str(self.file.parent)],
            [str(self.file), "--in-force", missing],
            [str(self.file), "--format", "xml"],
            [str(self.file), "--send"],
        ):
            code, output, errors = self.run_check(*arguments)
            self.assertEqual((code, output), (2, ""), arguments)
            self.assertTrue(errors.startswith("mulberryrill-check: "))
        code, output, errors = self.run_check("--format=json", missing)
        self.assertEqual((code, json.loads(output)["exit_code"], errors), (2, 2, ""))
        self.assertEqual(self.run_check("--help")[0], 0)


class FieldNamesTest(unittest.TestCase):
    """Guards against a field that is reported under a name that the file does not have."""

    def test_every_field_has_its_name_in_the_file(self) -> None:
        configuration = create_configuration()
        configuration["routes"][0] |= {"priority": 1, "public": False, "sticky": False}
        configuration["routes"][0] |= {"resumable": False, "gap_aim_ms": 0}
        configuration["services"].append(build_store_service("10.0.0.1:80"))
        configuration["tenants"][0] |= {"priority": 1, "isolated": False}
        configuration["services"][1]["cold_start_s"] = 1
        configuration["services"][1]["engine"]["kv_token_bytes"] = 18_432
        text = ConfigurationText(json.dumps(configuration, indent=1).encode())
        paths: list[tuple[str | int, ...]] = [("version",), ("customers", 0, "api_keys", 0)]
        paths += [("routes", 0, field.name) for field in fields(Route)]
        paths += [("limits", field.name) for field in fields(CallerLimits)]
        paths += [("customers", 0, "customer", field.name) for field in fields(Customer)]
        paths += [("services", 1, field.name) for field in fields(Service) if field.name != "store"]
        paths += [("services", 1, "engine", field.name) for field in fields(EngineProfile)]
        paths += [("services", 2, "store", field.name) for field in fields(StoreProfile)]
        lines = json.dumps(configuration, indent=1).splitlines()
        for path in paths:
            name = text.name_field(path)
            line = text.find_line(name)
            assert line is not None
            last = name.rpartition(".")[2].partition("[")[0]
            if last != "api_keys":
                self.assertIn(f'"{last}":', lines[line - 1], path)
