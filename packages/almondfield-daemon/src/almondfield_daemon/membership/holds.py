"""Backend servers that get no new work because an order is carried out on them."""

from almondfield_core.clock import now
from almondfield_daemon.membership.messages import HoldUpdate

__all__ = ["HoldDirectory"]


class HoldDirectory:
    """The newest hold of each backend server."""

    def __init__(self) -> None:
        self._update_by_server: dict[str, HoldUpdate] = {}
        self._held_until_s_by_server: dict[str, float] = {}
        self._changed_servers: set[str] = set()

    def merge(self, update: HoldUpdate) -> bool:
        """Record an update if it is newer than the recorded one.

        :param update: update of any age.
        :returns: whether the update was newer.
        """
        known = self._update_by_server.get(update.server)
        if known is not None and known.recency >= update.recency:
            return False
        before = self.is_held(update.server)
        self._update_by_server[update.server] = update
        self._held_until_s_by_server[update.server] = now() + update.lifetime_s
        if self.is_held(update.server) != before:
            self._changed_servers.add(update.server)
        return True

    def is_held(self, server: str) -> bool:
        """Return whether a server is excluded from new work.

        :param server: name of the server.
        """
        return self._held_until_s_by_server.get(server, 0.0) > now()

    def pop_changed(self) -> set[str]:
        """Return and clear the servers that were held or released since the last call.

        A hold that expires without an update is not among them.
        """
        changed, self._changed_servers = self._changed_servers, set()
        return changed
