"""What backend servers say in their answers about further work, and its effect."""

from almondfield_daemon.server_notices.core import (
    MAX_RETRY_AFTER_S,
    ServerClosedError,
    ServerNotices,
    ServerStart,
)
from almondfield_daemon.server_notices.notices import (
    ColdTime,
    InvalidColdTime,
    InvalidRequestLimit,
    InvalidRetryAfter,
    Leaving,
    NoticeKind,
    RequestLimit,
    RetryAfter,
    ServerNotice,
)

__all__ = [
    "MAX_RETRY_AFTER_S",
    "ColdTime",
    "InvalidColdTime",
    "InvalidRequestLimit",
    "InvalidRetryAfter",
    "Leaving",
    "NoticeKind",
    "RequestLimit",
    "RetryAfter",
    "ServerClosedError",
    "ServerNotice",
    "ServerNotices",
    "ServerStart",
]
