"""Limits on the parts of a request, counted while it is parsed."""

from dataclasses import dataclass

from almondfield_core.findings import AlmondfieldError
from almondfield_daemon.connection_budget import Limit

__all__ = [
    "REQUEST_BYTES",
    "LimitExceededError",
    "RequestLimits",
    "RequestSize",
]

# A tuple and two byte strings with a list's item, measured with lines of 4 bytes.
HEADER_LINE_BYTES = 160
REQUEST_BYTES = 4 * 1024  # the objects of a request that waits, besides its head
MIN_CHUNK_FRAMING_BYTES = 5  # a size of one digit and two line ends
# Chunks of 5 bytes and more are never too much framing.
MAX_CHUNK_FRAMING_BYTES = 64 * 1024
MAX_TRAILER_BYTES = 256 * 1024  # also for all framing of a body, with extensions
FIELD_FRAMING_BYTES = 3  # a colon and a line end


class LimitExceededError(AlmondfieldError):
    """Raised within the parser, which then parses nothing further.

    :param limit: the limit.
    :param kind: kind of the problem, for the caller.
    :param detail: what is wrong.
    """

    def __init__(self, limit: Limit, kind: str, detail: str) -> None:
        super().__init__(detail)
        self.limit = limit
        self.kind = kind
        self.detail = detail


@dataclass(frozen=True)
class RequestLimits:
    """Limits on the parts of a request other than its body's length.

    :ivar max_head_bytes: largest head.
    :ivar max_header_lines: most header lines of a head.
    """

    max_head_bytes: int
    max_header_lines: int


class RequestSize:
    """Size of the request that is parsed.

    :param limits: limits on it.

    :ivar head_cost: what its head occupies in memory, in bytes.
    """

    def __init__(self, limits: RequestLimits) -> None:
        self._limits = limits
        self.begin()

    def begin(self) -> None:
        """Count from the beginning of a request."""
        self.head_cost = 0
        self._lines = 0
        self._body_bytes = 0
        self._chunk_bytes = 0
        self._trailer_bytes = 0
        self._framing_bytes = 0
        self._is_head_whole = False

    def add_url(self, size: int) -> None:
        """Count a part of the request line.

        :param size: its length in bytes.
        """
        self.head_cost += size

    def add_field(self, size: int) -> None:
        """Count a header line, or a field behind the body.

        :param size: length of its name and value in bytes.
        :raises LimitExceededError: if there are too many.
        """
        if self._is_head_whole:
            self._trailer_bytes += size + FIELD_FRAMING_BYTES
            self._check_framing(self._trailer_bytes, MAX_TRAILER_BYTES)
            return
        self._lines += 1
        self.head_cost += size + HEADER_LINE_BYTES
        if self._lines > self._limits.max_header_lines:
            detail = f"allowed: at most {self._limits.max_header_lines} header lines"
            raise LimitExceededError(Limit.HEADER_LINES, "headers-too-large", detail)

    def end_head(self) -> None:
        """Count what follows as body."""
        self._is_head_whole = True

    def add_body(self, size: int) -> None:
        """Count a part of the body.

        :param size: its length in bytes.
        """
        self._body_bytes += size

    def add_chunk(self) -> None:
        """Count the framing of one chunk.

        :raises LimitExceededError: if there is too much for the body's length.
        """
        self._chunk_bytes += MIN_CHUNK_FRAMING_BYTES
        max_bytes = MAX_CHUNK_FRAMING_BYTES + self._body_bytes
        self._check_framing(self._chunk_bytes, max_bytes)

    def add_framing(self, size: int) -> None:
        """Count all framing of a piece of the body, with what the parser doesn't tell.

        :param size: its length in bytes.
        :raises LimitExceededError: if there is too much for the body's length.
        """
        self._framing_bytes += size
        max_bytes = MAX_TRAILER_BYTES + self._body_bytes
        self._check_framing(self._framing_bytes, max_bytes)

    def _check_framing(self, size: int, max_bytes: int) -> None:
        if size > max_bytes:
            detail = f"allowed: {max_bytes} bytes of chunk sizes or fields here"
            raise LimitExceededError(Limit.FRAMING, "framing-too-large", detail)

    @property
    def body_bytes(self) -> int:
        """Return the bytes of the body so far."""
        return self._body_bytes
