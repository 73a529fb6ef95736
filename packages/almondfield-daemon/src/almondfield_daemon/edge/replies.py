"""JSON answers from the router itself: problems and addresses."""

import math
from typing import Any
from urllib.parse import parse_qs

import msgspec

from almondfield_core.settings import TimingSettings
from almondfield_daemon.router import Header, Problem
from almondfield_daemon.router.problems import permanent_problem

__all__ = ["AddressEndpoint", "send_json", "send_problem"]


async def send_json(
    send: Any, status: int, body: Any, headers: tuple[Header, ...] = ()
) -> None:
    """Send a complete JSON answer.

    :param send: ASGI send callable.
    :param status: HTTP status.
    :param body: data class or built-in values.
    :param headers: further headers.
    """
    content = msgspec.json.encode(body)
    fixed = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(content)),
    ]
    start = {"type": "http.response.start", "status": status}
    await send(start | {"headers": fixed + list(headers)})
    await send({"type": "http.response.body", "body": content})


async def send_problem(
    send: Any, problem: Problem, request_id: str, membership: Any, close: bool = False
) -> None:
    """Send an error answer.

    :param send: ASGI send callable.
    :param problem: the error.
    :param request_id: identifier of the request.
    :param membership: returns other addresses for a problem that includes them.
    :param close: whether to close the caller's connection after the answer.
    """
    body = {
        "error": problem.kind,
        "detail": problem.detail,
        "outcome": problem.outcome.value,
        "request_id": request_id,
    }
    headers = [
        (b"almondfield-outcome", problem.outcome.value.encode()),
        (b"x-request-id", request_id.encode("latin-1")),
    ]
    if problem.retry_after_s is not None:
        body["retry_after_s"] = problem.retry_after_s
        headers.append((b"retry-after", b"%d" % math.ceil(problem.retry_after_s)))
    if problem.retry_elsewhere:
        body["addresses"] = membership.addresses()
    if problem.status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    if close:
        headers.append((b"connection", b"close"))
    await send_json(send, problem.status, body, tuple(headers))


class AddressEndpoint:
    """Answers ``GET /addresses``.

    :param membership: returns the addresses.
    :param timing: contains the time for which callers may cache the answer.
    """

    def __init__(self, membership: Any, timing: TimingSettings) -> None:
        self._membership = membership
        self._cache_control = b"max-age=%d" % int(timing.address_lifetime_s)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        if scope["method"] not in ("GET", "HEAD"):
            detail = f"method {scope['method']!r}; allowed: GET, HEAD"
            problem = permanent_problem(405, "method", detail)
            await send_problem(send, problem, "", self._membership, close=True)
            return
        headers = ((b"cache-control", self._cache_control),)
        parameters = parse_qs(scope["query_string"].decode("latin-1"))
        data_centre = parameters.get("data_centre", [""])[0]
        answer = self._membership.addresses(data_centre)
        await send_json(send, 200, answer, headers)
