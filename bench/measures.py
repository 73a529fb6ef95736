"""Figures of one run, computed from the stand-ins' ledgers and callers' records."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import combinations

from load import CallRecord, TeamLoad
from standins import RunRecord

__all__ = [
    "PoolFigures",
    "ServerLoss",
    "TeamFigures",
    "count_outcomes",
    "measure_pool",
    "percentile",
]

GRID_S = 0.1
# A request counts as waiting once it is older than the transit to a backend server.
TRANSIT_S = 0.02
WINDOW_S = 5.0
FULL_USE_SHARE = 0.9
SUSTAINED_S = 0.5


@dataclass(frozen=True)
class Run:
    """One execution of a request on a stand-in server; times in seconds."""

    request_id: str
    team: str
    start_s: float
    end_s: float
    method: str
    resumed: bool


@dataclass(frozen=True)
class TeamFigures:
    """Figures of one team in one pool; service in slot-seconds."""

    team: str
    weight: float
    requests: int
    answered: int
    service: float
    share_wanted: float
    share_got: float
    first_byte_p50_s: float
    first_byte_p95_s: float


@dataclass(frozen=True)
class PoolFigures:
    """Figures of one pool.

    :ivar utilisation: busy share of the slot-seconds while requests waited; None
        if no request waited.
    :ivar waiting_s: seconds during which at least one request waited.
    :ivar fairness_gap: largest difference of weighted service between two teams over
        any interval in which both are backlogged, in slot-seconds per weight.
    :ivar fairness_bound: upper bound of the fairness gap.
    :ivar window_gap: fairness gap within intervals of at most 5 s.
    :ivar widest_pair: the two teams with the largest difference.
    :ivar refill_p95_s: 95th percentile of the time from the end of a request to the
        next start on its server, while requests wait.
    :ivar recovery_s: time from the fault until the slots are in full use again; None
        without a fault or without recovery.
    :ivar teams: figures by team.
    """

    pool: str
    utilisation: float | None
    waiting_s: float
    fairness_gap: float
    fairness_bound: float
    window_gap: float
    widest_pair: tuple[str, str] = ("", "")
    refill_p95_s: float = 0.0
    recovery_s: float | None = None
    teams: tuple[TeamFigures, ...] = ()


def percentile(values: Iterable[float], share: float) -> float:
    """Return the value below which a share of the values lies; 0 if there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@dataclass(frozen=True)
class ServerLoss:
    """A stand-in server that left or crashed during the run.

    :ivar server: name of the stand-in.
    :ivar slots: number of its slots.
    :ivar time_s: time of the loss on the monotonic clock, in seconds.
    :ivar died: whether it crashed, which ends the requests running on it.
    """

    server: str
    slots: int
    time_s: float
    died: bool


def pair_runs(
    records: Iterable[RunRecord], end_s: float, losses: tuple[ServerLoss, ...] = ()
) -> list[Run]:
    """Return the runs that the ledgers record.

    :param records: lines of the ledgers.
    :param end_s: end time of runs without an end record, in seconds.
    :param losses: lost stand-ins; a crash ends the runs on that stand-in.
    """
    died_s_by_server = {loss.server: loss.time_s for loss in losses if loss.died}
    open_runs: dict[tuple[str, str], list[RunRecord]] = defaultdict(list)
    runs = []
    for record in records:
        key = (record.request_id, record.server)
        if record.event == "start":
            open_runs[key].append(record)
        elif open_runs[key]:
            runs.append(_run(open_runs[key].pop(0), record.time_s))
    for (_, server), started in open_runs.items():
        last_s = died_s_by_server.get(server, end_s)
        runs.extend(_run(record, max(last_s, record.time_s)) for record in started)
    return runs


def _run(started: RunRecord, end_s: float) -> Run:
    return Run(
        started.request_id,
        started.team,
        started.time_s,
        end_s,
        started.method,
        started.resumed,
    )


