"""Which servers are cold, and until when.

A cold server tolerates only a few requests a second, and crashes under more. Any server
may become cold at any moment, and tens may do so at once: a data centre returns after a
failure, or a release starts all servers again. The newest statement counts, whether an
announcement or an answer.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Protocol

import eliot

from almondfield_core.clock import now
from almondfield_core.routing import ServerPool
from almondfield_daemon.server_limits.messages import NamedCold
from almondfield_daemon.server_notices import ServerStart

__all__ = ["MAX_COLD_S", "AnnouncedServer", "ColdServers", "is_cold_time"]

MAX_COLD_S = 600.0  # longer times are more likely errors
MS_PER_S = 1000
# After the cold time the rate doubles with each step, until it is not limited any more.
RAMP_STEP_S = 0.25
RAMP_S = 1.0
FIRST_SEQUENCE = 1
TOLERANCE_S = 0.3  # of the end of a cold time that another host has told already
# So long the end of a cold time is told to routers, which may have missed a message.
TOLD_WARM_S = 5.0


class AnnouncedServer(Protocol):
    """What an announcement says about a server; see ``FleetServer``."""

    name: str
    pool: str
    data_centre: str
    born_ms: int
    sequence: int
    cold_left_s: float
    has_cold_time: bool


@dataclass(frozen=True)
class _State:
    """What is known of the latest start of a server.

    :ivar start: the start.
    :ivar pool: name of its pool.
    :ivar data_centre: data centre where it runs.
    :ivar said_s: when the statement in force was made, in seconds of the loop's clock.
    :ivar until_s: end of its cold time, in seconds of the loop's clock.
    :ivar assumed_s: when it was assumed to be cold, in seconds of the loop's clock, so
        that only a later announcement shortens the cold time; -inf if it said so.
    :ivar is_own: whether an answer to this router was the statement.
    :ivar was_cold: whether the log says that it is cold.
    """

    start: ServerStart
    pool: str
    data_centre: str
    said_s: float
    until_s: float = float("-inf")
    assumed_s: float = float("-inf")
    is_own: bool = False
    was_cold: bool = False


class ColdServers:
    """Cold times of the servers that this host knows.

    :param hears_all: whether this host gets all announcements of servers, so that it
        notices when one returns after a silence.

    :ivar pool_of: returns a pool by its name; None if the table has none.
    :ivar version: increases with each statement.
    """

    def __init__(self, hears_all: bool = False) -> None:
        self.pool_of: Callable[[str], ServerPool | None] = lambda name: None
        self.version = 0
        self._hears_all = hears_all
        self._state_by_name: dict[str, _State] = {}
        self._ignored: set[ServerStart] = set()

    def warm_up_pool(self, name: str) -> ServerPool | None:
        """Return the pool of a server; None if its pool has no warm-up rate.

        :param name: name of the server.
        """
        state = self._state_by_name.get(name)
        pool = None if state is None else self.pool_of(state.pool)
        return pool if pool is not None and pool.warmup_per_s > 0 else None

    def start(self, name: str) -> ServerStart | None:
        """Return the latest known start of a server.

        :param name: name of the server.
        """
        state = self._state_by_name.get(name)
        return None if state is None else state.start

    def names(self) -> tuple[str, ...]:
        """Return the names of all servers of pools with a warm-up rate."""
        return tuple([name for name in self._state_by_name if self.warm_up_pool(name)])

    def cold_names(self) -> tuple[str, ...]:
        """Return the names of all servers that are cold now."""
        return tuple([name for name in self._recent(0.0) if self.is_cold(name)])

    def limited_names(self) -> tuple[str, ...]:
        """Return the names of all servers whose rate is limited now."""
        return tuple(self._recent(RAMP_S))

    def is_cold(self, name: str) -> bool:
        """Return whether a server is cold now.

        :param name: name of the server.
        """
        state = self._state_by_name.get(name)
        if state is None or state.until_s <= now():
            return False
        return self.warm_up_pool(name) is not None

    def rate_per_s(self, name: str) -> float | None:
        """Return the requests a second that a server gets; None if there is no limit.

        :param name: name of the server.
        """
        state = self._state_by_name.get(name)
        late_s = RAMP_S if state is None else now() - state.until_s
        if late_s >= RAMP_S:
            return None
        pool = self.warm_up_pool(name)
        if pool is None:
            return None
        steps = 0 if late_s < 0 else 1 + int(late_s / RAMP_STEP_S)
        return float(pool.warmup_per_s * 2**steps)

    def left_s(self, name: str) -> float:
        """Return how long a server stays cold, in seconds.

        :param name: name of the server.
        """
        state = self._state_by_name.get(name)
        return 0.0 if state is None else max(0.0, state.until_s - now())

    def record_announcement(
        self, server: AnnouncedServer, age_s: float = 0.0, was_silent: bool = False
    ) -> bool:
        """Record an announcement; return whether it makes a server cold.

        :param server: the announcement; its cold time counts from now.
        :param age_s: how long ago it was received by the first host, in seconds.
        :param was_silent: whether the server was not heard for some time before.
        """
        start = ServerStart(server.name, server.born_ms)
        known = self._state_by_name.get(server.name)
        if known is not None and known.start.born_ms > start.born_ms:
            return False
        was_cold = self.is_cold(server.name)
        is_new = known is None or known.start != start
        if known is None or is_new:
            # A host that starts hears servers that have been running for long.
            is_new = known is not None or server.sequence <= FIRST_SEQUENCE
            known = _State(start, server.pool, server.data_centre, float("-inf"))
        known = replace(known, pool=server.pool, data_centre=server.data_centre)
        said_s = now() - _usable_age_s(age_s)
        left_s: float | None = server.cold_left_s
        if not server.has_cold_time or not is_cold_time(server.cold_left_s):
            value = str(server.cold_left_s) if server.has_cold_time else "no time"
            self._log_ignored(start, value)
            left_s = None
        pool = self.pool_of(server.pool)
        cold_start_s = 0.0 if pool is None else min(MAX_COLD_S, pool.cold_start_s)
        if (is_new and not left_s) or (was_silent and self._hears_all):
            until_s = now() + max(cold_start_s, left_s or 0.0)
            known = replace(
                known, said_s=said_s, until_s=until_s, assumed_s=said_s, is_own=False
            )
        elif left_s is not None and said_s >= known.said_s and said_s > known.assumed_s:
            known = _stated(known, said_s, left_s)
        self._put(known)
        return self.is_cold(server.name) and not was_cold

    def record_answer(
        self, server: ServerStart, left_s: float | None, selected_s: float
    ) -> bool:
        """Record what an answer says; return whether the leader has to be told.

        An answer that names no cold time says that the server isn't cold, as of when
        its request was sent: it may have been on its way while the server became cold.

        :param server: the server.
        :param left_s: how long it stays cold, in seconds; 0 if the answer doesn't say;
            None if it says it in a way that can't be used.
        :param selected_s: when the server was selected for the request, in seconds of
            the loop's clock.
        """
        known = self._state_by_name.get(server.name)
        if known is None or known.start != server or left_s is None:
            return False
        if left_s > 0:
            if known.assumed_s > float("-inf") and now() + left_s <= known.until_s:
                return False
            before_s = max(known.until_s, now())
            self._put(replace(_stated(known, now(), left_s), is_own=True))
            is_longer = now() + left_s > before_s + TOLERANCE_S
            return is_longer and self.is_cold(server.name)
        if known.until_s <= now() or known.assumed_s > float("-inf"):
            return False
        if selected_s <= known.said_s:
            return False
        self._put(replace(_stated(known, selected_s, 0.0), is_own=True))
        return True

    def learn(self, items: Iterable[NamedCold], from_leader: bool = True) -> None:
        """Record what another host tells of cold times.

        :param items: the cold times.
        :param from_leader: whether the leader says so; its judgement ends assumptions.
        """
        for item in items:
            known = self._state_by_name.get(item.server)
            if known is None or known.start.born_ms != item.born_ms:
                continue
            if item.left_s > 0 and not is_cold_time(item.left_s):
                self._log_ignored(known.start, str(item.left_s))
                continue
            said_s = now() - _usable_age_s(item.age_s)
            if said_s < known.said_s:
                continue
            is_assumed = known.assumed_s > float("-inf")
            if is_assumed and not from_leader and item.left_s <= 0:
                continue
            stated = _stated(known, said_s, max(0.0, item.left_s))
            if item.left_s > 0:
                stated = replace(stated, until_s=now() + item.left_s)
            if item.is_assumed:
                stated = replace(stated, assumed_s=said_s)
            self._put(stated)
        self.update()

    def count_as_cold(self, data_centres: Iterable[str]) -> None:
        """Count the servers of data centres as cold, as they may have started anew.

        This holds for the cold time of a start, until a newer announcement says
        otherwise. It is called when the evacuation of a data centre has ended.

        :param data_centres: names of the data centres.
        """
        names = frozenset(data_centres)
        for name, state in list(self._state_by_name.items()):
            pool = self.warm_up_pool(name)
            if pool is None or state.data_centre not in names:
                continue
            until_s = now() + min(MAX_COLD_S, pool.cold_start_s)
            until_s = max(until_s, state.until_s)
            self._put(replace(state, said_s=now(), until_s=until_s, assumed_s=now()))

    def statement(self, name: str) -> NamedCold | None:
        """Return what is known of a server's cold time; None if nothing is.

        :param name: name of the server.
        """
        state = self._state_by_name.get(name)
        if state is None or state.said_s == float("-inf"):
            return None
        return NamedCold(
            state.start.name,
            state.start.born_ms,
            max(0.0, state.until_s - now()),
            now() - state.said_s,
            state.assumed_s > float("-inf"),
        )

    def own_statement(self, name: str) -> NamedCold | None:
        """Return what an answer to this router said of a server's cold time.

        What other hosts told is left out: told back, it would grow older than it is.

        :param name: name of the server.
        """
        state = self._state_by_name.get(name)
        is_own = state is not None and state.is_own
        return self.statement(name) if is_own else None

    def statements(self) -> tuple[NamedCold, ...]:
        """Return the cold times in force, and those that ended a short time ago."""
        items = [self.statement(name) for name in self._recent(TOLD_WARM_S)]
        return tuple([item for item in items if item is not None])

    def update(self) -> None:
        """Log servers that have become warm."""
        for name, state in self._state_by_name.items():
            if state.was_cold and not self.is_cold(name):
                self._state_by_name[name] = replace(state, was_cold=False)
                eliot.log_message("server:warm", server=name, pool=state.pool)

    def retain(self, servers: Iterable[ServerStart]) -> None:
        """Drop what is known of servers that are not known any more.

        :param servers: the known servers.
        """
        starts = frozenset(servers)
        names = frozenset([start.name for start in starts])
        states = self._state_by_name.items()
        self._state_by_name = {n: state for n, state in states if n in names}
        self._ignored &= starts

    def _recent(self, ended_s: float) -> list[str]:
        """Return servers whose cold time has not ended, or only so long ago."""
        after_s = now() - ended_s
        items = self._state_by_name.items()
        names = [name for name, state in items if state.until_s > after_s]
        return [name for name in names if self.warm_up_pool(name) is not None]

    def _put(self, state: _State) -> None:
        name = state.start.name
        self._state_by_name[name] = state
        self.version += 1
        if self.is_cold(name) and not state.was_cold:
            self._state_by_name[name] = replace(state, was_cold=True)
            eliot.log_message(
                "server:cold",
                server=name,
                server_born_ms=state.start.born_ms,
                pool=state.pool,
                left_ms=round((state.until_s - now()) * MS_PER_S, 1),
                is_assumed=state.assumed_s > float("-inf"),
            )

    def _log_ignored(self, start: ServerStart, value: str) -> None:
        """Log a cold time that is ignored, once for each start of a server."""
        if start in self._ignored:
            return
        self._ignored.add(start)
        eliot.log_message(
            "server:cold-ignored",
            server=start.name,
            value=value,
            allowed=f"0 to {MAX_COLD_S:.0f} seconds",
        )


def is_cold_time(seconds: float) -> bool:
    """Return whether a cold time can be used.

    :param seconds: how long a server stays cold, in seconds.
    """
    return 0 <= seconds <= MAX_COLD_S


def _stated(state: _State, said_s: float, left_s: float) -> _State:
    """Return a state by a statement of the server; its cold time counts from now."""
    until_s = now() + left_s if left_s > 0 else min(state.until_s, now())
    return replace(
        state,
        said_s=said_s,
        until_s=until_s,
        assumed_s=float("-inf"),
        is_own=False,
    )


def _usable_age_s(age_s: float) -> float:
    return age_s if 0 <= age_s <= MAX_COLD_S else 0.0
