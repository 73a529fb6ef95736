"""Measures changes of large tables against real daemons on this machine.

Prints the time from the start of the request until the change is accepted and until it
is in force everywhere: for all routes at once, then for one route, each sent as the
command line sends it. A change of one route first fetches the tables to compare with.
"""

import argparse
import asyncio
import os
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tools"))

from almondfield_cli.client import OperatorClient
from almondfield_cli.transport import AiosonicTransport
from almondfield_core.messages import RowChange, TableChange
from almondfield_core.tables import Tables, rows_between
from changes import make_tables
from deployment import OPERATOR_TOKEN, PROFILE_BY_NAME, Deployment
from fleet import Fleet

FIRST_PORT = 23_100
TIMEOUT_S = 20.0
WAIT_S = 5.0


async def apply(client: OperatorClient, change: TableChange | RowChange) -> str:
    """Return the times of a change, in seconds, and the leader after it, as text."""
    start_s = time.perf_counter()
    accepted = (await client.apply(change)).unwrap()
    accepted_s = time.perf_counter() - start_s
    while not (await client.wait_in_force(accepted.revision, WAIT_S)).unwrap().in_force:
        pass
    in_force_s = time.perf_counter() - start_s
    status = (await client.status()).unwrap()
    return (
        f"accepted {accepted_s:.3f} s, in force {in_force_s:.3f} s, "
        f"leader {status.leader}, term {status.term}"
    )


async def change_one(client: OperatorClient, number: int) -> str:
    """Return the times of a change of one route of the current tables, as text."""
    start_s = time.perf_counter()
    before = (await client.tables()).unwrap()
    fetched_s = time.perf_counter() - start_s
    changed_route = replace(before.routes[number], queue_limit=number + 1)
    routes = (*before.routes[:number], changed_route, *before.routes[number + 1 :])
    rows = rows_between(before, Tables(0, before.pools, routes))
    change = RowChange(f"one-{number}", "bench", before.revision, rows)
    return f"fetched {fetched_s:.3f} s, then {await apply(client, change)}"


async def measure(count: int, changes: int, folder: Path) -> None:
    """Print the figures for tables of one size.

    :param count: number of routes.
    :param changes: number of changes of one route.
    :param folder: folder for settings, secrets and state.
    """
    profile = PROFILE_BY_NAME["hestasala"]
    pools = tuple(replace(plan, servers=0) for plan in profile.pools)
    profile = replace(profile, pools=pools)
    deployment = Deployment(profile, folder, FIRST_PORT, "fair-share")
    fleet = Fleet(deployment, relayed=False)
    try:
        await fleet.start()
        transport = AiosonicTransport(OPERATOR_TOKEN)
        client = OperatorClient(transport, deployment.operators, TIMEOUT_S)
        current = (await client.tables()).unwrap()
        tables = make_tables(count)
        change = TableChange(
            "all", "bench", current.revision, tables.pools, tables.routes
        )
        print(f"{count} routes, all: {await apply(client, change)}", flush=True)
        for number in range(changes):
            print(f"{count} routes, one: {await change_one(client, number)}")
    finally:
        await fleet.stop()


def main() -> None:
    """Print every figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=5)
    parser.add_argument("--routes", type=int, nargs="+", default=[2000, 6000, 20000])
    options = parser.parse_args()
    print(f"8 daemons, load average {os.getloadavg()[0]:.1f}")
    for count in options.routes:
        with tempfile.TemporaryDirectory() as name:
            asyncio.run(measure(count, options.changes, Path(name)))


if __name__ == "__main__":
    main()
