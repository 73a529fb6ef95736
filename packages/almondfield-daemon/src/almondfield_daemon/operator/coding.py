"""Parsing of operators' requests and encoding of the responses."""

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import Response

from almondfield_core.findings import AlmondfieldError, Finding, format_value, structure
from almondfield_core.messages import (
    ChangeConflict,
    ChangeRefused,
    ControlUnavailable,
    VoterChangeFailed,
)
from almondfield_daemon.serving import read_content

__all__ = [
    "RequestRefusedError",
    "failure_response",
    "json_response",
    "read_body",
    "read_number",
    "read_query",
]

T = TypeVar("T")

Check = Callable[[T], tuple[Finding, ...]]

LARGE_BODY_BYTES = 64 * 1024
RETRY_AFTER_S = 1
MAX_QUERY_DIGITS = 18


class RequestRefusedError(AlmondfieldError):
    """Raised for an invalid request, which has had no effect.

    :param status: HTTP status of the response.
    :param findings: what is wrong with the request.
    """

    def __init__(self, status: int, *findings: Finding) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.status = status
        self.findings = findings


def json_response(body: Any, status: int = 200) -> Response:
    """Return a response with a data class as its JSON body.

    :param body: the data class.
    :param status: HTTP status.
    """
    content = msgspec.json.encode(body)
    return Response(content, status, media_type="application/json")


def failure_response(failure: Any) -> Response:
    """Return the response to a request that the control group did not fulfil.

    :param failure: the failure, an instance of one of the message classes.
    :raises TypeError: if no response is defined for its class.
    """
    match failure:
        case ChangeConflict() | VoterChangeFailed():
            return json_response(failure, 409)
        case ChangeRefused():
            return json_response(failure, 422)
        case ControlUnavailable():
            response = json_response(failure, 503)
            response.headers["retry-after"] = str(RETRY_AFTER_S)
            return response
        case _:
            raise TypeError(f"no response is defined for {type(failure).__name__}")


def _accept_any(body: Any) -> tuple[Finding, ...]:
    return ()


async def read_body(
    request: Request,
    body_type: type[T],
    max_bytes: int,
    check: Check[T] = _accept_any,
) -> T:
    """Return the JSON body of a request as a data class.

    :param request: the request.
    :param body_type: class of the body.
    :param max_bytes: size of the largest accepted body, in bytes.
    :param check: returns the findings for a decoded body; none if it is valid.
    :raises RequestRefusedError: if the body is invalid, incomplete, late or too large.
    """
    match await read_content(request, max_bytes):
        case Ok(content):
            pass
        case Err(refused):
            raise RequestRefusedError(refused.status, refused.finding)
    if len(content) > LARGE_BODY_BYTES:
        # Parsing in a thread keeps heartbeats and leases on time.
        return await asyncio.to_thread(_parse, content, body_type, check)
    return _parse(content, body_type, check)


def _parse(content: bytes, body_type: type[T], check: Check[T]) -> T:
    match _decode_json(content):
        case Ok(value):
            pass
        case Err(finding):
            raise RequestRefusedError(400, finding)
    match structure(value, body_type, "body"):
        case Ok(body):
            pass
        case Err(findings):
            raise RequestRefusedError(422, *findings)
    findings = check(body)
    if findings:
        raise RequestRefusedError(422, *findings)
    return body


def _decode_json(content: bytes) -> Result[Any, Finding]:
    try:
        return Ok(msgspec.json.decode(content))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(Finding("body", f"is not JSON: {error}", "a JSON object in UTF-8"))
    except RecursionError:
        return Err(Finding("body", "values are nested too deeply"))


def read_query(request: Request, name: str, default: int, maximum: int) -> int:
    """Return a non-negative integer from the query of a request.

    :param request: the request.
    :param name: name of the parameter.
    :param default: value if the query does not have the parameter.
    :param maximum: largest accepted value; the smallest is 0.
    :raises RequestRefusedError: for any other value.
    """
    text = request.query_params.get(name)
    if text is None:
        return default
    return read_number(text, f"query: {name}", maximum)


def read_number(text: str, place: str, maximum: int) -> int:
    """Return a non-negative integer from its text.

    :param text: the decimal digits.
    :param place: place of the text in the request, for the finding.
    :param maximum: largest accepted value.
    :raises RequestRefusedError: for any other text.
    """
    is_valid = text.isascii() and text.isdigit() and len(text) <= MAX_QUERY_DIGITS
    if not is_valid or int(text) > maximum:
        finding = Finding(
            place, f"is {format_value(text)}", f"a whole number, 0 to {maximum}"
        )
        raise RequestRefusedError(400, finding)
    return int(text)
