"""Guards against a configuration that is sent although calls cannot be served as it says."""

import json
import unittest

from mulberryrill.internal.core.serving.configurationcheck import (
    ConfigurationDocument,
    Finding,
    Severity,
    check_configuration,
    compare_configurations,
)
from mulberryrill.platform.records import parse_configuration_document
from tests.common.entry import CUSTOMER, KEY, build_store_service, create_configuration

# Indices of the routes of create_configuration.
GET, PAY, PLAN, QUICK = range(4)


def parse(configuration: dict) -> ConfigurationDocument:
    return parse_configuration_document(json.dumps(configuration).encode())


def list_places(findings: list[Finding]) -> list[tuple]:
    return [(finding.severity, *finding.path) for finding in findings]


class CheckTest(unittest.TestCase):
    def setUp(self) -> None:
        self.configuration = create_configuration()

    def check(self, *expected: tuple) -> None:
        """Checks the configuration and expects these severities and paths."""
        self.assertEqual(
            list_places(check_configuration(parse(self.configuration))), list(expected)
        )

    def test_valid_configuration_has_no_findings(self) -> None:
        self.check()
        self.configuration = {"version": 1}
        self.check()

    def test_earlier_route_with_the_same_host_and_prefix_never_matches(self) -> None:
        self.configuration["routes"][PLAN]["path_prefix"] = "/quick/"
        self.configuration["routes"][PLAN]["host"] = "A.Example"
        self.check((Severity.ERROR, "routes", PLAN, "path_prefix"))
        self.configuration["routes"][PLAN]["host"] = "b.example"
        self.check()

    def test_prefix_without_slashes_at_both_ends_never_matches(self) -> None:
        for prefix in ("get/", "/get", "get"):
            self.configuration["routes"][GET]["path_prefix"] = prefix
            self.check((Severity.ERROR, "routes", GET, "path_prefix"))
        self.configuration["routes"][GET]["path_prefix"] = "/"
        self.check()

    def test_service_that_does_not_exist(self) -> None:
        self.configuration["routes"][PAY]["service"] = "cellar"
        self.check((Severity.ERROR, "routes", PAY, "services"))

    def test_split_that_gives_no_service_a_weight(self) -> None:
        for weights, is_valid in (
            ((0, 0), False),
            ((0, 0.5), True),
            ((2, -1), False),
            ((), False),
        ):
            self.configuration["routes"][GET]["split"] = [
                {"service": name, "weight": weight}
                for name, weight in zip(("desk", "lm"), weights, strict=False)
            ]
            self.check(*([] if is_valid else [(Severity.ERROR, "routes", GET, "services")]))

    def test_times_of_a_route_that_contradict_each_other(self) -> None:
        route = self.configuration["routes"][GET]
        route["target_latency_ms"] = 2000
        self.check()
        route["target_latency_ms"] = 2001
        self.check((Severity.WARNING, "routes", GET, "latency_objective_s"))
        route["timeout_ms"] = 0
        self.check((Severity.ERROR, "routes", GET, "timeout_s"))

    def test_attempts_of_a_route_that_may_not_be_repeated(self) -> None:
        for index in (GET, PAY, PLAN, QUICK):
            self.configuration["routes"][index]["max_attempts"] = 2
        self.check(
            (Severity.WARNING, "routes", PAY, "max_attempts"),
            (Severity.WARNING, "routes", QUICK, "max_attempts"),
        )

    def test_limits_that_admit_nothing(self) -> None:
        self.configuration["limits"] = {
            "max_header_bytes": 0,
            "max_body_bytes": 0,
            "header_timeout_ms": 0,
            "idle_timeout_ms": 0,
        }
        names = ("max_head_bytes", "max_body_bytes", "head_timeout_s", "idle_timeout_s")
        self.check(*((Severity.ERROR, "limits", name) for name in names))
        self.configuration["limits"] = dict.fromkeys(self.configuration["limits"], 1)
        self.check()

    def test_cache_that_is_smaller_than_nothing(self) -> None:
        self.configuration["services"][1]["engine"]["kv_capacity"] = -1
        store = {**build_store_service("10.0.0.1:80"), "kv_capacity": -1}
        self.configuration["services"].append(store)
        self.check(
            (Severity.ERROR, "services", 1, "engine", "cache_tokens"),
            (Severity.ERROR, "services", 2, "store", "cache_tokens"),
        )

    def test_names_that_are_used_twice(self) -> None:
        for section in ("routes", "services", "tenants"):
            items = self.configuration[section]
            items.append({**items[0], "path_prefix": "/other/", "api_keys": ["other"]})
        self.check(
            (Severity.ERROR, "routes", 4, "name"),
            (Severity.ERROR, "services", 2, "name"),
            (Severity.ERROR, "customers", 1, "name"),
        )

    def test_key_of_two_customers_is_not_printed(self) -> None:
        self.configuration["tenants"].append({"name": "juma", "api_keys": ["k2", KEY]})
        self.check((Severity.ERROR, "customers", 1, "api_keys", 1))
        (finding,) = check_configuration(parse(self.configuration))
        self.assertIn(CUSTOMER, finding.message)
        self.assertNotIn(KEY, finding.message)

    def test_key_that_one_customer_has_twice(self) -> None:
        self.configuration["tenants"][0]["api_keys"] = [KEY, KEY]
        self.check()


