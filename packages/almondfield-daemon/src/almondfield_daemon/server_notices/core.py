"""Decides when a router may send work to servers that asked for less.

A server that leaves gets no further work. A server that refused a request and gave a
retry time gets none for that time; afterwards it gets one request, and more once it has
answered that one. Neither is a failure of the server: its health is judged elsewhere.
The notices hold for one start of a server and need no other host.
"""

import itertools
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import NamedTuple

import eliot

from almondfield_core.clock import now
from almondfield_core.findings import AlmondfieldError
from almondfield_daemon.server_notices.notices import (
    InvalidRetryAfter,
    Leaving,
    NoticeKind,
    RetryAfter,
    ServerNotice,
)

__all__ = ["MAX_RETRY_AFTER_S", "ServerClosedError", "ServerNotices", "ServerStart"]

# A server that takes no work for longer is expected to leave. Larger values are more
# likely errors, and would take the server out of use until it restarts.
MAX_RETRY_AFTER_S = 3600.0
MAX_LOGGED_CHARACTERS = 64


class ServerClosedError(AlmondfieldError):
    """Raised right before a request is sent to a server that takes no work now."""


class ServerStart(NamedTuple):
    """One start of a server.

    :ivar name: identifier of the server; a restarted server may use the same one.
    :ivar born_ms: when it started, in milliseconds since 1970.
    """

    name: str
    born_ms: int


@dataclass(frozen=True)
class _Closure:
    """A server that takes no work, or one request at a time.

    :ivar until_s: when it takes one request, in seconds of the loop's clock; infinity
        for a server that leaves.
    :ivar trial: number of the request that it got after that time; 0 for none.
    """

    until_s: float
    trial: int = 0


class ServerNotices:
    """Notices of the servers that one router sends requests to.

    :ivar count_by_kind: notices received since the start.
    """

    def __init__(self) -> None:
        self.count_by_kind: Counter[NoticeKind] = Counter()
        self._closure_by_start: dict[ServerStart, _Closure] = {}
        self._starts_with_invalid_time: set[ServerStart] = set()
        self._trial_numbers = itertools.count(1)

    def accepts(self, server: ServerStart) -> bool:
        """Return whether a server may get a request now.

        :param server: the server.
        """
        closure = self._closure_by_start.get(server)
        return closure is None or (closure.until_s <= now() and not closure.trial)

    def wait_s(self, servers: Iterable[ServerStart]) -> float:
        """Return the time until the first of some servers takes work, in seconds.

        :param servers: the servers.
        :returns: 0 if one takes work now; infinity if all leave or there is none.
        """
        waits_s = (self._wait_s(server) for server in servers)
        return min(waits_s, default=math.inf)

    def begin_trial(self, server: ServerStart) -> int:
        """Return the number of a request if it is the first after a closure, else 0.

        The server gets no other request until this one is answered or has ended.

        :param server: the server, which accepts a request.
        """
        closure = self._closure_by_start.get(server)
        if closure is None:
            return 0
        trial = next(self._trial_numbers)
        self._closure_by_start[server] = replace(closure, trial=trial)
        return trial

    def end_trial(self, server: ServerStart, trial: int) -> None:
        """Let a server get another request, as a trial has ended without an answer.

        :param server: the server.
        :param trial: number of the request; a trial that was answered is ignored.
        """
        closure = self._closure_by_start.get(server)
        if closure is not None and trial and closure.trial == trial:
            self._closure_by_start[server] = replace(closure, trial=0)

    def check(self, server: ServerStart, trial: int) -> None:
        """Return if a selected server still takes the request that is to be sent.

        :param server: the server.
        :param trial: number of the request if it is a trial; 0 otherwise.
        :raises ServerClosedError: if another answer has closed the server meanwhile.
        """
        closure = self._closure_by_start.get(server)
        if closure is None or (trial and closure.trial == trial):
            return
        raise ServerClosedError(f"server {server.name} takes no work now")

    def record(
        self,
        server: ServerStart,
        notices: tuple[ServerNotice, ...],
        received_s: float,
        request_id: str,
    ) -> None:
        """Record what an answer of a server says, even if the answer isn't used.

        :param server: the server.
        :param notices: what the answer says about further work.
        :param received_s: when its head was received, in seconds of the loop's clock.
        :param request_id: the request that was sent on its connection.
        """
        for notice in notices:
            match notice:
                case Leaving():
                    self.count_by_kind[NoticeKind.LEAVING] += 1
                    self._close(server, math.inf, "server:leaving", request_id)
                case RetryAfter(seconds) if seconds <= MAX_RETRY_AFTER_S:
                    self.count_by_kind[NoticeKind.RETRY_AFTER] += 1
                    until_s = received_s + seconds
                    self._close(server, until_s, "server:retry-after", request_id)
                case RetryAfter(seconds):
                    self._ignore(server, f"{seconds:.0f}", request_id)
                case InvalidRetryAfter(text):
                    self._ignore(server, text, request_id)

    def record_served(self, server: ServerStart) -> None:
        """End a closure whose time has passed, as the server answers a request.

        :param server: the server.
        """
        closure = self._closure_by_start.get(server)
        if closure is not None and closure.until_s <= now():
            del self._closure_by_start[server]
            eliot.log_message("server:open", server=server.name)

    def retain(self, servers: Iterable[ServerStart]) -> None:
        """Drop what is recorded of servers that aren't known any more.

        :param servers: the known servers.
        """
        known = frozenset(servers)
        closures = self._closure_by_start.items()
        self._closure_by_start = {s: c for s, c in closures if s in known}
        self._starts_with_invalid_time &= known

    def _wait_s(self, server: ServerStart) -> float:
        closure = self._closure_by_start.get(server)
        return 0.0 if closure is None else max(0.0, closure.until_s - now())

    def _close(
        self, server: ServerStart, until_s: float, event: str, request_id: str
    ) -> None:
        before = self._closure_by_start.get(server)
        if before is not None and before.until_s >= until_s:
            # An answer to an earlier request; the closure in force lasts longer.
            return
        self._closure_by_start[server] = _Closure(until_s)
        is_extension = before is not None and before.until_s > now()
        if not is_extension or until_s == math.inf:
            eliot.log_message(
                event,
                server=server.name,
                server_born_ms=server.born_ms,
                request_id=request_id,
                wait_ms=(
                    None if until_s == math.inf else round((until_s - now()) * 1000, 1)
                ),
            )

    def _ignore(self, server: ServerStart, text: str, request_id: str) -> None:
        self.count_by_kind[NoticeKind.INVALID_RETRY_AFTER] += 1
        if server not in self._starts_with_invalid_time:
            self._starts_with_invalid_time.add(server)
            eliot.log_message(
                "server:retry-after-ignored",
                server=server.name,
                request_id=request_id,
                value=text[:MAX_LOGGED_CHARACTERS],
                allowed=f"0 to {MAX_RETRY_AFTER_S:.0f} seconds",
            )
