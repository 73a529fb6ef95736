"""Reads bodies and queries of operators' requests, and writes the answers."""

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response

from almondfield_core.findings import AlmondfieldError, Finding, show, structure
from almondfield_core.messages import (
    ChangeConflict,
    ChangeRefused,
    ControlUnavailable,
    VoterChangeFailed,
)

__all__ = [
    "RequestRefusedError",
    "answer",
    "answer_failure",
    "read_body",
    "read_number",
    "read_query",
]

T = TypeVar("T")

Check = Callable[[T], tuple[Finding, ...]]

BODY_TIMEOUT_S = 30.0
LARGE_BODY_BYTES = 64 * 1024
RETRY_AFTER_S = 1
MAX_QUERY_DIGITS = 18


class RequestRefusedError(AlmondfieldError):
    """Raised for a request that cannot be read; it has had no effect.

    :param status: HTTP status of the answer.
    :param findings: what is wrong with the request.
    """

    def __init__(self, status: int, *findings: Finding) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.status = status
        self.findings = findings


def answer(body: Any, status: int = 200) -> Response:
    """Return an answer with a data class as its JSON body.

    :param body: the data class.
    :param status: HTTP status.
    """
    content = msgspec.json.encode(body)
    return Response(content, status, media_type="application/json")


def answer_failure(failure: Any) -> Response:
    """Return the answer to a request that the control group refused.

    :param failure: the typed outcome.
    """
    match failure:
        case ChangeConflict() | VoterChangeFailed():
            return answer(failure, 409)
        case ChangeRefused():
            return answer(failure, 422)
        case ControlUnavailable():
            response = answer(failure, 503)
            response.headers["retry-after"] = str(RETRY_AFTER_S)
            return response
        case _:
            raise TypeError(f"no answer for {type(failure).__name__}")


def _accept_any(body: Any) -> tuple[Finding, ...]:
    return ()


async def read_body(
    request: Request,
    wanted: type[T],
    max_bytes: int,
    check: Check[T] = _accept_any,
) -> T:
    """Return the JSON body of a request as a data class.

    :param request: the request.
    :param wanted: the data class.
    :param max_bytes: largest body, in bytes.
    :param check: gives the findings of a data class that could be read.
    :raises RequestRefusedError: where the body is not such a thing.
    """
    content = await _read_content(request, max_bytes)
    if len(content) > LARGE_BODY_BYTES:
        # Keeps heartbeats and leases going while a large body is read.
        return await asyncio.to_thread(_parse, content, wanted, check)
    return _parse(content, wanted, check)


def _parse(content: bytes, wanted: type[T], check: Check[T]) -> T:
    match _decode_json(content):
        case Ok(value):
            pass
        case Err(finding):
            raise RequestRefusedError(400, finding)
    match structure(value, wanted, "body"):
        case Ok(body):
            pass
        case Err(findings):
            raise RequestRefusedError(422, *findings)
    findings = check(body)
    if findings:
        raise RequestRefusedError(422, *findings)
    return body


async def _read_content(request: Request, max_bytes: int) -> bytes:
    content = bytearray()
    too_large = Finding("body", "is too large", f"{max_bytes} bytes")
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            async for chunk in request.stream():
                content += chunk
                if len(content) > max_bytes:
                    raise RequestRefusedError(413, too_large)
    except TimeoutError:
        problem = f"did not arrive within {BODY_TIMEOUT_S} s"
        raise RequestRefusedError(408, Finding("body", problem)) from None
    except ClientDisconnect:
        raise RequestRefusedError(400, Finding("body", "is cut short")) from None
    return bytes(content)


def _decode_json(content: bytes) -> Result[Any, Finding]:
    try:
        return Ok(msgspec.json.decode(content))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(Finding("body", f"is not JSON: {error}", "a JSON object in UTF-8"))
    except RecursionError:
        return Err(Finding("body", "values are nested too deeply"))


def read_query(request: Request, name: str, default: int, most: int) -> int:
    """Return a whole number from the query of a request.

    :param request: the request.
    :param name: name of the parameter.
    :param default: value where the query does not hold it.
    :param most: largest value; the least is 0.
    :raises RequestRefusedError: for any other value.
    """
    text = request.query_params.get(name)
    if text is None:
        return default
    return read_number(text, f"query: {name}", most)


def read_number(text: str, place: str, most: int) -> int:
    """Return a whole number from 0 on.

    :param text: its decimal digits.
    :param place: where it stands in the request.
    :param most: largest value.
    :raises RequestRefusedError: for any other text.
    """
    fits = text.isascii() and text.isdigit() and len(text) <= MAX_QUERY_DIGITS
    if not fits or int(text) > most:
        finding = Finding(place, f"is {show(text)}", f"a whole number, 0 to {most}")
        raise RequestRefusedError(400, finding)
    return int(text)
