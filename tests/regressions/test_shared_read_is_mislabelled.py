"""A leaving target got work because its instance skipped the record that said so.

Seen in a hunt on pipitamu-fleet (drain-while-away, seed 846143123111: DRAIN): an instance had a
read of the registry under way when a peer sent it newer records. It passed the older page of its
read on under the offset that it had reached meanwhile, and its peers skipped as many records.
"""

import unittest

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.ids import InstanceId, Offset
from mulberryrill.platform.store import RecordPage
from tests.unit.test_platform_follower import Node, write


class MislabelledReadTest(unittest.TestCase):
    def test_page_of_an_older_read_hides_no_record(self) -> None:
        nodes: dict[InstanceId, Node] = {}
        reader, peer = (Node(name, ManualClock(), nodes) for name in ("front-1", "front-2"))
        for node in nodes.values():
            node.follower.on_newest_read(RecordPage((), Offset(0)))
        old = write(("t1", b"ready"), start=0)
        late = RecordPage(old, Offset(1))
        records = (*old, *write(("t2", b"ready"), start=1))
        for node in nodes.values():
            node.follower.apply_feed(Offset(0), records)
        reader.follower.on_records_read(Offset(0), late)
        leaving = write(("t1", b"draining"), start=2)
        reader.follower.on_records_read(Offset(2), RecordPage(leaving, Offset(3)))
        for node in nodes.values():
            self.assertEqual(node.records, {"t1": b"draining", "t2": b"ready"})
