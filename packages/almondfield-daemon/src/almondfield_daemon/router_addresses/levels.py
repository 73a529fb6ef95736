"""Which part of its weight each router has, after overload and during its return."""

import statistics
from collections.abc import Mapping
from dataclasses import dataclass, replace

import eliot

from almondfield_core.clock import now
from almondfield_daemon.router_addresses.reports import LATE_S, RouterLoad

__all__ = ["MIN_NAMED", "LoadLevels", "sizes"]

MIN_NAMED = 4  # callers exclude addresses that failed them, and need others
MAX_LEFT_OUT_FRACTION = 0.25  # of a data centre; the others take their load
# A router with this many connections more than its part of the mean is overloaded;
# below the absolute number, differences between routers cost nothing.
OVERLOAD_FACTOR = 3.0
MIN_CONNECTIONS = 64
LATE_FACTOR = 3.0  # to the median: where all are late, leaving some out doesn't help
# Longer than the interval between two hellos: when traffic starts everywhere, the first
# report must not be compared with old ones of the others.
OVERLOADED_FOR_S = 1.1
# A single late iteration is reported for 1 s, and the report counts until the next one.
LATE_FOR_S = 2.1
RECOVERED_FRACTION = 0.5  # of the connections that count as overload
# Callers keep answers for up to 6 s, and the report of the result takes another 1 s:
# sooner, the effect of the last step isn't seen yet.
STEP_S = 7.0
MAX_LEFT_OUT_S = 56.0
RELAPSE_S = 60.0  # an overload within this time after a return doubles the time out
# Callers may keep connections open that they no longer use.
IDLE_AFTER_S = 30.0
MIN_RUNNING = 8  # fewer requests are not a load
LEVELS = (0.0, 0.25, 0.5, 1.0)
# A router stays below the level at which it was overloaded for this time, and the names
# stay few for as long after its return: callers who choose alike would otherwise meet
# there again at once.
LIMITED_S = 300.0
MS_PER_S = 1000


@dataclass(frozen=True)
class _Record:
    """State of one router.

    :ivar level: part of its weight that counts; 0 if it is left out.
    :ivar since_s: when it got this level, in seconds of the loop's clock.
    :ivar out_s: for how long it is left out at least, in seconds.
    :ivar overloaded_level: level at which it was overloaded last.
    :ivar capped_until_s: until when it stays below that level, in seconds of the
        loop's clock.
    :ivar is_crowded: whether connections, not only its delay, showed the overload.
    :ivar over_since_s: since when its reports show overload; None if the last one
        doesn't.
    :ivar idle_connections: connections that stayed open while it was left out.
    """

    level: float = 1.0
    since_s: float = float("-inf")
    out_s: float = 0.0
    overloaded_level: float = 1.0
    capped_until_s: float = float("-inf")
    is_crowded: bool = False
    over_since_s: float | None = None
    idle_connections: int = 0


_UNKNOWN = _Record()


@dataclass(frozen=True)
class _Total:
    """Load of the routers that are named, or the part of it that suits one size.

    :ivar size: sum of their sizes.
    :ivar connections: sum of their connections.
    :ivar running: sum of their requests in work.
    :ivar usual_delay_s: median delay of their event loops, in seconds.
    """

    size: float
    connections: float
    running: float
    usual_delay_s: float

    def part(self, size: float) -> "_Total":
        """Return the load that a router of some size would have.

        :param size: its size.
        """
        factor = size / self.size
        return _Total(
            size,
            factor * self.connections,
            factor * self.running,
            self.usual_delay_s,
        )


