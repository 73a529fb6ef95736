"""Authentication of operators' requests by a bearer token."""

import hmac

from starlette.datastructures import Headers
from starlette.types import ASGIApp, Receive, Scope, Send

from almondfield_core.findings import Finding
from almondfield_core.messages import OperatorError
from almondfield_daemon.operator.coding import json_response

__all__ = ["OperatorAuthentication"]

UNAUTHENTICATED_PATHS = frozenset({"/health", "/ready"})
SCHEME = "bearer"


class OperatorAuthentication:
    """Middleware that requires the operators' token on all but a few paths.

    :param app: the application that handles accepted requests.
    :param token: the operators' token.
    """

    def __init__(self, app: ASGIApp, token: str) -> None:
        self._app = app
        self._token = token.encode()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Forward a request to the application, or respond with 401."""
        needs_token = (
            scope["type"] == "http" and scope["path"] not in UNAUTHENTICATED_PATHS
        )
        if needs_token and not self._has_valid_token(Headers(scope=scope)):
            finding = Finding(
                "authorization", "missing or invalid token", "Bearer TOKEN"
            )
            response = json_response(OperatorError((finding,)), 401)
            response.headers["www-authenticate"] = "Bearer"
            await response(scope, receive, send)
            return
        await self._app(scope, receive, send)

    def _has_valid_token(self, headers: Headers) -> bool:
        scheme, _, token = headers.get("authorization", "").partition(" ")
        given = token.strip().encode("utf-8", "replace")
        # Constant-time comparison, done for every scheme.
        matches = hmac.compare_digest(given, self._token)
        return matches and scheme.lower() == SCHEME
