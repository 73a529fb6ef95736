"""A control host's service for the origins of streams."""

from almondfield_core.ports import Peers
from almondfield_daemon.fleet import FleetControl
from almondfield_daemon.streams.core import OriginTable
from almondfield_daemon.streams.messages import (
    OriginQuery,
    OriginReply,
    OriginReport,
)
from almondfield_daemon.streams.versions import VersionHistory

__all__ = ["OriginService"]


class OriginService:
    """Keeps the origins that routers report, in memory, and answers their queries.

    :param peers: messages to the other hosts.
    :param fleet: the known servers.
    """

    def __init__(self, peers: Peers, fleet: FleetControl) -> None:
        self._peers = peers
        self._fleet = fleet
        self._table = OriginTable()
        self._history = VersionHistory()

    def register_handlers(self) -> None:
        """Register the handlers of messages and of server changes."""
        self._peers.register_handler(OriginReport, self._on_report)
        self._peers.register_handler(OriginQuery, self._on_query)
        self._fleet.server_change_callbacks.append(self._update_servers)

    def _update_servers(self) -> None:
        servers = self._fleet.servers()
        self._table.update_servers(servers)
        self._history.update(servers)

    async def _on_report(self, sender: str, report: OriginReport) -> None:
        self._table.put_all(report.origins)

    async def _on_query(self, sender: str, query: OriginQuery) -> OriginReply:
        return OriginReply(
            self._table.get(query.request_id),
            tuple(self._history.versions(query.pool, query.lookback_s)),
            self._history.is_complete(query.lookback_s),
        )
