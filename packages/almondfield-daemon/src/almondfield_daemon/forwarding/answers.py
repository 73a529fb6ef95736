"""Bodies and headers of answers on their way to callers."""

from collections.abc import AsyncIterator

from almondfield_daemon.router.calls import (
    SUCCESS_STATUSES,
    BackendAnswer,
    Framing,
    Header,
)

__all__ = ["ReadAnswer", "read_body", "stream_headers"]

CONTENT_LENGTH = b"content-length"
MAX_HELD_BODY_BYTES = 1024 * 1024  # longer answers are streamed


def stream_headers(answer: BackendAnswer) -> tuple[Header, ...]:
    """Return the headers for the caller of a stream.

    The length of one server's answer does not hold for a stream that may be resumed.

    :param answer: the server's answer.
    """
    if answer.status not in SUCCESS_STATUSES:
        return answer.headers
    return tuple(item for item in answer.headers if item[0].lower() != CONTENT_LENGTH)


async def read_body(chunks: AsyncIterator[bytes]) -> tuple[bytes, bool]:
    """Return a body and whether it is complete; a large one is read only in part.

    :param chunks: the chunks of the body.
    """
    parts = []
    size = 0
    async for part in chunks:
        parts.append(part)
        size += len(part)
        if size > MAX_HELD_BODY_BYTES:
            return b"".join(parts), False
    return b"".join(parts), True


class ReadAnswer:
    """An answer whose body was read, if it is short, or else its beginning.

    :param answer: the answer.
    :param body: what was read.
    :param rest: the other chunks.
    """

    def __init__(
        self, answer: BackendAnswer, body: bytes, rest: AsyncIterator[bytes]
    ) -> None:
        self._answer = answer
        self._body = body
        self._rest = rest
        self.status: int = answer.status
        self.headers: tuple[Header, ...] = answer.headers
        self.framing: Framing = answer.framing
        self.is_first: bool = answer.is_first

    @property
    def received_bytes(self) -> int:
        """Return the bytes received so far."""
        return self._answer.received_bytes

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield what was read, and then the other chunks as they arrive."""
        yield self._body
        async for chunk in self._rest:
            yield chunk

    def close(self) -> None:
        """Discard the answer and close its connection."""
        self._answer.close()
