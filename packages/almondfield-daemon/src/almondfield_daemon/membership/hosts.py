"""The newest update about every host, and the hosts that are suspected of failure."""

from almondfield_core.settings import HostSettings
from almondfield_daemon.membership.holds import HoldDirectory
from almondfield_daemon.membership.messages import (
    HostDigest,
    HostState,
    HostUpdate,
    ReachabilityUpdate,
    SpareSlotsUpdate,
)
from almondfield_daemon.membership.neighbours import find_neighbours

__all__ = ["HostDirectory"]

REPORTS_TO_SUSPECT = 2
DEFAULT_SPARE_LEVEL = 3


class HostDirectory:
    """Merges updates; the newest one about each subject is kept.

    :param own: name of this host.
    :param hosts: hosts of the settings.
    :param holds: receives the updates about held backend servers.
    """

    def __init__(
        self, own: str, hosts: tuple[HostSettings, ...], holds: HoldDirectory
    ) -> None:
        self._own_name = own
        self._holds = holds
        self._settings_by_host = {host.name: host for host in hosts}
        self._update_by_host: dict[str, HostUpdate] = {}
        self._reachability_by_pair: dict[tuple[str, str], ReachabilityUpdate] = {}
        self._spare_slots_by_host: dict[str, SpareSlotsUpdate] = {}
        self._neighbours_by_host: dict[str, frozenset[str]] = {}

    @property
    def settings_by_host(self) -> dict[str, HostSettings]:
        """Return every known host."""
        return self._settings_by_host

    def neighbours(self, host: str) -> frozenset[str]:
        """Return the hosts that exchange heartbeats with a host.

        :param host: name of the host.
        """
        found = self._neighbours_by_host.get(host)
        if found is None:
            found = find_neighbours(host, self._settings_by_host)
            self._neighbours_by_host[host] = found
        return found

    def merge(self, digest: HostDigest) -> HostDigest:
        """Record the updates of a digest that are newer than the recorded ones.

        :param digest: updates of any age.
        :returns: those updates.
        """
        return HostDigest(
            tuple(update for update in digest.hosts if self._merge_host(update)),
            tuple(
                update for update in digest.silences if self._merge_reachability(update)
            ),
            tuple(
                update for update in digest.spares if self._merge_spare_slots(update)
            ),
            tuple(update for update in digest.holds if self._holds.merge(update)),
        )

    def all_updates(self) -> HostDigest:
        """Return all updates about hosts; holds of backend servers are not included."""
        return HostDigest(
            tuple(self._update_by_host.values()),
            tuple(self._reachability_by_pair.values()),
            tuple(self._spare_slots_by_host.values()),
        )

    def last_update(self, host: str) -> HostUpdate | None:
        """Return the newest update of a host about itself, if there is one.

        :param host: name of the host.
        """
        return self._update_by_host.get(host)

    def spare_slots(self, host: str) -> float:
        """Return one plus the approximate number of spare slots of a host.

        :param host: name of the host.
        """
        update = self._spare_slots_by_host.get(host)
        level = DEFAULT_SPARE_LEVEL if update is None else update.level
        return 2.0**level

    def accepts_requests(self, host: str) -> bool:
        """Return whether a host accepts callers' requests according to its last update.

        :param host: name of the host; one without an update counts as accepting.
        """
        update = self._update_by_host.get(host)
        return update is None or (update.fresh and update.state is HostState.LIVE)

    def suspects(self, isolated: bool) -> frozenset[str]:
        """Return the hosts that enough of their live neighbours report as unresponsive.

        Another host whose neighbours are all suspected is suspected too, as no live
        host receives its heartbeats.

        :param isolated: whether this host can reach no neighbour; then it suspects only
            itself, as it has no current information about the others.
        """
        if isolated:
            return frozenset({self._own_name})
        suspected: set[str] = set()
        candidates = {host for host, _ in self._reachability_by_pair}
        has_grown = True
        while has_grown:
            found = {
                h for h in candidates - suspected if self._is_suspect(h, suspected)
            }
            suspected |= found
            has_grown = bool(found)
            for host in found:
                candidates |= self.neighbours(host)
        return frozenset(suspected)

    def reports_unresponsive(self, watcher: str, host: str) -> bool:
        """Return whether a neighbour of a host reports it as unresponsive.

        :param watcher: name of the neighbour.
        :param host: name of the host.
        """
        update = self._reachability_by_pair.get((host, watcher))
        return update is not None and update.silent

    def _is_suspect(self, host: str, suspected: set[str]) -> bool:
        neighbours = self.neighbours(host)
        watchers = neighbours - suspected
        if not watchers:
            return bool(neighbours) and host != self._own_name
        reports = sum(self.reports_unresponsive(watcher, host) for watcher in watchers)
        return reports >= min(REPORTS_TO_SUSPECT, len(watchers))

    def _merge_host(self, update: HostUpdate) -> bool:
        name = update.settings.name
        known = self._update_by_host.get(name)
        if known is not None and known.recency >= update.recency:
            return False
        self._update_by_host[name] = update
        if name not in self._settings_by_host:
            self._settings_by_host[name] = update.settings
            self._neighbours_by_host.clear()
        return True

    def _merge_reachability(self, update: ReachabilityUpdate) -> bool:
        pair = (update.host, update.watcher)
        known = self._reachability_by_pair.get(pair)
        if known is not None and known.recency >= update.recency:
            return False
        self._reachability_by_pair[pair] = update
        return True

    def _merge_spare_slots(self, update: SpareSlotsUpdate) -> bool:
        known = self._spare_slots_by_host.get(update.host)
        if known is not None and known.recency >= update.recency:
            return False
        self._spare_slots_by_host[update.host] = update
        return True
