"""Measures the latency that a router adds to a request.

Calls the same stand-in server directly and through a router.
"""

import asyncio
import json
from dataclasses import dataclass

import aiosonic

from almondfield_core.clock import now
from deployment import Deployment
from load import TeamLoad
from measures import percentile

__all__ = ["measure_added_ms"]

PROBES_PER_S = 5.0
PROBE_COST_S = 0.01


@dataclass(frozen=True)
class Probe:
    """URLs of one stand-in server and of its pool through a router."""

    direct_url: str
    routed_url: str
    team: TeamLoad


async def measure_added_ms(deployment: Deployment, seconds: float) -> dict[str, float]:
    """Return the latency that a router adds to a short request, in milliseconds.

    Direct and routed requests alternate for the whole run; the result is the
    difference of their quantiles.

    :param deployment: the running deployment.
    :param seconds: duration of the measurement.
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
        for number in range(int(seconds * PROBES_PER_S)):
            for url, times in ((probe.direct_url, direct), (probe.routed_url, routed)):
                request_id = f"probe-{len(direct) + len(routed)}-{number}"
                elapsed_s = await _time_request(client, url, probe.team, request_id)
                if elapsed_s is not None:
                    times.append(elapsed_s)
            await asyncio.sleep(1 / PROBES_PER_S)
    if not direct or not routed:
        return {"p50": float("nan"), "p99": float("nan")}
    return {
        name: (percentile(routed, share) - percentile(direct, share)) * 1000
        for name, share in (("p50", 0.5), ("p99", 0.99))
    }


async def _time_request(
    client, url: str, team: TeamLoad, request_id: str
) -> float | None:
    payload = {"id": request_id, "team": "probe", "cost_s": PROBE_COST_S}
    headers = {"authorization": f"Bearer {team.key}"}
    headers["content-type"] = "application/json"
    start_s = now()
    try:
        response = await client.post(url, data=json.dumps(payload), headers=headers)
        await response.content()
    except Exception:
        return None
    return now() - start_s if response.status_code == 200 else None
