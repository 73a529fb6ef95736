"""The engines that are closed because their data centres are evacuated."""

from collections.abc import Callable, Iterable

from almondfield_daemon.fleet import FleetServer, ServerPhase

__all__ = ["EvacuatedEngines"]


class EvacuatedEngines:
    """Finds the servers of evacuated data centres, which a scheduler asks often.

    The load is one question for each prompt of the fleet, so the answer is kept until
    the servers or the evacuations change.

    :param evacuated: returns the evacuated data centres.
    :param servers: returns all servers.
    """

    def __init__(
        self,
        evacuated: Callable[[], frozenset[str]],
        servers: Callable[[], Iterable[FleetServer]],
    ) -> None:
        self._evacuated = evacuated
        self._servers = servers
        self._data_centres: frozenset[str] = frozenset()
        self._names: frozenset[str] = frozenset()
        self._closed_pools: frozenset[str] = frozenset()

    def names(self) -> frozenset[str]:
        """Return the names of the servers in evacuated data centres."""
        self._update()
        return self._names

    def is_closed(self, pool: str) -> bool:
        """Return whether a pool has servers, all of them in evacuated data centres.

        :param pool: name of the pool.
        """
        self._update()
        return pool in self._closed_pools

    def forget(self) -> None:
        """Find the servers anew at the next question, as they changed."""
        self._data_centres = frozenset()

    def _update(self) -> None:
        evacuated = self._evacuated()
        if not evacuated:
            self._names = self._closed_pools = frozenset()
        elif evacuated is not self._data_centres:
            servers = [s for s in self._servers() if s.phase is ServerPhase.SERVING]
            closed = [s for s in servers if s.data_centre in evacuated]
            open_pools = {s.pool for s in servers if s.data_centre not in evacuated}
            self._names = frozenset([s.name for s in closed])
            self._closed_pools = frozenset({s.pool for s in closed} - open_pools)
        self._data_centres = evacuated
