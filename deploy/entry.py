"""Starts the entry program from a source tree, where the package is not installed."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from mulberryrill.bin.entry import run  # noqa: E402

run()
