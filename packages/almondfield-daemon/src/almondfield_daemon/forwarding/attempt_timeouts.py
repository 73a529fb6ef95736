"""How long one attempt at a request may wait for its server."""

from dataclasses import dataclass

from almondfield_core.routing import RequestKind, RouteRule

__all__ = ["AttemptTimeouts", "attempt_timeouts"]

MIN_ANSWER_TIMEOUT_S = 0.3  # several round trips and a short request
# An answer slower than this multiple of the target is more likely lost than late.
LATENCY_TARGETS_PER_ATTEMPT = 3.0
STREAM_CHUNK_TIMEOUT_S = 1.4  # callers abandon a stalled stream after 2 s or more


@dataclass(frozen=True)
class AttemptTimeouts:
    """Timeouts of one attempt.

    :ivar answer_s: timeout for the head of the answer, in seconds.
    :ivar chunk_s: timeout for each further part of the answer, in seconds.
    """

    answer_s: float
    chunk_s: float


def attempt_timeouts(
    route: RouteRule,
    remaining_s: float,
    *,
    may_repeat: bool,
    is_last: bool,
    time_to_first_token_s: float,
) -> AttemptTimeouts:
    """Return the timeouts of an attempt.

    :param route: rule of the request.
    :param remaining_s: seconds until the deadline of the request.
    :param may_repeat: whether another attempt may follow, by the limit on attempts and
        the retry budget.
    :param is_last: whether the limit on attempts allows no other one.
    :param time_to_first_token_s: wait and prefill time of a slow engine, in seconds.
    """
    chunk_s = remaining_s
    if may_repeat and route.is_resumable:
        chunk_s = STREAM_CHUNK_TIMEOUT_S
    if route.kind is RequestKind.STREAMING:
        return AttemptTimeouts(chunk_s + time_to_first_token_s, chunk_s)
    if route.kind is not RequestKind.IDEMPOTENT or is_last:
        return AttemptTimeouts(remaining_s, chunk_s)
    answer_s = LATENCY_TARGETS_PER_ATTEMPT * route.latency_target_s
    return AttemptTimeouts(max(MIN_ANSWER_TIMEOUT_S, answer_s), chunk_s)
