"""Predicted costs of a request at each engine."""

from dataclasses import dataclass

from almondfield_core.clock import now
from almondfield_fairshare.engines.engine import Engine, bounded_loss_s
from almondfield_fairshare.engines.prefix_cache import PrefixBlock
from almondfield_fairshare.engines.requests import PromptRequest

__all__ = [
    "CACHED_WAIT_FACTOR",
    "Estimates",
    "are_mostly_idle",
    "costs_s",
    "estimate_engines",
    "has_capacity",
    "is_late_everywhere",
]

CACHED_WAIT_FACTOR = 1.25  # of the wait limit, where most of a prompt is cached
MIN_IDLE_SHARE = 0.6  # below it, engines are idle only between two prompts


@dataclass(frozen=True)
class Estimates:
    """Predicted costs of a request at some engines, in lists of the same order.

    Every decision looks at each engine. Lists of numbers need no calls and no objects
    for each of them.

    :ivar engines: the engines, at least one.
    :ivar waits_s: predicted waits before prefill, in seconds.
    :ivar uncached_tokens: prompt tokens that each engine has to prefill.
    :ivar added_s_by_index: what the momentary slowdown of an engine adds to its prefill
        time, in seconds, for the engines that are slower or faster than usual.
    """

    engines: list[Engine]
    waits_s: list[float]
    uncached_tokens: list[int]
    added_s_by_index: dict[int, float]


def estimate_engines(
    engines: list[Engine], request: PromptRequest, blocks: tuple[PrefixBlock, ...]
) -> Estimates:
    """Return the predicted cost of a request at each engine.

    :param engines: the engines, at least one.
    :param request: the request.
    :param blocks: prefix blocks of its prompt.
    """
    at_s = now()
    waits_s = [
        engine.slot_wait_s + (engine.ready_s - at_s if engine.ready_s > at_s else 0.0)
        for engine in engines
    ]
    input_tokens = request.prompt.input_tokens
    uncached_tokens = [input_tokens] * len(engines)
    if blocks:
        first = blocks[0][0]
        holders = [i for i, e in enumerate(engines) if first in e.cached_parts]
        for index in holders:
            cached = engines[index].cached_tokens(blocks)
            uncached_tokens[index] = max(1, input_tokens - cached)
        if not holders:
            # No cache model has the prompt, as after a restart of the scheduler: assume
            # that the server of the router's hint has its shared parts cached.
            unshared_tokens = max(1, request.prompt.unshared_tokens)
            for index, engine in enumerate(engines):
                if engine.server.name == request.hint:
                    uncached_tokens[index] = unshared_tokens
    slowed = [index for index, e in enumerate(engines) if e.is_slowed]
    added_s_by_index = {}
    for index in slowed:
        engine = engines[index]
        added_s = engine.loss_ratio * uncached_tokens[index] / engine.prefill_rate
        added_s_by_index[index] = bounded_loss_s(added_s, engine.loss_left_s)
    return Estimates(engines, waits_s, uncached_tokens, added_s_by_index)


def are_mostly_idle(estimates: Estimates) -> bool:
    """Return whether enough engines are idle for any of them to prefill any prompt.

    :param estimates: costs at all engines that the request may use.
    """
    idle = sum([wait_s <= 0 for wait_s in estimates.waits_s])
    return idle >= MIN_IDLE_SHARE * len(estimates.waits_s)


def is_late_everywhere(
    request: PromptRequest, estimates: Estimates, answer_delay_s: float
) -> bool:
    """Return whether no engine can begin the answer within the latency target.

    :param request: the request.
    :param estimates: costs at all engines that it may use.
    :param answer_delay_s: time from the end of prefill to the first event, in seconds.
    """
    target_s = request.latency_target_s
    if request.is_repeat or target_s <= 0 or request.waited_s <= 0:
        return False
    soonest_s = min(costs_s(estimates, prefill_weight=1.0))
    return request.waited_s + soonest_s + answer_delay_s > target_s


def costs_s(estimates: Estimates, prefill_weight: float) -> list[float]:
    """Return the sum of wait and weighted prefill time at each engine, in seconds.

    :param estimates: costs at the engines.
    :param prefill_weight: weight of the prefill time at the mean speed of an engine;
        what a momentary slowdown adds to it delays the answer only.
    """
    all_costs_s = [
        wait_s + prefill_weight * uncached / engine.prefill_rate
        for engine, wait_s, uncached in zip(
            estimates.engines,
            estimates.waits_s,
            estimates.uncached_tokens,
            strict=True,
        )
    ]
    for index, added_s in estimates.added_s_by_index.items():
        all_costs_s[index] += added_s
    return all_costs_s


def has_capacity(
    estimates: Estimates, max_wait_s: float, repeated_prefill_weight: float
) -> bool:
    """Return whether the wait at any engine is within its limit.

    :param estimates: costs at the engines.
    :param max_wait_s: wait limit of the request's team, in seconds.
    :param repeated_prefill_weight: weight of the time of a repeated prefill.
    """
    if min(estimates.waits_s) > CACHED_WAIT_FACTOR * max_wait_s:
        return False
    limits_s = _wait_limits_s(estimates, max_wait_s, repeated_prefill_weight)
    waits = zip(estimates.waits_s, limits_s, strict=True)
    return any([wait_s <= limit_s for wait_s, limit_s in waits])


def _wait_limits_s(
    estimates: Estimates, max_wait_s: float, repeated_prefill_weight: float
) -> list[float]:
    """Return the wait limit at each engine, in seconds.

    The limit is lower where another engine has more of the prompt cached: time spent
    on a repeated prefill is lost to other prompts.

    :param estimates: costs at the engines.
    :param max_wait_s: wait limit of the request's team, in seconds.
    :param repeated_prefill_weight: weight of the time of a repeated prefill.
    """
    min_uncached = min(estimates.uncached_tokens)
    longest_s = CACHED_WAIT_FACTOR * max_wait_s
    limits_s = [
        longest_s
        - repeated_prefill_weight * (uncached - min_uncached) / engine.prefill_rate
        for engine, uncached in zip(
            estimates.engines, estimates.uncached_tokens, strict=True
        )
    ]
    for index, added_s in estimates.added_s_by_index.items():
        uncached = estimates.uncached_tokens[index]
        repeated_share = (uncached - min_uncached) / max(1, uncached)
        limits_s[index] -= repeated_prefill_weight * added_s * repeated_share
    return limits_s