class LoadLevels:
    """Levels of routers, from their reports.

    :ivar left_out_total: number of times that a router was left out.
    """

    def __init__(self) -> None:
        self._record_by_router: dict[str, _Record] = {}
        self.left_out_total = 0

    def level(self, router: str) -> float:
        """Return which part of its weight a router has.

        :param router: name of its host.
        """
        return self._record(router).level

    def left_out_count(self) -> int:
        """Return the number of routers that are left out."""
        return sum(item.level == 0 for item in self._record_by_router.values())

    def is_crowded(self, router: str) -> bool:
        """Return whether a router has, or recently had, far too many connections.

        :param router: name of its host.
        """
        record = self._record(router)
        if not record.is_crowded:
            return False
        return record.level < 1 or now() - record.since_s < LIMITED_S

    def forget(self, router: str) -> None:
        """Drop what is known of a router.

        :param router: name of its host.
        """
        self._record_by_router.pop(router, None)

    def evaluate(self, load_by_router: Mapping[str, RouterLoad]) -> None:
        """Evaluate the last reports of the ready routers of one data centre.

        :param load_by_router: the reports by the name of the host.
        """
        named = [item for item in load_by_router if self.level(item) > 0]
        if len(named) < 2:
            return
        size_by_router = sizes(load_by_router)
        loads = [load_by_router[item] for item in named]
        total = _Total(
            size=sum(size_by_router[item] for item in named),
            connections=sum(load.connections for load in loads),
            running=sum(load.running for load in loads),
            usual_delay_s=statistics.median(load.loop_delay_s for load in loads),
        )
        # Names may only be dropped down to a minimum, whatever the reports say.
        spare = min(
            int(MAX_LEFT_OUT_FRACTION * len(load_by_router)),
            len(load_by_router) - MIN_NAMED,
        ) - (len(load_by_router) - len(named))
        for router, load in load_by_router.items():
            record = self._record(router)
            size = size_by_router[router]
            others = total
            if record.level > 0:
                others = _Total(
                    total.size - size,
                    total.connections - load.connections,
                    total.running - load.running,
                    total.usual_delay_s,
                )
            new = self._evaluate(router, load, others.part(size), spare > 0)
            spare -= new.level == 0 < record.level
            if new is not record:
                self._record_by_router[router] = new

    def _evaluate(
        self, router: str, load: RouterLoad, usual: "_Total", may_leave_out: bool
    ) -> _Record:
        """Return the new state of a router.

        :param router: name of its host.
        :param load: its last report.
        :param usual: what the other routers' load would be at a router of this size.
        :param may_leave_out: whether it may be left out.
        """
        record = self._record(router)
        limit = max(MIN_CONNECTIONS, OVERLOAD_FACTOR * usual.connections)
        idle = min(record.idle_connections, load.connections)
        used = load.connections - idle
        is_late = load.loop_delay_s >= max(LATE_S, LATE_FACTOR * usual.usual_delay_s)
        over_since_s = None
        is_crowded = used > limit
        if is_late or is_crowded:
            over_since_s = now() if record.over_since_s is None else record.over_since_s
        if (over_since_s, idle) != (record.over_since_s, record.idle_connections):
            record = replace(record, over_since_s=over_since_s, idle_connections=idle)
        level_s = now() - record.since_s
        if record.level == 0:
            if level_s < record.out_s or is_late:
                return record
            if used <= RECOVERED_FRACTION * limit:
                return self._return(router, record, load, idle=0)
            if level_s >= IDLE_AFTER_S and load.running <= max(
                MIN_RUNNING, usual.running
            ):
                return self._return(router, record, load, idle=load.connections)
            return record
        if over_since_s is not None:
            least_s = OVERLOADED_FOR_S if is_crowded else LATE_FOR_S
            if may_leave_out and now() - over_since_s >= least_s:
                record = replace(record, is_crowded=record.is_crowded or is_crowded)
                return self._leave_out(router, record, load, usual.connections)
            return record
        if record.level < 1 and level_s >= STEP_S:
            step = LEVELS[LEVELS.index(record.level) + 1]
            may_rise = step < record.overloaded_level or now() >= record.capped_until_s
            # With a weight that overloads it, it would be left out again.
            if may_rise and used * step / record.level <= limit:
                return replace(record, level=step, since_s=now())
        return record

    def _record(self, router: str) -> _Record:
        return self._record_by_router.get(router, _UNKNOWN)

    def _leave_out(
        self, router: str, record: _Record, load: RouterLoad, expected: float
    ) -> _Record:
        out_s = STEP_S
        if record.level < 1 or now() - record.since_s < RELAPSE_S:
            out_s = min(2 * max(record.out_s, STEP_S), MAX_LEFT_OUT_S)
        self.left_out_total += 1
        eliot.log_message(
            "router:left-out",
            router=router,
            cores=load.cores,
            connections=load.connections,
            expected_connections=round(expected, 1),
            running=load.running,
            loop_delay_ms=round(load.loop_delay_s * MS_PER_S, 1),
            least_s=out_s,
        )
        return replace(
            record,
            level=LEVELS[0],
            since_s=now(),
            out_s=out_s,
            overloaded_level=max(record.level, LEVELS[2]),
            capped_until_s=now() + LIMITED_S,
            idle_connections=0,
        )

    def _return(
        self, router: str, record: _Record, load: RouterLoad, idle: int
    ) -> _Record:
        eliot.log_message(
            "router:returned",
            router=router,
            connections=load.connections,
            after_s=round(now() - record.since_s, 1),
        )
        return replace(record, level=LEVELS[1], since_s=now(), idle_connections=idle)


def sizes(load_by_router: Mapping[str, RouterLoad]) -> dict[str, float]:
    """Return the relative sizes of routers; all equal unless each tells its cores.

    :param load_by_router: loads by the name of the host.
    """
    if any(load.cores <= 0 for load in load_by_router.values()):
        return dict.fromkeys(load_by_router, 1.0)
    return {router: load.cores for router, load in load_by_router.items()}
