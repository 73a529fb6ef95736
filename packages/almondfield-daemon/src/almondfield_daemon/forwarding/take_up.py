"""Requests that take up a stream whose first events the caller has."""

from dataclasses import replace

from result import Err, Ok, Result

from almondfield_core.clock import now
from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.ports import StreamOrigins
from almondfield_daemon.forwarding.unavailable import RETRY_AFTER_S
from almondfield_daemon.router.problems import Problem
from almondfield_daemon.streams import StreamOrigin

__all__ = ["locate_stream", "make_origins"]

KEEP_MARGIN_S = 2.0  # callers' clocks, and the way of their last try


async def locate_stream(
    request: ForwardRequest, origins: StreamOrigins
) -> Result[ForwardRequest, Problem]:
    """Return a request bound to the pool and version where its stream began.

    :param request: the request.
    :param origins: knows where streams began.
    """
    first_request_id = request.metadata.first_request_id
    pools = [share.pool for share in request.route.shares if share.weight > 0]
    if not first_request_id and len(pools) > 1:
        return Err(
            _refusal("it isn't known which of the route's pools began the stream")
        )
    origin = await origins.find(first_request_id, request.pool, _lookback_s(request))
    if origin is None:
        return Err(_refusal("it isn't known which version began the stream"))
    if origin.pool not in pools:
        return Err(_refusal(f"the route no longer leads to pool {origin.pool!r}"))
    return Ok(replace(request, pool=origin.pool, stream_version=origin.version))


def make_origins(
    request: ForwardRequest, server: FleetServer
) -> tuple[StreamOrigin, ...]:
    """Return what to record of a stream whose first event a server has sent.

    If the request takes the stream up, that is recorded for the attempt that began it
    too, as the caller names that one again.

    :param request: the request.
    :param server: the server.
    """
    metadata = request.metadata
    deadline_s = metadata.deadline_s or request.route.timeout_s
    keep_s = request.arrived_s + deadline_s - now() + KEEP_MARGIN_S
    request_ids = (metadata.request_id, metadata.first_request_id)
    return tuple(
        StreamOrigin(
            request_id=request_id,
            pool=request.pool,
            server=server.name,
            version=server.version,
            keep_s=keep_s,
            born_ms=server.born_ms,
        )
        for request_id in dict.fromkeys(request_ids)
        if request_id
    )


def _lookback_s(request: ForwardRequest) -> float:
    """Return the longest time since the stream of a request may have begun.

    It may have run for the route's timeout, and broken off as long ago.
    """
    return max(2 * request.route.timeout_s, request.waited_s + KEEP_MARGIN_S)


def _refusal(detail: str) -> Problem:
    return Problem(503, "unknown-origin", detail, retry_after_s=RETRY_AFTER_S)
