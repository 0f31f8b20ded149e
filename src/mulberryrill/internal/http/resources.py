"""What the system allows this process: memory and file descriptors."""

import os
import resource

from ..core.memoryaccount import AccountLimits, compute_limits

BYTES_PER_MB = 1_048_576
# Used where the system states no limit on descriptors.
DEFAULT_DESCRIPTORS = 1_024


def find_account_limits(memory_mb: float, descriptors: float) -> AccountLimits:
    """Returns the limits for clients from the settings; 0 stands for what the system allows."""
    memory_bytes = int(memory_mb * BYTES_PER_MB) or _find_memory_bytes()
    return compute_limits(memory_bytes, int(descriptors) or _find_descriptors())


def _find_memory_bytes() -> int:
    physical = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    limits = [resource.getrlimit(kind)[0] for kind in (resource.RLIMIT_AS, resource.RLIMIT_DATA)]
    return min([physical, *(limit for limit in limits if limit != resource.RLIM_INFINITY)])


def _find_descriptors() -> int:
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return DEFAULT_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit
