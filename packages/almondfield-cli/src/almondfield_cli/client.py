"""Client of the operator interface, with failover between hosts."""

import math
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from almondfield_cli.transport import (
    FailedAttempt,
    HttpRequest,
    HttpResponse,
    Transport,
)
from almondfield_core.messages import (
    AuditRecord,
    ChangeAccepted,
    ChangeConflict,
    ChangeRefused,
    ControlUnavailable,
    DrainRequest,
    DrainStarted,
    EvacuationChanged,
    EvacuationList,
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
    "HostsUnavailable",
    "NotAllowed",
    "OperatorClient",
    "UnexpectedResponse",
    "UnknownOutcome",
]

T = TypeVar("T")

# Short, so that the next host is tried soon if one becomes unresponsive.
MAX_WAIT_PER_REQUEST_S = 5
MIN_VOTERS_TIMEOUT_S = 35.0
SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True)
class HostsUnavailable:
    """No host gave a usable response; a change may have been accepted.

    :ivar attempts: each host that was tried, and why it failed.
    """

    attempts: tuple[FailedAttempt, ...]


@dataclass(frozen=True)
class NotAllowed:
    """The host refused the token.

    :ivar host: ``address:port`` that responded.
    """

    host: str


@dataclass(frozen=True)
class UnexpectedResponse:
    """A response that this version cannot decode.

    :ivar host: ``address:port`` that responded.
    :ivar status: HTTP status.
    :ivar reason: why it cannot be decoded.
    """

    host: str
    status: int
    reason: str


@dataclass(frozen=True)
class UnknownOutcome:
    """A change that may have been accepted; sending it again is safe.

    :ivar change_id: identifier of the change.
    :ivar expect_revision: revision that the change is based on.
    :ivar failure: why the outcome is unknown.
    """

    change_id: str
    expect_revision: int
    failure: HostsUnavailable | ControlUnavailable | UnexpectedResponse


ClientFailure = (
    HostsUnavailable
    | NotAllowed
    | UnexpectedResponse
    | ChangeConflict
    | ChangeRefused
    | ControlUnavailable
    | OperatorError
    | VoterChangeFailed
)


