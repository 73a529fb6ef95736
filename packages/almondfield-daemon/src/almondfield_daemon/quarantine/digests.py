"""Digests by which a whole request is recognised when it comes again."""

import xxhash

from almondfield_core.routing import Prompt

__all__ = ["is_digest", "request_digests"]

# The identifiers of prompt parts hold no colon.
PREFIX = "request:"


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
