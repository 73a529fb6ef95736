"""Leases that the leader has given to hosts."""

from math import inf

from almondfield_control.freshness.messages import RenewalRequest
from almondfield_core.clock import now
from almondfield_core.settings import TimingSettings

__all__ = ["HostLeases"]


class _HostRecord:
    """What the leader knows of one host.

    :ivar incarnation: newest incarnation that renewed a lease.
    :ivar seen_at: when it last renewed one.
    :ivar until_by_grant: when the leases given to each incarnation with each
        revision run out.
    :ivar pool_until: when its pool leases run out.
    :ivar draining: whether it wants no pools.
    """

    def __init__(self) -> None:
        self.incarnation = 0
        self.seen_at = 0.0
        self.until_by_grant: dict[tuple[int, int], float] = {}
        self.pool_until = 0.0
        self.draining = False

    def acknowledge(self, incarnation: int, revision: int) -> None:
        """Drop the grants of earlier revisions, and those that ran out.

        An earlier incarnation may have relayed its lease and forgotten it, so that
        its grants end by time alone.
        """
        self.until_by_grant = {
            (holder, held): until
            for (holder, held), until in self.until_by_grant.items()
            if until > now() and (holder != incarnation or held >= revision)
        }


class HostLeases:
    """Leases given in one term, by host.

    A new leader knows nothing of leases given before: until they have certainly
    run out, no revision counts as in force and no pool changes hands.

    :param timing: lifetimes of leases.
    """

    def __init__(self, timing: TimingSettings) -> None:
        self._timing = timing
        self._started_at = now()
        self._losing_hosts: set[str] = set()
        self._record_by_host: dict[str, _HostRecord] = {}

    def renew(self, host: str, request: RenewalRequest, revision: int) -> bool:
        """Return whether this is a new incarnation of the host; extend its leases.

        :param host: name of the host.
        :param request: its request.
        :param revision: revision that the reply brings the host to.
        """
        record = self._record_by_host.setdefault(host, _HostRecord())
        is_new = request.incarnation > record.incarnation
        if is_new:
            record.incarnation = request.incarnation
            record.draining = False
        record.seen_at = now()
        record.draining |= request.draining
        record.acknowledge(request.incarnation, request.acknowledged)
        lifetime_s = self._with_margin(self._timing.freshness_lease_s)
        record.until_by_grant[(request.incarnation, revision)] = now() + lifetime_s
        if self.renews_pools(host):
            pool_lease_s = self._with_margin(self._timing.pool_lease_s)
            record.pool_until = now() + pool_lease_s
        return is_new

    def renews_pools(self, host: str) -> bool:
        """Return whether the pool leases of a host are renewed now.

        :param host: name of the host.
        """
        record = self._record_by_host[host]
        return not record.draining and host not in self._losing_hosts

    def begin_move(self, host: str) -> None:
        """Renew no pool lease of a host while one of its pools goes elsewhere.

        :param host: name of the host.
        """
        self._losing_hosts.add(host)

    def end_move(self, host: str) -> None:
        """Renew the pool leases of a host again.

        :param host: name of the host.
        """
        self._losing_hosts.discard(host)

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
            for (_, held), until in record.until_by_grant.items()
            if held < revision
        )

    def fresh_hosts(self) -> tuple[str, ...]:
        """Return the hosts that hold a freshness lease."""
        return tuple(
            host
            for host, record in sorted(self._record_by_host.items())
            if any(until > now() for until in record.until_by_grant.values())
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

    def next_loss_s(self) -> float:
        """Return when the next host may hold no pools any more, by time alone.

        :returns: a time on the loop's clock; infinite where none holds any.
        """
        term_until = self._started_at + self._with_margin(self._timing.pool_lease_s)
        ends = [record.pool_until for record in self._record_by_host.values()]
        return min((end for end in (term_until, *ends) if end > now()), default=inf)

    def is_silent(self, host: str, seconds: float) -> bool:
        """Return whether a host has renewed no lease for some time, in this term.

        :param host: name of the host.
        :param seconds: how long.
        """
        record = self._record_by_host.get(host)
        seen_at = record.seen_at if record else self._started_at
        return now() > seen_at + seconds

    def _with_margin(self, lifetime_s: float) -> float:
        return lifetime_s * (1 + 2 * self._timing.drift_margin)
