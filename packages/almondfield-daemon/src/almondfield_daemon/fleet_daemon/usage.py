"""Logs the resource usage of the process."""

import asyncio
import resource
from collections.abc import Callable
from typing import Any

import eliot

from almondfield_daemon.peers import KindStats

__all__ = ["log_usage"]

USAGE_INTERVAL_S = 10.0  # negligible beside the log lines of requests
KIB_PER_MIB = 1024
MS_PER_S = 1000
MAX_KINDS = 8  # in one line; those with the most processor time

_NO_STATS = KindStats()


async def log_usage(stats_by_kind: Callable[[], dict[str, KindStats]]) -> None:
    """Log processor time, peak memory and wake-ups at intervals until cancelled.

    :param stats_by_kind: returns the messages since the start, by kind.
    """
    loop = asyncio.get_running_loop()
    stats = stats_by_kind()
    cpu_s, wake_ups = _read_cpu_s(), _read_wake_ups(loop)
    while True:
        await asyncio.sleep(USAGE_INTERVAL_S)
        before_s, cpu_s = cpu_s, _read_cpu_s()
        before, wake_ups = wake_ups, _read_wake_ups(loop)
        stats_before, stats = stats, stats_by_kind()
        peak_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        eliot.log_message(
            "daemon:usage",
            cores=round((cpu_s - before_s) / USAGE_INTERVAL_S, 4),
            wake_ups_per_s=round((wake_ups - before) / USAGE_INTERVAL_S, 1),
            peak_mib=round(peak_kib / KIB_PER_MIB, 1),
            messages=_describe_messages(stats_before, stats),
        )


def _describe_messages(
    before: dict[str, KindStats], after: dict[str, KindStats]
) -> list[dict[str, object]]:
    """Return the messages between two times, most processor time first."""
    items = [
        {
            "kind": kind,
            "processor_ms": round((stats.processor_s - old.processor_s) * MS_PER_S, 1),
            "received": stats.received - old.received,
            "sent": stats.sent - old.sent,
        }
        for kind, stats in after.items()
        for old in [before.get(kind, _NO_STATS)]
    ]
    items.sort(key=lambda item: item["processor_ms"], reverse=True)
    return items[:MAX_KINDS]


def _read_cpu_s() -> float:
    """Return the processor time of this process, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _read_wake_ups(loop: Any) -> int:
    """Return the wake-ups of a loop that counts them; 0 for other loops."""
    return getattr(loop, "wake_ups", 0)
