"""Logs the resource usage of the process."""

import asyncio
import resource
from typing import Any

import eliot

__all__ = ["log_usage"]

USAGE_INTERVAL_S = 10.0  # negligible beside the log lines of requests
KIB_PER_MIB = 1024


async def log_usage() -> None:
    """Log processor time, peak memory and wake-ups at intervals until cancelled."""
    loop = asyncio.get_running_loop()
    cpu_s, wake_ups = _read_cpu_s(), _read_wake_ups(loop)
    while True:
        await asyncio.sleep(USAGE_INTERVAL_S)
        before_s, cpu_s = cpu_s, _read_cpu_s()
        before, wake_ups = wake_ups, _read_wake_ups(loop)
        peak_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        eliot.log_message(
            "daemon:usage",
            cores=round((cpu_s - before_s) / USAGE_INTERVAL_S, 4),
            wake_ups_per_s=round((wake_ups - before) / USAGE_INTERVAL_S, 1),
            peak_mib=round(peak_kib / KIB_PER_MIB, 1),
        )


def _read_cpu_s() -> float:
    """Return the processor time of this process, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _read_wake_ups(loop: Any) -> int:
    """Return the wake-ups of a loop that counts them; 0 for other loops."""
    return getattr(loop, "wake_ups", 0)
