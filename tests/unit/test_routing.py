"""The router filters targets and says why it chose or rejected each."""

import unittest

from mulberryrill.errors import CoreError
from mulberryrill.internal.core.messages import MemberState
from mulberryrill.internal.core.routing import Router, create_policy
from mulberryrill.internal.ids import DataCentre
from tests.common.core import DATA_CENTRE, create_request, create_target


class RouterTest(unittest.TestCase):
    def test_unsuitable_targets_are_rejected_with_reason(self) -> None:
        router = Router(create_policy("least-loaded"), DATA_CENTRE, 1)
        targets = [
            create_target("a", state=MemberState.LEAVING),
            create_target("b", healthy=False),
            create_target("c", data_centre=DataCentre("msasani")),
            create_target("d", running=3),
            create_target("e", running=1),
        ]
        choice = router.choose(create_request(), targets, lambda target: 1, 0.0)
        assert choice.target is not None
        self.assertEqual(choice.target.target, "e")
        self.assertEqual({r.target for r in choice.rejected}, {"a", "b", "c", "d"})

    def test_unknown_policy_names_the_known_ones(self) -> None:
        with self.assertRaisesRegex(CoreError, "least-loaded"):
            create_policy("fastest")
