"""The routes of the operator interface."""

import dataclasses
from collections.abc import Callable
from typing import Any

import eliot
from result import Err, Ok, Result
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from almondfield_core.findings import Finding, format_value
from almondfield_core.messages import (
    ControlUnavailable,
    DrainRequest,
    DrainStarted,
    EvacuationList,
    InForce,
    OperatorError,
    RowChange,
    TableChange,
    VoterChange,
    VoterChangeFailed,
    VotersChanged,
)
from almondfield_core.tables import check_tables
from almondfield_daemon.metrics import render_metrics
from almondfield_daemon.operator.authentication import OperatorAuthentication
from almondfield_daemon.operator.coding import (
    RequestRefusedError,
    failure_response,
    json_response,
    read_body,
    read_number,
    read_query,
)
from almondfield_daemon.operator.node import OperatorNode
from almondfield_daemon.serving import connection_of

__all__ = ["OperatorNode", "build_operator_app"]

MAX_WAIT_S = 60
MAX_REVISION = 10**15
MAX_HISTORY_RECORDS = 1000
DEFAULT_HISTORY_RECORDS = 100
MAX_SMALL_BODY_BYTES = 4096
MAX_CHANGE_ID_LENGTH = 128
MAX_AUTHOR_LENGTH = 128


def build_operator_app(node: OperatorNode, operator_token: str) -> Starlette:
    """Return the application for the operator port.

    :param node: the daemon.
    :param operator_token: the operators' token.
    """
    handlers = _Handlers(node)
    return Starlette(
        routes=[
            Route("/health", handlers.get_health),
            Route("/ready", handlers.get_ready),
            Route("/metrics", handlers.get_metrics),
            Route("/v1/tables", handlers.get_tables),
            Route("/v1/changes", handlers.post_change, methods=["POST"]),
            Route("/v1/row-changes", handlers.post_row_change, methods=["POST"]),
            Route("/v1/changes/{revision}/in-force", handlers.get_in_force),
            Route("/v1/history", handlers.get_history),
            Route("/v1/status", handlers.get_status),
            Route("/v1/hosts", handlers.get_hosts),
            Route("/v1/addresses", handlers.get_addresses),
            Route("/v1/evacuations", handlers.get_evacuations),
            Route(
                "/v1/evacuations/{data_centre}",
                handlers.post_evacuation,
                methods=["POST"],
            ),
            Route(
                "/v1/evacuations/{data_centre}",
                handlers.delete_evacuation,
                methods=["DELETE"],
            ),
            Route("/v1/drain", handlers.post_drain, methods=["POST"]),
            Route("/v1/voters/admit", handlers.post_admit, methods=["POST"]),
            Route("/v1/voters/remove", handlers.post_remove, methods=["POST"]),
        ],
        middleware=[Middleware(OperatorAuthentication, token=operator_token)],
        exception_handlers={
            RequestRefusedError: _refusal_response,
            HTTPException: _http_error_response,
        },
    )


async def _refusal_response(request: Request, error: Exception) -> Response:
    assert isinstance(error, RequestRefusedError)
    return json_response(OperatorError(error.findings), error.status)


async def _http_error_response(request: Request, error: Exception) -> Response:
    assert isinstance(error, HTTPException)
    finding = Finding(f"{request.method} {request.url.path}", error.detail)
    return json_response(OperatorError((finding,)), error.status_code)


