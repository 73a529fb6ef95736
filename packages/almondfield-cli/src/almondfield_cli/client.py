"""Asks the hosts of a deployment, one after the other until one answers."""

import math
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from almondfield_cli.transport import HttpAnswer, HttpRequest, NoAnswer, Transport
from almondfield_core.messages import (
    AuditRecord,
    ChangeAccepted,
    ChangeConflict,
    ChangeRefused,
    ControlUnavailable,
    DrainRequest,
    DrainStarted,
    FleetStatus,
    InForce,
    OperatorError,
    RowChange,
    TableChange,
    VoterChange,
    VoterChangeFailed,
    VotersChanged,
)
from almondfield_core.settings import HostSettings
from almondfield_core.tables import Tables

__all__ = [
    "ClientFailure",
    "NotAllowed",
    "OperatorClient",
    "Silent",
    "Unexpected",
    "UnknownOutcome",
]

T = TypeVar("T")

# One request waits this long at most, so that the next host is asked soon when the
# first falls silent.
MAX_WAIT_PER_REQUEST_S = 5
MIN_VOTERS_TIMEOUT_S = 35.0
SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True)
class Silent:
    """No host gave a usable answer; a change may have been accepted.

    :ivar attempts: each host that was asked, and what it did.
    """

    attempts: tuple[NoAnswer, ...]


@dataclass(frozen=True)
class NotAllowed:
    """The host refused the token.

    :ivar host: ``address:port`` that answered.
    """

    host: str


@dataclass(frozen=True)
class Unexpected:
    """An answer that this version does not understand.

    :ivar host: ``address:port`` that answered.
    :ivar status: HTTP status.
    :ivar reason: why it is not understood.
    """

    host: str
    status: int
    reason: str


@dataclass(frozen=True)
class UnknownOutcome:
    """A change that may have been accepted; sending it again is safe.

    :ivar change_id: identifier of the change.
    :ivar expect_revision: revision that the change was made against.
    :ivar failure: what happened.
    """

    change_id: str
    expect_revision: int
    failure: Silent | ControlUnavailable | Unexpected


ClientFailure = (
    Silent
    | NotAllowed
    | Unexpected
    | ChangeConflict
    | ChangeRefused
    | ControlUnavailable
    | OperatorError
    | VoterChangeFailed
)


