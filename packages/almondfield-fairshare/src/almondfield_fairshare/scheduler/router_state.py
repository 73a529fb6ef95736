"""State of one router in a scheduler, and the slots that it may be using."""

from collections import Counter
from dataclasses import dataclass, field, replace

from almondfield_core.clock import now
from almondfield_core.messages import DemandReport, SlotGrant

__all__ = ["RouterState"]

ORPHAN_LIFETIME_S = 30.0
"""Time for which requests of a lost router count as running, in seconds."""


@dataclass(frozen=True)
class _SentGrant:
    """A sent grant that the router may still be using."""

    grant: SlotGrant
    sent_s: float
    expires_s: float
    given_back_by_server: dict[str, int] = field(default_factory=dict)

    def slots_by_server(self) -> dict[str, int]:
        given_back = self.given_back_by_server
        slots = {
            server.name: server.slots - given_back.get(server.name, 0)
            for server in self.grant.servers
        }
        return {name: count for name, count in slots.items() if count > 0}


@dataclass(frozen=True)
class _IdleState:
    """State of a router without requests, as far as it affects the plan."""

    incarnation: int
    finished: int
    held_by_server: dict[str, int]
    granted_by_server: dict[str, int]
    failures_by_server: dict[str, int]


class RouterState:
    """Newest report of a router, and the grants that it may be using.

    :param host: name of the router's host.
    :param epoch: epoch of the scheduler's pool lease.
    :ivar report: newest report; None before the first one and for a lost router.
    :ivar previous_slots_by_server: slots that it had from the previous scheduler.
    """

    def __init__(self, host: str, epoch: int) -> None:
        self.host = host
        self.report: DemandReport | None = None
        self.last_seen_s = float("-inf")
        self.lost_s = float("-inf")
        self.was_synchronized = False
        self.previous_slots_by_server: dict[str, int] = {}
        self._epoch = epoch
        self._sent: list[_SentGrant] = []
        self._next_grant_number = 1
        self._foreign_grant_number = 0
        self._orphaned_by_server: Counter[str] = Counter()
        self._lost_incarnation = -1
        self._newest_report_id = (-1, -1)

    @property
    def is_synchronized(self) -> bool:
        """Return whether the router uses only grants of this scheduler."""
        report = self.report
        return (
            report is not None
            and report.epoch == self._epoch
            and report.grant_number > self._foreign_grant_number
        )

    @property
    def last_sent_s(self) -> float:
        """Return when the newest grant was sent."""
        return self._sent[-1].sent_s if self._sent else float("-inf")

    @property
    def grant_expires_s(self) -> float:
        """Return the latest time at which the newest grant expires."""
        return self._sent[-1].expires_s if self._sent else float("-inf")

    def store_report(self, report: DemandReport) -> bool:
        """Store a report; return False if it is not newer than the stored one.

        :param report: full state of the router.
        """
        newest = (report.incarnation, report.number)
        if newest <= self._newest_report_id:
            return False
        if self.is_restart(report):
            self.mark_lost()
        elif report.incarnation == self._lost_incarnation:
            self._orphaned_by_server.clear()
        self._newest_report_id = newest
        self.report = report
        self.last_seen_s = now()
        if report.epoch == self._epoch:
            if not self.was_synchronized and self.is_synchronized:
                self.was_synchronized = True
                self.previous_slots_by_server = dict(report.given_back_by_server)
            self._confirm(report)
        return True

    def is_restart(self, report: DemandReport) -> bool:
        """Return whether a report is the first of a new incarnation.

        :param report: full state of the router.
        """
        return 0 <= self._newest_report_id[0] < report.incarnation

    def idle_state(self) -> _IdleState | None:
        """Return the state of an idle router; None if requests wait or run there."""
        report = self.report
        if (
            not self.is_synchronized
            or report.in_flight
            or any(report.waiting_by_team.values())
        ):
            return None
        return _IdleState(
            report.incarnation,
            report.finished,
            self.held_slots(),
            self.granted_slots(),
            report.failures_by_server,
        )

    def next_grant_number(self) -> int:
        """Return the number for the next grant to the router."""
        number = self._next_grant_number
        self._next_grant_number += 1
        return number

    def record_sent(self, grant: SlotGrant) -> None:
        """Record a grant until the router confirms a newer one.

        :param grant: the grant that was sent.
        """
        self._sent.append(_SentGrant(grant, now(), self.last_seen_s + grant.lifetime_s))

    def mark_lost(self) -> None:
        """Count the slots that the router may be using as orphaned; drop its state."""
        self._lost_incarnation = self._newest_report_id[0]
        self._orphaned_by_server |= Counter(self.held_slots())
        self._sent.clear()
        self.report = None
        self.lost_s = now()

    def granted_slots(self) -> dict[str, int]:
        """Return the slots of the newest grant, by server."""
        return self._sent[-1].slots_by_server() if self._sent else {}

    def in_flight(self) -> dict[str, int]:
        """Return the reported requests in flight, by server."""
        counts: Counter[str] = Counter()
        if self.report is not None:
            for entry in self.report.in_flight:
                counts[entry.server] += entry.count
        return dict(counts)

    def likely_in_flight(self, server: str) -> int:
        """Return the number of requests that the router likely runs on a server now.

        A router with waiting work has likely filled its slots since the report.
        """
        reported = self.in_flight().get(server, 0)
        if self.report is None or not any(self.report.waiting_by_team.values()):
            return reported
        return max(reported, self.granted_slots().get(server, 0))

    def held_slots(self) -> dict[str, int]:
        """Return the largest number of slots by server that the router may be using."""
        held = Counter(self.in_flight())
        for sent in self._sent:
            held |= Counter(sent.slots_by_server())
        return dict(held + self._orphaned_by_server)

    def bound_orphaned(self, server: str, unreported: int) -> None:
        """Free orphaned slots beyond the requests that a server still runs.

        :param server: name of the server.
        :param unreported: requests of the server that no live router reported.
        """
        if server in self._orphaned_by_server:
            self._orphaned_by_server[server] = min(
                self._orphaned_by_server[server], unreported
            )

    def expire_orphaned(self) -> None:
        """Free all orphaned slots of a router that was lost long ago."""
        if now() - self.lost_s > ORPHAN_LIFETIME_S:
            self._orphaned_by_server.clear()

    def _confirm(self, report: DemandReport) -> None:
        """Drop the grants before the confirmed one.

        After a grant number of another scheduler, numbering continues above it.
        """
        number = report.grant_number
        if number >= self._next_grant_number:
            self._foreign_grant_number = number
            self._next_grant_number = number + 1
        self._sent = [sent for sent in self._sent if sent.grant.number >= number]
        if self._sent and self._sent[0].grant.number == number:
            given_back = report.given_back_by_server
            self._sent[0] = replace(self._sent[0], given_back_by_server=given_back)
