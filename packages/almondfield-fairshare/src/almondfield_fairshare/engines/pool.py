"""The engines of one pool, as they start, restart and leave."""

from collections.abc import Iterable
from statistics import median

from almondfield_core.clock import now
from almondfield_fairshare.engines.answer_delay import AnswerDelay
from almondfield_fairshare.engines.engine import INITIAL_RATE, Engine
from almondfield_fairshare.engines.held_prefixes import HeldPrefixes
from almondfield_fairshare.engines.prefix_cache import prefix_blocks
from almondfield_fairshare.engines.requests import EngineServer, SentPrefix

__all__ = ["EnginePool"]

# Fewer samples say little beside the initial rate that they are averaged with.
MIN_SAMPLES = 10
SLOWED_INTERVAL_S = 0.03  # a twentieth of the time that a slowdown lasts


class EnginePool:
    """Engines of one pool by name.

    :ivar engine_by_name: the engines that accept new work.
    :ivar answer_delay: time from the end of prefill to the report of the first event,
        over all engines.
    """

    def __init__(self) -> None:
        self.engine_by_name: dict[str, Engine] = {}
        self.answer_delay = AnswerDelay()
        self._held_prefixes = HeldPrefixes()

    def set_servers(self, servers: Iterable[EngineServer]) -> None:
        """Replace the set of engines.

        A restarted engine begins with an empty cache and without a slowdown, at the
        prefill rate that it had before. A new one begins at the usual rate of its pool.

        :param servers: engines that accept new work.
        """
        before = self.engine_by_name
        pool_rate = self._usual_rate()
        self.engine_by_name = {}
        for server in servers:
            engine = before.get(server.name)
            if engine is None or engine.server.started_ms != server.started_ms:
                rate = pool_rate if engine is None else engine.prefill_rate
                engine = Engine(server, self.answer_delay, rate)
                for sent in self._held_prefixes.take(server):
                    engine.restore_prefix(prefix_blocks(sent.prefix))
            self.engine_by_name[server.name] = engine

    def restore_prefix(self, sent: SentPrefix) -> None:
        """Record shared parts that an engine got before this scheduler started.

        :param sent: the parts, and the start of the engine that got them.
        """
        engine = self.engine_by_name.get(sent.server)
        if engine is None:
            self._held_prefixes.add(sent)
        elif engine.server.started_ms == sent.started_ms:
            # A restarted engine has an empty cache.
            engine.restore_prefix(prefix_blocks(sent.prefix))

    def record_slowdown(
        self, server: str, started_ms: int, slowdown: float, measured_s: float
    ) -> None:
        """Record how long work takes at an engine now, unless it has restarted since.

        :param server: name of the engine.
        :param started_ms: start of the engine that reported it, in milliseconds since
            1970.
        :param slowdown: the time as a multiple of the usual one.
        :param measured_s: when it was reported, in seconds of the loop's clock.
        """
        engine = self.engine_by_name.get(server)
        if engine is not None and engine.server.started_ms == started_ms:
            engine.record_slowdown(slowdown, measured_s)

    def refresh(self, at_s: float) -> None:
        """Update the engines whose predicted wait changes with time alone.

        :param at_s: the current time, in seconds of the loop's clock.
        """
        before_s = at_s - SLOWED_INTERVAL_S
        changing = [
            engine
            for engine in self.engine_by_name.values()
            if engine.due_s < at_s
            or (engine.is_slowed and engine.advanced_s <= before_s)
        ]
        for engine in changing:
            engine.refresh(at_s)

    def slowdown_by_server(self) -> dict[str, float]:
        """Return how long work takes at each engine now, relative to the usual time."""
        at_s = now()
        engines = self.engine_by_name.items()
        return {name: engine.slowdown.factor(at_s) for name, engine in engines}

    def _usual_rate(self) -> float:
        """Return the middle prefill rate of the engines that were measured."""
        engines = self.engine_by_name.values()
        measured = [e.prefill_rate for e in engines if e.samples >= MIN_SAMPLES]
        return median(measured) if measured else INITIAL_RATE
