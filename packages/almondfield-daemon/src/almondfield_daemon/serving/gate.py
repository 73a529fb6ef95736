"""Port of the decision on a request by its head, before an application runs."""

from dataclasses import dataclass
from typing import Any, Protocol

__all__ = ["Gate", "HeadRefusal", "RequestHead"]


@dataclass(frozen=True)
class RequestHead:
    """The head of a request.

    :ivar method: HTTP method.
    :ivar path: path as sent.
    :ivar query: query as sent, without the question mark; empty for none.
    :ivar headers: headers with names in lower case.
    :ivar state: state of the ASGI scope, which the application gets.
    """

    method: str
    path: bytes
    query: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    state: dict[str, Any]


@dataclass(frozen=True)
class HeadRefusal:
    """The refusal of a request. It is sent after the request's body is read.

    :ivar answer: the whole answer, head and body.
    :ivar closes_connection: whether the connection closes after the answer.
    :ivar max_body_bytes: length of a body that ends in the answer and the close of the
        connection at once, in bytes.
    """

    answer: bytes
    closes_connection: bool
    max_body_bytes: int


class Gate(Protocol):
    """Decides which requests are refused without a task of their own."""

    def check(self, head: RequestHead) -> HeadRefusal | None:
        """Return the refusal of a request; None to pass it to the application.

        :param head: head of the request.
        """
