"""Size limits of request heads and bodies, and reading of bodies."""

import asyncio
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from almondfield_core.findings import AlmondfieldError
from almondfield_daemon.router import Header, Problem
from almondfield_daemon.router.problems import permanent_problem

__all__ = [
    "MAX_DISCARDED_BYTES",
    "BodyBudget",
    "BodyReservation",
    "CallerDisconnectedError",
    "IncomingBody",
    "check_headers",
    "discard_body",
    "read_body",
]

BODY_TIMEOUT_S = 60.0
DISCARD_S = 1.0  # callers that write without pauses end within this time
MAX_DISCARDED_BYTES = 4 * 1024 * 1024


class CallerDisconnectedError(AlmondfieldError):
    """Raised when the caller's connection was closed or stalled."""


class BodyBudget:
    """Limits the bytes of all bodies that one daemon holds in memory.

    A team may hold at most as many bytes as remain free, so that a team that floods
    the host uses at most half of the limit and leaves the rest to other teams.

    :param limit_bytes: limit on the total, in bytes.
    :ivar held_bytes: bytes that are held now.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._held_by_team: dict[str, int] = {}
        self.held_bytes = 0

    def reserve(self, team: str, count: int) -> bool:
        """Return whether a team may hold more bytes, and count them if so.

        :param team: name of the team.
        :param count: number of bytes.
        """
        held = self._held_by_team.get(team, 0) + count
        if held > self._limit_bytes - self.held_bytes - count:
            return False
        self._held_by_team[team] = held
        self.held_bytes += count
        return True

    def release(self, team: str, count: int) -> None:
        """Release bytes of a team.

        :param team: name of the team.
        :param count: number of bytes.
        """
        self.held_bytes -= count
        self._held_by_team[team] -= count
        if not self._held_by_team[team]:
            del self._held_by_team[team]


class BodyReservation:
    """The bytes of a budget that one request holds.

    :param budget: the budget.
    :param team: name of the team.
    """

    def __init__(self, budget: BodyBudget, team: str) -> None:
        self._budget = budget
        self._team = team
        self._held_bytes = 0

    def reserve(self, count: int) -> bool:
        """Return whether the request may hold more bytes, and count them if so.

        :param count: number of bytes.
        """
        if not self._budget.reserve(self._team, count):
            return False
        self._held_bytes += count
        return True

    def release(self) -> None:
        """Release all bytes."""
        if self._held_bytes:
            self._budget.release(self._team, self._held_bytes)
            self._held_bytes = 0


class IncomingBody:
    """The ASGI receive callable of one request, which knows whether its body has ended.

    :param receive: ASGI receive callable.
    :param expects_continue: whether the caller waits for ``100 Continue`` before it
        writes the body, which the first call sends.

    :ivar is_ended: whether all of the body was received.
    """

    def __init__(self, receive: Any, expects_continue: bool) -> None:
        self._receive = receive
        self._is_requested = not expects_continue
        self.is_ended = False

    async def __call__(self) -> Any:
        """Return the next ASGI message."""
        self._is_requested = True
        message = await self._receive()
        self.is_ended = self.is_ended or not message.get("more_body", False)
        return message

    async def discard_rest(self) -> bool:
        """Return whether the body has ended, once its rest is discarded within limits.

        The connection then carries the requests behind this one; else it has to close.

        :raises CallerDisconnectedError: if the caller disconnects before.
        :raises TimeoutError: if the body takes too long.
        """
        size = 0
        async with asyncio.timeout(DISCARD_S):
            while self._is_requested and not self.is_ended:
                message = await self()
                if message["type"] == "http.disconnect":
                    raise _disconnected()
                size += len(message.get("body", b""))
                if size > MAX_DISCARDED_BYTES:
                    break
        return self.is_ended


def check_headers(headers: list[Header], limit_bytes: int) -> Problem | None:
    """Return the problem of an oversized header section; None for an allowed size.

    :param headers: headers as received.
    :param limit_bytes: limit on names and values together, in bytes.
    """
    size = sum(len(name) + len(value) for name, value in headers)
    if size <= limit_bytes:
        return None
    detail = f"headers of {size} bytes; allowed: {limit_bytes}"
    return permanent_problem(431, "headers-too-large", detail)


async def read_body(
    receive: Any,
    declared_bytes: int,
    limit_bytes: int,
    reserve: Callable[[int], bool],
) -> Result[bytes, Problem]:
    """Return the whole body of a request.

    :param receive: ASGI receive callable.
    :param declared_bytes: value of content-length; 0 without one.
    :param limit_bytes: limit on the size of the body, in bytes.
    :param reserve: returns whether more bytes may be held, and counts them if so.
    :raises CallerDisconnectedError: if the caller disconnects before the end of
        the body.
    """
    if declared_bytes > limit_bytes:
        return Err(_too_large(f"{declared_bytes}", limit_bytes))
    try:
        # One timeout for the whole body: a slow caller occupies memory all that time.
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await _receive_body(receive, limit_bytes, reserve)
    except TimeoutError:
        detail = f"body incomplete after {BODY_TIMEOUT_S} s"
        return Err(permanent_problem(408, "body-timeout", detail))


async def discard_body(receive: Any, limit_bytes: int) -> int:
    """Return the length of a body that is discarded up to its end or the limit.

    :param receive: ASGI receive callable.
    :param limit_bytes: length after which no more is received, in bytes.
    :raises CallerDisconnectedError: if the caller disconnects before.
    :raises TimeoutError: if the body takes too long.
    """
    size = 0
    async with asyncio.timeout(BODY_TIMEOUT_S):
        while size <= limit_bytes:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise _disconnected()
            size += len(message.get("body", b""))
            if not message.get("more_body", False):
                break
    return size


async def _receive_body(
    receive: Any, limit_bytes: int, reserve: Callable[[int], bool]
) -> Result[bytes, Problem]:
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise _disconnected()
        part = message.get("body", b"")
        size += len(part)
        if size > limit_bytes:
            return Err(_too_large(f"more than {limit_bytes}", limit_bytes))
        if part:
            if not reserve(len(part)):
                return Err(_no_memory())
            parts.append(part)
        if not message.get("more_body", False):
            return Ok(b"".join(parts))


def _disconnected() -> CallerDisconnectedError:
    return CallerDisconnectedError("the caller disconnected before the end of its body")


def _too_large(size: str, limit_bytes: int) -> Problem:
    detail = f"body of {size} bytes; allowed: {limit_bytes}"
    return permanent_problem(413, "body-too-large", detail)


def _no_memory() -> Problem:
    detail = "this host has reached its memory limit for request bodies"
    return Problem(503, "memory", detail, retry_after_s=1.0, retry_elsewhere=True)
