"""Log output is limited in rate and length and never blocks the process."""

import json
import logging
import os
import unittest

from mulberryrill.internal import logs


class NonBlockingHandlerTest(unittest.TestCase):
    """Guards against a process that blocks because nobody reads its logs."""

    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.stream = os.fdopen(writer, "w")
        self.addCleanup(os.close, self.reader)
        self.addCleanup(self.stream.close)
        self.now = 0.0
        self.handler = logs.NonBlockingHandler(self.stream, lambda: self.now)
        self.handler.setFormatter(logging.Formatter("%(message)s"))

    def write(self, text: str, level: int = logging.INFO) -> None:
        self.handler.emit(logging.LogRecord("x", level, "", 0, text, None, None))

    def test_full_pipe_drops_lines_and_the_number_is_told_later(self) -> None:
        for _ in range(200):
            self.write("a" * 4000, logging.WARNING)
        dropped = self.handler.dropped
        self.assertGreater(dropped, 100)
        while len(os.read(self.reader, 65_536)) == 65_536:
            pass
        self.now = 10.0
        self.write("back")
        self.assertEqual(self.handler.dropped, 0)
        self.assertIn(b"dropped", os.read(self.reader, 65_536))

    def test_lines_beyond_the_rate_are_dropped_but_no_warnings(self) -> None:
        for _ in range(int(logs.MAX_BURST_LINES) + 100):
            self.write("a")
        self.assertEqual(self.handler.dropped, 100)
        self.write("b", logging.WARNING)
        self.assertEqual(self.handler.dropped, 100)

    def test_long_lines_are_cut(self) -> None:
        self.write("a" * 10_000)
        self.assertEqual(len(os.read(self.reader, 65_536)), logs.MAX_LINE_BYTES)


class SecretsTest(unittest.TestCase):
    """Guards against secrets in logs."""

    def test_bearer_tokens_are_masked(self) -> None:
        reader, writer = os.pipe()
        with os.fdopen(writer, "w") as stream:
            root = logging.getLogger()
            handlers, level = root.handlers, root.level
            try:
                logs.configure_logging("info", "test", ("hidden",), stream)
                logging.getLogger("x").info("Bearer abc hidden")
            finally:
                root.handlers, root.level = handlers, level
            line = json.loads(os.read(reader, 4096))
        os.close(reader)
        self.assertEqual(line["message"], "Bearer *** ***")
