"""How long a server may be silent before another one is sought for its request."""

import math
from dataclasses import dataclass

from almondfield_core.routing import RequestKind, RouteRule

__all__ = ["SilenceLimits", "silence_limits"]

MIN_ANSWER_LIMIT_S = 0.3  # several round trips and a short request
# An answer slower than this multiple of the target is more likely lost than late.
LATENCY_TARGETS_PER_ATTEMPT = 3.0
STREAM_LIMIT_S = 1.4  # callers abandon a stalled stream after 2 s or more


@dataclass(frozen=True)
class SilenceLimits:
    """Limits on the silence of a server; infinity where no other may be asked.

    :ivar answer_s: limit until the head of the answer, in seconds.
    :ivar chunk_s: limit before each further part of the answer, in seconds.
    """

    answer_s: float = math.inf
    chunk_s: float = math.inf


def silence_limits(
    route: RouteRule, *, is_last: bool, time_to_first_token_s: float
) -> SilenceLimits:
    """Return the limits of an attempt.

    :param route: rule of the request.
    :param is_last: whether the limit on attempts allows no other one.
    :param time_to_first_token_s: wait and prefill time of a slow engine, in seconds.
    """
    if is_last or not route.may_run_again:
        return SilenceLimits()
    if route.kind is RequestKind.STREAMING:
        return SilenceLimits(STREAM_LIMIT_S + time_to_first_token_s, STREAM_LIMIT_S)
    answer_s = LATENCY_TARGETS_PER_ATTEMPT * route.latency_target_s
    return SilenceLimits(max(MIN_ANSWER_LIMIT_S, answer_s))
