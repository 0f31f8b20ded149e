"""Signal handling of the entry program as a separate process."""

import signal
import time
import unittest

from tests.common.entryfleet import EntryFleet

STOP_TIMEOUT_S = 15.0


class EntrySignalTest(unittest.TestCase):
    def test_reload_signals_while_the_process_starts_do_not_end_it(self) -> None:
        """Guards against SIGHUP before its handler is installed, which terminated the process."""
        fleet = EntryFleet(instances=1, targets=2)
        self.addCleanup(fleet.close)
        fleet.start()
        entry = fleet.entries[0]
        entry.kill()
        entry.start()
        for _ in range(20):
            entry.send_signal(signal.SIGHUP)
            time.sleep(0.02)
        fleet.wait_ready(entry)
        entry.send_signal(signal.SIGTERM)
        assert entry.process is not None
        self.assertEqual(entry.process.wait(STOP_TIMEOUT_S), 0)
