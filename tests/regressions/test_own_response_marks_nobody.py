"""Guards against a target's own Server-Leaving that is taken for another target's.

A response is not the target's own if it names another target, or has none of Server-Stamp, Not-Run
and the target's id. More was asked for: a 421 with Not-Run, and a stamp without the call's id, did
not count, and the target got calls on.
"""

import unittest

from tests.unit.test_platform_calls import classify

LEAVING = (b"server-leaving", b"1")
STAMP, NOT_RUN = (b"server-stamp", b"s"), (b"not-run", b"1")
OWN_ID, OTHER_ID = (b"instance-id", b"t1"), (b"instance-id", b"t9")


class OwnResponseTest(unittest.TestCase):
    def test_each_proof_of_origin_is_enough(self) -> None:
        for status in (200, 421, 500, 503):
            for proof in (STAMP, NOT_RUN, OWN_ID):
                with self.subTest(status=status, proof=proof):
                    self.assertTrue(classify(status, proof, LEAVING).is_leaving)

    def test_without_proof_and_with_another_id_it_does_not_count(self) -> None:
        for status in (200, 421, 500, 503):
            with self.subTest(status=status):
                self.assertFalse(classify(status, LEAVING).is_leaving)
                self.assertFalse(classify(status, STAMP, NOT_RUN, OTHER_ID, LEAVING).is_leaving)
