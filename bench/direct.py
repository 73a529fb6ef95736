"""What the routers add: the same stand-in called directly and through a router."""

import asyncio
import json
from dataclasses import dataclass

import aiosonic

from almondfield_core.clock import now
from deployment import Deployment
from load import TeamLoad
from measures import percentile

__all__ = ["measure_added_ms"]

RATE = 5.0
COST_S = 0.01


@dataclass(frozen=True)
class Probe:
    """One stand-in's address and the way to its pool through a router."""

    direct: str
    routed: str
    team: TeamLoad


async def measure_added_ms(deployment: Deployment, seconds: float) -> dict[str, float]:
    """Return what a router adds to a short request, in milliseconds.

    Direct and routed requests alternate for the whole run; the difference of their
    quantiles is given.

    :param deployment: the running deployment.
    :param seconds: how long to probe.
    """
    pools = deployment.profile.pools
    plan = min(pools, key=lambda pool: pool.load)
    team = next(load for load in reversed(deployment.loads()) if load.pool == plan.name)
    probe = Probe(
        f"http://{deployment.stand_in_address(plan, plan.servers - 1)}{plan.path}",
        f"http://{deployment.seeds[-1]}{plan.path}",
        team,
    )
    direct: list[float] = []
    routed: list[float] = []
    async with aiosonic.HTTPClient() as client:
        for number in range(int(seconds * RATE)):
            for url, times in ((probe.direct, direct), (probe.routed, routed)):
                request_id = f"probe-{len(direct) + len(routed)}-{number}"
                took_s = await _time_one(client, url, probe.team, request_id)
                if took_s is not None:
                    times.append(took_s)
            await asyncio.sleep(1 / RATE)
    if not direct or not routed:
        return {"p50": float("nan"), "p99": float("nan")}
    return {
        name: (percentile(routed, share) - percentile(direct, share)) * 1000
        for name, share in (("p50", 0.5), ("p99", 0.99))
    }


async def _time_one(client, url: str, team: TeamLoad, request_id: str) -> float | None:
    order = {"id": request_id, "team": "probe", "cost_s": COST_S}
    headers = {"authorization": f"Bearer {team.key}"}
    headers["content-type"] = "application/json"
    began_s = now()
    try:
        answer = await client.post(url, data=json.dumps(order), headers=headers)
        await answer.content()
    except Exception:
        return None
    return now() - began_s if answer.status_code == 200 else None
