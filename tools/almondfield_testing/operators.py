"""A fake daemon for the operator interface, and an ASGI client without sockets."""

import asyncio
import dataclasses
from typing import Any

from result import Err, Ok

from almondfield_core.messages import (
    AuditRecord,
    ChangeAccepted,
    ChangeConflict,
    ChangeRefused,
    ControlUnavailable,
    Evacuation,
    EvacuationChanged,
    FleetStatus,
    RowChange,
    TableChange,
    VoterStatus,
)
from almondfield_core.settings import DaemonSettings, HostSettings, SecuritySettings
from almondfield_core.tables import (
    TableIndex,
    TableRows,
    Tables,
    check_rows,
    describe_rows,
    rows_between,
)
from almondfield_daemon.operator import OperatorNode

__all__ = ["OPERATOR_TOKEN", "FakeControl", "call_app", "make_node"]

OPERATOR_TOKEN = "token-of-the-tests"


class FakeControl:
    """In-memory fake of a daemon's part in the control group."""

    def __init__(self) -> None:
        self.tables = Tables()
        self.records: list[AuditRecord] = []
        self.answer_by_id: dict[str, ChangeAccepted] = {}
        self.unavailable: ControlUnavailable | None = None
        self.in_force = True
        self.evacuation_by_data_centre: dict[str, Evacuation] = {}
        self.lease_by_pool = {}
        self.freshness_s = 3.0

    @property
    def control(self):
        """Return the fake itself as the control group."""
        return self

    @property
    def view(self):
        """Return the fake itself as this host's view of the tables."""
        return self

    def addresses(self):
        """Return the body of the response to GET /addresses."""
        return {"addresses": ["127.0.0.1:8080"], "lifetime_s": 5.0}

    async def admit_voter(self, host: str):
        """Return the host if it becomes a voter, else an error."""
        return Ok(host) if host == "north-1" else Err(f"{host} is no learner")

    async def remove_voter(self, host: str):
        """Return the host if it is removed from the group, else an error."""
        return Ok(host) if host == "north-1" else Err(f"{host} is no member")

    def freshness_left_s(self) -> float:
        """Return the seconds for which the tables are fresh."""
        return self.freshness_s

    async def apply(self, change: TableChange | RowChange):
        """Return the outcome of a change."""
        if self.unavailable:
            return Err(self.unavailable)
        if change.change_id in self.answer_by_id:
            return Ok(self.answer_by_id[change.change_id])
        if change.expect_revision != self.tables.revision:
            revision = self.tables.revision
            return Err(self._conflict(change, revision))
        index = TableIndex(self.tables)
        rows = self._rows_of(change)
        findings = check_rows(index, rows)
        if findings:
            return Err(ChangeRefused(findings))
        return Ok(self._accept(change, index, rows))

    def _rows_of(self, change: TableChange | RowChange) -> TableRows:
        if isinstance(change, RowChange):
            return change.rows
        return rows_between(self.tables, Tables(0, change.pools, change.routes))

    def _accept(
        self, change: TableChange | RowChange, index: TableIndex, rows: TableRows
    ) -> ChangeAccepted:
        revision = self.tables.revision + 1
        lines = describe_rows(index.replaced_by(rows), rows)
        index.apply(rows)
        self.tables = index.tables(revision)
        record = AuditRecord(revision, change.change_id, change.author, 0.0, lines)
        self.records.append(record)
        accepted = ChangeAccepted(change.change_id, revision)
        self.answer_by_id[change.change_id] = accepted
        return accepted

    def _conflict(
        self, change: TableChange | RowChange, revision: int
    ) -> ChangeConflict:
        if change.expect_revision >= len(self.records):
            return ChangeConflict(change.change_id, revision)
        winner = self.records[change.expect_revision]
        return ChangeConflict(
            change.change_id, revision, winner.change_id, winner.author
        )

    async def evacuations(self):
        """Return the evacuations in force."""
        if self.unavailable:
            return Err(self.unavailable)
        return Ok(tuple(self.evacuation_by_data_centre.values()))

    async def change_evacuation(self, data_centre, in_force, requested_by):
        """Begin or end an evacuation."""
        if self.unavailable:
            return Err(self.unavailable)
        if in_force:
            evacuation = Evacuation(data_centre, 0.0, "192.0.2.1")
            self.evacuation_by_data_centre.setdefault(data_centre, evacuation)
        else:
            self.evacuation_by_data_centre.pop(data_centre, None)
        return Ok(EvacuationChanged(data_centre, in_force, 0.0, "192.0.2.1"))

    async def wait_in_force(self, revision: int, timeout_s: float):
        """Return whether a revision came into force within the timeout."""
        if self.unavailable:
            return Err(self.unavailable)
        if not self.in_force:
            await asyncio.sleep(timeout_s)
        return Ok(self.in_force and revision <= self.tables.revision)

    async def history(self, after_revision: int, limit: int):
        """Return the audit records of accepted changes in order."""
        if self.unavailable:
            return Err(self.unavailable)
        return Ok(tuple(self.records[after_revision : after_revision + limit]))

    async def status(self):
        """Return the status of the fleet."""
        if self.unavailable:
            return Err(self.unavailable)
        voter = VoterStatus("ab12", "north-1", "leader", True, 7)
        revision = self.tables.revision
        return Ok(FleetStatus("north-1", 3, revision, True, (voter,), 0, (), ()))


def make_node(control: FakeControl, host: str = "north-1") -> OperatorNode:
    """Return the operator node of a daemon whose settings list three hosts.

    :param control: the control group.
    :param host: name of this host.
    """
    settings = DaemonSettings(
        host=host,
        hosts=(
            HostSettings("north-1", "dc-1", "127.0.0.1", voter=True),
            HostSettings("north-2", "dc-2", "127.0.0.2"),
            HostSettings("north-6", "dc-3", "::1"),
        ),
        security=SecuritySettings("operator", "backend", "fleet"),
    )
    drained: list[str] = []
    return OperatorNode(
        settings=settings,
        control=control,
        membership=control,
        stats=lambda: {},
        drain=lambda: drained.append(host),
        is_draining=lambda: bool(drained),
    )


@dataclasses.dataclass(frozen=True)
class AppResponse:
    """HTTP response of an ASGI application."""

    status: int
    headers: dict[str, str]
    body: bytes


async def call_app(
    app: Any,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> AppResponse:
    """Return the response of an ASGI application to one request.

    :param app: the application.
    :param method: HTTP method.
    :param path: path, with the query string if there is one.
    :param body: body of the request.
    :param headers: headers of the request; if None, only an ``authorization`` header
        with :data:`OPERATOR_TOKEN`.
    """
    if headers is None:
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
    path, _, query = path.partition("?")
    scope = {
        "type": "http",
        "http_version": "1.1",
        "method": method,
        "scheme": "http",
        "path": path,
        "raw_path": path.encode(),
        "query_string": query.encode(),
        "headers": [(k.encode(), v.encode("latin-1")) for k, v in headers.items()],
        "server": ("127.0.0.1", 8081),
        "client": ("127.0.0.1", 1),
    }
    sent: list[dict[str, Any]] = []

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        sent.append(message)

    await app(scope, receive, send)
    fields = {k.decode(): v.decode() for k, v in sent[0]["headers"]}
    content = b"".join(message.get("body", b"") for message in sent[1:])
    return AppResponse(sent[0]["status"], fields, content)
