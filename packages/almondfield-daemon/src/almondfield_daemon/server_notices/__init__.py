"""What backend servers say in their answers about further work, and its effect."""

from almondfield_daemon.server_notices.core import (
    MAX_RETRY_AFTER_S,
    ServerClosedError,
    ServerNotices,
    ServerStart,
)
from almondfield_daemon.server_notices.notices import (
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
