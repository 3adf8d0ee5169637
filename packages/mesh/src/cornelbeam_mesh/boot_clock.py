"""Clock for bounds that must also hold on a machine that was suspended."""

import time


def read_boot_time_s() -> float:
    """Return the seconds since the boot, including those of suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
