"""Digests by which a whole request is recognised when it comes again."""

import xxhash

from almondfield_core.clock import now
from almondfield_core.routing import Prompt

__all__ = ["SoundDigests", "is_digest", "request_digests"]

# The identifiers of prompt parts hold no colon.
PREFIX = "request:"
GENERATION_S = 15.0
MAX_PER_GENERATION = 20_000


class SoundDigests:
    """Digests of requests that were answered soundly in the last 15 to 30 s.

    They are kept as hashes in two generations, the older of which is dropped whole.
    Where there are too many, they are kept for a shorter time.
    """

    def __init__(self) -> None:
        self._newer: set[int] = set()
        self._older: set[int] = set()
        self._turned_s = float("-inf")

    def __len__(self) -> int:
        return len(self._newer) + len(self._older)

    def __contains__(self, digest: str) -> bool:
        self._turn()
        key = hash(digest)
        return key in self._newer or key in self._older

    def add(self, digest: str) -> None:
        """Record a sound answer.

        :param digest: the digest of its request.
        """
        self._turn()
        self._newer.add(hash(digest))

    def _turn(self) -> None:
        """Begin a new generation if the newer one is old or full."""
        age_s = now() - self._turned_s
        if age_s < GENERATION_S and len(self._newer) < MAX_PER_GENERATION:
            return
        self._older = self._newer if age_s < 2 * GENERATION_S else set()
        self._newer = set()
        self._turned_s = now()


def is_digest(part: str) -> bool:
    """Return whether a part is the digest of a whole request.

    :param part: a part of a prompt, or a digest.
    """
    return part.startswith(PREFIX)


def request_digests(
    method: str,
    domain: str,
    target: bytes,
    team: str,
    body: bytes,
    prompt: Prompt | None,
) -> tuple[str, ...]:
    """Return the digest of a request without its headers; and one with its prompt.

    Prompts may differ in requests that are alike otherwise, and may be all that tells
    requests apart.

    :param method: HTTP method.
    :param domain: domain of its route.
    :param target: path and query as sent.
    :param team: team of the caller; empty without one.
    :param body: the whole body.
    :param prompt: its prompt; None for none.
    """
    head = b"\0".join((method.encode(), domain.encode(), target, team.encode(), b""))
    state = xxhash.xxh3_128(head)
    state.update(body)
    digest = PREFIX + state.hexdigest()
    if prompt is None:
        return (digest,)
    part_ids = (part.part_id for part in prompt.parts)
    state.update("\0".join(("", prompt.model, *part_ids)).encode())
    state.update(b"\0%d" % prompt.input_tokens)
    return (digest, PREFIX + state.hexdigest())
