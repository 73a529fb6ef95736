"""Validates and parses the heads of callers' requests."""

import re
import uuid
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from almondfield_core.settings import LimitSettings
from almondfield_daemon.edge.bodies import check_headers
from almondfield_daemon.router import CallerRequest, Problem
from almondfield_daemon.router.problems import permanent_problem

__all__ = ["RequestHead", "parse_head", "request_id_of"]

METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")
BODILESS_METHODS = ("GET", "HEAD", "OPTIONS")
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
REQUEST_ID = re.compile(rb"[\x21-\x7e]{1,128}")
DECLARED_LENGTH = re.compile(rb"[0-9]{1,18}")
PRINTABLE = re.compile(rb"[\x20-\x7e]+")
SINGLE_HEADERS = (
    b"authorization",
    b"idempotency-key",
    b"content-length",
    b"x-request-id",
)


@dataclass(frozen=True)
class RequestHead:
    """A validated head.

    :ivar request: the request without its body.
    :ivar declared_bytes: value of content-length; 0 without one.
    """

    request: CallerRequest
    declared_bytes: int


def request_id_of(scope: Any) -> str:
    """Return the caller's request id, or a new one if it sent no valid id.

    :param scope: ASGI scope.
    """
    for name, value in scope["headers"]:
        if name == b"x-request-id" and REQUEST_ID.fullmatch(value):
            return value.decode("ascii")
    return uuid.uuid4().hex


def parse_head(
    scope: Any, request_id: str, limits: LimitSettings
) -> Result[RequestHead, Problem]:
    """Return the parsed head of a request, or the problem with it.

    :param scope: ASGI scope.
    :param request_id: identifier of the request.
    :param limits: limits on its size.
    """
    headers = [(name.lower(), value) for name, value in scope["headers"]]
    problem = (
        check_headers(headers, limits.max_header_bytes)
        or _check_method(scope)
        or _check_path(scope["path"])
        or _check_repeated_headers(headers)
    )
    if problem is not None:
        return Err(problem)
    value_by_name = dict(headers)
    length = value_by_name.get(b"content-length", b"0")
    if not DECLARED_LENGTH.fullmatch(length):
        return Err(
            permanent_problem(400, "content-length", f"content-length {length!r}")
        )
    match _idempotency_key(value_by_name):
        case Err(problem):
            return Err(problem)
        case Ok(idempotency_key):
            pass
    raw_path = scope.get("raw_path") or scope["path"].encode()
    query = scope.get("query_string", b"")
    request = CallerRequest(
        method=scope["method"],
        path=scope["path"],
        target=raw_path + b"?" + query if query else raw_path,
        headers=tuple(headers),
        key=_team_key(value_by_name.get(b"authorization", b"")),
        request_id=request_id,
        idempotency_key=idempotency_key,
    )
    return Ok(RequestHead(request, int(length)))


def _check_method(scope: Any) -> Problem | None:
    if scope["http_version"] == "1.0":
        detail = "HTTP/1.0 can't signal a truncated answer; allowed: HTTP/1.1"
        return permanent_problem(505, "http-version", detail)
    if scope["method"] in METHODS:
        return None
    detail = f"method {scope['method']!r}; allowed: {', '.join(METHODS)}"
    return permanent_problem(405, "method", detail)


def _check_path(path: str) -> Problem | None:
    if not path.startswith("/"):
        return permanent_problem(
            400, "path", f"path {path!r}; allowed: one that begins with /"
        )
    if any(segment in (".", "..") for segment in path.split("/")):
        return permanent_problem(
            400, "path", f"path {path!r}; allowed: one without . and .."
        )
    return None


def _check_repeated_headers(headers: list[tuple[bytes, bytes]]) -> Problem | None:
    names = [name for name, _ in headers if name in SINGLE_HEADERS]
    for name in SINGLE_HEADERS:
        if names.count(name) > 1:
            detail = f"header {name.decode()} given more than once; allowed: once"
            return permanent_problem(400, "repeated-header", detail)
    return None


def _idempotency_key(value_by_name: dict[bytes, bytes]) -> Result[str, Problem]:
    value = value_by_name.get(b"idempotency-key")
    if value is None:
        return Ok("")
    if len(value) <= MAX_IDEMPOTENCY_KEY_CHARACTERS and PRINTABLE.fullmatch(value):
        return Ok(value.decode("ascii"))
    allowed = f"1 to {MAX_IDEMPOTENCY_KEY_CHARACTERS} printable ASCII characters"
    detail = f"idempotency-key of {len(value)} bytes; allowed: {allowed}"
    return Err(permanent_problem(400, "idempotency-key", detail))


def _team_key(authorization: bytes) -> str:
    scheme, _, key = authorization.partition(b" ")
    if scheme.lower() != b"bearer":
        return ""
    return key.strip().decode("latin-1")
