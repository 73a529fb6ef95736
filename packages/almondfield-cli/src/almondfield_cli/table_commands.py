"""Commands that check, compare and change the tables."""

import asyncio
import uuid
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter
from result import Err, Ok, Result

from almondfield_cli.client import (
    ClientFailure,
    HostsUnavailable,
    OperatorClient,
    UnexpectedResponse,
    UnknownOutcome,
)
from almondfield_cli.exit_codes import ExitCode
from almondfield_cli.options import (
    DEFAULT_CONNECTION,
    DEFAULT_OUTPUT,
    DEFAULT_TIMEOUT_S,
    ConnectionOptions,
    OutputOptions,
    current_user_name,
)
from almondfield_cli.output import Printer, describe
from almondfield_cli.transport import AiosonicTransport
from almondfield_core.clock import now
from almondfield_core.findings import AlmondfieldError
from almondfield_core.messages import (
    ChangeAccepted,
    ControlUnavailable,
    InForce,
    RowChange,
    TableChange,
)
from almondfield_core.tables import Tables, difference, load_tables, rows_between

__all__ = ["ApplyError", "apply", "apply_file", "check", "plan"]

DEFAULT_WAIT_S = 30.0
RETRY_INTERVAL_S = 1.0


class ApplyError(AlmondfieldError):
    """Raised when tables could not be applied."""


async def apply_file(tables_file: Path, hosts: tuple[str, ...], token: str) -> None:
    """Replace the tables with those of a file, for programs that embed the client.

    :param tables_file: TOML file with the tables.
    :param hosts: ``address:port`` of operator interfaces, in the order to try.
    :param token: the operators' token.
    :raises ApplyError: if the file has findings or the change is not accepted.
    """
    tables = load_tables(tables_file)
    if isinstance(tables, Err):
        raise ApplyError(describe(tables.err_value))
    client = OperatorClient(AiosonicTransport(token), hosts, DEFAULT_TIMEOUT_S)
    current = await client.tables()
    if isinstance(current, Err):
        raise ApplyError(describe(current.err_value))
    before = current.ok_value
    change = _make_change(tables.ok_value, before, before.revision)
    outcome = await client.apply(change)
    if isinstance(outcome, Err):
        raise ApplyError(describe(outcome.err_value))


def check(
    tables_file: Path, /, *, output_options: OutputOptions = DEFAULT_OUTPUT
) -> ExitCode:
    """Check a tables file without contacting a host.

    :param tables_file: TOML file with the tables.
    """
    match load_tables(tables_file):
        case Ok(tables):
            counts = f"{len(tables.pools)} pools, {len(tables.routes)} routes"
            return output_options.printer.show(
                {"pools": len(tables.pools), "routes": len(tables.routes)},
                f"{tables_file}: {counts}, no findings",
            )
        case Err(findings):
            return output_options.printer.fail(findings)


async def plan(
    tables_file: Path, /, *, connection: ConnectionOptions = DEFAULT_CONNECTION
) -> ExitCode:
    """Print what a tables file would change.

    :param tables_file: TOML file with the tables.
    """
    printer = connection.printer
    loaded = load_tables(tables_file)
    client = connection.connect()
    if isinstance(loaded, Err) or isinstance(client, Err):
        return _print_findings(printer, loaded, client)
    current = await client.ok_value.tables()
    if isinstance(current, Err):
        return printer.fail(current.err_value)
    tables = current.ok_value
    lines = difference(tables, loaded.ok_value)
    heading = f"against revision {tables.revision}"
    body = "\n".join(lines) or "no difference"
    return printer.show(
        {"revision": tables.revision, "difference": lines}, f"{heading}\n{body}"
    )


