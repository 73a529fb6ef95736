"""Predicted costs of a request at each engine."""

from typing import NamedTuple

from almondfield_core.clock import now
from almondfield_fairshare.engines.engine import Engine
from almondfield_fairshare.engines.prefix_cache import PrefixBlock
from almondfield_fairshare.engines.requests import PromptRequest

__all__ = [
    "CACHED_WAIT_FACTOR",
    "Estimate",
    "are_mostly_idle",
    "estimate_engines",
    "is_late_everywhere",
    "wait_limit_s",
]

CACHED_WAIT_FACTOR = 1.25  # of the wait limit, where most of a prompt is cached
MIN_IDLE_SHARE = 0.6  # below it, engines are idle only between two prompts
SLOT_PENALTY_S = 0.05  # added wait per request beyond an engine's slots


class Estimate(NamedTuple):
    """Predicted cost of a request at one engine.

    :ivar engine: the engine.
    :ivar wait_s: predicted wait before prefill, in seconds.
    :ivar uncached_tokens: prompt tokens that the engine has to prefill.
    :ivar prefill_s: predicted prefill time in seconds.
    """

    # A named tuple is cheap to create; every decision creates one for each engine.

    engine: Engine
    wait_s: float
    uncached_tokens: int
    prefill_s: float


def estimate_engines(
    engines: list[Engine], request: PromptRequest, blocks: tuple[PrefixBlock, ...]
) -> list[Estimate]:
    """Return the predicted cost of a request at each engine.

    :param engines: the engines, at least one.
    :param request: the request.
    :param blocks: prefix blocks of its prompt.
    """
    at_s = now()
    input_tokens = request.prompt.input_tokens
    estimates = []
    for engine in engines:
        uncached = max(1, input_tokens - engine.cached_tokens(blocks))
        estimate = Estimate(
            engine, _wait_s(engine, at_s), uncached, uncached / engine.prefill_rate
        )
        estimates.append(estimate)
    is_uncached = all(
        estimate.uncached_tokens >= input_tokens for estimate in estimates
    )
    if not is_uncached or not blocks:
        return estimates
    # No cache model has the prompt, as after a restart of the scheduler: assume that
    # the server of the router's hint has its shared parts cached.
    unshared_tokens = max(1, request.prompt.unshared_tokens)
    return [
        estimate._replace(
            uncached_tokens=unshared_tokens,
            prefill_s=unshared_tokens / estimate.engine.prefill_rate,
        )
        if estimate.engine.server.name == request.hint
        else estimate
        for estimate in estimates
    ]


def are_mostly_idle(estimates: list[Estimate]) -> bool:
    """Return whether enough engines are idle for any of them to prefill any prompt.

    :param estimates: costs at all engines that the request may use.
    """
    idle = sum(estimate.wait_s <= 0 for estimate in estimates)
    return idle >= MIN_IDLE_SHARE * len(estimates)


def is_late_everywhere(
    request: PromptRequest, estimates: list[Estimate], answer_delay_s: float
) -> bool:
    """Return whether no engine can begin the answer within the latency target.

    :param request: the request.
    :param estimates: costs at all engines that it may use.
    :param answer_delay_s: time from the end of prefill to the first event, in seconds.
    """
    target_s = request.latency_target_s
    if request.is_repeat or target_s <= 0:
        return False
    soonest_s = min(estimate.wait_s + estimate.prefill_s for estimate in estimates)
    soonest_s += answer_delay_s
    return request.waited_s > 0 and request.waited_s + soonest_s > target_s


def wait_limit_s(
    estimate: Estimate,
    min_uncached_tokens: int,
    max_wait_s: float,
    repeated_prefill_weight: float,
) -> float:
    """Return the wait limit at one engine, in seconds.

    The limit is lower where another engine has more of the prompt cached: time spent
    on a repeated prefill is lost to other prompts.

    :param estimate: cost at the engine.
    :param min_uncached_tokens: fewest uncached tokens at any engine.
    :param max_wait_s: wait limit of the request's team, in seconds.
    :param repeated_prefill_weight: weight of the time of a repeated prefill.
    """
    repeated_prefill_s = (
        estimate.uncached_tokens - min_uncached_tokens
    ) / estimate.engine.prefill_rate
    return (
        CACHED_WAIT_FACTOR * max_wait_s - repeated_prefill_weight * repeated_prefill_s
    )


def _wait_s(engine: Engine, at_s: float) -> float:
    wait_s = engine.wait_s(at_s)
    beyond = engine.in_flight + 1 - engine.server.slots
    return wait_s + SLOT_PENALTY_S * beyond if beyond > 0 else wait_s
