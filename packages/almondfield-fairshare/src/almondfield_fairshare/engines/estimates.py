"""Predicted costs of a request at each engine."""

from functools import partial
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
    "wait_limits_s",
]

CACHED_WAIT_FACTOR = 1.25  # of the wait limit, where most of a prompt is cached
MIN_IDLE_SHARE = 0.6  # below it, engines are idle only between two prompts


class Estimate(NamedTuple):
    """Predicted cost of a request at one engine.

    :ivar engine: the engine.
    :ivar wait_s: predicted wait before prefill, in seconds.
    :ivar uncached_tokens: prompt tokens that the engine has to prefill.
    :ivar prefill_s: predicted prefill time in seconds.
    """

    engine: Engine
    wait_s: float
    uncached_tokens: int
    prefill_s: float


# Every decision creates an estimate for each engine. Below are list comprehensions in
# place of generators, as each item of a generator costs as much as a call.
_new_estimate = partial(tuple.__new__, Estimate)


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
        wait_s, cached = engine.predict(at_s, blocks)
        uncached = input_tokens - cached if cached < input_tokens else 1
        prefill_s = uncached / engine.prefill_rate
        estimates.append(_new_estimate((engine, wait_s, uncached, prefill_s)))
    is_uncached = min([e.uncached_tokens for e in estimates]) >= input_tokens
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
    idle = sum([estimate.wait_s <= 0 for estimate in estimates])
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
    if request.is_repeat or target_s <= 0 or request.waited_s <= 0:
        return False
    soonest_s = min([estimate.wait_s + estimate.prefill_s for estimate in estimates])
    return request.waited_s + soonest_s + answer_delay_s > target_s


def wait_limits_s(
    estimates: list[Estimate], max_wait_s: float, repeated_prefill_weight: float
) -> list[float]:
    """Return the wait limit at each engine, in seconds.

    The limit is lower where another engine has more of the prompt cached: time spent
    on a repeated prefill is lost to other prompts.

    :param estimates: costs at the engines.
    :param max_wait_s: wait limit of the request's team, in seconds.
    :param repeated_prefill_weight: weight of the time of a repeated prefill.
    """
    min_uncached = min([estimate.uncached_tokens for estimate in estimates])
    longest_s = CACHED_WAIT_FACTOR * max_wait_s
    return [
        longest_s
        - repeated_prefill_weight
        * (estimate.uncached_tokens - min_uncached)
        / estimate.engine.prefill_rate
        for estimate in estimates
    ]
