"""Checksummed, versioned frames, each holding one synced batch of items."""

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

from almondfield_control.errors import DamageError
from almondfield_core.findings import Finding

__all__ = ["Frame", "encode_frame", "read_frames"]

_MAGIC_PREFIX = b"afj"
_MAGIC = _MAGIC_PREFIX + b"2"
_HEADER = struct.Struct(">4sIQ")


@dataclass(frozen=True)
class Frame:
    """One frame of a file.

    :ivar body: content of the frame.
    :ivar end: offset in bytes of the next frame.
    """

    body: bytes
    end: int


def encode_frame(body: bytes) -> bytes:
    """Return a frame with its header.

    :param body: content of the frame.
    """
    return _HEADER.pack(_MAGIC, len(body), _checksum(body)) + body


def read_frames(name: str, data: bytes) -> Iterator[Frame]:
    """Yield the complete frames of a file, up to a torn tail.

    :param name: name of the file, for findings.
    :param data: content of the file.
    :raises DamageError: if a damaged frame is followed by an intact one, or the
        frames are of another version.
    """
    offset = 0
    while offset < len(data):
        _check_version(name, data, offset)
        frame = _read_frame(data, offset)
        if frame is None:
            _check_torn_tail(name, data, offset)
            return
        yield frame
        offset = frame.end


def _read_frame(data: bytes, offset: int) -> Frame | None:
    start = offset + _HEADER.size
    if len(data) < start:
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    body = data[start : start + length]
    if magic != _MAGIC or len(body) < length or _checksum(body) != checksum:
        return None
    return Frame(body, start + length)


def _check_version(name: str, data: bytes, offset: int) -> None:
    # Treated as a torn tail, it would be truncated and the voter's votes lost.
    magic = data[offset : offset + len(_MAGIC)]
    has_prefix = magic.startswith(_MAGIC_PREFIX)
    # In a torn write, zeros may follow the prefix.
    has_version = has_prefix and magic.removeprefix(_MAGIC_PREFIX).isdigit()
    if magic == _MAGIC or not has_version:
        return
    finding = Finding(
        place=f"{name}: offset {offset}",
        problem=f"written in format {magic.decode(errors='replace')!r}",
        allowed=f"{_MAGIC.decode()!r}; start the version that wrote it",
    )
    raise DamageError((finding,))


def _check_torn_tail(name: str, data: bytes, offset: int) -> None:
    candidate = data.find(_MAGIC, offset + 1)
    while candidate >= 0:
        if _read_frame(data, candidate) is not None:
            raise DamageError((_damage_finding(name, offset),))
        candidate = data.find(_MAGIC, candidate + 1)


def _damage_finding(name: str, offset: int) -> Finding:
    return Finding(
        place=f"{name}: offset {offset}",
        problem="damaged record before intact ones",
        allowed=(
            "empty the data folder; the host then rejoins as a new voter "
            "once the others admit it"
        ),
    )


def _checksum(body: bytes) -> int:
    return xxhash.xxh64_intdigest(body)
