"""Open-loop load: callers send without waiting for earlier answers."""

import asyncio
import json
import random
from dataclasses import dataclass

import aiosonic
from aiosonic.pools import PoolConfig

from almondfield_core.clock import now
from almondfield_core.tables import PoolKind
from standins import event_bytes, response_text

__all__ = ["CallRecord", "Load", "TeamLoad"]

CONNECTIONS = 4000
COST_SIGMA = 0.9
MAX_COST_FACTOR = 8.0
# Probability of taking an address instead of a later one in the team's order.
ADDRESS_SKEW = 0.6
CHUNKS = 10
ADDRESS_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class TeamLoad:
    """Load of one team on one pool.

    :ivar team: name of the team.
    :ivar key: the team's key.
    :ivar weight: weight of the team's route.
    :ivar pool: name of the pool, as written to the records.
    :ivar kind: kind of the pool.
    :ivar path: path of the requests.
    :ivar rate: requests a second.
    :ivar mean_cost_s: mean cost of a request, in seconds of a slot.
    :ivar key_share: share of requests that are sent twice with an idempotency key.
    :ivar router: index of the only address to use; None uses all, unevenly.
    """

    team: str
    key: str
    weight: float
    pool: str
    kind: PoolKind
    path: str
    rate: float
    mean_cost_s: float
    key_share: float = 0.0
    router: int | None = None

    @property
    def largest_cost_s(self) -> float:
        """Return the largest cost of a request, in seconds of a slot."""
        return self.mean_cost_s * MAX_COST_FACTOR


@dataclass(frozen=True)
class CallRecord:
    """Result of one request on the caller's side.

    :ivar outcome: ``answered``, ``not-run``, ``unknown``, ``cut``, ``wrong`` or
        ``unfinished``.
    :ivar first_byte_s: seconds from sending to the first byte of the answer; 0
        without an answer.
    :ivar total_s: seconds from sending to the end.
    """

    request_id: str
    team: str
    pool: str
    sent_s: float
    first_byte_s: float
    total_s: float
    outcome: str
    status: int = 0
    detail: str = ""


