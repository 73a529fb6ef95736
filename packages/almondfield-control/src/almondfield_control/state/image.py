"""State images for snapshots, encoded in parts.

Encoding or decoding a part blocks the event loop. Other tasks run between parts, so
that heartbeats and leases continue during a large snapshot.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from almondfield_control.commands import Member, PublishTable
from almondfield_control.state.audit import AcceptedChange
from almondfield_control.state.claims import ClaimRecord
from almondfield_control.state.evacuations import EvacuationRecord
from almondfield_core.messages import ChangeConflict, PoolLease
from almondfield_core.tables import Pool, Route

__all__ = ["StateHead", "StateImage", "decode_image", "encode_image"]

# Encoding a part of this size takes a few milliseconds.
ROWS_PER_PART = 2_000


@dataclass(frozen=True)
class StateHead:
    """The state except for its tables, audit trail and claims.

    :ivar index: last applied entry.
    :ivar unix_s: latest time of an applied entry, in seconds since 1970.
    :ivar revision: revision of the tables.
    :ivar conflicts: answers to refused changes.
    :ivar pool_leases: the host that each pool is leased to.
    :ivar leases_index: entry that last changed a pool lease.
    :ivar fencing: last fencing number that was issued.
    :ivar members: members as of the last applied entry.
    :ivar revision_by_change_id: revision created by each accepted change.
    :ivar published: the routing table in force; None before the first one.
    :ivar evacuations: evacuations of data centres; none in snapshots of earlier builds.
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
    evacuations: tuple[EvacuationRecord, ...] = ()


@dataclass(frozen=True)
class StateImage:
    """An immutable image of the whole state at one log entry.

    :ivar head: the state except for its tables, audit trail and claims.
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
class _EncodedImage:
    """An image whose large items are encoded in parts."""

    head: StateHead
    pools: tuple[msgspec.Raw, ...]
    routes: tuple[msgspec.Raw, ...]
    audit: tuple[msgspec.Raw, ...]
    claims: tuple[msgspec.Raw, ...]


async def encode_image(image: StateImage) -> bytes:
    """Return an image as MessagePack.

    :param image: the image.
    """
    encoded = _EncodedImage(
        head=image.head,
        pools=await _encode_parts(image.pools),
        routes=await _encode_parts(image.routes),
        audit=await _encode_parts(image.audit, _count_rows),
        claims=await _encode_parts(image.claims),
    )
    return msgspec.msgpack.encode(encoded)


async def decode_image(body: bytes) -> StateImage:
    """Return the image decoded from the result of :func:`encode_image`.

    :param body: the image as MessagePack.
    :raises msgspec.ValidationError: if the body is not an encoded image.
    """
    encoded = msgspec.msgpack.decode(body, type=_EncodedImage)
    return StateImage(
        head=encoded.head,
        pools=await _decode_parts(encoded.pools, tuple[Pool, ...]),
        routes=await _decode_parts(encoded.routes, tuple[Route, ...]),
        audit=await _decode_parts(encoded.audit, tuple[AcceptedChange, ...]),
        claims=await _decode_parts(encoded.claims, tuple[ClaimRecord, ...]),
    )


def _one_row(item: object) -> int:
    return 1


def _count_rows(change: AcceptedChange) -> int:
    return 1 + len(change.rows) + len(change.replaced)


async def _encode_parts(
    items: Iterable[object], row_count_of: Callable[[Any], int] = _one_row
) -> tuple[msgspec.Raw, ...]:
    parts = []
    for part in _split(items, row_count_of):
        parts.append(msgspec.Raw(msgspec.msgpack.encode(part)))
        await asyncio.sleep(0)
    return tuple(parts)


async def _decode_parts(parts: tuple[msgspec.Raw, ...], items_type: Any) -> tuple:
    decoder = msgspec.msgpack.Decoder(items_type)
    items: list[Any] = []
    for part in parts:
        items += decoder.decode(part)
        await asyncio.sleep(0)
    return tuple(items)


def _split(
    items: Iterable[object], row_count_of: Callable[[Any], int]
) -> Iterator[list[object]]:
    """Yield the items in parts of about ``ROWS_PER_PART`` rows.

    A part ends once it has that many rows, so a larger item may exceed it.
    """
    part: list[object] = []
    rows = 0
    for item in items:
        part.append(item)
        rows += row_count_of(item)
        if rows >= ROWS_PER_PART:
            yield part
            part, rows = [], 0
    if part:
        yield part
