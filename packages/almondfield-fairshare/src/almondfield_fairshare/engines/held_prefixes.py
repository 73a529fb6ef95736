"""Shared parts that routers report of engines before these are known."""

from almondfield_fairshare.engines.requests import EngineServer, SentPrefix

__all__ = ["HeldPrefixes"]

MAX_HELD_PREFIXES = 16_384  # of all engines, which limits the memory


class HeldPrefixes:
    """Reports that wait for their engines.

    After a loss of power, routers may report to a new scheduler before backend servers
    have announced themselves again.
    """

    def __init__(self) -> None:
        self._prefixes_by_server: dict[str, list[SentPrefix]] = {}
        self._count = 0

    def add(self, sent: SentPrefix) -> None:
        """Hold a report, unless there are too many.

        :param sent: the shared parts.
        """
        if self._count < MAX_HELD_PREFIXES:
            self._count += 1
            self._prefixes_by_server.setdefault(sent.server, []).append(sent)

    def take(self, server: EngineServer) -> list[SentPrefix]:
        """Return the reports on an engine in the order of their arrival; drop them.

        :param server: the engine; reports on an earlier start of it aren't returned.
        """
        held = self._prefixes_by_server.pop(server.name, [])
        self._count -= len(held)
        return [sent for sent in held if sent.started_ms == server.started_ms]
