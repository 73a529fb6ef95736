"""Simulates preferring the server that has a request's prompt prefix cached.

A bound on the load imbalance limits this preference. Servers have a bounded prefix
cache, teams have conversations, and requests arrive at a share of the rate that the
slots can serve. Prints the cache hit share, throughput, wait and fairness gap of each
policy over several seeds.
"""

import heapq
import json
import random
import statistics
from collections import Counter, OrderedDict
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Result", "simulate"]

ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "docs" / "capacity" / "prefix_affinity.json"
SERVERS, SLOTS, TEAMS, CONVERSATIONS = 6, 8, 16, 40
CACHED_PREFIXES = 60
PREFILL_S, DECODE_S = 0.6, 1.2
ZIPF_EXPONENT = 1.1
REQUESTS = 12_000
SEEDS = range(5)
LOADS = (0.5, 0.8, 0.95, 1.3)
BACKLOG_LIMIT = 400


@dataclass(frozen=True)
class Request:
    """One turn of a conversation."""

    team: int
    conversation: int
    arrival_s: float
    decode_s: float


@dataclass(frozen=True)
class Result:
    """Results of one policy in one run.

    :ivar hit_share: share of requests whose prefix was cached.
    :ivar throughput: finished requests per second.
    :ivar mean_wait_s: mean wait for a slot, in seconds.
    :ivar gap_s: largest difference of service between backlogged teams, in
        slot-seconds.
    """

    hit_share: float
    throughput: float
    mean_wait_s: float
    gap_s: float


class Server:
    """A server with slots and an LRU cache of prefixes."""

    def __init__(self) -> None:
        self.running = 0
        self.cache: OrderedDict[object, bool] = OrderedDict()

    def touch(self, prefix) -> bool:
        """Return whether a prefix was cached, and cache it as the most recent one."""
        hit = prefix in self.cache
        self.cache[prefix] = True
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return hit


def choose(servers, prefix, slack: int | None, rng) -> Server:
    """Return the server for a request among those with a free slot.

    :param slack: how many more requests than the least loaded server the preferred one
        may run; None disables the preference.
    """
    free = [server for server in servers if server.running < SLOTS]
    min_running = min(server.running for server in free)
    if slack is not None:
        with_prefix = [
            s for s in free if prefix in s.cache and s.running <= min_running + slack
        ]
        if with_prefix:
            return min(with_prefix, key=lambda server: server.running)
    return rng.choice([server for server in free if server.running == min_running])


def simulate(load: float, slack: int | None, seed: int) -> Result:
    """Return the results of a policy.

    The team with the least service is served first, as in the fleet; affinity affects
    only the choice of the server.

    :param load: arrival rate relative to the rate that the slots serve without a cache.
    :param slack: bound on the imbalance, or None for no affinity.
    :param seed: seed of every random choice.
    """
    rng = random.Random(seed)
    arrivals = _draw_arrivals(load, rng)
    servers = [Server() for _ in range(SERVERS)]
    queue_by_team: dict[int, list[Request]] = {team: [] for team in range(TEAMS)}
    service: Counter = Counter()
    ends: list[tuple[float, int, int]] = []
    waits, hits, gap, index, now_s = [], 0, 0.0, 0, 0.0
    finished = 0
    while index < len(arrivals) or ends:
        next_arrival = arrivals[index].arrival_s if index < len(arrivals) else 1e18
        if ends and ends[0][0] <= next_arrival:
            now_s, _, number = heapq.heappop(ends)
            servers[number].running -= 1
            finished += 1
        elif index < len(arrivals):
            request = arrivals[index]
            now_s, index = request.arrival_s, index + 1
            queue = queue_by_team[request.team]
            if not queue:
                waiting = [service[t] for t, q in queue_by_team.items() if q]
                min_service = min(waiting, default=service[request.team])
                service[request.team] = max(service[request.team], min_service)
            if len(queue) < BACKLOG_LIMIT:
                queue.append(request)
        while any(s.running < SLOTS for s in servers):
            teams = [team for team, queue in queue_by_team.items() if queue]
            if not teams:
                break
            gap = max(
                gap, max(service[t] for t in teams) - min(service[t] for t in teams)
            )
            team = min(teams, key=lambda candidate: (service[candidate], candidate))
            request = queue_by_team[team].pop(0)
            prefix = (request.team, request.conversation)
            server = choose(servers, prefix, slack, rng)
            hit = server.touch(prefix)
            cost_s = request.decode_s + (0.0 if hit else PREFILL_S)
            hits += hit
            waits.append(now_s - request.arrival_s)
            service[team] += cost_s
            server.running += 1
            heapq.heappush(ends, (now_s + cost_s, len(waits), servers.index(server)))
    return Result(hits / len(waits), finished / now_s, statistics.fmean(waits), gap)


def _draw_arrivals(load: float, rng: random.Random) -> list[Request]:
    rate = load * SERVERS * SLOTS / (PREFILL_S + DECODE_S)
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(CONVERSATIONS)]
    arrivals, now_s = [], 0.0
    for _ in range(REQUESTS):
        now_s += rng.expovariate(rate)
        team = rng.randrange(TEAMS)
        conversation = rng.choices(range(CONVERSATIONS), weights)[0]
        decode_s = DECODE_S * min(8.0, rng.lognormvariate(-0.4, 0.9))
        arrivals.append(Request(team, conversation, now_s, decode_s))
    return arrivals


def main() -> None:
    """Print and write the figures of each policy."""
    rows = []
    for load in LOADS:
        for name, slack in (("none", None), ("slack 1", 1), ("slack 3", 3)):
            results = [simulate(load, slack, seed) for seed in SEEDS]
            row = {"load": load, "policy": name}
            for field in Result.__dataclass_fields__:
                values = [getattr(result, field) for result in results]
                row[field] = round(statistics.fmean(values), 3)
                row[f"{field}_range"] = [round(min(values), 3), round(max(values), 3)]
            rows.append(row)
            print(row)
    OUTPUT.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
