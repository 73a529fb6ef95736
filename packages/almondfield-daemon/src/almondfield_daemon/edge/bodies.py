"""Bounded reading of request heads and bodies."""

import asyncio
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from almondfield_core.findings import AlmondfieldError
from almondfield_daemon.router import Header, Problem
from almondfield_daemon.router.problems import refuse

__all__ = [
    "BodyBudget",
    "CallerGoneError",
    "HeldBody",
    "check_headers",
    "read_body",
]

BODY_TIMEOUT_S = 60.0


class CallerGoneError(AlmondfieldError):
    """Raised where the caller's connection closed or went silent."""


class BodyBudget:
    """Bounds the bytes of all bodies that one daemon holds.

    A team may hold at most as much as the others leave free, so that one that floods
    the host takes half of it and leaves room for the next.

    :param limit_bytes: bytes, at most.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._held_by_team: dict[str, int] = {}
        self.held_bytes = 0

    def take(self, team: str, count: int) -> bool:
        """Return whether a team may hold so many more bytes, and count them.

        :param team: name of the team.
        :param count: number of bytes.
        """
        held = self._held_by_team.get(team, 0) + count
        if held > self._limit_bytes - self.held_bytes - count:
            return False
        self._held_by_team[team] = held
        self.held_bytes += count
        return True

    def give_back(self, team: str, count: int) -> None:
        """Count bytes as no longer held.

        :param team: name of the team.
        :param count: number of bytes.
        """
        self.held_bytes -= count
        self._held_by_team[team] -= count
        if not self._held_by_team[team]:
            del self._held_by_team[team]


class HeldBody:
    """The bytes that one request holds of a budget.

    :param budget: the budget.
    :param team: name of the team.
    """

    def __init__(self, budget: BodyBudget, team: str) -> None:
        self._budget = budget
        self._team = team
        self._held_bytes = 0

    def take(self, count: int) -> bool:
        """Return whether so many more bytes may be held, and count them.

        :param count: number of bytes.
        """
        if not self._budget.take(self._team, count):
            return False
        self._held_bytes += count
        return True

    def release(self) -> None:
        """Count all bytes as no longer held."""
        if self._held_bytes:
            self._budget.give_back(self._team, self._held_bytes)
            self._held_bytes = 0


def check_headers(headers: list[Header], limit_bytes: int) -> Problem | None:
    """Return what is wrong with the size of a header section, if anything.

    :param headers: headers as received.
    :param limit_bytes: bytes, at most.
    """
    size = sum(len(name) + len(value) for name, value in headers)
    if size <= limit_bytes:
        return None
    detail = f"headers of {size} bytes; allowed: {limit_bytes}"
    return refuse(431, "headers-too-large", detail)


async def read_body(
    receive: Any,
    declared_bytes: int,
    limit_bytes: int,
    take: Callable[[int], bool],
) -> Result[bytes, Problem]:
    """Return the whole body of a request.

    :param receive: ASGI's receive.
    :param declared_bytes: value of content-length; 0 without one.
    :param limit_bytes: bytes, at most.
    :param take: asks whether so many more bytes may be held.
    :raises CallerGoneError: where the caller's connection closes before.
    """
    if declared_bytes > limit_bytes:
        return Err(_too_large(f"{declared_bytes}", limit_bytes))
    try:
        # One bound for the whole body: a caller that drips it holds its bytes too.
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await _gather(receive, limit_bytes, take)
    except TimeoutError:
        detail = f"body not whole within {BODY_TIMEOUT_S} s"
        return Err(refuse(408, "body-timeout", detail))


async def _gather(
    receive: Any, limit_bytes: int, take: Callable[[int], bool]
) -> Result[bytes, Problem]:
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError("the caller closed before its body was whole")
        part = message.get("body", b"")
        size += len(part)
        if size > limit_bytes:
            return Err(_too_large(f"more than {limit_bytes}", limit_bytes))
        if part:
            if not take(len(part)):
                return Err(_no_memory())
            parts.append(part)
        if not message.get("more_body", False):
            return Ok(b"".join(parts))


def _too_large(size: str, limit_bytes: int) -> Problem:
    detail = f"body of {size} bytes; allowed: {limit_bytes}"
    return refuse(413, "body-too-large", detail)


def _no_memory() -> Problem:
    detail = "this host holds as many bodies as it may"
    return Problem(503, "memory", detail, retry_after_s=1.0, elsewhere=True)