def count_outcomes(
    records: Iterable[RunRecord],
    calls: Iterable[CallRecord],
    at_most_once_teams: set[str],
) -> dict[str, int]:
    """Return the number of requests by outcome and of violated guarantees.

    :param records: ledger lines of every stand-in.
    :param calls: the callers' records.
    :param at_most_once_teams: teams whose requests may run at most once.
    """
    starts: dict[str, int] = defaultdict(int)
    for record in records:
        if record.event == "start" and not record.resumed:
            starts[record.request_id] += 1
    team_by_id = {call.request_id: call.team for call in calls}
    ran_twice = sum(
        1
        for i, n in starts.items()
        if n > 1 and team_by_id.get(i) in at_most_once_teams
    )
    outcomes_by_id: dict[str, set[str]] = defaultdict(set)
    for call in calls:
        outcomes_by_id[call.request_id].add(call.outcome)
    # One of two requests with the same key may be refused while the other runs.
    not_run_but_ran = sum(
        1
        for i, outcomes in outcomes_by_id.items()
        if outcomes == {"not-run"} and starts[i]
    )
    counts = defaultdict(int)
    for call in calls:
        counts[call.outcome] += 1
    return {
        "requests": len(team_by_id),
        "answered": counts["answered"],
        "not_run": counts["not-run"],
        "unknown": counts["unknown"],
        "cut": counts["cut"],
        "unfinished": counts["unfinished"],
        "wrong_answers": counts["wrong"],
        "ran_twice": ran_twice,
        "not_run_but_ran": not_run_but_ran,
    }


def measure_pool(
    pool: str,
    slots: int,
    teams: tuple[TeamLoad, ...],
    records: Iterable[RunRecord],
    calls: Iterable[CallRecord],
    start_s: float,
    end_s: float,
    losses: tuple[ServerLoss, ...] = (),
    fault_s: float | None = None,
) -> PoolFigures:
    """Return the figures of one pool for an interval.

    :param pool: name of the pool.
    :param slots: slots of all its stand-ins.
    :param teams: load of each team on the pool.
    :param records: ledger lines of its stand-ins.
    :param calls: the callers' records of the pool.
    :param start_s: start of the interval on the monotonic clock, in seconds.
    :param end_s: end of the interval, in seconds.
    :param losses: stand-ins of the pool that left or crashed.
    :param fault_s: start of a fault on the monotonic clock, in seconds.
    """
    records = list(records)
    calls = [call for call in calls if call.pool == pool]
    runs = pair_runs(records, end_s, losses)
    steps = int((end_s - start_s) / GRID_S)
    slots_at = [slots] * steps
    for loss in losses:
        for k in range(max(0, int((loss.time_s - start_s) / GRID_S)), steps):
            slots_at[k] -= loss.slots
    busy = _covered_time(((run.start_s, run.end_s) for run in runs), start_s, steps)
    service_by_team = {team.team: [0.0] * steps for team in teams}
    for team in teams:
        spans = ((r.start_s, r.end_s) for r in runs if r.team == team.team)
        service_by_team[team.team] = _covered_time(spans, start_s, steps)
    waiting_by_team = _waiting_steps(teams, runs, calls, start_s, steps)
    work_waits = [any(w[k] for w in waiting_by_team.values()) for k in range(steps)]
    waiting_s = sum(work_waits) * GRID_S
    used = sum(b for b, waited in zip(busy, work_waits) if waited)
    offered = sum(n * GRID_S for n, waited in zip(slots_at, work_waits) if waited)
    utilisation = min(1.0, used / offered) if offered else None
    weight_by_team = {team.team: team.weight for team in teams}
    whole_run = _widest_gap(service_by_team, waiting_by_team, weight_by_team, steps)
    window = _widest_gap(
        service_by_team, waiting_by_team, weight_by_team, int(WINDOW_S / GRID_S)
    )
    largest_cost_s = max(team.largest_cost_s for team in teams)
    lightest = min(weight_by_team.values())
    return PoolFigures(
        pool,
        utilisation,
        waiting_s,
        whole_run[0],
        slots * largest_cost_s / lightest,
        window[0],
        whole_run[1],
        percentile(_refill_times(records, work_waits, start_s), 0.95),
        _recovery_s(busy, slots_at, work_waits, start_s, fault_s),
        _team_figures(teams, service_by_team, work_waits, calls),
    )


def _covered_time(spans, start_s: float, steps: int) -> list[float]:
    """Return the seconds that the spans cover in each step of the time grid."""
    covered = [0.0] * steps
    for begin_s, end_s in spans:
        first = max(0, int((begin_s - start_s) / GRID_S))
        last = min(steps - 1, int((end_s - start_s) / GRID_S))
        for k in range(first, last + 1):
            left = start_s + k * GRID_S
            covered[k] += max(0.0, min(end_s, left + GRID_S) - max(begin_s, left))
    return covered


