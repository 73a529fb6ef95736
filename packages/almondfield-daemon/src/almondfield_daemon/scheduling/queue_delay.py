"""Estimate of how long the messages of routers wait for this host."""

from statistics import median_low

from almondfield_core.clock import now

__all__ = ["QueueDelay"]

BASELINE_S = 30.0  # clocks differ, and paths change


class _Router:
    """Offsets between the times at which a router sent messages and their handling.

    An offset holds the difference of the two clocks and the time on the path.
    """

    def __init__(self, offset_s: float) -> None:
        self._least_s = offset_s
        self._least_before_s = offset_s
        self._since_s = now()

    def excess_s(self, offset_s: float) -> float:
        """Return by how much an offset exceeds the least recent one, in seconds."""
        if now() - self._since_s >= BASELINE_S:
            self._since_s = now()
            self._least_before_s, self._least_s = self._least_s, offset_s
        self._least_s = min(self._least_s, offset_s)
        return offset_s - min(self._least_s, self._least_before_s)


class QueueDelay:
    """Delay of messages that all routers share, which is that of this host.

    A router that is late itself, or on a slow path, delays its own messages only.
    """

    def __init__(self) -> None:
        self._router_by_host: dict[str, _Router] = {}
        self._excess_s_by_host: dict[str, float] = {}

    def record(self, host: str, sent_s: float, waited_s: float) -> None:
        """Record a message that is handled now.

        The time that it waited at this host is known. What passed before, in sockets
        and on the path, shows in the offset only, which tells nothing on a host that
        has been late since the router's first message.

        :param host: host of the router.
        :param sent_s: when it was sent, in seconds of the router's clock.
        :param waited_s: how long it waited for its handler, in seconds.
        """
        offset_s = now() - sent_s
        router = self._router_by_host.get(host)
        if router is None:
            router = self._router_by_host[host] = _Router(offset_s)
        self._excess_s_by_host[host] = max(router.excess_s(offset_s), waited_s)

    def collect(self) -> float:
        """Return the delay since the last call, in seconds; 0 without messages."""
        excesses_s = self._excess_s_by_host.values()
        delay_s = median_low(excesses_s) if excesses_s else 0.0
        self._excess_s_by_host.clear()
        return delay_s

    def remove(self, host: str) -> None:
        """Forget a router that is gone.

        :param host: host of the router.
        """
        self._router_by_host.pop(host, None)
