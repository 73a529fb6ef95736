"""The newest news of every host, and which hosts they make suspect."""

from almondfield_core.settings import HostSettings
from almondfield_daemon.membership.holds import HoldDirectory
from almondfield_daemon.membership.messages import (
    HostDigest,
    HostNews,
    HostState,
    SilenceNews,
    SpareNews,
)
from almondfield_daemon.membership.neighbours import find_neighbours

__all__ = ["HostDirectory"]

VOTES_TO_SUSPECT = 2
UNKNOWN_SPARE_LEVEL = 3


class HostDirectory:
    """Merges news; the newest of each subject wins.

    :param own: name of this host.
    :param hosts: hosts of the settings.
    :param holds: takes news of held backend servers.
    """

    def __init__(
        self, own: str, hosts: tuple[HostSettings, ...], holds: HoldDirectory
    ) -> None:
        self._own = own
        self._holds = holds
        self._settings_by_host = {host.name: host for host in hosts}
        self._news_by_host: dict[str, HostNews] = {}
        self._silence_by_pair: dict[tuple[str, str], SilenceNews] = {}
        self._spare_by_host: dict[str, SpareNews] = {}
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
        """Return the part of a digest that was new, after taking note of it.

        :param digest: news of any age.
        """
        return HostDigest(
            tuple(news for news in digest.hosts if self._merge_host(news)),
            tuple(news for news in digest.silences if self._merge_silence(news)),
            tuple(news for news in digest.spares if self._merge_spare(news)),
            tuple(news for news in digest.holds if self._holds.merge(news)),
        )

    def everything(self) -> HostDigest:
        """Return all news."""
        return HostDigest(
            tuple(self._news_by_host.values()),
            tuple(self._silence_by_pair.values()),
            tuple(self._spare_by_host.values()),
        )

    def news(self, host: str) -> HostNews | None:
        """Return what a host said of itself last.

        :param host: name of the host.
        """
        return self._news_by_host.get(host)

    def spare(self, host: str) -> float:
        """Return about how many more requests a host can take, and one.

        :param host: name of the host.
        """
        news = self._spare_by_host.get(host)
        level = UNKNOWN_SPARE_LEVEL if news is None else news.level
        return 2.0**level

    def takes_callers(self, host: str) -> bool:
        """Return whether a host says that it takes callers' requests.

        :param host: name of the host; one that said nothing yet counts as live.
        """
        news = self._news_by_host.get(host)
        return news is None or (news.fresh and news.state is HostState.LIVE)

    def suspects(self, isolated: bool) -> frozenset[str]:
        """Return the hosts that enough of their live neighbours don't hear.

        Another host whose neighbours are all suspected is one too: nobody hears it.

        :param isolated: whether this host hears nobody; then it suspects itself only,
            as it knows nothing of the others.
        """
        if isolated:
            return frozenset({self._own})
        suspected: set[str] = set()
        candidates = {host for host, _ in self._silence_by_pair}
        grown = True
        while grown:
            found = {
                h for h in candidates - suspected if self._is_suspect(h, suspected)
            }
            suspected |= found
            grown = bool(found)
            for host in found:
                candidates |= self.neighbours(host)
        return frozenset(suspected)

    def calls_silent(self, watcher: str, host: str) -> bool:
        """Return whether a neighbour of a host hears nothing from it.

        :param watcher: name of the neighbour.
        :param host: name of the host.
        """
        silence = self._silence_by_pair.get((host, watcher))
        return silence is not None and silence.silent

    def _is_suspect(self, host: str, suspected: set[str]) -> bool:
        neighbours = self.neighbours(host)
        witnesses = neighbours - suspected
        if not witnesses:
            return bool(neighbours) and host != self._own
        votes = sum(self.calls_silent(witness, host) for witness in witnesses)
        return votes >= min(VOTES_TO_SUSPECT, len(witnesses))

    def _merge_host(self, news: HostNews) -> bool:
        name = news.settings.name
        known = self._news_by_host.get(name)
        if known is not None and known.order >= news.order:
            return False
        self._news_by_host[name] = news
        if name not in self._settings_by_host:
            self._settings_by_host[name] = news.settings
            self._neighbours_by_host.clear()
        return True

    def _merge_silence(self, news: SilenceNews) -> bool:
        pair = (news.host, news.watcher)
        known = self._silence_by_pair.get(pair)
        if known is not None and known.order >= news.order:
            return False
        self._silence_by_pair[pair] = news
        return True

    def _merge_spare(self, news: SpareNews) -> bool:
        known = self._spare_by_host.get(news.host)
        if known is not None and known.order >= news.order:
            return False
        self._spare_by_host[news.host] = news
        return True
