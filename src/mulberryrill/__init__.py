"""mulberryrill: a model serving system for prompts that are sent again after long gaps.

The public API is the version of this package and the exceptions in ``errors``; everything below
``internal`` may change without notice.
"""

from .errors import MulberryrillError

__all__ = ["MulberryrillError", "__version__"]

__version__ = "0.1.0"
