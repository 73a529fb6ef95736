"""Answers of a listener itself to requests that no application sees."""

import msgspec

__all__ = ["BAD_REQUEST", "HEADERS_TOO_LARGE", "UNAVAILABLE", "encode_refusal"]

BAD_REQUEST = "400 Bad Request"
HEADERS_TOO_LARGE = "431 Request Header Fields Too Large"
UNAVAILABLE = "503 Service Unavailable"


def encode_refusal(status: str, kind: str, detail: str) -> bytes:
    """Return the whole answer to a request that was not run, which ends its connection.

    :param status: status and reason.
    :param kind: kind of the problem.
    :param detail: what is wrong, or what is allowed.
    """
    problem = {"error": kind, "detail": detail, "outcome": "not-run"}
    body = msgspec.json.encode(problem)
    retry = "retry-after: 1\r\n" if status == UNAVAILABLE else ""
    head = (
        f"HTTP/1.1 {status}\r\n"
        "content-type: application/json\r\n"
        "almondfield-outcome: not-run\r\n"
        f"{retry}content-length: {len(body)}\r\n"
        "connection: close\r\n\r\n"
    )
    return head.encode() + body