def _waiting_steps(teams, runs, calls, start_s: float, steps: int):
    """Return by team whether a request waited during the whole of each step."""
    started_by_id: dict[str, float] = {}
    for run in runs:
        started = started_by_id.get(run.request_id, run.start_s)
        started_by_id[run.request_id] = min(started, run.start_s)
    waiting_by_team = {team.team: [False] * steps for team in teams}
    for call in calls:
        begin_s = call.sent_s + TRANSIT_S
        end_s = started_by_id.get(call.request_id, call.sent_s + call.total_s)
        first = max(0, int((begin_s - start_s) / GRID_S) + 1)
        last = min(steps, int((end_s - TRANSIT_S - start_s) / GRID_S))
        waiting = waiting_by_team[call.team]
        for k in range(first, last):
            waiting[k] = True
    return waiting_by_team


def _widest_gap(service_by_team, waiting_by_team, weight_by_team, longest: int):
    """Return the largest service gap and its teams.

    :param longest: longest interval of joint backlog that is compared, in steps.
    """
    widest, pair = 0.0, ("", "")
    for first_team, second_team in combinations(service_by_team, 2):
        difference, low, high, length = 0.0, 0.0, 0.0, 0
        for k in range(len(service_by_team[first_team])):
            joint = waiting_by_team[first_team][k] and waiting_by_team[second_team][k]
            if not joint or length >= longest:
                difference, low, high, length = 0.0, 0.0, 0.0, 0
                if not joint:
                    continue
            length += 1
            difference += service_by_team[first_team][k] / weight_by_team[first_team]
            difference -= service_by_team[second_team][k] / weight_by_team[second_team]
            low, high = min(low, difference), max(high, difference)
            if high - low > widest:
                widest, pair = high - low, (first_team, second_team)
    return widest, pair


def _refill_times(records, work_waits, start_s: float) -> list[float]:
    """Return the seconds between an end and the next start on the same server."""
    times = []
    ends_by_server: dict[str, list[float]] = defaultdict(list)
    for record in sorted(records, key=lambda record: record.time_s):
        ends = ends_by_server[record.server]
        step = int((record.time_s - start_s) / GRID_S)
        if record.event == "end":
            if 0 <= step < len(work_waits) and work_waits[step]:
                ends.append(record.time_s)
        elif ends:
            times.append(record.time_s - ends.pop(0))
    return times


def _recovery_s(busy, slots_at, work_waits, start_s: float, fault_s: float | None):
    """Return the seconds from a fault until full use that lasts half a second."""
    if fault_s is None:
        return None
    first = int((fault_s - start_s) / GRID_S)
    steps_needed = int(SUSTAINED_S / GRID_S)
    full_steps = 0
    was_below = False
    for k in range(first, len(busy)):
        full = not work_waits[k] or busy[k] >= FULL_USE_SHARE * slots_at[k] * GRID_S
        was_below = was_below or not full
        full_steps = full_steps + 1 if full else 0
        if full_steps == steps_needed and was_below:
            return (k + 1 - steps_needed - first) * GRID_S
    return 0.0 if not was_below else None


def _team_figures(teams, service_by_team, work_waits, calls) -> tuple[TeamFigures, ...]:
    total = sum(
        s
        for service in service_by_team.values()
        for s, w in zip(service, work_waits)
        if w
    )
    weights = sum(team.weight for team in teams)
    figures = []
    for team in teams:
        team_calls = [call for call in calls if call.team == team.team]
        answered = [call for call in team_calls if call.outcome == "answered"]
        first_bytes = [call.first_byte_s for call in answered]
        service = service_by_team[team.team]
        contended_service = sum(s for s, waited in zip(service, work_waits) if waited)
        figures.append(
            TeamFigures(
                team.team,
                team.weight,
                len(team_calls),
                len(answered),
                sum(service),
                team.weight / weights,
                contended_service / total if total else 0.0,
                percentile(first_bytes, 0.5),
                percentile(first_bytes, 0.95),
            )
        )
    return tuple(figures)
