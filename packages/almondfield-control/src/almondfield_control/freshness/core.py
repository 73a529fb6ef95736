"""Leases that the leader has given to hosts."""

from dataclasses import dataclass, field

from almondfield_core.clock import now
from almondfield_core.settings import TimingSettings

from almondfield_control.freshness.messages import RenewalRequest

__all__ = ["HostLeases"]


@dataclass
class _HostRecord:
    """What the leader knows of one host.

    :ivar incarnation: newest incarnation that renewed a lease.
    :ivar seen_at: when it last renewed one.
    :ivar until_by_revision: when the leases given with each revision run out.
    :ivar pool_until: when its pool leases run out.
    :ivar draining: whether it wants no pools.
    """

    incarnation: int = 0
    seen_at: float = 0.0
    until_by_revision: dict[int, float] = field(default_factory=dict)
    pool_until: float = 0.0
    draining: bool = False


class HostLeases:
    """Leases given in one term, by host.

    A new leader knows nothing of leases given before: until they have certainly
    run out, no revision counts as in force and no pool changes hands.

    :param timing: lifetimes of leases.
    """

    def __init__(self, timing: TimingSettings) -> None:
        self._timing = timing
        self._started_at = now()
        self._record_by_host: dict[str, _HostRecord] = {}

    def renew(self, host: str, request: RenewalRequest, revision: int) -> bool:
        """Return whether this is a new incarnation of the host; extend its leases.

        :param host: name of the host.
        :param request: its request.
        :param revision: revision that the reply brings the host to.
        """
        record = self._record_by_host.setdefault(host, _HostRecord())
        is_new = request.incarnation > record.incarnation
        record.incarnation = max(record.incarnation, request.incarnation)
        record.seen_at = now()
        record.draining = request.draining
        for held in [r for r in record.until_by_revision if r < request.acknowledged]:
            del record.until_by_revision[held]
        lifetime_s = self._with_margin(self._timing.freshness_lease_s)
        record.until_by_revision[revision] = now() + lifetime_s
        if not request.draining:
            pool_lease_s = self._with_margin(self._timing.pool_lease_s)
            record.pool_until = now() + pool_lease_s
        return is_new

    def is_in_force(self, revision: int) -> bool:
        """Return whether no host may still serve an earlier revision.

        :param revision: an accepted revision.
        """
        waited_s = self._with_margin(self._timing.freshness_lease_s)
        if now() < self._started_at + waited_s:
            return False
        return not any(
            until > now()
            for record in self._record_by_host.values()
            for held, until in record.until_by_revision.items()
            if held < revision
        )

    def fresh_hosts(self) -> tuple[str, ...]:
        """Return the hosts that hold a freshness lease."""
        return tuple(
            host
            for host, record in sorted(self._record_by_host.items())
            if any(until > now() for until in record.until_by_revision.values())
        )

    def schedulers(self) -> tuple[str, ...]:
        """Return the hosts that may take pools."""
        return tuple(
            host
            for host, record in sorted(self._record_by_host.items())
            if record.pool_until > now() and not record.draining
        )

    def may_schedule(self, host: str) -> bool:
        """Return whether a host may still hold a lease of its pools.

        :param host: name of the host.
        """
        record = self._record_by_host.get(host)
        if record is not None and record.draining:
            return False
        until = self._started_at + self._with_margin(self._timing.pool_lease_s)
        if record is not None:
            until = max(until, record.pool_until)
        return now() < until

    def _with_margin(self, lifetime_s: float) -> float:
        return lifetime_s * (1 + 2 * self._timing.drift_margin)
