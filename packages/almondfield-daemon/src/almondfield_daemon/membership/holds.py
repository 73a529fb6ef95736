"""Backend servers that get no new work because an order is carried out on them."""

from almondfield_core.clock import now
from almondfield_daemon.membership.messages import HoldNews

__all__ = ["HoldDirectory"]


class HoldDirectory:
    """The newest news of each held server."""

    def __init__(self) -> None:
        self._news_by_server: dict[str, HoldNews] = {}
        self._until_by_server: dict[str, float] = {}
        self._changed: set[str] = set()

    def merge(self, news: HoldNews) -> bool:
        """Return whether the news were new, after taking note of them.

        :param news: news of any age.
        """
        known = self._news_by_server.get(news.server)
        if known is not None and known.order >= news.order:
            return False
        before = self.is_held(news.server)
        self._news_by_server[news.server] = news
        self._until_by_server[news.server] = now() + news.lifetime_s
        if self.is_held(news.server) != before:
            self._changed.add(news.server)
        return True

    def is_held(self, server: str) -> bool:
        """Return whether a server gets no new work.

        :param server: name of the server.
        """
        return self._until_by_server.get(server, 0.0) > now()

    def take_changed(self) -> set[str]:
        """Return the servers that were held or released since the last call."""
        changed, self._changed = self._changed, set()
        return changed