class _Handlers:
    """The handlers of the routes, one method each."""

    def __init__(self, node: OperatorNode) -> None:
        self._node = node
        self._control = node.control.control
        self._view = node.control.view

    async def get_health(self, request: Request) -> Response:
        """Return the host's name, which shows that the process is running."""
        return json_response({"host": self._node.settings.host})

    async def get_ready(self, request: Request) -> Response:
        """Return 200 if the host accepts new requests of callers, else 503."""
        fresh = self._view.freshness_left_s() > 0
        ready = fresh and not self._node.is_draining()
        return json_response({"ready": ready}, 200 if ready else 503)

    async def get_metrics(self, request: Request) -> Response:
        """Return the metrics of every part in the Prometheus format."""
        accept = request.headers.getlist("accept")
        content, headers = render_metrics(self._node.stats(), accept)
        return Response(content, headers=headers)

    async def get_tables(self, request: Request) -> Response:
        """Return the tables; stale ones only if the query allows them."""
        stale_allowed = read_query(request, "stale", 0, 1)
        if self._view.freshness_left_s() > 0 or stale_allowed:
            return json_response(self._view.tables)
        reason = "the tables of this host may be out of date"
        return failure_response(ControlUnavailable(reason, certainly_not_done=True))

    async def post_change(self, request: Request) -> Response:
        """Apply a change of whole tables; wait until it is in force if requested."""
        return await self._apply(request, TableChange, _check_tables)

    async def post_row_change(self, request: Request) -> Response:
        """Apply a change of rows; wait until it is in force if requested."""
        # The control group checks the rows against the current tables.
        return await self._apply(request, RowChange, _check_metadata)

    async def _apply(
        self,
        request: Request,
        change_type: type[TableChange | RowChange],
        check: Callable[[Any], tuple[Finding, ...]],
    ) -> Response:
        wait_s = read_query(request, "wait", 0, MAX_WAIT_S)
        max_bytes = self._node.settings.limits.max_tables_bytes
        change = await read_body(request, change_type, max_bytes, check)
        outcome = await self._control.apply(change)
        _log("change", outcome, change_id=change.change_id, author=change.author)
        match outcome:
            case Ok(accepted):
                pass
            case Err(failure):
                return failure_response(failure)
        if wait_s and not accepted.in_force:
            in_force = await self._wait_in_force(accepted.revision, wait_s)
            accepted = dataclasses.replace(accepted, in_force=in_force)
        return json_response(accepted)

    async def _wait_in_force(self, revision: int, wait_s: int) -> bool:
        # The change stays accepted even if there is no quorum any longer.
        outcome = await self._control.wait_in_force(revision, wait_s)
        return outcome.unwrap_or(False)

    async def get_in_force(self, request: Request) -> Response:
        """Return whether a revision is in force at every host that may serve."""
        revision_text = request.path_params["revision"]
        revision = read_number(revision_text, "path: revision", MAX_REVISION)
        wait_s = read_query(request, "wait", 0, MAX_WAIT_S)
        match await self._control.wait_in_force(revision, wait_s):
            case Ok(in_force):
                return json_response(InForce(revision, in_force))
            case Err(failure):
                return failure_response(failure)

    async def get_history(self, request: Request) -> Response:
        """Return records of the audit trail."""
        after = read_query(request, "after", 0, MAX_REVISION)
        limit = read_query(
            request, "limit", DEFAULT_HISTORY_RECORDS, MAX_HISTORY_RECORDS
        )
        return _outcome_response(await self._control.history(after, limit))

    async def get_status(self, request: Request) -> Response:
        """Return the control group's status of the fleet."""
        return _outcome_response(await self._control.status())

    async def get_hosts(self, request: Request) -> Response:
        """Return the hosts of the settings."""
        return json_response(self._node.settings.hosts)

    async def get_addresses(self, request: Request) -> Response:
        """Return the host addresses that this host returns to callers."""
        return json_response(self._node.membership.addresses())

    async def get_evacuations(self, request: Request) -> Response:
        """Return the evacuations of data centres that are in force."""
        return _outcome_response(
            (await self._control.evacuations()).map(EvacuationList)
        )

    async def post_evacuation(self, request: Request) -> Response:
        """Evacuate a data centre: its backend servers get no new work."""
        return await self._change_evacuation(request, in_force=True)

    async def delete_evacuation(self, request: Request) -> Response:
        """End the evacuation of a data centre; one without any is acknowledged too."""
        return await self._change_evacuation(request, in_force=False)

    async def _change_evacuation(self, request: Request, in_force: bool) -> Response:
        data_centre = request.path_params["data_centre"]
        known = {host.data_centre for host in self._node.settings.hosts}
        if data_centre not in known:
            listed = (await self._control.evacuations()).unwrap_or(())
            if all(item.data_centre != data_centre for item in listed):
                problem = f"{format_value(data_centre)} is no data centre"
                finding = Finding(
                    "path: data_centre", problem, ", ".join(sorted(known))
                )
                raise RequestRefusedError(400, finding)
        connection = connection_of(request.scope)
        caller = connection.peer_host() if connection is not None else ""
        outcome = await self._control.change_evacuation(data_centre, in_force, caller)
        operation = "evacuation-start" if in_force else "evacuation-end"
        _log(operation, outcome, data_centre=data_centre, caller=caller)
        return _outcome_response(outcome)

    async def post_drain(self, request: Request) -> Response:
        """Start the graceful shutdown of this host."""
        drain_request = await read_body(request, DrainRequest, MAX_SMALL_BODY_BYTES)
        own = self._node.settings.host
        if drain_request.host != own:
            finding = Finding("body: host", f"is {drain_request.host!r}", own)
            raise RequestRefusedError(421, finding)
        self._node.drain()
        _log("drain", Ok(DrainStarted(own)), host=own)
        return json_response(DrainStarted(own), 202)

    async def post_admit(self, request: Request) -> Response:
        """Admit a learner to the control group."""
        voter_change = await read_body(request, VoterChange, MAX_SMALL_BODY_BYTES)
        outcome = await self._node.control.admit_voter(voter_change.host)
        _log("admit", outcome, host=voter_change.host)
        return _voter_response(voter_change.host, True, outcome)

    async def post_remove(self, request: Request) -> Response:
        """Remove a member from the control group."""
        voter_change = await read_body(request, VoterChange, MAX_SMALL_BODY_BYTES)
        outcome = await self._node.control.remove_voter(voter_change.host)
        _log("remove", outcome, host=voter_change.host)
        return _voter_response(voter_change.host, False, outcome)