class ComparisonTest(unittest.TestCase):
    """Guards against a change that the comparison with the version in force does not show."""

    def setUp(self) -> None:
        self.in_force = create_configuration(7)
        # A copy that shares nothing.
        self.configuration = json.loads(json.dumps(create_configuration(8)))

    def compare(self) -> list[Finding]:
        return compare_configurations(parse(self.configuration), parse(self.in_force))

    def test_only_the_version_differs(self) -> None:
        for section in ("routes", "services"):
            self.configuration[section].reverse()
        findings = self.compare()
        self.assertEqual(findings[1:], [])
        self.assertEqual(findings[0].path, ("version",))
        self.assertEqual(findings[0].message, "changes from 7 to 8")

    def test_version_that_does_not_grow(self) -> None:
        for version in (6, 7):
            self.configuration["version"] = version
            self.assertEqual(list_places(self.compare()), [(Severity.ERROR, "version")])

    def test_items_that_are_added_and_removed(self) -> None:
        for section in ("routes", "services", "tenants"):
            items = self.configuration[section]
            items.append({**items.pop(0), "name": "new"})
        changes = [(finding.path[0], finding.message) for finding in self.compare()]
        self.assertEqual(
            changes,
            [
                ("version", "changes from 7 to 8"),
                ("routes", "route 'new' is added"),
                ("routes", "route 'get' is removed"),
                ("services", "service 'new' is added"),
                ("services", "service 'desk' is removed"),
                ("customers", "customer 'new' is added"),
                ("customers", f"customer '{CUSTOMER}' is removed"),
            ],
        )

    def test_fields_that_change(self) -> None:
        self.configuration["routes"][GET] |= {
            "timeout_ms": 1500,
            "kind": "non_idempotent",
            "public": True,
            "split": [{"service": "desk", "weight": 1}, {"service": "lm", "weight": 0.5}],
        }
        self.configuration["services"][0]["engine"] = {"slots": 2}
        self.configuration["services"][1]["engine"]["kv_capacity"] = 5
        self.configuration["tenants"][0] |= {"api_keys": ["k2", "k3"], "priority": 3}
        self.configuration["limits"]["max_body_bytes"] = 9
        messages = {finding.path: finding.message for finding in self.compare()}
        del messages["version",]
        self.assertEqual(
            messages,
            {
                ("routes", GET, "timeout_s"): "changes from 2 s to 1.5 s",
                ("routes", GET, "kind"): "changes from idempotent to non_idempotent",
                ("routes", GET, "is_public"): "changes from false to true",
                ("routes", GET, "services"): "changes from 'desk' with weight 1 to 'desk' with "
                "weight 1, 'lm' with weight 0.5",
                ("services", 0, "engine"): "changes from none to slots 2, cache_tokens 0, "
                "max_event_polls 0, token_bytes 18432",
                ("services", 1, "engine", "cache_tokens"): "changes from 90000 to 5",
                ("customers", 0, "customer", "priority"): "changes from none to 3",
                ("customers", 0, "api_keys"): "2 API keys are added and 1 removed",
                ("limits", "max_body_bytes"): "changes from 65536 to 9",
            },
        )

    def test_calls_that_need_no_key_any_more(self) -> None:
        del self.configuration["tenants"]
        messages = [finding.message for finding in self.compare()]
        self.assertIn("calls need no API key from now on", messages)
