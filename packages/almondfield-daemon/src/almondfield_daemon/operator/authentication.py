"""Lets only operators pass."""

import hmac

from starlette.datastructures import Headers
from starlette.types import ASGIApp, Receive, Scope, Send

from almondfield_core.findings import Finding
from almondfield_core.messages import OperatorError
from almondfield_daemon.operator.coding import answer

__all__ = ["OperatorAuthentication"]

OPEN_PATHS = frozenset({"/health", "/ready"})
SCHEME = "bearer"


class OperatorAuthentication:
    """Passes on requests that carry the operators' token, and open paths.

    :param app: the application behind it.
    :param token: the operators' token.
    """

    def __init__(self, app: ASGIApp, token: str) -> None:
        self._app = app
        self._token = token.encode()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Pass on one request, or answer 401."""
        needs_token = scope["type"] == "http" and scope["path"] not in OPEN_PATHS
        if needs_token and not self._carries_token(Headers(scope=scope)):
            finding = Finding("authorization", "no valid token", "Bearer TOKEN")
            response = answer(OperatorError((finding,)), 401)
            response.headers["www-authenticate"] = "Bearer"
            await response(scope, receive, send)
            return
        await self._app(scope, receive, send)

    def _carries_token(self, headers: Headers) -> bool:
        scheme, _, token = headers.get("authorization", "").partition(" ")
        given = token.strip().encode("utf-8", "replace")
        # Compares in constant time whatever the scheme is.
        matches = hmac.compare_digest(given, self._token)
        return matches and scheme.lower() == SCHEME