def _log(operation: str, outcome: Result[Any, Any], **fields: str) -> None:
    result = type(outcome.ok_value if outcome.is_ok() else outcome.err_value).__name__
    done = outcome.is_ok()
    eliot.log_message(f"operator:{operation}", done=done, result=result, **fields)


def _voter_response(host: str, votes: bool, outcome: Result[str, str]) -> Response:
    match outcome:
        case Ok(_):
            return json_response(VotersChanged(host, votes))
        case Err(reason):
            return failure_response(VoterChangeFailed(host, reason))


def _outcome_response(outcome: Result[Any, Any]) -> Response:
    match outcome:
        case Ok(value):
            return json_response(value)
        case Err(failure):
            return failure_response(failure)


def _check_tables(change: TableChange) -> tuple[Finding, ...]:
    """Return the findings for a change of whole tables."""
    return (*check_tables(change.pools, change.routes), *_check_metadata(change))


def _check_metadata(change: TableChange | RowChange) -> tuple[Finding, ...]:
    """Return the findings for the fields of a change other than its rows."""
    findings = []
    for name, max_length in (
        ("change_id", MAX_CHANGE_ID_LENGTH),
        ("author", MAX_AUTHOR_LENGTH),
    ):
        text = getattr(change, name)
        if not 1 <= len(text) <= max_length or not text.isprintable():
            problem = f"has {len(text)} characters"
            findings.append(
                Finding(name, problem, f"1 to {max_length} printable characters")
            )
    if change.expect_revision < 0:
        problem = f"is {change.expect_revision}"
        findings.append(Finding("expect_revision", problem, "0 or more"))
    return tuple(findings)
