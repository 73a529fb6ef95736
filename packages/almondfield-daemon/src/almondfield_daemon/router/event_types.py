"""The media type of event streams."""

from collections.abc import Iterable

from almondfield_daemon.router.calls import Header

__all__ = ["EVENT_STREAM_TYPE", "find_header", "has_event_stream_type", "media_type"]

EVENT_STREAM_TYPE = b"text/event-stream"


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the value of a header, the last one if there are several; None if absent.

    :param headers: headers as received.
    :param name: its name in lower case.
    """
    values = [value for other, value in headers if other.lower() == name]
    return values[-1] if values else None


def media_type(headers: Iterable[Header]) -> bytes | None:
    """Return the media type of a body in lower case; None if it has none.

    :param headers: headers as received.
    """
    content_type = find_header(headers, b"content-type")
    if content_type is None:
        return None
    return content_type.partition(b";")[0].strip().lower()


def has_event_stream_type(headers: Iterable[Header]) -> bool:
    """Return whether an answer with these headers is an event stream.

    :param headers: headers as received.
    """
    return media_type(headers) == EVENT_STREAM_TYPE
