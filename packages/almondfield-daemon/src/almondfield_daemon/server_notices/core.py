"""Decides when a router may send work to servers that asked for less.

A server that leaves gets no further work. A server that refused a request and gave a
retry time gets none for that time; afterwards it gets one request, and more once it has
answered that one. Neither is a failure of the server: its health is judged elsewhere.
That a server leaves holds for one start of it. A retry time holds until it ends, as a
server that has started again may give it before its start is announced. No other host
is needed.
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
    ColdTime,
    InvalidColdTime,
    InvalidRequestLimit,
    InvalidRetryAfter,
    Leaving,
    NoticeKind,
    RequestLimit,
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

    :ivar until_s: when it takes one request, in seconds of the loop's clock.
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
        self._leaving: set[ServerStart] = set()
        self._closure_by_name: dict[str, _Closure] = {}
        # Events of ignored values that were logged, by start of a server.
        self._ignored: set[tuple[str, ServerStart]] = set()
        self._trial_numbers = itertools.count(1)

    def noticed_names(self) -> frozenset[str]:
        """Return the names of all servers that may take less work than others."""
        return frozenset(self._closure_by_name).union(
            [server.name for server in self._leaving]
        )

    def accepts(self, server: ServerStart) -> bool:
        """Return whether a server may get a request now.

        :param server: the server.
        """
        if server in self._leaving:
            return False
        closure = self._closure_by_name.get(server.name)
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
        closure = self._closure_by_name.get(server.name)
        if closure is None:
            return 0
        trial = next(self._trial_numbers)
        self._closure_by_name[server.name] = replace(closure, trial=trial)
        return trial

    def end_trial(self, server: ServerStart, trial: int) -> None:
        """Let a server get another request, as a trial has ended without an answer.

        :param server: the server.
        :param trial: number of the request; a trial that was answered is ignored.
        """
        closure = self._closure_by_name.get(server.name)
        if closure is not None and trial and closure.trial == trial:
            self._closure_by_name[server.name] = replace(closure, trial=0)

    def check(self, server: ServerStart, trial: int) -> None:
        """Return if a selected server still takes the request that is to be sent.

        :param server: the server.
        :param trial: number of the request if it is a trial; 0 otherwise.
        :raises ServerClosedError: if another answer has closed the server meanwhile.
        """
        closure = self._closure_by_name.get(server.name)
        is_open = closure is None or (trial and closure.trial == trial)
        if is_open and server not in self._leaving:
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
                    self._leave(server, request_id)
                case RetryAfter(seconds) if seconds <= MAX_RETRY_AFTER_S:
                    self.count_by_kind[NoticeKind.RETRY_AFTER] += 1
                    self._close(server, received_s + seconds, request_id)
                case RetryAfter(seconds):
                    self._ignore_retry_after(server, f"{seconds:.0f}", request_id)
                case InvalidRetryAfter(text):
                    self._ignore_retry_after(server, text, request_id)
                case RequestLimit():
                    # All routers together keep it; see server_limits.
                    self.count_by_kind[NoticeKind.REQUEST_LIMIT] += 1
                case InvalidRequestLimit(text):
                    self.count_by_kind[NoticeKind.INVALID_REQUEST_LIMIT] += 1
                    self._log_ignored(
                        "server:limit-ignored",
                        server,
                        text,
                        request_id,
                        "a number of requests a second",
                    )

                case ColdTime(seconds):
                    # All routers together keep its rate; see server_limits.
                    if seconds > 0:
                        self.count_by_kind[NoticeKind.COLD] += 1
                case InvalidColdTime(text):
                    self.count_by_kind[NoticeKind.INVALID_COLD] += 1
                    allowed = "one number of milliseconds, 0 to 600000"
                    event = "server:cold-ignored"
                    self._log_ignored(event, server, text, request_id, allowed)

    def record_served(self, server: ServerStart) -> None:
        """End a closure whose time has passed, as the server answers a request.

        :param server: the server.
        """
        closure = self._closure_by_name.get(server.name)
        if closure is not None and closure.until_s <= now():
            del self._closure_by_name[server.name]
            eliot.log_message("server:open", server=server.name)

    def retain(self, servers: Iterable[ServerStart]) -> None:
        """Drop what is recorded of servers that aren't known any more.

        A retry time that hasn't ended is kept, as its server may be back before.

        :param servers: the known servers.
        """
        known = frozenset(servers)
        names = {server.name for server in known}
        self._leaving &= known
        self._ignored = {item for item in self._ignored if item[1] in known}
        self._closure_by_name = {
            name: closure
            for name, closure in self._closure_by_name.items()
            if name in names or closure.until_s > now()
        }

    def _wait_s(self, server: ServerStart) -> float:
        if server in self._leaving:
            return math.inf
        closure = self._closure_by_name.get(server.name)
        return 0.0 if closure is None else max(0.0, closure.until_s - now())

    def _leave(self, server: ServerStart, request_id: str) -> None:
        if server not in self._leaving:
            self._leaving.add(server)
            self._log("server:leaving", server, request_id, None)

    def _close(self, server: ServerStart, until_s: float, request_id: str) -> None:
        before = self._closure_by_name.get(server.name)
        if before is not None and before.until_s >= until_s:
            # An answer to an earlier request; the closure in force lasts longer.
            return
        self._closure_by_name[server.name] = _Closure(until_s)
        is_extension = before is not None and before.until_s > now()
        if not is_extension:
            wait_ms = round((until_s - now()) * 1000, 1)
            self._log("server:retry-after", server, request_id, wait_ms)

    def _log(
        self, event: str, server: ServerStart, request_id: str, wait_ms: float | None
    ) -> None:
        eliot.log_message(
            event,
            server=server.name,
            server_born_ms=server.born_ms,
            request_id=request_id,
            wait_ms=wait_ms,
        )

    def _ignore_retry_after(
        self, server: ServerStart, text: str, request_id: str
    ) -> None:
        self.count_by_kind[NoticeKind.INVALID_RETRY_AFTER] += 1
        allowed = f"0 to {MAX_RETRY_AFTER_S:.0f} seconds"
        event = "server:retry-after-ignored"
        self._log_ignored(event, server, text, request_id, allowed)

    def _log_ignored(
        self, event: str, server: ServerStart, text: str, request_id: str, allowed: str
    ) -> None:
        """Log a value that is ignored, once for each start of a server."""
        if (event, server) in self._ignored:
            return
        self._ignored.add((event, server))
        eliot.log_message(
            event,
            server=server.name,
            request_id=request_id,
            value=text[:MAX_LOGGED_CHARACTERS],
            allowed=allowed,
        )
