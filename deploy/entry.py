"""Starts the entry program from a source tree, where the package is not installed."""

import signal
import sys
from pathlib import Path

# The program can handle signals only after its imports; until then, SIGHUP would end the process.
# Ignoring it loses nothing, because the settings are read later.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from mulberryrill.bin.entry import run  # noqa: E402

run()
