"""Renewal of the leases of one host."""

import asyncio

from result import Ok

from almondfield_control.freshness import (
    FallbackRenewal,
    HostView,
    RenewalReply,
    RenewalRequest,
    RevisionNotice,
)
from almondfield_control.node.client import ControlClient
from almondfield_core.clock import now
from almondfield_core.ports import Peers
from almondfield_core.settings import TimingSettings

__all__ = ["Renewal"]

RENEWALS_PER_LEASE = 3


class Renewal:
    """Renews the leases of a host and installs newer tables and pool leases.

    :param peers: transport to the other hosts.
    :param view: the tables and leases of this host, which are updated.
    :param client: client of the leader.
    :param fallback: renews the freshness lease while no leader answers.
    :param timing: lifetimes of leases.
    :param incarnation: number that increases with each start of this host.
    """

    def __init__(
        self,
        peers: Peers,
        view: HostView,
        client: ControlClient,
        fallback: FallbackRenewal,
        timing: TimingSettings,
        incarnation: int,
    ) -> None:
        self._peers = peers
        self._view = view
        self._client = client
        self._fallback = fallback
        self._timing = timing
        self._incarnation = incarnation
        self._wake = asyncio.Event()
        self.draining = False

    def register_handlers(self) -> None:
        """Register the handlers of revision notices and relay requests."""
        self._peers.register_handler(RevisionNotice, self._on_notice)
        self._fallback.register_handlers()

    async def run(self) -> None:
        """Renew until cancelled."""
        while True:
            await self.renew()
            try:
                async with asyncio.timeout(self._renewal_interval_s()):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    async def renew(self) -> bool:
        """Return whether the leader renewed the leases."""
        sent_at = now()
        request = RenewalRequest(
            incarnation=self._incarnation,
            revision=self._view.tables.revision,
            acknowledged=self._view.lowest_served_revision(),
            leases_index=self._view.leases_index,
            draining=self.draining,
        )
        timeout_s = self._timing.pool_lease_s / RENEWALS_PER_LEASE
        match await self._client.request(request, timeout_s):
            case Ok(RenewalReply() as reply):
                self._install_reply(reply, sent_at)
                return True
        if self._view.freshness_left_s() < self._timing.freshness_lease_s / 2:
            await self._fallback.renew()
        return False

    def _install_reply(self, reply: RenewalReply, sent_at: float) -> None:
        view = self._view
        view.evacuations.install(reply.evacuations_index, reply.evacuated)
        if reply.tables is not None:
            view.install_tables(reply.tables)
        if reply.delta is not None:
            view.apply_delta(reply.delta)
        if reply.tables is not None or reply.delta is not None:
            # Acknowledges the revision without waiting for the next renewal.
            self._wake.set()
        view.extend_freshness(reply.revision, sent_at + reply.freshness_s)
        if not self.draining:
            expiry = sent_at + reply.pool_lease_s
            view.update_pool_leases(reply.pool_leases, reply.leases_index, expiry)

    def _renewal_interval_s(self) -> float:
        host = self._peers.host
        leases = self._view.lease_by_pool.values()
        if any(lease.host == host for lease in leases):
            return self._timing.pool_lease_s / RENEWALS_PER_LEASE
        return self._timing.freshness_lease_s / (2 * RENEWALS_PER_LEASE)

    async def _on_notice(self, sender: str, notice: RevisionNotice) -> None:
        self._wake.set()
