"""What one engine keeps of the prompts that it read."""

from collections import OrderedDict
from collections.abc import Iterator

from almondfield_core.routing import Prompt

__all__ = ["KeptParts"]


class KeptParts:
    """Least-recently-used parts of prompts, each kept with all parts before it.

    :param capacity_tokens: tokens that the engine can hold.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._tokens_by_chain: OrderedDict[str, int] = OrderedDict()
        self._held_tokens = 0

    def count(self, prompt: Prompt) -> int:
        """Return how many of a prompt's tokens are kept.

        :param prompt: the prompt.
        """
        kept = 0
        for chain, tokens in _chains(prompt):
            if chain not in self._tokens_by_chain:
                break
            kept += tokens
        return kept

    def add(self, prompt: Prompt, output_tokens: int) -> None:
        """Keep a prompt and its answer; the parts used longest ago make room.

        :param prompt: the prompt.
        :param output_tokens: length of the answer in tokens.
        """
        chains = list(_chains(prompt))
        if not chains:
            return
        last, tokens = chains[-1]
        chains[-1] = (last, tokens + output_tokens)
        # The first parts are used last, as the others are of no use without them.
        for chain, tokens in reversed(chains):
            held = self._tokens_by_chain.pop(chain, 0)
            self._tokens_by_chain[chain] = max(held, tokens)
            self._held_tokens += max(held, tokens) - held
        while self._held_tokens > self._capacity_tokens:
            _, tokens = self._tokens_by_chain.popitem(last=False)
            self._held_tokens -= tokens


def _chains(prompt: Prompt) -> Iterator[tuple[str, int]]:
    """Return each part's identifier with those before it, and its tokens."""
    chain = prompt.model
    for part in prompt.parts:
        chain = f"{chain}/{part.part_id}"
        yield chain, part.tokens
