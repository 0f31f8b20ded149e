"""Streams are split, counted and verified before they are presented as complete."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberryrill.internal.gateway.streams import (
    BrokenStreamError,
    EventSplitter,
    StreamProgress,
    StreamReader,
)

DONE = b"data: [DONE]"
SPECIAL_TOKENS = ("first", "text", '"', "\\", '","index":1,"x":"', "\n", "\x7f", "\u2028", "é", "r")


def create_token(text: str, **choice: object) -> bytes:
    return b"data: " + json.dumps({"choices": [{"index": 0, "text": text, **choice}]}).encode()


def create_usage(count: int) -> bytes:
    body = {"choices": [], "usage": {"completion_tokens": count, "prompt_tokens": 3}}
    return b"data: " + json.dumps(body).encode()


class EventSplitterTest(unittest.TestCase):
    def test_events_survive_any_split(self) -> None:
        """Guards against events that are lost or duplicated at the boundaries of reads."""
        data = b"data: a\n\ndata: b\r\n\r\ndata: c\n\n"
        for size in range(1, len(data)):
            splitter = EventSplitter()
            events = []
            for start in range(0, len(data), size):
                events += splitter.feed(data[start : start + size])
            with self.subTest(size=size):
                self.assertEqual(events, [b"data: a", b"data: b", b"data: c"])


class StreamReaderTest(unittest.TestCase):
    """Guards against incomplete output that is presented as complete (I6)."""

    def setUp(self) -> None:
        self.progress = StreamProgress()
        self.reader = StreamReader(self.progress, wants_usage=False)

    def test_complete_stream_is_verified(self) -> None:
        for event in (create_token("a"), create_token("b"), create_usage(2), DONE):
            self.reader.read(event)
        self.assertTrue(self.reader.is_done)
        self.assertEqual((self.progress.text, self.progress.tokens), ("ab", 2))

    def test_missing_token_is_noticed_and_not_resumed(self) -> None:
        self.reader.read(create_token("a"))
        with self.assertRaises(BrokenStreamError) as caught:
            self.reader.read(create_usage(2))
        self.assertFalse(caught.exception.resumable)

    def test_end_without_usage_is_not_complete(self) -> None:
        self.reader.read(create_token("a"))
        with self.assertRaises(BrokenStreamError):
            self.reader.read(DONE)
        self.assertFalse(self.reader.is_done)

    def test_resumed_stream_counts_on_and_repeats_no_role(self) -> None:
        self.reader.read(create_token("a"))
        resumed = StreamReader(self.progress, wants_usage=False)
        role = b'data: {"choices":[{"index":0,"delta":{"role":"assistant","content":""}}]}'
        self.assertEqual(resumed.read(role), b"")
        self.assertNotEqual(resumed.read(create_token("b")), b"")
        resumed.read(create_usage(2))
        self.assertTrue(self.progress.verified)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(st.one_of(st.text(max_size=6), st.sampled_from(SPECIAL_TOKENS)), max_size=12))
    def test_every_token_is_read_as_its_json_says(self, tokens: list[str]) -> None:
        """Guards the fast path that counts events of a known form without parsing them."""
        for ascii_only in (True, False):
            progress = StreamProgress()
            reader = StreamReader(progress, wants_usage=False)
            for token in ["first", *tokens]:
                body = {"id": "r", "choices": [{"text": token, "index": 0}]}
                event = b"data: " + json.dumps(body, ensure_ascii=ascii_only).encode()
                self.assertEqual(reader.read(event), event + b"\n\n")
            self.assertEqual(progress.parts, ["first", *(token for token in tokens if token)])

    def test_event_with_other_members_after_a_known_one_is_parsed(self) -> None:
        first = create_token("a")
        self.reader.read(first)
        forged = first.replace(b'"a"', b'"a", "index": 1, "x": "a"')
        self.reader.read(forged)
        self.assertFalse(self.progress.resumable)

    def test_event_that_is_not_json_is_never_delivered(self) -> None:
        first = create_token("a")
        self.reader.read(first)
        for token in (b"\n", b"\x00", b"\x7f\x1f", b'"', b"\\"):
            with self.subTest(token=token), self.assertRaises(BrokenStreamError):
                self.reader.read(first.replace(b'"a"', b'"%b"' % token))

    def test_output_that_text_cannot_express_is_not_resumed(self) -> None:
        self.reader.read(create_token("a", index=1))
        self.assertFalse(self.progress.resumable)
