"""Routes and requests of the forwarding features."""

from almondfield_core.clock import now
from almondfield_core.routing import (
    PoolShare,
    Prompt,
    PromptPart,
    RequestKind,
    RouteRule,
)
from almondfield_daemon.forwarding import RequestMetadata
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.run import StreamBrokenError
from almondfield_daemon.forwarding.tests.fakes import FakeSink

TIMEOUT_S = 4.0
TARGET_S = 0.3
SHARE = 0.2
SLACK = 50.0
WINDOW_S = 10.0
ONE_POOL = (PoolShare("p"),)
PROMPT = Prompt("m", 20, 5, (PromptPart("s", 10), PromptPart("o", 10)))


def route(kind, attempts, shares=ONE_POOL):
    is_resumable = kind == "resumable"
    return RouteRule(
        name="route",
        domain="d",
        path_prefix="/",
        kind=RequestKind("streaming" if is_resumable else kind),
        shares=shares,
        timeout_s=TIMEOUT_S,
        latency_target_s=TARGET_S,
        max_attempts=attempts,
        is_resumable=is_resumable,
    )


def make_request(
    context, deadline_s, last_event_id="", prompt=None, first_request_id=""
):
    """Return a request that arrives now."""
    began_s = now()
    return ForwardRequest(
        method="POST",
        target=b"/",
        headers=(),
        metadata=RequestMetadata(
            "r",
            deadline_s,
            last_event_id=last_event_id,
            first_request_id=first_request_id,
            prompt=prompt,
        ),
        route=context.route,
        pool="p",
        table_version=1,
        team="",
        arrived_s=began_s,
        until_s=began_s + min(TIMEOUT_S, deadline_s),
        allowed_regions=getattr(context, "allowed_regions", None),
    )


async def serve(
    context, deadline_s=TIMEOUT_S, last_event_id="", prompt=None, first_request_id=""
):
    """Serve one request; return its problem, sink, error and duration in seconds."""
    sink = FakeSink()
    began_s = now()
    request = make_request(context, deadline_s, last_event_id, prompt, first_request_id)
    problem, error = None, None
    try:
        problem = await context.forwarder.serve(request, sink)
    except StreamBrokenError as cause:
        error = cause
    return problem, sink, error, now() - began_s