class OperatorClient:
    """The operator interface of a deployment.

    :param transport: carries the requests.
    :param hosts: ``address:port`` of operator interfaces, in the order to try.
    :param timeout_s: seconds to wait for one host.
    """

    def __init__(
        self, transport: Transport, hosts: tuple[str, ...], timeout_s: float
    ) -> None:
        self._transport = transport
        self._hosts = hosts
        self._timeout_s = timeout_s

    async def tables(self, stale: bool = False) -> Result[Tables, ClientFailure]:
        """Return the tables.

        :param stale: whether tables that may be out of date will do.
        """
        return await self._get(f"/v1/tables?stale={int(stale)}", Tables)

    async def apply(
        self, change: TableChange | RowChange
    ) -> Result[ChangeAccepted, ClientFailure]:
        """Return the outcome of a change.

        Each host gets the same change id, so that it is accepted once at most.

        :param change: the change.
        """
        path = "/v1/row-changes" if isinstance(change, RowChange) else "/v1/changes"
        body = msgspec.json.encode(change)
        request = HttpRequest("POST", path, body, self._timeout_s)
        return _decode(await self._ask(request), ChangeAccepted)

    async def wait_in_force(
        self, revision: int, wait_s: float
    ) -> Result[InForce, ClientFailure]:
        """Return whether a revision came in force in time.

        :param revision: an accepted revision.
        :param wait_s: seconds to wait; a host waits 5 of them at most.
        """
        wait_s = min(math.ceil(wait_s), MAX_WAIT_PER_REQUEST_S)
        path = f"/v1/changes/{revision}/in-force?wait={wait_s}"
        request = HttpRequest("GET", path, timeout_s=wait_s + self._timeout_s)
        return _decode(await self._ask(request), InForce)

    async def history(
        self, after_revision: int, limit: int
    ) -> Result[tuple[AuditRecord, ...], ClientFailure]:
        """Return records of the audit trail.

        :param after_revision: the first record has a greater revision.
        :param limit: number of records, at most.
        """
        path = f"/v1/history?after={after_revision}&limit={limit}"
        return await self._get(path, tuple[AuditRecord, ...])

    async def status(self) -> Result[FleetStatus, ClientFailure]:
        """Return what the control group knows of the fleet."""
        return await self._get("/v1/status", FleetStatus)

    async def hosts(self) -> Result[tuple[HostSettings, ...], ClientFailure]:
        """Return the hosts of the deployment."""
        return await self._get("/v1/hosts", tuple[HostSettings, ...])

    async def addresses(self) -> Result[Any, ClientFailure]:
        """Return the addresses that callers get."""
        return await self._get("/v1/addresses", dict)

    async def drain(self, host: HostSettings) -> Result[DrainStarted, ClientFailure]:
        """Return that a host has begun its graceful shutdown.

        :param host: the host, which is asked itself.
        """
        body = msgspec.json.encode(DrainRequest(host.name))
        request = HttpRequest("POST", "/v1/drain", body, self._timeout_s)
        return _decode(await self._ask(request, (_endpoint_of(host),)), DrainStarted)

    async def change_voters(
        self, host_name: str, admit: bool
    ) -> Result[VotersChanged, ClientFailure]:
        """Return that a member of the control group was admitted or removed.

        :param host_name: name of the member's host.
        :param admit: whether to admit it; else it is removed.
        """
        path = f"/v1/voters/{'admit' if admit else 'remove'}"
        body = msgspec.json.encode(VoterChange(host_name))
        timeout_s = max(self._timeout_s, MIN_VOTERS_TIMEOUT_S)
        request = HttpRequest("POST", path, body, timeout_s)
        return _decode(await self._ask(request), VotersChanged, VoterChangeFailed)

    async def _get(self, path: str, wanted: Any) -> Result[Any, ClientFailure]:
        request = HttpRequest("GET", path, timeout_s=self._timeout_s)
        return _decode(await self._ask(request), wanted)

    async def _ask(
        self, request: HttpRequest, hosts: tuple[str, ...] = ()
    ) -> Result[HttpAnswer, Silent]:
        """Return the first answer of a host that can reach a quorum.

        Where all answer that they reach none, the answer that is least certain
        about the effect of the request is returned.
        """
        attempts = []
        without_quorum = []
        for host in hosts or self._hosts:
            match await self._transport.send(host, request):
                case Ok(answer) if not _is_json(answer):
                    reason = f"HTTP status {answer.status} without a JSON body"
                    attempts.append(NoAnswer(host, reason))
                case Ok(answer) if answer.status != SERVICE_UNAVAILABLE:
                    return Ok(answer)
                case Ok(answer):
                    without_quorum.append(answer)
                case Err(no_answer):
                    attempts.append(no_answer)
        if attempts or not without_quorum:
            unavailable = [
                NoAnswer(answer.host, "reaches no quorum") for answer in without_quorum
            ]
            return Err(Silent((*attempts, *unavailable)))
        return Ok(min(without_quorum, key=_is_certainly_not_done))


def _is_json(answer: HttpAnswer) -> bool:
    try:
        msgspec.json.decode(answer.body, type=msgspec.Raw)
    except (msgspec.DecodeError, RecursionError):
        return False
    return True


def _endpoint_of(host: HostSettings) -> str:
    address = f"[{host.address}]" if ":" in host.address else host.address
    return f"{address}:{host.operator_port}"


def _is_certainly_not_done(answer: HttpAnswer) -> bool:
    try:
        failure = msgspec.json.decode(answer.body, type=ControlUnavailable)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return False
    return failure.certainly_not_done


def _decode(
    asked: Result[HttpAnswer, Silent], wanted: Any, conflict: Any = ChangeConflict
) -> Result[Any, ClientFailure]:
    """Return the body of an answer as the wanted type, or the typed failure.

    :param asked: the answer, if one came.
    :param wanted: type of the body where the request succeeded.
    :param conflict: type of the body with status 409.
    """
    if isinstance(asked, Err):
        return asked
    answer = asked.ok_value
    if answer.status == 401:
        return Err(NotAllowed(answer.host))
    succeeded = answer.status < 300
    failure_by_status = {409: conflict, 503: ControlUnavailable}
    failure = failure_by_status.get(answer.status, OperatorError)
    try:
        body = msgspec.json.decode(answer.body, type=wanted if succeeded else failure)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        return Err(Unexpected(answer.host, answer.status, str(error)))
    return Ok(body) if succeeded else Err(body)