async def apply(
    tables_file: Path,
    /,
    *,
    expect_revision: int | None = None,
    change_id: str | None = None,
    author: str | None = None,
    wait: Annotated[bool, Parameter(negative="--no-wait")] = True,
    wait_seconds: float = DEFAULT_WAIT_S,
    connection: ConnectionOptions = DEFAULT_CONNECTION,
) -> ExitCode:
    """Replace the tables with those of a file.

    Sending the same file with the same change id again is safe: the change is
    accepted once, and later answers repeat the first one.

    :param tables_file: TOML file with the tables.
    :param expect_revision: revision that the change is based on; by default the one
        in the file, or the current one if the file has none.
    :param change_id: identifier of the change; a random one by default.
    :param author: author of the change; the current user by default.
    :param wait: whether to wait until the change is in force everywhere.
    :param wait_seconds: maximum time to wait, in seconds.
    """
    printer = connection.printer
    loaded = load_tables(tables_file)
    connected = connection.connect()
    if isinstance(loaded, Err) or isinstance(connected, Err):
        return _print_findings(printer, loaded, connected)
    client = connected.ok_value
    tables = loaded.ok_value
    current = await client.tables()
    revision = _expected_revision(tables, current, expect_revision)
    if isinstance(revision, Err):
        return printer.fail(revision.err_value)
    before = current.unwrap_or(Tables())
    change = _make_change(tables, before, revision.ok_value, change_id, author)
    outcome = await client.apply(change)
    if isinstance(outcome, Err):
        return _fail_change(printer, change, outcome.err_value)
    accepted = outcome.ok_value
    printer.show(accepted)
    if not wait or accepted.in_force:
        return ExitCode.DONE
    return await _wait_in_force(client, printer, accepted, wait_seconds)


def _make_change(
    tables: Tables,
    before: Tables,
    revision: int,
    change_id: str | None = None,
    author: str | None = None,
) -> TableChange | RowChange:
    """Return a change of rows if the tables at its revision are known.

    Otherwise the change carries the whole tables.
    """
    change_id = change_id or str(uuid.uuid4())
    author = author or current_user_name()
    if before.revision == revision:
        rows = rows_between(before, tables)
        return RowChange(change_id, author, revision, rows)
    return TableChange(change_id, author, revision, tables.pools, tables.routes)


def _expected_revision(
    tables: Tables, current: Result[Tables, ClientFailure], requested: int | None
) -> Result[int, ClientFailure]:
    """Return the revision that a change is based on."""
    if requested is not None:
        return Ok(requested)
    if tables.revision:
        return Ok(tables.revision)
    return current.map(lambda newest: newest.revision)


def _fail_change(
    printer: Printer, change: TableChange | RowChange, failure: ClientFailure
) -> ExitCode:
    """Print why a change failed and, if a retry may help, how to retry it."""
    if not isinstance(
        failure, HostsUnavailable | ControlUnavailable | UnexpectedResponse
    ):
        return printer.fail(failure)
    return printer.fail(
        UnknownOutcome(change.change_id, change.expect_revision, failure)
    )


async def _wait_in_force(
    client: OperatorClient, printer: Printer, accepted: ChangeAccepted, wait_s: float
) -> ExitCode:
    """Print whether a change came into force in time; return the exit code."""
    deadline = now() + wait_s
    failure: ClientFailure | InForce = InForce(accepted.revision, False)
    while (left_s := deadline - now()) > 0:
        match await client.wait_in_force(accepted.revision, left_s):
            case Ok(InForce(in_force=True) as in_force):
                return printer.show(in_force)
            case Ok(not_in_force):
                failure = not_in_force
            case Err(failure):
                await asyncio.sleep(min(RETRY_INTERVAL_S, left_s))
    printer.fail(failure)
    return ExitCode.NOT_IN_FORCE


def _print_findings(printer: Printer, *outcomes) -> ExitCode:
    """Print the findings of all outcomes that failed."""
    findings = [
        finding
        for outcome in outcomes
        if isinstance(outcome, Err)
        for finding in outcome.err_value
    ]
    return printer.fail(tuple(findings))
