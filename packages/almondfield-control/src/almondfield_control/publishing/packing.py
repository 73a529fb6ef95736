"""Compressed routing tables, which the leader makes once for all routers."""

import zlib

import msgspec
from result import Err, Ok, Result

from almondfield_core.findings import AlmondfieldError
from almondfield_core.routing import RoutingTable

__all__ = ["PackedTableError", "TablePacker", "unpack_table"]

COMPRESSION_LEVEL = 1
MAX_TABLE_BYTES = 32 * 1024 * 1024  # as much as a frame between hosts holds

_decoder = msgspec.msgpack.Decoder(RoutingTable)


class PackedTableError(AlmondfieldError):
    """Raised for a packed table that can't be unpacked."""


class TablePacker:
    """Packs routing tables, the same one only once.

    Encoding and compressing a large table takes the event loop longer than a heartbeat
    may wait if it is done for each router.
    """

    def __init__(self) -> None:
        self._table: RoutingTable | None = None
        self._packed = b""

    def pack(self, table: RoutingTable) -> bytes:
        """Return a table as compressed MessagePack.

        :param table: the table.
        """
        if table is not self._table:
            encoded = msgspec.msgpack.encode(table)
            self._packed = zlib.compress(encoded, COMPRESSION_LEVEL)
            self._table = table
        return self._packed


def unpack_table(packed: bytes) -> Result[RoutingTable, PackedTableError]:
    """Return the table that :meth:`TablePacker.pack` packed.

    :param packed: the packed table.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(packed, MAX_TABLE_BYTES)
        if not decompressor.eof:
            return Err(PackedTableError(f"cut or over {MAX_TABLE_BYTES} bytes"))
        return Ok(_decoder.decode(encoded))
    except (msgspec.DecodeError, UnicodeDecodeError, zlib.error) as error:
        return Err(PackedTableError(str(error)))
