"""Guards against work for a draining target whose registry record an instance skipped.

The reader has a read of the registry under way when a peer sends it newer records. If it forwards
the older page of its read under the offset reached meanwhile, its peers skip as many records.
Found by a benchmark run on site pipitamu-fleet with deploy/days/drain-while-away.toml, seed
846143123111.
"""

import unittest

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.serving.keyedrecords import RecordPage
from mulberryrill.internal.ids import InstanceId, Offset
from tests.unit.test_platform_follower import Node, create_records


class MislabelledReadTest(unittest.TestCase):
    def test_page_of_an_older_read_hides_no_record(self) -> None:
        nodes: dict[InstanceId, Node] = {}
        reader, peer = (Node(name, ManualClock(), nodes) for name in ("front-1", "front-2"))
        for node in nodes.values():
            node.read_newest(RecordPage((), Offset(0)))
        older_records = create_records(("t1", b"ready"), start=0)
        older_page = RecordPage(older_records, Offset(1))
        records = (*older_records, *create_records(("t2", b"ready"), start=1))
        for node in nodes.values():
            node.follower.apply_feed(Offset(0), records, node.clock.boottime())
        reader.read(0, older_page)
        draining_records = create_records(("t1", b"draining"), start=2)
        reader.read(2, RecordPage(draining_records, Offset(3)))
        for node in nodes.values():
            self.assertEqual(node.records, {"t1": b"draining", "t2": b"ready"})
