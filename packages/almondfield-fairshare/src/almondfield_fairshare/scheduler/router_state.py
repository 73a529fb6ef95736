"""What a scheduler knows of one router, and which slots that router may be using."""

from collections import Counter
from dataclasses import dataclass, field, replace

from almondfield_core.clock import now
from almondfield_core.messages import DemandReport, SlotGrant

__all__ = ["RouterState"]

LEFT_OVER_BOUND_S = 30.0
"""Longest time that requests of a lost router count as running, in seconds."""


@dataclass(frozen=True)
class _Sent:
    """A grant that the router may still follow."""

    grant: SlotGrant
    sent_s: float
    until_s: float
    given_back_by_server: dict[str, int] = field(default_factory=dict)

    def slots_by_server(self) -> dict[str, int]:
        given_back = self.given_back_by_server
        slots = {
            server.name: server.slots - given_back.get(server.name, 0)
            for server in self.grant.servers
        }
        return {name: count for name, count in slots.items() if count > 0}


@dataclass(frozen=True)
class _Rest:
    """What a scheduler plans by for a router that has no request."""

    incarnation: int
    finished: int
    held_by_server: dict[str, int]
    granted_by_server: dict[str, int]
    failures_by_server: dict[str, int]


class RouterState:
    """Newest report of a router and the grants that it may follow.

    :param host: name of the router's host.
    :param epoch: epoch of the scheduler's pool lease.
    :ivar earlier_by_server: slots that it had from the scheduler before.
    """

    def __init__(self, host: str, epoch: int) -> None:
        self.host = host
        self.report: DemandReport | None = None
        self.heard_s = float("-inf")
        self.lost_s = float("-inf")
        self.accounted_once = False
        self.earlier_by_server: dict[str, int] = {}
        self._epoch = epoch
        self._sent: list[_Sent] = []
        self._next_number = 1
        self._foreign_number = 0
        self._left_over: Counter[str] = Counter()
        self._lost_incarnation = -1
        self._newest = (-1, -1)

    @property
    def accounted(self) -> bool:
        """Return whether the router follows no grant but those of this scheduler."""
        report = self.report
        return (
            report is not None
            and report.epoch == self._epoch
            and report.grant_number > self._foreign_number
        )

    @property
    def last_sent_s(self) -> float:
        """Return when the newest grant was sent."""
        return self._sent[-1].sent_s if self._sent else float("-inf")

    @property
    def granted_until_s(self) -> float:
        """Return when the newest grant ends, at the latest."""
        return self._sent[-1].until_s if self._sent else float("-inf")

    def take(self, report: DemandReport) -> bool:
        """Note a report; return False where it is older than the known one.

        :param report: full state of the router.
        """
        newest = (report.incarnation, report.number)
        if newest <= self._newest:
            return False
        if self.is_restart(report):
            self.note_lost()
        elif report.incarnation == self._lost_incarnation:
            self._left_over.clear()
        self._newest = newest
        self.report = report
        self.heard_s = now()
        if report.epoch == self._epoch:
            if not self.accounted_once and self.accounted:
                self.accounted_once = True
                self.earlier_by_server = dict(report.given_back_by_server)
            self._confirm(report)
        return True

    def is_restart(self, report: DemandReport) -> bool:
        """Return whether a report is the first of a new incarnation.

        :param report: full state of the router.
        """
        return 0 <= self._newest[0] < report.incarnation

    def rest(self) -> _Rest | None:
        """Return the state of a router where nothing waits or runs; else None."""
        report = self.report
        if (
            not self.accounted
            or report.in_flight
            or any(report.waiting_by_team.values())
        ):
            return None
        return _Rest(
            report.incarnation,
            report.finished,
            self.hold(),
            self.granted(),
            report.failures_by_server,
        )

    def next_grant_number(self) -> int:
        """Return the number for the next grant to the router."""
        number = self._next_number
        self._next_number += 1
        return number

    def note_sent(self, grant: SlotGrant) -> None:
        """Remember a grant until the router confirms a newer one.

        :param grant: the grant that was sent.
        """
        self._sent.append(_Sent(grant, now(), self.heard_s + grant.lifetime_s))

    def note_lost(self) -> None:
        """Keep what the router may be running as left over, and nothing else."""
        self._lost_incarnation = self._newest[0]
        self._left_over |= Counter(self.hold())
        self._sent.clear()
        self.report = None
        self.lost_s = now()

    def granted(self) -> dict[str, int]:
        """Return the slots by server of the newest grant."""
        return self._sent[-1].slots_by_server() if self._sent else {}

    def in_flight(self) -> dict[str, int]:
        """Return the requests by server that the router reported."""
        counts: Counter[str] = Counter()
        if self.report is not None:
            for entry in self.report.in_flight:
                counts[entry.server] += entry.count
        return dict(counts)

    def likely_on(self, server: str) -> int:
        """Return the requests that the router likely runs on a server now.

        A router with waiting work has used its slots since it reported.
        """
        reported = self.in_flight().get(server, 0)
        if self.report is None or not any(self.report.waiting_by_team.values()):
            return reported
        return max(reported, self.granted().get(server, 0))

    def hold(self) -> dict[str, int]:
        """Return the slots by server that the router may be using, at most."""
        held = Counter(self.in_flight())
        for sent in self._sent:
            held |= Counter(sent.slots_by_server())
        return dict(held + self._left_over)

    def settle_left_over(self, server: str, hidden: int) -> None:
        """Give back slots of a lost router that a server no longer runs.

        :param server: name of the server.
        :param hidden: requests that the server reports beyond the known ones.
        """
        if server in self._left_over:
            self._left_over[server] = min(self._left_over[server], hidden)

    def forget_left_over(self) -> None:
        """Give back all slots of a router that was lost long ago."""
        if now() - self.lost_s > LEFT_OVER_BOUND_S:
            self._left_over.clear()

    def _confirm(self, report: DemandReport) -> None:
        """Drop grants before the confirmed one; go beyond one that is not ours."""
        number = report.grant_number
        if number >= self._next_number:
            self._foreign_number = number
            self._next_number = number + 1
        self._sent = [sent for sent in self._sent if sent.grant.number >= number]
        if self._sent and self._sent[0].grant.number == number:
            given_back = report.given_back_by_server
            self._sent[0] = replace(self._sent[0], given_back_by_server=given_back)
