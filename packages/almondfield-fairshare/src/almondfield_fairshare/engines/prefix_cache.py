"""What one engine keeps of the prompts that it read."""

from collections import OrderedDict

from almondfield_core.routing import Prompt

__all__ = ["Chain", "KeptParts", "prompt_chains"]

Chain = tuple[str, int]
"""A part's identifier with those of the parts before it, and the part's tokens."""


def prompt_chains(prompt: Prompt) -> tuple[Chain, ...]:
    """Return the parts of a prompt, each known by itself and all before it.

    :param prompt: the prompt.
    """
    chains = []
    chain = prompt.model
    for part in prompt.parts:
        chain = f"{chain}/{part.part_id}"
        chains.append((chain, part.tokens))
    return tuple(chains)


class KeptParts:
    """Least-recently-used parts of prompts, each kept with all parts before it.

    :param capacity_tokens: tokens that the engine can hold.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._tokens_by_chain: OrderedDict[str, int] = OrderedDict()
        self._held_tokens = 0

    def count(self, chains: tuple[Chain, ...]) -> int:
        """Return how many of a prompt's tokens are kept.

        :param chains: parts of the prompt, from :func:`prompt_chains`.
        """
        kept = 0
        for chain, tokens in chains:
            if chain not in self._tokens_by_chain:
                break
            kept += tokens
        return kept

    def add(self, chains: tuple[Chain, ...], output_tokens: int) -> None:
        """Keep a prompt and its answer; the parts used longest ago make room.

        :param chains: parts of the prompt, from :func:`prompt_chains`.
        :param output_tokens: length of the answer in tokens.
        """
        if not chains:
            return
        last, tokens = chains[-1]
        with_answer = (*chains[:-1], (last, tokens + output_tokens))
        # The first parts are used last, as the others are of no use without them.
        for chain, tokens in reversed(with_answer):
            held = self._tokens_by_chain.pop(chain, 0)
            self._tokens_by_chain[chain] = max(held, tokens)
            self._held_tokens += max(held, tokens) - held
        while self._held_tokens > self._capacity_tokens:
            _, tokens = self._tokens_by_chain.popitem(last=False)
            self._held_tokens -= tokens
