"""Two disks are lost, one after the other, after a large configuration was changed.

The operator has added many routes and then changed the configuration again and again.
Then a control host loses its disk and comes back with an empty one. Once it has had
its time to catch up, another one loses its disk.
"""

import asyncio
import os
import shutil
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import Deployment, has_trouble, main  # noqa: E402

# The dose of big_config in grown/hestasala-grown.toml; sites/jaakarp-tallinn.toml: 350.
ROUTES = int(os.environ.get("ROUTES", "1400"))
CHANGES = int(os.environ.get("CHANGES", "80"))
DOWN_S = 1.0
CATCH_UP_S = 4.0
BETWEEN_S = 2.5 * CATCH_UP_S
READ_BACK_S = 20.0


def document(version):
    """Return the configuration of a version; each moves all routes a little."""
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
                {"service": "pool", "weight": 1 + version % 90},
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


async def lose_disk(host, record):
    """Kill a control host and start it again with an empty disk."""
    record(f"{host.name} loses its disk")
    await host.kill()
    data = Path(host.settings["data_folder"])
    shutil.rmtree(data)
    data.mkdir()
    await asyncio.sleep(DOWN_S)
    await host.start()
    record(f"{host.name} is back with an empty disk")


async def case(folder, record):
    """Return whether the acknowledged configuration can't be read back."""
    deployment = Deployment(folder, record, controls=3, routers=1)
    try:
        return await play(deployment, record)
    finally:
        await deployment.stop()


async def play(deployment, record):
    """Change the configuration, lose two disks in turn, and read back."""
    await deployment.start(document(1))
    for version in range(2, CHANGES + 2):
        await deployment.publish(document(version))
    acknowledged = CHANGES + 1
    record(f"version {acknowledged} is the newest acknowledged one")
    for host in deployment.controls[:0:-1]:
        if has_trouble():
            await lose_disk(host, record)
        await asyncio.sleep(BETWEEN_S)
        version = await deployment.read(CATCH_UP_S)
        size = sum(
            path.stat().st_size for path in Path(host.settings["data_folder"]).iterdir()
        )
        record(
            f"{BETWEEN_S:.0f} s later version {version} is read back, and the disk of"
            f" {host.name} holds {size} bytes"
        )
    version = await deployment.read(READ_BACK_S)
    record(f"read back for {READ_BACK_S:.0f} s: version {version}")
    return version != acknowledged


main(case, FOLDER)
