"""Receives announcements of backend servers."""

import hmac
from typing import Any

import msgspec
from result import Err, Ok

from almondfield_core.messages import ServerAnnouncement
from almondfield_core.settings import LimitSettings
from almondfield_daemon.edge.announcement_checks import check_announcement
from almondfield_daemon.edge.bodies import CallerDisconnectedError, read_body
from almondfield_daemon.edge.heads import request_id_of
from almondfield_daemon.edge.replies import send_json, send_problem
from almondfield_daemon.router import Problem
from almondfield_daemon.router.problems import permanent_problem

__all__ = ["AnnouncementEndpoint"]


class AnnouncementEndpoint:
    """Answers ``POST /announcements``.

    :param membership: relays announcements to schedulers.
    :param limits: limit on the size of an announcement.
    :param token: token that backend servers present.
    """

    def __init__(self, membership: Any, limits: LimitSettings, token: str) -> None:
        self._membership = membership
        self._limits = limits
        self._token = token.encode()
        self._decoder = msgspec.json.Decoder(ServerAnnouncement)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one announcement."""
        problem = self._check(scope)
        if problem is None:
            problem = await self._receive(receive)
        if problem is None:
            await send_json(send, 202, {"accepted": True})
            return
        request_id = request_id_of(scope)
        await send_problem(send, problem, request_id, self._membership, close=True)

    def _check(self, scope: Any) -> Problem | None:
        if scope["method"] != "POST":
            return permanent_problem(
                405, "method", f"method {scope['method']!r}; allowed: POST"
            )
        value_by_name = {name.lower(): value for name, value in scope["headers"]}
        scheme, _, token = value_by_name.get(b"authorization", b"").partition(b" ")
        if scheme.lower() != b"bearer" or not hmac.compare_digest(token, self._token):
            return permanent_problem(
                401,
                "backend-token",
                "the token does not match the backend servers' token",
            )
        return None

    async def _receive(self, receive: Any) -> Problem | None:
        limit = self._limits.max_announcement_bytes
        try:
            match await read_body(receive, 0, limit, lambda _: True):
                case Err(problem):
                    return problem
                case Ok(body):
                    announcement = self._decoder.decode(body)
        except CallerDisconnectedError:
            return permanent_problem(400, "body", "the body ended early")
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
            return permanent_problem(400, "announcement", str(error))
        findings = check_announcement(announcement)
        if findings:
            return permanent_problem(400, "announcement", "; ".join(map(str, findings)))
        await self._membership.announce(announcement)
        return None
