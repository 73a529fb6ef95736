"""Counts of a router's requests by team, and the log line that reports them."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from enum import StrEnum

import eliot

from almondfield_core.containment import contain_errors
from almondfield_fairshare.server_speed import largest_slowdowns

__all__ = ["RefusalCause", "RequestCounts", "log_request_counts"]

COUNT_INTERVAL_S = 1.0
MAX_TEAMS = 8  # in one line; those with the most requests


class RefusalCause(StrEnum):
    """Why a router found no server for a prompt."""

    SHARE = "share"  # the scheduler refused: the team has had its share
    HELD_SHARE = "held-share"  # an earlier refusal for the share still held
    NO_ROOM = "no-room"  # the scheduler refused: the engines are full
    NO_SCHEDULER = "no-scheduler"  # none answered in time; the team has had its part
    BUSY_SCHEDULER = "busy-scheduler"  # it isn't asked; the team has had its part
    LATE = "late"  # the router reads prompts too late to pass them on in time
    NO_SERVER = "no-server"
    NO_VERSION = "no-version"
    CLOSED = "closed"  # all servers have said that they take no work now
    LIMIT = "limit"  # the servers' limits on all routers together are used up
    EVACUATED = "evacuated"  # all servers are in evacuated data centres
    HOMES = "homes"  # no server is in a region that route and team allow
    QUARANTINE = "quarantine"  # servers ended under the request or a part of it


class RequestCounts:
    """Requests of one router since the previous collection.

    Each log line of a request is subject to the limit on lines; these counts are not.
    """

    def __init__(self) -> None:
        self._answers_by_team: dict[str, Counter[str]] = {}
        self._refusals_by_team: dict[str, Counter[str]] = {}
        self._body_bytes = 0

    def record_body(self, count: int) -> None:
        """Count the body of a request that was read.

        :param count: its length in bytes.
        """
        self._body_bytes += count

    def record_refusal(self, team: str, cause: str) -> None:
        """Count a decision to refuse a request.

        :param team: team of the caller; empty where it was not looked up.
        :param cause: short name of the reason.
        """
        self._refusals_by_team.setdefault(team, Counter())[cause] += 1

    def record_answer(self, team: str, status: int) -> None:
        """Count a request that has ended.

        :param team: team of the caller.
        :param status: status sent to the caller; 0 if it disconnected before.
        """
        self._answers_by_team.setdefault(team, Counter())[str(status)] += 1

    def collect(self) -> dict[str, object]:
        """Return the fields of the log line, and reset the counts."""
        answers, self._answers_by_team = self._answers_by_team, {}
        refusals, self._refusals_by_team = self._refusals_by_team, {}
        body_bytes, self._body_bytes = self._body_bytes, 0
        requests_by_team = Counter({t: c.total() for t, c in answers.items()})
        for team, counts in refusals.items():
            requests_by_team[team] = max(requests_by_team[team], counts.total())
        return {
            "requests": requests_by_team.total(),
            "body_bytes": body_bytes,
            "teams": [
                {
                    "team": team,
                    "answers": dict(answers.get(team, ())),
                    "refusals": dict(refusals.get(team, ())),
                }
                for team, _ in requests_by_team.most_common(MAX_TEAMS)
            ],
        }


async def log_request_counts(
    counts: RequestCounts,
    connections: Callable[[], int],
    accepted: Callable[[], int],
    running: Callable[[], int],
    slowdown_by_server: Callable[[], Mapping[str, float]] = dict,
) -> None:
    """Log the counts once a second while there are requests, until cancelled.

    :param counts: the counts.
    :param connections: returns the number of open connections of callers.
    :param accepted: returns the number of connections accepted since the start.
    :param running: returns the number of requests in work.
    :param slowdown_by_server: returns how long work takes at each server now, relative
        to the usual time.
    """
    before = accepted()
    while True:
        await asyncio.sleep(COUNT_INTERVAL_S)
        before, accepted_before = accepted(), before
        with contain_errors("counts of requests"):
            fields = counts.collect()
            if fields["requests"] or before > accepted_before:
                eliot.log_message(
                    "request:counts",
                    connections=connections(),
                    accepted=before - accepted_before,
                    running=running(),
                    slowdowns=largest_slowdowns(slowdown_by_server()),
                    **fields,
                )
