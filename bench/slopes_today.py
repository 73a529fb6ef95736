"""Measures nine real daemons of the larger current deployment without callers.

``python bench/slopes_today.py`` writes docs/capacity/today.json.
"""

import asyncio
import json
import os
import random
import tempfile
from pathlib import Path

from almondfield_core.clock import now
from deployment import PROFILE_BY_NAME, Deployment
from fleet import Fleet

__all__ = ["main"]

OUTPUT = Path(__file__).resolve().parent.parent / "docs" / "capacity" / "today.json"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
FIRST_PORTS = range(21000, 29000, 100)
SETTLE_S = 8.0
MEASURE_S = 20.0


async def measure() -> dict[str, object]:
    """Return processor share, bytes and memory of each daemon."""
    profile = PROFILE_BY_NAME["jaakarp"]
    with tempfile.TemporaryDirectory() as folder:
        first_port = random.choice(FIRST_PORTS)
        deployment = Deployment(profile, Path(folder) / "d", first_port, "fair-share")
        fleet = Fleet(deployment, relayed=False)
        try:
            await fleet.start()
            await asyncio.sleep(SETTLE_S)
            return await _measure_fleet(fleet)
        finally:
            await fleet.stop()


async def _measure_fleet(fleet: Fleet) -> dict[str, object]:
    cpu_before, use_before = (
        _processor_s_by_host(fleet),
        await fleet.read_control_use(),
    )
    started_s = now()
    await asyncio.sleep(MEASURE_S)
    cpu_after, use = _processor_s_by_host(fleet), await fleet.read_control_use()
    elapsed_s = now() - started_s
    leader = (await fleet.status())["leader"]
    hosts = {
        name: {
            "schedules": use[name].scheduled_pools,
            "leads": name == leader,
            "process_share": round((cpu_after[name] - cpu_before[name]) / elapsed_s, 4),
            "messages_share": round(
                (use[name].processor_s - use_before[name].processor_s) / elapsed_s, 4
            ),
            "sent_bytes_per_s": round(
                (use[name].sent_bytes - use_before[name].sent_bytes) / elapsed_s
            ),
        }
        for name in sorted(use)
    }
    memory = round(fleet.largest_memory_mb(), 1)
    load = os.getloadavg()[0]
    return {"hosts": hosts, "largest_memory_mb": memory, "machine_load": load}


def _processor_s_by_host(fleet: Fleet) -> dict[str, float]:
    used_s_by_host = {}
    for name, process in fleet.daemon_by_host.items():
        text = Path(f"/proc/{process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        used_s_by_host[name] = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return used_s_by_host


def main() -> None:
    """Measure and write the figures."""
    figures = asyncio.run(measure())
    OUTPUT.write_text(json.dumps(figures, indent=1) + "\n")
    print(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
