"""Service documents are checked before they are submitted; problems name their line."""

import unittest

from mulberryrill.errors import SettingsError
from mulberryrill.internal.settings.documents import check_document

HASH = "a" * 64
VALID_DOCUMENT = f"""service: flavour-questions
owners: [asha]
kind: model
pool: language
models: [{{name: flavour-7b, version: "3"}}]
customers:
  - {{name: kariakoo, token_sha256: [{HASH}], requests_per_second: 20, concurrent: 16, weight: 1}}
priority: interactive
deadline_ms: 5000
costs: {{time_to_first_token: 1.0}}
"""
SECOND_CUSTOMER = (
    "  - {name: kariakoo, token_sha256: [TOKEN], requests_per_second: 0,"
    " concurrent: 1, weight: nan}\npriority"
)


class DocumentTest(unittest.TestCase):
    """Guards against a document that is accepted and then cannot be served."""

    def test_good_documents_are_accepted(self) -> None:
        self.assertEqual(check_document(VALID_DOCUMENT, "d.yaml").service, "flavour-questions")
        plain = VALID_DOCUMENT.replace("kind: model", "kind: plain").replace("models: [", "# [")
        plain += "calls: [{method: POST, path: /pay, repeatable: false}]\n"
        self.assertEqual(len(check_document(plain, "d.yaml").calls), 1)

    def test_each_problem_names_its_line_and_field(self) -> None:
        cases = {
            "1: service: invalid name": ("service: flavour-questions", "service: Flavour Q"),
            "1: owners: missing": ("owners: [asha]\n", ""),
            "2: owners[1]: 'asha' is given twice": ("[asha]", "[asha, asha]"),
            "1: kind: missing": ("kind: model\n", ""),
            "4: pool: missing": ("pool: language", "pool: ''"),
            "1: models: missing": ("models:", "# models:"),
            "5: models: only model services": ("kind: model", "kind: plain"),
            "11: calls: only plain services": ("1.0}\n", "1.0}\ncalls: [{method: A, path: /}]"),
            "8: priority: expected one of": ("interactive", "soon"),
            "9: deadline_ms: must be": ("5000", "-1"),
            "10: costs.time_to_first_token: must be": ("1.0", "-1.0"),
            "7: customers[0].token_sha256[0]: not a SHA-256": (HASH, HASH.upper()),
            "8: customers[1].name: 'kariakoo' is given twice": ("priority", SECOND_CUSTOMER),
            "8: customers[1].token_sha256[0]: given twice": ("priority", SECOND_CUSTOMER),
            "8: customers[1].requests_per_second: must be": ("priority", SECOND_CUSTOMER),
            "8: customers[1].weight: must be": ("priority", SECOND_CUSTOMER),
            "4: *a: aliases are not allowed": ("kind: model", "kind: &a model\npool: *a"),
            "7: customers[0].concurrent: must be": ("concurrent: 16, ", ""),
        }
        for expected, (old, new) in cases.items():
            with self.subTest(expected), self.assertRaises(SettingsError) as caught:
                check_document(VALID_DOCUMENT.replace(old, new.replace("TOKEN", HASH)), "d.yaml")
            problems = caught.exception.problems
            self.assertTrue(any(p.startswith(f"d.yaml:{expected}") for p in problems), problems)

    def test_plain_call_rules_are_checked(self) -> None:
        plain = VALID_DOCUMENT.replace("kind: model", "kind: plain").replace("models: [", "# [")
        rule = "{method: POST, path: /pay}"
        text = f"{plain}calls: [{rule}, {rule}, {{method: post, path: pay}}]\n"
        with self.assertRaises(SettingsError) as caught:
            check_document(text, "d.yaml")
        fields = [p.split(": ")[1] for p in caught.exception.problems]
        self.assertEqual(fields, ["calls[1]", "calls[2].method", "calls[2].path"])

    def test_a_token_given_instead_of_its_hash_is_not_shown(self) -> None:
        with self.assertRaises(SettingsError) as caught:
            check_document(VALID_DOCUMENT.replace(HASH, "very-secret"), "d.yaml")
        self.assertNotIn("very-secret", str(caught.exception))

    def test_too_long_document_is_refused(self) -> None:
        with self.assertRaisesRegex(SettingsError, "at most"):
            check_document("#" * 600_000, "d.yaml")
