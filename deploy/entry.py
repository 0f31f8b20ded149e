"""Starts the entry program from a source tree, where the package is not installed."""

import signal
import sys
from pathlib import Path

# Until the program takes signals, which needs its imports, SIGHUP would end the process. The
# settings are read after that.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from mulberryrill.bin.entry import run  # noqa: E402

run()
