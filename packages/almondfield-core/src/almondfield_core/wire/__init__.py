"""Encoding of the messages between the system's processes."""

from almondfield_core.wire.core import (
    WireError,
    decode_message,
    encode_message,
    kind_of,
    wire_message,
)

__all__ = ["WireError", "decode_message", "encode_message", "kind_of", "wire_message"]
