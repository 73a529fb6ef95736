"""Bodies of requests to a daemon itself, bounded in bytes and time."""

import asyncio
from dataclasses import dataclass

from result import Err, Ok, Result
from starlette.requests import ClientDisconnect, Request

from almondfield_core.findings import Finding

__all__ = ["RefusedBody", "read_content"]

BODY_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class RefusedBody:
    """A body that isn't read to its end.

    :ivar status: HTTP status of the response.
    :ivar finding: what is wrong with the body.
    """

    status: int
    finding: Finding


async def read_content(request: Request, max_bytes: int) -> Result[bytes, RefusedBody]:
    """Return the body of a request, or why it is refused.

    :param request: the request.
    :param max_bytes: size of the largest accepted body, in bytes.
    """
    content = bytearray()
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            async for chunk in request.stream():
                content += chunk
                if len(content) > max_bytes:
                    length = request.headers.get("content-length", "unknown")
                    problem = f"is too large: {length} bytes"
                    finding = Finding("body", problem, f"{max_bytes} bytes")
                    return Err(RefusedBody(413, finding))
    except TimeoutError:
        problem = f"did not arrive within {BODY_TIMEOUT_S} s"
        return Err(RefusedBody(408, Finding("body", problem)))
    except ClientDisconnect:
        return Err(RefusedBody(400, Finding("body", "is incomplete")))
    return Ok(bytes(content))
