"""mulberryrill: a serving system for prompts that return after long gaps.

The public surface is this package's version and the exception tree in ``errors``; everything below
``internal`` may change without notice.
"""

from .errors import MulberryrillError

__all__ = ["MulberryrillError", "__version__"]

__version__ = "0.1.0"
