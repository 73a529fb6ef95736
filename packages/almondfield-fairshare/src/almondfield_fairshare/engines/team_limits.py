"""What a team's usage of its share means for its next prompt."""

from almondfield_core.routing import Prompt

__all__ = ["output_tokens", "spare_capacity", "team_max_wait_s", "work_tokens"]

OUTPUT_TOKEN_WEIGHT = 2.0  # work of an output token in prompt tokens
LOW_USAGE = 0.7  # below this part of its fair share, a team may wait longer
LOW_USAGE_WAIT_FACTOR = 1.3  # of the wait limit
OVER_SHARE_WAIT_FACTOR = 0.25  # above its share, a team gets idle capacity only
OVER_SHARE_RANGE = 0.5  # part of a share over which that wait limit falls to 0
LOW_BUSY_SHARE = 0.5  # engines this busy have time for repeated prefills
HIGH_BUSY_SHARE = 0.8  # above it, waits grow steeply


def spare_capacity(busy_share: float) -> float:
    """Return the engines' spare capacity, from 0 (none) to 1.

    :param busy_share: part of the engines that prefill prompts.
    """
    load_level = (busy_share - LOW_BUSY_SHARE) / (HIGH_BUSY_SHARE - LOW_BUSY_SHARE)
    return min(1.0, max(0.0, 1 - load_level))


def team_max_wait_s(base_max_wait_s: float, usage: float) -> float:
    """Return the wait limit for a team by its usage of its fair share, in seconds.

    :param base_max_wait_s: wait limit of a team that has had its share, in seconds.
    :param usage: part of its share that the team has used.
    """
    if usage > 1:
        left = max(0.0, 1 - (usage - 1) / OVER_SHARE_RANGE)
        return OVER_SHARE_WAIT_FACTOR * base_max_wait_s * left
    if usage < LOW_USAGE:
        return LOW_USAGE_WAIT_FACTOR * base_max_wait_s
    return base_max_wait_s


def output_tokens(prompt: Prompt) -> int:
    """Return the expected length of the answer in tokens.

    :param prompt: the prompt.
    """
    return prompt.likely_output_tokens or prompt.max_output_tokens


def work_tokens(prompt: Prompt) -> float:
    """Return the work of a prompt and its answer, in tokens of the teams' shares.

    :param prompt: the prompt.
    """
    return prompt.input_tokens + OUTPUT_TOKEN_WEIGHT * output_tokens(prompt)
