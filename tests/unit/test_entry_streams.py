"""Parsing of event streams in the entry program."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from mulberryrill.internal.entry.eventstream import EventStreamParser


def format_event(number: int, end: bytes = b"\n\n") -> bytes:
    """Returns an event with an id."""
    return b"id: %d\ndata: %d" % (number, number) + end


class EventStreamParserTest(unittest.TestCase):
    """Guards against events that are lost, duplicated or merged."""

    @given(st.integers(1, 20), st.lists(st.integers(1, 30), max_size=20))
    def test_whole_events_come_out_unchanged_however_they_are_cut(
        self, count: int, cuts: list[int]
    ) -> None:
        data = b"".join(format_event(i) for i in range(1, count + 1))
        parser = EventStreamParser(None)
        received, position = b"", 0
        for cut in [*cuts, len(data)]:
            events, _ = parser.feed(data[position : position + cut])
            self.assertTrue(events == b"" or events.endswith(b"\n\n"))
            received += events
            position += cut
        self.assertEqual(received, data)
        self.assertEqual(parser.last_id, count)
        self.assertFalse(parser.has_partial_event)

    def test_missing_or_repeated_event_ends_the_sequence(self) -> None:
        for numbers in ((1, 3), (1, 1), (2, 1)):
            parser = EventStreamParser(None)
            events, count = parser.feed(b"".join(map(format_event, numbers)))
            self.assertEqual((events, count), (format_event(numbers[0]), 1))
            self.assertTrue(parser.is_out_of_order)
            self.assertEqual(parser.feed(format_event(9)), (b"", 0))

    def test_resumed_stream_must_follow_the_last_event(self) -> None:
        self.assertEqual(EventStreamParser(4).feed(format_event(5))[1], 1)
        self.assertEqual(EventStreamParser(4).feed(format_event(6))[1], 0)

    def test_rest_of_an_event_is_noticed(self) -> None:
        parser = EventStreamParser(None)
        parser.feed(format_event(1) + b"id: 2\nda")
        self.assertTrue(parser.has_partial_event)
        self.assertEqual(parser.last_id, 1)

    def test_carriage_returns_are_kept(self) -> None:
        data = b"id: 1\r\ndata: x\r\n\r\n"
        self.assertEqual(EventStreamParser(None).feed(data), (data, 1))
