"""The whole state as a snapshot holds it, coded in parts.

Coding a part holds the event loop; between parts others get their turn, so that
heartbeats and leases go on beside a large snapshot.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from almondfield_control.commands import Member, PublishTable
from almondfield_control.state.audit import AcceptedChange
from almondfield_control.state.claims import ClaimRecord
from almondfield_core.messages import ChangeConflict, PoolLease
from almondfield_core.tables import Pool, Route

__all__ = ["StateHead", "StateImage", "decode_image", "encode_image"]

# Coding so many rows takes a few milliseconds.
ROWS_PER_PART = 2_000


@dataclass(frozen=True)
class StateHead:
    """What a state holds beside its tables, audit trail and claims.

    :ivar index: last applied entry.
    :ivar unix_s: time of the newest entry, in seconds since 1970.
    :ivar revision: revision of the tables.
    :ivar conflicts: answers to refused changes.
    :ivar pool_leases: the host that each pool is leased to.
    :ivar leases_index: entry that last changed a pool lease.
    :ivar fencing: last fencing number that was issued.
    :ivar members: members as of the last applied entry.
    :ivar revision_by_change_id: revisions that changes made.
    :ivar published: the routing table in force; None before the first one.
    """

    index: int
    unix_s: float
    revision: int
    conflicts: tuple[ChangeConflict, ...]
    pool_leases: tuple[PoolLease, ...]
    leases_index: int
    fencing: int
    members: tuple[Member, ...]
    revision_by_change_id: dict[str, int]
    published: PublishTable | None = None


@dataclass(frozen=True)
class StateImage:
    """The whole state at one entry; nothing in it changes any more.

    :ivar head: what is small.
    :ivar pools: rows of the pools table.
    :ivar routes: rows of the routes table.
    :ivar audit: accepted changes.
    :ivar claims: claims on idempotency keys, oldest first.
    """

    head: StateHead
    pools: tuple[Pool, ...]
    routes: tuple[Route, ...]
    audit: tuple[AcceptedChange, ...]
    claims: tuple[ClaimRecord, ...]


@dataclass(frozen=True)
class _CodedImage:
    """An image whose large items are coded in parts."""

    head: StateHead
    pools: tuple[msgspec.Raw, ...]
    routes: tuple[msgspec.Raw, ...]
    audit: tuple[msgspec.Raw, ...]
    claims: tuple[msgspec.Raw, ...]


async def encode_image(image: StateImage) -> bytes:
    """Return an image as MessagePack.

    :param image: the image.
    """
    coded = _CodedImage(
        head=image.head,
        pools=await _encode_parts(image.pools),
        routes=await _encode_parts(image.routes),
        audit=await _encode_parts(image.audit, _rows_of),
        claims=await _encode_parts(image.claims),
    )
    return msgspec.msgpack.encode(coded)


async def decode_image(body: bytes) -> StateImage:
    """Return the image that :func:`encode_image` gave.

    :param body: the image as MessagePack.
    :raises msgspec.ValidationError: where the body is no image.
    """
    coded = msgspec.msgpack.decode(body, type=_CodedImage)
    return StateImage(
        head=coded.head,
        pools=await _decode_parts(coded.pools, tuple[Pool, ...]),
        routes=await _decode_parts(coded.routes, tuple[Route, ...]),
        audit=await _decode_parts(coded.audit, tuple[AcceptedChange, ...]),
        claims=await _decode_parts(coded.claims, tuple[ClaimRecord, ...]),
    )


def _one_row(item: object) -> int:
    return 1


def _rows_of(change: AcceptedChange) -> int:
    return 1 + len(change.rows) + len(change.replaced)


async def _encode_parts(
    items: Iterable[object], rows_of: Callable[[Any], int] = _one_row
) -> tuple[msgspec.Raw, ...]:
    parts = []
    for part in _split(items, rows_of):
        parts.append(msgspec.Raw(msgspec.msgpack.encode(part)))
        await asyncio.sleep(0)
    return tuple(parts)


async def _decode_parts(parts: tuple[msgspec.Raw, ...], wanted: Any) -> tuple:
    decoder = msgspec.msgpack.Decoder(wanted)
    items: list[Any] = []
    for part in parts:
        items += decoder.decode(part)
        await asyncio.sleep(0)
    return tuple(items)


def _split(
    items: Iterable[object], rows_of: Callable[[Any], int]
) -> Iterator[list[object]]:
    """Return the items in parts of so many rows, or one larger item each."""
    part: list[object] = []
    rows = 0
    for item in items:
        part.append(item)
        rows += rows_of(item)
        if rows >= ROWS_PER_PART:
            yield part
            part, rows = [], 0
    if part:
        yield part
