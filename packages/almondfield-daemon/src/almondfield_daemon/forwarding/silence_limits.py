"""How long a server may be silent before another one is sought for its request."""

import math
from dataclasses import dataclass

from almondfield_core.routing import RequestKind, RouteRule

__all__ = ["SilenceLimits", "silence_limits", "stream_patience_s"]

MIN_ANSWER_LIMIT_S = 0.3  # several round trips and a short request
# An answer slower than this multiple of the target is more likely lost than late.
LATENCY_TARGETS_PER_ATTEMPT = 3.0
# Callers abandon a silent stream after the longest of these.
MIN_STREAM_PATIENCE_S = 2.0
LATENCY_TARGETS_OF_PATIENCE = 4.0
EVENT_GAP_TARGETS_OF_PATIENCE = 8.0
STREAM_LIMIT_SHARE = 0.7  # the rest is for the first event of another server
# The same share of that rest, for a server that takes over.
TAKE_OVER_LIMIT_SHARE = STREAM_LIMIT_SHARE * (1 - STREAM_LIMIT_SHARE)


@dataclass(frozen=True)
class SilenceLimits:
    """Limits on the silence of a server; infinity where no other may be asked.

    :ivar answer_s: limit until the head of the answer, in seconds.
    :ivar first_event_s: limit between the head and the first event, in seconds.
    :ivar chunk_s: limit before each further part of the answer, in seconds.
    """

    answer_s: float = math.inf
    first_event_s: float = math.inf
    chunk_s: float = math.inf


def silence_limits(
    route: RouteRule,
    *,
    is_last: bool,
    can_go_back: bool,
    takes_over: bool,
    time_to_first_token_s: float,
) -> SilenceLimits:
    """Return the limits of an attempt.

    :param route: rule of the request.
    :param is_last: whether no new server may be asked after it.
    :param can_go_back: whether the request may go back to a server that was left, until
        this one answers.
    :param takes_over: whether the caller of a stream has waited for a silent server
        before, so that less of its patience is left.
    :param time_to_first_token_s: wait and prefill time of a slow engine, in seconds.
    """
    if not route.may_run_again or (is_last and not can_go_back):
        return SilenceLimits()
    if route.kind is RequestKind.STREAMING:
        patience_s = stream_patience_s(route)
        part_s = STREAM_LIMIT_SHARE * patience_s
        chunk_s = math.inf if is_last else part_s
        if takes_over:
            # A sound server begins within the target.
            begin_s = max(route.latency_target_s, TAKE_OVER_LIMIT_SHARE * patience_s)
            begin_s += time_to_first_token_s
            return SilenceLimits(begin_s, begin_s, chunk_s)
        return SilenceLimits(part_s + time_to_first_token_s, part_s, chunk_s)
    answer_s = LATENCY_TARGETS_PER_ATTEMPT * route.latency_target_s
    return SilenceLimits(max(MIN_ANSWER_LIMIT_S, answer_s))


def stream_patience_s(route: RouteRule) -> float:
    """Return how long callers wait for the next event of a stream, in seconds.

    :param route: rule of the stream.
    """
    return max(
        MIN_STREAM_PATIENCE_S,
        LATENCY_TARGETS_OF_PATIENCE * route.latency_target_s,
        EVENT_GAP_TARGETS_OF_PATIENCE * route.event_gap_target_s,
    )