class Load:
    """Sends the load of several teams and records the result of each request.

    :param teams: load of each team.
    :param seeds: ``address:port`` of the hosts that serve ``/addresses``.
    :param seed: seed of every random choice.
    """

    def __init__(
        self, teams: tuple[TeamLoad, ...], seeds: tuple[str, ...], seed: int
    ) -> None:
        self.records: list[CallRecord] = []
        self.running = 0
        self._teams = teams
        self._seeds = seeds
        self._addresses: tuple[str, ...] = seeds
        self._random = random.Random(seed)
        self._number = 0
        self._calls: set[asyncio.Task[None]] = set()
        connector = aiosonic.TCPConnector(
            pool_configs={":default": PoolConfig(size=CONNECTIONS)}
        )
        self._client = aiosonic.HTTPClient(connector)

    async def send_for(self, seconds: float, drain_s: float) -> None:
        """Send for a time, then wait for the answers that are outstanding.

        :param seconds: how long to send.
        :param drain_s: how long to wait for answers afterwards, in seconds.
        """
        refresher = asyncio.create_task(self._refresh_addresses())
        senders = [asyncio.create_task(self._send_team(t)) for t in self._teams]
        await asyncio.sleep(seconds)
        for sender in senders:
            sender.cancel()
        if self._calls:
            await asyncio.wait(set(self._calls), timeout=drain_s)
        for call in set(self._calls):
            call.cancel()
        refresher.cancel()
        await asyncio.gather(refresher, *senders, *self._calls, return_exceptions=True)

    async def _refresh_addresses(self) -> None:
        while True:
            lifetime_s = await self._fetch_addresses()
            await asyncio.sleep(lifetime_s)

    async def _fetch_addresses(self) -> float:
        candidates = list(dict.fromkeys((*self._addresses, *self._seeds)))
        self._random.shuffle(candidates)
        for address in candidates:
            try:
                async with asyncio.timeout(ADDRESS_TIMEOUT_S):
                    response = await self._client.get(f"http://{address}/addresses")
                    reply = await response.json()
            except (Exception, TimeoutError):
                continue
            addresses = tuple(row["address"] for row in reply["addresses"])
            if addresses:
                self._addresses = addresses
                return float(reply["lifetime_s"])
        return ADDRESS_TIMEOUT_S

    def _pick_address(self, team: TeamLoad) -> str:
        # Each team has a fixed order of hosts and uses the first ones most.
        order = sorted(self._addresses)
        if team.router is not None:
            return order[team.router % len(order)]
        random.Random(team.team).shuffle(order)
        for address in order[:-1]:
            if self._random.random() < ADDRESS_SKEW:
                return address
        return order[-1]

    async def _send_team(self, team: TeamLoad) -> None:
        while True:
            await asyncio.sleep(self._random.expovariate(team.rate))
            self._number += 1
            request_id = f"{team.team}-{self._number}"
            keyed = self._random.random() < team.key_share
            cost_s = self._draw_cost(team)
            for _ in range(2 if keyed else 1):
                call = self._call(team, request_id, cost_s, keyed)
                task = asyncio.create_task(call)
                self._calls.add(task)
                task.add_done_callback(self._calls.discard)

    def _draw_cost(self, team: TeamLoad) -> float:
        mu = -COST_SIGMA * COST_SIGMA / 2
        factor = self._random.lognormvariate(mu, COST_SIGMA)
        return team.mean_cost_s * min(factor, MAX_COST_FACTOR)

    async def _call(self, team, request_id, cost_s, keyed) -> None:
        address = self._pick_address(team)
        payload = {"id": request_id, "team": team.team, "cost_s": cost_s}
        payload["chunks"] = CHUNKS
        headers = {"authorization": f"Bearer {team.key}"}
        headers["content-type"] = "application/json"
        if keyed:
            headers["idempotency-key"] = request_id
        sent_s = now()
        first_byte_s = 0.0
        status, outcome, detail = 0, "unknown", ""
        self.running += 1
        try:
            response = await self._client.post(
                f"http://{address}{team.path}",
                data=json.dumps(payload),
                headers=headers,
                timeouts=aiosonic.Timeouts(request_timeout=120, sock_read=120),
            )
            status = response.status_code
            first_byte_s = now() - sent_s
            body = await _read(response)
            outcome, detail = _classify_answer(team, request_id, response, body)
        except asyncio.CancelledError:
            outcome = "unfinished"
        except Exception as error:
            outcome = "cut" if first_byte_s else "unknown"
            detail = repr(error)
        finally:
            self.running -= 1
            total_s = now() - sent_s
            self.records.append(
                CallRecord(
                    request_id,
                    team.team,
                    team.pool,
                    sent_s,
                    first_byte_s,
                    total_s,
                    outcome,
                    status,
                    detail[:200],
                )
            )


async def _read(response: aiosonic.HttpResponse) -> bytes:
    if not response.chunked:
        return await response.content()
    parts = [part async for part in response.read_chunks()]
    return b"".join(parts)


def _classify_answer(
    team: TeamLoad, request_id: str, response, body: bytes
) -> tuple[str, str]:
    if response.status_code != 200:
        outcome = response.headers.get("almondfield-outcome", "unknown")
        return outcome, body.decode(errors="replace")
    if team.kind is PoolKind.MODEL:
        events = [event_bytes(request_id, n) for n in range(1, CHUNKS + 1)]
        expected = b"".join(events)
    else:
        expected = json.dumps(
            json.loads(response_text(request_id)), separators=(",", ":")
        ).encode()
    if body == expected:
        return "answered", ""
    # A body that is cut short without an error looks complete to the caller.
    return "wrong", body[-80:].decode(errors="replace")
