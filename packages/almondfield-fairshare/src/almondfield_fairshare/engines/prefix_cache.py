"""Model of the prefix cache of one engine."""

from collections import OrderedDict

import xxhash

from almondfield_core.routing import Prompt

__all__ = ["PrefixBlock", "PrefixCache", "prefix_blocks"]

MAX_RESTORED_SHARE = 0.5  # of the capacity; unshared parts and answers have the rest

MAX_BLOCKS = 4096  # of one engine; a part has a hundred tokens and more

PrefixBlock = tuple[str, int]
"""Key of a prompt prefix, and the number of tokens in its last part."""


def prefix_blocks(prompt: Prompt) -> tuple[PrefixBlock, ...]:
    """Return the prefix blocks of a prompt, one for each part.

    :param prompt: the prompt.
    """
    blocks = []
    key = prompt.model
    for part in prompt.parts:
        key = xxhash.xxh3_64_hexdigest(f"{key}/{part.part_id}".encode())
        blocks.append((key, part.tokens))
    return tuple(blocks)


class PrefixCache:
    """Prefix blocks in a cache with least-recently-used eviction.

    :param capacity_tokens: capacity of the cache in tokens.

    :ivar tokens_by_key: number of tokens in the last part of each cached prefix.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self.tokens_by_key: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0

    def count_cached(self, blocks: tuple[PrefixBlock, ...]) -> int:
        """Return how many tokens of a prompt are cached.

        :param blocks: prefix blocks of the prompt, from :func:`prefix_blocks`.
        """
        cached = 0
        for key, tokens in blocks:
            if key not in self.tokens_by_key:
                break
            cached += tokens
        return cached

    def add(self, blocks: tuple[PrefixBlock, ...], output_tokens: int) -> None:
        """Cache a prompt and its answer; evict the least recently used blocks.

        :param blocks: prefix blocks of the prompt, from :func:`prefix_blocks`.
        :param output_tokens: length of the answer in tokens.
        """
        if not blocks:
            return
        last, tokens = blocks[-1]
        with_answer = (*blocks[:-1], (last, tokens + output_tokens))
        # The first blocks count as used last, as later ones are useless without them.
        for key, tokens in reversed(with_answer):
            previous_tokens = self.tokens_by_key.pop(key, 0)
            self.tokens_by_key[key] = max(previous_tokens, tokens)
            self._cached_tokens += max(previous_tokens, tokens) - previous_tokens
        while (
            self._cached_tokens > self._capacity_tokens
            or len(self.tokens_by_key) > MAX_BLOCKS
        ):
            _, tokens = self.tokens_by_key.popitem(last=False)
            self._cached_tokens -= tokens

    def restore(self, blocks: tuple[PrefixBlock, ...]) -> None:
        """Record blocks that were cached before, as the least recently used ones.

        :param blocks: prefix blocks of shared parts, from :func:`prefix_blocks`.
        """
        missing = [block for block in blocks if block[0] not in self.tokens_by_key]
        total = self._cached_tokens + sum(tokens for _, tokens in missing)
        if total > MAX_RESTORED_SHARE * self._capacity_tokens:
            return
        if len(self.tokens_by_key) + len(missing) > MAX_RESTORED_SHARE * MAX_BLOCKS:
            return
        self._cached_tokens = total
        # The first blocks count as used last, as later ones are useless without them.
        for key, tokens in missing:
            self.tokens_by_key[key] = tokens
            self.tokens_by_key.move_to_end(key, last=False)
