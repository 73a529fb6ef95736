"""Bodies and headers of answers on their way to callers."""

from collections.abc import AsyncIterator, Callable

from almondfield_daemon.router.calls import (
    SUCCESS_STATUSES,
    BackendAnswer,
    Framing,
    Header,
)

__all__ = [
    "AnswerMemory",
    "AnswerReservation",
    "ReadAnswer",
    "read_body",
    "stream_headers",
]

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


class AnswerMemory:
    """Limits the bytes of all answers that one router holds until they are complete.

    :param limit_bytes: limit on the total, in bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.left_bytes = limit_bytes


class AnswerReservation:
    """The bytes of answers that one request holds.

    :param memory: the memory for all answers.
    """

    def __init__(self, memory: AnswerMemory) -> None:
        self._memory = memory
        self._held_bytes = 0

    def reserve(self, count: int) -> bool:
        """Return whether more bytes may be held, and count them if so.

        :param count: number of bytes.
        """
        if count > self._memory.left_bytes:
            return False
        self._memory.left_bytes -= count
        self._held_bytes += count
        return True

    def release(self) -> None:
        """Release all bytes."""
        self._memory.left_bytes += self._held_bytes
        self._held_bytes = 0


async def read_body(
    chunks: AsyncIterator[bytes], reserve: Callable[[int], bool]
) -> tuple[bytes, bool]:
    """Return a body and whether it is complete.

    A large one, and one that there is no memory for, is read only in part.

    :param chunks: the chunks of the body.
    :param reserve: returns whether more bytes may be held, and counts them if so.
    """
    parts = []
    size = 0
    async for part in chunks:
        parts.append(part)
        size += len(part)
        if size > MAX_HELD_BODY_BYTES or not reserve(len(part)):
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
