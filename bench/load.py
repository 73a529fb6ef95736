"""An open-loop load: callers that do not wait for answers before the next request."""

import asyncio
import json
import random
from dataclasses import dataclass

import aiosonic
from aiosonic.pools import PoolConfig

from almondfield_core.clock import now
from almondfield_core.tables import PoolKind
from standins import answer_text, event_bytes

__all__ = ["CallRecord", "Load", "TeamLoad"]

CONNECTIONS = 4000
COST_SIGMA = 0.9
COST_CAP = 8.0
SKEW = 0.6
CHUNKS = 10
ADDRESS_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class TeamLoad:
    """What one team sends to one pool.

    :ivar team: name of the team.
    :ivar key: the team's key.
    :ivar weight: weight of the team's route.
    :ivar pool: name of the pool, for the records.
    :ivar kind: kind of the pool.
    :ivar path: path of the requests.
    :ivar rate: requests a second.
    :ivar mean_cost_s: mean cost of a request, in seconds of a slot.
    :ivar key_share: share of requests with an idempotency key that are sent twice.
    :ivar router: index of the only address to use, or None to use all unevenly.
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
        """Return the largest cost that a request can have, in seconds."""
        return self.mean_cost_s * COST_CAP


@dataclass(frozen=True)
class CallRecord:
    """One request as its caller saw it.

    :ivar outcome: ``answered``, ``not-run``, ``unknown``, ``cut`` or ``wrong``.
    :ivar first_byte_s: from sending to the answer's first byte; 0 if none came.
    :ivar total_s: from sending to the end.
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
    """Sends the load of several teams and keeps what came of each request.

    :param teams: what each team sends.
    :param seeds: ``address:port`` of hosts to ask for addresses.
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
        """Return after sending for a time and waiting for what still runs.

        :param seconds: seconds to send.
        :param drain_s: seconds to wait for answers afterwards.
        """
        follower = asyncio.create_task(self._follow_addresses())
        senders = [asyncio.create_task(self._send_team(t)) for t in self._teams]
        await asyncio.sleep(seconds)
        for sender in senders:
            sender.cancel()
        if self._calls:
            await asyncio.wait(set(self._calls), timeout=drain_s)
        for call in set(self._calls):
            call.cancel()
        follower.cancel()
        await asyncio.gather(follower, *senders, *self._calls, return_exceptions=True)

    async def _follow_addresses(self) -> None:
        while True:
            lifetime_s = await self._ask_addresses()
            await asyncio.sleep(lifetime_s)

    async def _ask_addresses(self) -> float:
        known = list(dict.fromkeys((*self._addresses, *self._seeds)))
        self._random.shuffle(known)
        for address in known:
            try:
                async with asyncio.timeout(ADDRESS_TIMEOUT_S):
                    answer = await self._client.get(f"http://{address}/addresses")
                    found = await answer.json()
            except (Exception, TimeoutError):
                continue
            addresses = tuple(row["address"] for row in found["addresses"])
            if addresses:
                self._addresses = addresses
                return float(found["lifetime_s"])
        return ADDRESS_TIMEOUT_S

    def _pick_address(self, team: TeamLoad) -> str:
        # A stable order of hosts per team, the first ones used most.
        order = sorted(self._addresses)
        if team.router is not None:
            return order[team.router % len(order)]
        random.Random(team.team).shuffle(order)
        for address in order[:-1]:
            if self._random.random() < SKEW:
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
        return team.mean_cost_s * min(factor, COST_CAP)

    async def _call(self, team, request_id, cost_s, keyed) -> None:
        address = self._pick_address(team)
        order = {"id": request_id, "team": team.team, "cost_s": cost_s}
        order["chunks"] = CHUNKS
        headers = {"authorization": f"Bearer {team.key}"}
        headers["content-type"] = "application/json"
        if keyed:
            headers["idempotency-key"] = request_id
        sent_s = now()
        first_byte_s = 0.0
        status, outcome, detail = 0, "unknown", ""
        self.running += 1
        try:
            answer = await self._client.post(
                f"http://{address}{team.path}",
                data=json.dumps(order),
                headers=headers,
                timeouts=aiosonic.Timeouts(request_timeout=120, sock_read=120),
            )
            status = answer.status_code
            first_byte_s = now() - sent_s
            body = await _read(answer)
            outcome, detail = _judge(team, request_id, answer, body)
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


async def _read(answer: aiosonic.HttpResponse) -> bytes:
    if not answer.chunked:
        return await answer.content()
    parts = [part async for part in answer.read_chunks()]
    return b"".join(parts)


def _judge(team: TeamLoad, request_id: str, answer, body: bytes) -> tuple[str, str]:
    if answer.status_code != 200:
        told = answer.headers.get("almondfield-outcome", "unknown")
        return told, body.decode(errors="replace")
    if team.kind is PoolKind.MODEL:
        events = [event_bytes(request_id, n) for n in range(1, CHUNKS + 1)]
        expected = b"".join(events)
    else:
        expected = json.dumps(
            json.loads(answer_text(request_id)), separators=(",", ":")
        ).encode()
    if body == expected:
        return "answered", ""
    # A prefix that ends early without an error looks whole to the caller.
    return "wrong", body[-80:].decode(errors="replace")
