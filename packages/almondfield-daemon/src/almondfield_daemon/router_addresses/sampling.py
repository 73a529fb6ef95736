"""Draws a few addresses, each with a probability in proportion to its weight."""

import hashlib
from collections.abc import Mapping

__all__ = ["draw", "thin"]

BISECTIONS = 20  # to a millionth
HASH_BYTES = 8
HASH_RANGE = 2 ** (8 * HASH_BYTES)


def draw(
    weight_by_address: Mapping[str, float],
    count: int,
    key: str,
    are_kept: bool = True,
) -> tuple[str, ...]:
    """Return some addresses, the same ones for the same key.

    This is Pareto sampling (Rosén 1997). Drawing one address after another by weight
    would favour light ones: with 8 of 21, a weight of 3.3 would count as 2.6. The
    draw of each address depends on no other one, so that an address which comes or
    goes changes few others in the answer.

    :param weight_by_address: weights above 0.
    :param count: number of addresses.
    :param key: what the draw depends on.
    :param are_kept: whether a caller gets the same addresses each time. If not, it
        keeps a connection only as long as each answer names its router. The load of a
        router then follows the odds of being named, rather than the probability.
    """
    weigh = _inclusion_probabilities if are_kept else _inclusion_by_odds
    probability_by_address = weigh(weight_by_address, count)

    def rank(address: str) -> float:
        probability = probability_by_address[address]
        uniform = _uniform(key, address)
        return uniform / (1 - uniform) * (1 - probability) / probability

    return tuple(sorted(weight_by_address, key=rank)[:count])


def thin(probability_by_address: Mapping[str, float], key: str) -> tuple[str, ...]:
    """Return each address with its own probability, the same ones for the same key.

    :param probability_by_address: probabilities of the addresses.
    :param key: what the choice depends on.
    """
    return tuple(
        address
        for address, probability in probability_by_address.items()
        if _uniform(key, address) < probability
    )


def _inclusion_probabilities(
    weight_by_address: Mapping[str, float], count: int
) -> dict[str, float]:
    """Return the probabilities; those that would exceed 1 are 1."""
    probability_by_address: dict[str, float] = {}
    rest = dict(weight_by_address)
    while rest:
        left = count - len(probability_by_address)
        scale = left / sum(rest.values())
        certain = [item for item, weight in rest.items() if weight * scale >= 1]
        if not certain:
            scaled = {item: weight * scale for item, weight in rest.items()}
            return probability_by_address | scaled
        for address in certain:
            del rest[address]
            probability_by_address[address] = 1.0
    return probability_by_address


def _inclusion_by_odds(
    weight_by_address: Mapping[str, float], count: int
) -> dict[str, float]:
    """Return probabilities whose odds, p / (1 - p), are proportional to the weights."""
    if count >= len(weight_by_address):
        return dict.fromkeys(weight_by_address, 1.0)
    low, high = 0.0, 1.0  # each p is scale * w / (1 - scale + scale * w)
    mean = sum(weight_by_address.values()) / len(weight_by_address)
    odds_by_address = {item: w / mean for item, w in weight_by_address.items()}
    for _ in range(BISECTIONS):
        scale = (low + high) / 2
        probability_by_address = {
            item: scale * odds / (1 - scale + scale * odds)
            for item, odds in odds_by_address.items()
        }
        if sum(probability_by_address.values()) < count:
            low = scale
        else:
            high = scale
    return probability_by_address


def _uniform(key: str, address: str) -> float:
    """Return a number between 0 and 1, neither included."""
    text = f"{key}\0{address}".encode(errors="surrogateescape")
    digest = hashlib.blake2b(text, digest_size=HASH_BYTES).digest()
    # 53 bits, as a float has: with more, the largest numbers would round to 1.
    return ((int.from_bytes(digest) >> 11) + 0.5) / (HASH_RANGE >> 11)
