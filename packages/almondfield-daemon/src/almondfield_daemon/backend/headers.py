"""Request heads, and the headers that are forwarded end to end."""

from collections.abc import Iterable

from almondfield_daemon.router.calls import BackendCall, Header

__all__ = ["HOP_BY_HOP", "encode_head", "end_to_end"]

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
BODY_METHODS = ("POST", "PUT", "PATCH")


def end_to_end(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers without the hop-by-hop ones.

    :param headers: headers as received.
    """
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP | connection_options
    return tuple(header for header in headers if header[0].lower() not in dropped)


def encode_head(call: BackendCall) -> bytes:
    """Return the request line and headers of a call, up to the empty line.

    :param call: the call.
    """
    lines = [
        b"%b %b HTTP/1.1" % (call.method.encode(), call.target),
        b"host: " + (call.authority or call.address.encode()),
    ]
    lines += [b"%b: %b" % header for header in call.headers]
    if call.body or call.method in BODY_METHODS:
        lines.append(b"content-length: %d" % len(call.body))
    if not call.pooled:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
