"""Leases that the leader has granted to hosts."""

from math import inf

from almondfield_control.freshness.messages import RenewalRequest
from almondfield_core.clock import now
from almondfield_core.settings import TimingSettings

__all__ = ["HostLeases"]


class _HostRecord:
    """Leases and state of one host, as recorded by the leader.

    :ivar incarnation: newest incarnation that renewed a lease.
    :ivar last_seen_at: time of its last renewal.
    :ivar expiry_by_grant: expiry of the freshness lease granted to each incarnation
        with each revision.
    :ivar pool_expiry: expiry of its pool leases.
    :ivar draining: whether it releases its pools and takes no more.
    """

    def __init__(self) -> None:
        self.incarnation = 0
        self.last_seen_at = 0.0
        self.expiry_by_grant: dict[tuple[int, int], float] = {}
        self.pool_expiry = 0.0
        self.draining = False

    def acknowledge(self, incarnation: int, revision: int) -> None:
        """Drop the grants of earlier revisions, and the expired ones.

        Grants of earlier incarnations are kept until they expire: such an incarnation
        may have relayed its lease, and its record of that was lost in the restart.

        :param incarnation: the incarnation that acknowledges.
        :param revision: lowest revision that it may still serve.
        """
        self.expiry_by_grant = {
            (granted_to, granted_revision): expiry
            for (granted_to, granted_revision), expiry in self.expiry_by_grant.items()
            if expiry > now()
            and (granted_to != incarnation or granted_revision >= revision)
        }


class HostLeases:
    """Leases granted in one term, by host.

    A new leader has no record of leases granted in earlier terms. Until they have
    certainly expired, no revision counts as in force and no pool moves.

    :param timing: lifetimes of leases.
    """

    def __init__(self, timing: TimingSettings) -> None:
        self._timing = timing
        self._started_at = now()
        self._suspended_hosts: set[str] = set()
        self._record_by_host: dict[str, _HostRecord] = {}

    def renew(self, host: str, request: RenewalRequest, revision: int) -> bool:
        """Extend the leases of a host; return whether it is a new incarnation.

        :param host: name of the host.
        :param request: its renewal request.
        :param revision: revision that the host has after the reply.
        """
        record = self._record_by_host.setdefault(host, _HostRecord())
        is_new = request.incarnation > record.incarnation
        if is_new:
            record.incarnation = request.incarnation
            record.draining = False
        record.last_seen_at = now()
        record.draining |= request.draining
        record.acknowledge(request.incarnation, request.acknowledged)
        lifetime_s = self._with_margin(self._timing.freshness_lease_s)
        record.expiry_by_grant[(request.incarnation, revision)] = now() + lifetime_s
        if self.renews_pools(host):
            pool_lease_s = self._with_margin(self._timing.pool_lease_s)
            record.pool_expiry = now() + pool_lease_s
        return is_new

    def renews_pools(self, host: str) -> bool:
        """Return whether the pool leases of a host are currently renewed.

        :param host: name of the host.
        """
        record = self._record_by_host[host]
        return not record.draining and host not in self._suspended_hosts

    def suspend_pool_renewal(self, host: str) -> None:
        """Stop renewing the pool leases of a host while one of its pools moves.

        :param host: name of the host.
        """
        self._suspended_hosts.add(host)

    def resume_pool_renewal(self, host: str) -> None:
        """Resume renewing the pool leases of a host.

        :param host: name of the host.
        """
        self._suspended_hosts.discard(host)

    def is_in_force(self, revision: int) -> bool:
        """Return whether no host may still serve an earlier revision.

        :param revision: an accepted revision.
        """
        lifetime_s = self._with_margin(self._timing.freshness_lease_s)
        if now() < self._started_at + lifetime_s:
            return False
        return not any(
            expiry > now()
            for record in self._record_by_host.values()
            for (_, granted_revision), expiry in record.expiry_by_grant.items()
            if granted_revision < revision
        )

    def fresh_hosts(self) -> tuple[str, ...]:
        """Return the hosts that hold a freshness lease."""
        return tuple(
            host
            for host, record in sorted(self._record_by_host.items())
            if any(expiry > now() for expiry in record.expiry_by_grant.values())
        )

    def schedulers(self) -> tuple[str, ...]:
        """Return the hosts to which pools may be leased."""
        return tuple(
            host
            for host, record in sorted(self._record_by_host.items())
            if record.pool_expiry > now() and not record.draining
        )

    def may_schedule(self, host: str) -> bool:
        """Return whether a host may still hold its pool leases.

        :param host: name of the host.
        """
        record = self._record_by_host.get(host)
        if record is not None and record.draining:
            return False
        expiry = self._started_at + self._with_margin(self._timing.pool_lease_s)
        if record is not None:
            expiry = max(expiry, record.pool_expiry)
        return now() < expiry

    def next_pool_expiry_s(self) -> float:
        """Return the next time at which pool leases may expire.

        :returns: a time on the loop's clock; infinite if no host holds any.
        """
        earlier_terms_expiry = self._started_at + self._with_margin(
            self._timing.pool_lease_s
        )
        expiries = [record.pool_expiry for record in self._record_by_host.values()]
        return min(
            (expiry for expiry in (earlier_terms_expiry, *expiries) if expiry > now()),
            default=inf,
        )

    def is_unresponsive(self, host: str, timeout_s: float) -> bool:
        """Return whether a host has renewed no lease for some time in this term.

        :param host: name of the host.
        :param timeout_s: seconds without a renewal.
        """
        record = self._record_by_host.get(host)
        last_seen_at = record.last_seen_at if record else self._started_at
        return now() > last_seen_at + timeout_s

    def _with_margin(self, lifetime_s: float) -> float:
        return lifetime_s * (1 + 2 * self._timing.drift_margin)
