"""Registry of message kinds, and their encoding as MessagePack."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from almondfield_core.findings import AlmondfieldError

__all__ = ["WireError", "decode_message", "encode_message", "kind_of", "wire_message"]

MessageT = TypeVar("MessageT")

_encoder = msgspec.msgpack.Encoder()
_decoder_by_kind: dict[str, msgspec.msgpack.Decoder[Any]] = {}
_kind_by_type: dict[type, str] = {}


class WireError(AlmondfieldError):
    """Raised for a message that has no kind or cannot be encoded or decoded."""


def wire_message(kind: str) -> Callable[[type[MessageT]], type[MessageT]]:
    """Return a decorator that registers a frozen data class as a wire message.

    :param kind: name of the message on the wire, unique in the fleet.
    :raises WireError: if the kind is already registered.
    """

    def register(message_type: type[MessageT]) -> type[MessageT]:
        if kind in _decoder_by_kind:
            raise WireError(f"message kind {kind!r} is registered twice")
        _decoder_by_kind[kind] = msgspec.msgpack.Decoder(message_type)
        _kind_by_type[message_type] = kind
        return message_type

    return register


def kind_of(message_type: type) -> str:
    """Return the kind under which a message type is registered.

    :param message_type: a registered data class.
    :raises WireError: if the type is not registered.
    """
    try:
        return _kind_by_type[message_type]
    except KeyError:
        raise WireError(f"{message_type.__name__} is not a wire message") from None


def encode_message(message: object) -> bytes:
    """Return a registered message as MessagePack.

    :param message: instance of a registered data class.
    :raises WireError: if MessagePack has no form for one of its values, such as a whole
        number beyond 64 bits.
    """
    try:
        return _encoder.encode(message)
    except (OverflowError, RecursionError, TypeError, ValueError) as error:
        raise WireError(f"{type(message).__name__}: {error}") from error


def decode_message(kind: str, body: bytes) -> Result[Any, WireError]:
    """Return the message that a body holds.

    :param kind: kind under which the message's type is registered.
    :param body: the message as MessagePack.
    """
    decoder = _decoder_by_kind.get(kind)
    if decoder is None:
        return Err(WireError(f"unknown message kind {kind!r}"))
    try:
        return Ok(decoder.decode(body))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return Err(WireError(f"message {kind!r}: {error}"))
