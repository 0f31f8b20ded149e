"""Named versions with their ages, and the targets that calls may use during a rollout."""

import unittest

from mulberryrill.internal.core.serving.namedversions import NamedVersion, NamedVersions
from mulberryrill.internal.core.serving.outdated import compute_version_age_limit, list_current
from mulberryrill.internal.core.serving.targettable import Target
from mulberryrill.internal.ids import ModelName, WeightVersion
from tests.unit.test_serving_targettable import create_registration

MODEL = ModelName("m")
BOUND_S = 10.0
OBJECTIVE_S = 1.2


def create_targets(*versions: int) -> list[Target]:
    targets = []
    for number, version in enumerate(versions):
        target = Target(create_registration(f"t{number}"))
        target.versions[MODEL] = WeightVersion(version)
        targets.append(target)
    return targets


class OutdatedTargetsTest(unittest.TestCase):
    """Guards against calls that begin on replaced weights after the bound."""

    def setUp(self) -> None:
        self.named = NamedVersions()

    def list_usable(self, targets: list[Target], now: float) -> list[str]:
        limit = compute_version_age_limit(BOUND_S, OBJECTIVE_S)
        return [t.id for t in list_current(targets, MODEL, self.find_required(limit, now))]

    def find_required(self, limit: float, now: float) -> WeightVersion | None:
        return self.named.find_required(MODEL, limit, now)

    def test_second_version_does_not_extend_the_bound_of_the_first(self) -> None:
        """Replays two versions named 3 s apart.

        The age of the newest version was compared with the bound, so targets with the oldest
        version got calls until 3 s after the bound of the second version.
        """
        self.named.record(MODEL, WeightVersion(2), 0.0)
        self.named.record(MODEL, WeightVersion(3), 3.0)
        targets = create_targets(1, 2, 3)
        self.assertEqual(self.list_usable(targets, 5.0), ["t0", "t1", "t2"])
        self.assertEqual(self.list_usable(targets, BOUND_S - 0.5), ["t1", "t2"])
        self.assertEqual(self.list_usable(targets, BOUND_S + 2.5), ["t2"])

    def test_calls_that_wait_in_a_queue_begin_before_the_bound(self) -> None:
        limit = compute_version_age_limit(BOUND_S, OBJECTIVE_S)
        self.assertLess(limit + 0.9 * OBJECTIVE_S, BOUND_S)

    def test_target_with_an_unknown_version_is_not_used_after_the_bound(self) -> None:
        self.named.record(MODEL, WeightVersion(2), 0.0)
        unknown = Target(create_registration("t9"))
        self.assertEqual(self.list_usable([unknown], BOUND_S), [])
        self.assertEqual(self.list_usable([unknown], 1.0), ["t9"])

    def test_peer_corrects_the_age_that_a_starting_instance_assumes(self) -> None:
        """Guards against an instance that counts the bound from its own start."""
        self.named.assume(MODEL, WeightVersion(2), 92.0)
        self.assertEqual(self.named.list_younger(BOUND_S, 100.0), [])
        self.named.record(MODEL, WeightVersion(2), 95.0)
        self.assertEqual(self.find_required(6.0, 100.0), None)
        self.named.record(MODEL, WeightVersion(2), 93.0)
        self.named.record(MODEL, WeightVersion(2), 96.0)
        self.assertEqual(self.find_required(6.0, 100.0), 2)
        self.assertEqual(
            self.named.list_younger(BOUND_S, 100.0),
            [NamedVersion(MODEL, WeightVersion(2), 7.0)],
        )
        self.named.assume(MODEL, WeightVersion(2), 0.0)
        self.assertEqual(self.find_required(8.0, 100.0), None)

    def test_versions_replaced_long_ago_are_forgotten(self) -> None:
        for version in range(1, 50):
            self.named.record(MODEL, WeightVersion(version), version * 30.0)
        self.assertLess(len(self.named.list_younger(1e9, 2_000.0)), 5)
