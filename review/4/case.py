"""Control hosts go over their memory while a large configuration is changed.

A stand-in of the platform ends each process that uses more than its memory, and starts
it again after a short pause, as the platform does. Nothing else happens to them.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import Deployment, call, has_trouble, main  # noqa: E402

MEMORY_MB = 296
# big_config of grown/hestasala-grown.toml, 1400 routes, twice; without it, some routes.
ROUTES = 2800 if has_trouble() else 20
PLAY_S = 100.0
CHECK_S = 0.05
RESTART_S = 0.5
ENDS = 3
KIB_PER_MIB = 1024


def document(version):
    """Return the configuration of a version as JSON; only the version differs."""
    routes = [
        {
            "name": f"r-{number:07d}",
            "host": "a.example",
            "pathPrefix": f"/lohu{number}/",
            "routeKind": "streaming",
            "timeoutMs": 15000,
            "targetLatencyMs": 800,
            "priority": 1,
            "split": [
                {"service": "pool", "weight": 90},
                {"service": "pool-2", "weight": 10},
            ],
            "maxAttempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "targetItlMs": 250,
        }
        for number in range(ROUTES)
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 620}
            for name in ("pool", "pool-2")
        ],
        "limits": {"maxBodyBytes": 4194304},
        "tenants": [{"name": "tenant", "apiKeys": ["key"], "priority": 1}],
    }


class Platform:
    """Ends processes that use more than their memory, and starts them again.

    :param hosts: the processes.
    :param record: writes the record.

    :ivar ends_by_name: how often each process has ended.
    """

    def __init__(self, hosts, record):
        self.ends_by_name = {host.name: 0 for host in hosts}
        self._hosts = hosts
        self._record = record
        self._tasks = set()

    @property
    def is_broken(self):
        """Return whether half of the hosts have ended too often."""
        often = [ends >= ENDS for ends in self.ends_by_name.values()]
        return 2 * sum(often) >= len(often)

    async def watch(self):
        """Watch the processes until cancelled."""
        while True:
            for host in self._hosts:
                used_mb = resident_mb(host)
                if used_mb > MEMORY_MB:
                    await host.kill()
                    self.ends_by_name[host.name] += 1
                    ends = self.ends_by_name[host.name]
                    text = f"{host.name} uses {used_mb} MB, ended for the {ends}. time"
                    self._record(text)
                    task = asyncio.create_task(self._start_again(host))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(CHECK_S)

    async def _start_again(self, host):
        await asyncio.sleep(RESTART_S)
        await host.start()


def resident_mb(host):
    """Return the resident memory of a process in MiB; 0 if it doesn't run."""
    try:
        text = Path(f"/proc/{host.pid}/status").read_text()
    except OSError:
        return 0
    lines = [line for line in text.splitlines() if line.startswith("VmRSS")]
    return int(lines[0].split()[1]) // KIB_PER_MIB if lines else 0


async def case(folder, record):
    """Return whether half of the control hosts end three times by themselves."""
    deployment = Deployment(folder, record, controls=3, routers=1)
    for host in deployment.controls:
        host.settings["memory_mb"] = MEMORY_MB
    platform = Platform(deployment.controls, record)
    watch = None
    try:
        await deployment.start(document(1))
        watch = asyncio.create_task(platform.watch())
        await change(deployment, platform, record)
        return platform.is_broken
    finally:
        if watch is not None:
            watch.cancel()
        await deployment.stop()


async def change(deployment, platform, record):
    """Send one change after the other, each until it is acknowledged."""
    body = json.dumps(document(0))
    until_s = time.monotonic() + PLAY_S
    version = 1
    while time.monotonic() < until_s and not platform.is_broken:
        version += 1
        changed = body.replace('"version": 0', f'"version": {version}', 1).encode()
        while time.monotonic() < until_s and not await send(deployment, changed):
            await asyncio.sleep(0.1)
        if version % 20 == 0:
            used = [resident_mb(host) for host in deployment.controls]
            record(f"version {version} was acknowledged; memory in MB: {used}")
        if not has_trouble():
            await asyncio.sleep(0.1)
    record(f"{version} versions; ends of processes: {platform.ends_by_name}")


async def send(deployment, body):
    """Return whether a control host acknowledges a configuration."""
    for host in deployment.controls:
        if host.is_running:
            address = host.settings["control_address"]
            reply = await call(address, "PUT", "/v1/config", body=body)
            if reply.status == 200:
                return True
    return False


main(case, FOLDER)
