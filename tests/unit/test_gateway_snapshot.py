"""A gateway never adopts an older configuration, and no spelling of a path evades its rule."""

import unittest

from mulberryrill.internal.core.snapshot import SnapshotHolder, normalize_path
from mulberryrill.internal.ids import ServiceName
from mulberryrill.internal.schema.wire_pb2 import ServiceView, SnapshotUpdate

DOCUMENT = """
service: sugar
kind: plain
pool: vendor
customers: [{name: kariakoo, token_sha256: ["ab"]}]
calls: [{method: post, path: /pay, repeatable: false}, {method: GET, path: /stock}]
"""


def create_update(version: int, offset: int, **fields: object) -> SnapshotUpdate:
    defaults: dict = {"epoch": "run-1", "ready": True}
    return SnapshotUpdate(version=version, folded_offset=offset, **{**defaults, **fields})


class SnapshotHolderTest(unittest.TestCase):
    """Guards against an accepted configuration that reverts (I11)."""

    def setUp(self) -> None:
        self.holder = SnapshotHolder()
        self.holder.apply(create_update(5, 50))

    def test_older_version_is_refused(self) -> None:
        self.assertFalse(self.holder.apply(create_update(4, 60)))
        self.assertFalse(self.holder.apply(create_update(5, 60)))
        self.assertTrue(self.holder.apply(create_update(6, 50)))

    def test_restarted_control_process_is_used_once_it_has_caught_up(self) -> None:
        self.assertFalse(self.holder.apply(create_update(1, 10, epoch="run-2")))
        self.assertFalse(self.holder.apply(create_update(2, 50, epoch="run-2", ready=False)))
        self.assertTrue(self.holder.apply(create_update(3, 50, epoch="run-2")))
        self.assertFalse(self.holder.apply(create_update(9, 90, epoch="run-1")))

    def test_unreadable_document_keeps_the_previous_one(self) -> None:
        good = ServiceView(service="sugar", revision=1, document=DOCUMENT)
        bad = ServiceView(service="sugar", revision=2, document="kind: [")
        self.holder.apply(create_update(6, 51, services=[good]))
        self.holder.apply(create_update(7, 52, services=[bad]))
        snapshot = self.holder.current
        self.assertEqual(snapshot.services[ServiceName("sugar")].revision, 1)
        self.assertEqual(len(snapshot.problems), 1)

    def test_other_spellings_of_a_path_keep_its_rule(self) -> None:
        view = ServiceView(service="sugar", revision=1, document=DOCUMENT)
        self.holder.apply(create_update(6, 51, services=[view]))
        config = self.holder.current.services[ServiceName("sugar")]
        for path in ("/pay", "//pay/", "/a/../pay", "/./pay", "/PAY"):
            with self.subTest(path=path):
                self.assertFalse(config.is_repeatable("POST", path))
        self.assertTrue(config.is_repeatable("GET", "/pay"))
        self.assertTrue(config.is_repeatable("POST", "/payments"))
        self.assertEqual(normalize_path("/../../a"), "/a")
