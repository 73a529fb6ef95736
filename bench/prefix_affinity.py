"""Weighs preferring the server that holds a request's prompt prefix, under a bound.

A plain simulation with seeds: servers with a bounded cache of prefixes, conversations
of teams, and work that arrives at a share of what the slots can take. Prints, for each
policy, how much of the prompts was found in a cache, the wait and the fairness gap.
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
SKEW = 1.1
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
    """What a policy reached over one run.

    :ivar hit_share: share of requests whose prefix was found.
    :ivar throughput: requests finished a second.
    :ivar mean_wait_s: mean wait for a slot.
    :ivar gap_s: largest difference of service between backlogged teams.
    """

    hit_share: float
    throughput: float
    mean_wait_s: float
    gap_s: float


class Server:
    """A server with slots and a cache that forgets the prefix unused for longest."""

    def __init__(self) -> None:
        self.running = 0
        self.cache: OrderedDict[object, bool] = OrderedDict()

    def touch(self, prefix) -> bool:
        """Return whether a prefix was cached; it is afterwards."""
        hit = prefix in self.cache
        self.cache[prefix] = True
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return hit


def choose(servers, prefix, slack: int | None, source) -> Server:
    """Return the server for a request among those with a free slot.

    :param slack: how many more requests than the idlest one the preferred server may
        run; None prefers none.
    """
    free = [server for server in servers if server.running < SLOTS]
    least = min(server.running for server in free)
    if slack is not None:
        holding = [s for s in free if prefix in s.cache and s.running <= least + slack]
        if holding:
            return min(holding, key=lambda server: server.running)
    return source.choice([server for server in free if server.running == least])


def simulate(load: float, slack: int | None, seed: int) -> Result:
    """Return what a policy reaches.

    Teams are served by lowest service, as the fleet does; affinity picks the server
    only, never the team.

    :param load: arrivals over what the slots take without any cache.
    :param slack: bound on the imbalance, or None for no affinity.
    :param seed: seed of every random choice.
    """
    source = random.Random(seed)
    arrivals = _draw_arrivals(load, source)
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
                floor = min(waiting, default=service[request.team])
                service[request.team] = max(service[request.team], floor)
            if len(queue) < BACKLOG_LIMIT:
                queue.append(request)
        while any(s.running < SLOTS for s in servers):
            teams = [team for team, queue in queue_by_team.items() if queue]
            if not teams:
                break
            gap = max(
                gap, max(service[t] for t in teams) - min(service[t] for t in teams)
            )
            team = min(teams, key=lambda one: (service[one], one))
            request = queue_by_team[team].pop(0)
            prefix = (request.team, request.conversation)
            server = choose(servers, prefix, slack, source)
            hit = server.touch(prefix)
            cost_s = request.decode_s + (0.0 if hit else PREFILL_S)
            hits += hit
            waits.append(now_s - request.arrival_s)
            service[team] += cost_s
            server.running += 1
            heapq.heappush(ends, (now_s + cost_s, len(waits), servers.index(server)))
    return Result(hits / len(waits), finished / now_s, statistics.fmean(waits), gap)


def _draw_arrivals(load: float, source: random.Random) -> list[Request]:
    rate = load * SERVERS * SLOTS / (PREFILL_S + DECODE_S)
    weights = [1 / (rank + 1) ** SKEW for rank in range(CONVERSATIONS)]
    arrivals, now_s = [], 0.0
    for _ in range(REQUESTS):
        now_s += source.expovariate(rate)
        team = source.randrange(TEAMS)
        conversation = source.choices(range(CONVERSATIONS), weights)[0]
        decode_s = DECODE_S * min(8.0, source.lognormvariate(-0.4, 0.9))
        arrivals.append(Request(team, conversation, now_s, decode_s))
    return arrivals


def main() -> None:
    """Print and write the figures of each policy."""
    rows = []
    for load in LOADS:
        for name, slack in (("none", None), ("slack 1", 1), ("slack 3", 3)):
            results = [simulate(load, slack, seed) for seed in SEEDS]
            row = {"load": load, "policy": name}
            for item in Result.__dataclass_fields__:
                values = [getattr(result, item) for result in results]
                row[item] = round(statistics.fmean(values), 3)
                row[f"{item}_range"] = [round(min(values), 3), round(max(values), 3)]
            rows.append(row)
            print(row)
    OUTPUT.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