class OperatorClient:
    """Client of the operator interface of a deployment.

    :param transport: sends the requests.
    :param hosts: ``address:port`` of operator interfaces, in the order to try.
    :param timeout_s: time to wait for one host, in seconds.
    """

    def __init__(
        self, transport: Transport, hosts: tuple[str, ...], timeout_s: float
    ) -> None:
        self._transport = transport
        self._hosts = hosts
        self._timeout_s = timeout_s

    async def tables(self, stale: bool = False) -> Result[Tables, ClientFailure]:
        """Return the tables.

        :param stale: whether to accept tables that may be out of date.
        """
        return await self._get(f"/v1/tables?stale={int(stale)}", Tables)

    async def apply(
        self, change: TableChange | RowChange
    ) -> Result[ChangeAccepted, ClientFailure]:
        """Return the outcome of a change.

        Each host gets the same change id, so that the change is accepted at most once.

        :param change: the change.
        """
        path = "/v1/row-changes" if isinstance(change, RowChange) else "/v1/changes"
        body = msgspec.json.encode(change)
        request = HttpRequest("POST", path, body, self._timeout_s)
        return _decode(await self._send(request), ChangeAccepted)

    async def wait_in_force(
        self, revision: int, wait_s: float
    ) -> Result[InForce, ClientFailure]:
        """Return whether a revision came into force in time.

        :param revision: an accepted revision.
        :param wait_s: time to wait, in seconds; capped at 5.
        """
        wait_s = min(math.ceil(wait_s), MAX_WAIT_PER_REQUEST_S)
        path = f"/v1/changes/{revision}/in-force?wait={wait_s}"
        request = HttpRequest("GET", path, timeout_s=wait_s + self._timeout_s)
        return _decode(await self._send(request), InForce)

    async def history(
        self, after_revision: int, limit: int
    ) -> Result[tuple[AuditRecord, ...], ClientFailure]:
        """Return records of the audit trail.

        :param after_revision: the first record has a greater revision.
        :param limit: maximum number of records.
        """
        path = f"/v1/history?after={after_revision}&limit={limit}"
        return await self._get(path, tuple[AuditRecord, ...])

    async def status(self) -> Result[FleetStatus, ClientFailure]:
        """Return the control group's view of the fleet."""
        return await self._get("/v1/status", FleetStatus)

    async def hosts(self) -> Result[tuple[HostSettings, ...], ClientFailure]:
        """Return the hosts of the deployment."""
        return await self._get("/v1/hosts", tuple[HostSettings, ...])

    async def addresses(self) -> Result[Any, ClientFailure]:
        """Return the router addresses that callers are given."""
        return await self._get("/v1/addresses", dict)

    async def evacuations(self) -> Result[EvacuationList, ClientFailure]:
        """Return the evacuations of data centres that are in force."""
        return await self._get("/v1/evacuations", EvacuationList)

    async def change_evacuation(
        self, data_centre: str, in_force: bool
    ) -> Result[EvacuationChanged, ClientFailure]:
        """Begin or end the evacuation of a data centre; repeating a call is safe.

        :param data_centre: name of the data centre.
        :param in_force: whether it is to be evacuated.
        """
        path = f"/v1/evacuations/{quote(data_centre, safe='')}"
        method = "POST" if in_force else "DELETE"
        request = HttpRequest(method, path, timeout_s=self._timeout_s)
        return _decode(await self._send(request), EvacuationChanged)

    async def drain(self, host: HostSettings) -> Result[DrainStarted, ClientFailure]:
        """Start the graceful shutdown of a host.

        :param host: the host; the request goes to its own operator interface.
        """
        body = msgspec.json.encode(DrainRequest(host.name))
        request = HttpRequest("POST", "/v1/drain", body, self._timeout_s)
        return _decode(await self._send(request, (_endpoint_of(host),)), DrainStarted)

    async def change_voters(
        self, host_name: str, admit: bool
    ) -> Result[VotersChanged, ClientFailure]:
        """Admit or remove a member of the control group, and return the outcome.

        :param host_name: name of the member's host.
        :param admit: whether to admit the member; False removes it.
        """
        path = f"/v1/voters/{'admit' if admit else 'remove'}"
        body = msgspec.json.encode(VoterChange(host_name))
        timeout_s = max(self._timeout_s, MIN_VOTERS_TIMEOUT_S)
        request = HttpRequest("POST", path, body, timeout_s)
        return _decode(await self._send(request), VotersChanged, VoterChangeFailed)

    async def _get(self, path: str, success_type: Any) -> Result[Any, ClientFailure]:
        request = HttpRequest("GET", path, timeout_s=self._timeout_s)
        return _decode(await self._send(request), success_type)

    async def _send(
        self, request: HttpRequest, hosts: tuple[str, ...] = ()
    ) -> Result[HttpResponse, HostsUnavailable]:
        """Return the first response of a host that can reach a quorum.

        If every host responds that it cannot, return one of these responses,
        preferably one that does not rule out that the request took effect.
        """
        attempts = []
        without_quorum = []
        for host in hosts or self._hosts:
            match await self._transport.send(host, request):
                case Ok(response) if not _is_json(response):
                    reason = f"HTTP status {response.status} without a JSON body"
                    attempts.append(FailedAttempt(host, reason))
                case Ok(response) if response.status != SERVICE_UNAVAILABLE:
                    return Ok(response)
                case Ok(response):
                    without_quorum.append(response)
                case Err(failed):
                    attempts.append(failed)
        if attempts or not without_quorum:
            quorum_failures = [
                FailedAttempt(response.host, "cannot reach a quorum")
                for response in without_quorum
            ]
            return Err(HostsUnavailable((*attempts, *quorum_failures)))
        return Ok(min(without_quorum, key=_is_certainly_not_done))


def _is_json(response: HttpResponse) -> bool:
    try:
        msgspec.json.decode(response.body, type=msgspec.Raw)
    except (msgspec.DecodeError, RecursionError):
        return False
    return True


def _endpoint_of(host: HostSettings) -> str:
    address = f"[{host.address}]" if ":" in host.address else host.address
    return f"{address}:{host.operator_port}"


def _is_certainly_not_done(response: HttpResponse) -> bool:
    try:
        failure = msgspec.json.decode(response.body, type=ControlUnavailable)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return False
    return failure.certainly_not_done


def _decode(
    sent: Result[HttpResponse, HostsUnavailable],
    success_type: Any,
    conflict_type: Any = ChangeConflict,
) -> Result[Any, ClientFailure]:
    """Return the decoded body of a response, or the failure that it reports.

    :param sent: the response, or why there is none.
    :param success_type: type of the body if the request succeeded.
    :param conflict_type: type of the body with status 409.
    """
    if isinstance(sent, Err):
        return sent
    response = sent.ok_value
    if response.status == 401:
        return Err(NotAllowed(response.host))
    succeeded = response.status < 300
    failure_type_by_status = {409: conflict_type, 503: ControlUnavailable}
    failure_type = failure_type_by_status.get(response.status, OperatorError)
    try:
        body = msgspec.json.decode(
            response.body, type=success_type if succeeded else failure_type
        )
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        return Err(UnexpectedResponse(response.host, response.status, str(error)))
    return Ok(body) if succeeded else Err(body)
