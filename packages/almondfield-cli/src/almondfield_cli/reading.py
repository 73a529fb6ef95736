"""Commands that read from the system, and the one that drains a host."""

from almondfield_core.findings import Finding
from almondfield_core.tables import dump_tables
from result import Err, Ok, Result

from almondfield_cli.client import ClientFailure
from almondfield_cli.exits import ExitCode
from almondfield_cli.options import DEFAULT_CONNECTION, Connection
from almondfield_cli.output import Printer

__all__ = ["addresses", "drain", "export", "history", "status"]

DEFAULT_HISTORY_RECORDS = 100


async def status(*, connection: Connection = DEFAULT_CONNECTION) -> ExitCode:
    """Print what the control group knows of the fleet."""
    match connection.connect():
        case Ok(client):
            return _show(connection.printer, await client.status())
        case Err(findings):
            return connection.printer.fail(findings)


async def history(
    *,
    after: int = 0,
    limit: int = DEFAULT_HISTORY_RECORDS,
    connection: Connection = DEFAULT_CONNECTION,
) -> ExitCode:
    """Print the audit trail of accepted changes.

    :param after: the first record has a greater revision.
    :param limit: number of records, at most.
    """
    match connection.connect():
        case Ok(client):
            return _show(connection.printer, await client.history(after, limit))
        case Err(findings):
            return connection.printer.fail(findings)


async def export(*, connection: Connection = DEFAULT_CONNECTION) -> ExitCode:
    """Print the tables as TOML that ``apply`` takes."""
    match connection.connect():
        case Ok(client):
            outcome = await client.tables()
        case Err(findings):
            return connection.printer.fail(findings)
    match outcome:
        case Ok(tables):
            return connection.printer.show(tables, dump_tables(tables))
        case Err(failure):
            return connection.printer.fail(failure)


async def addresses(*, connection: Connection = DEFAULT_CONNECTION) -> ExitCode:
    """Print the addresses that callers are told to use."""
    match connection.connect():
        case Ok(client):
            return _show(connection.printer, await client.addresses())
        case Err(findings):
            return connection.printer.fail(findings)


async def drain(
    host_name: str, /, *, connection: Connection = DEFAULT_CONNECTION
) -> ExitCode:
    """Let a host finish what it runs and stop.

    :param host_name: name of the host.
    """
    printer = connection.printer
    match connection.connect():
        case Ok(client):
            known = await client.hosts()
        case Err(findings):
            return printer.fail(findings)
    if isinstance(known, Err):
        return printer.fail(known.err_value)
    host_by_name = {host.name: host for host in known.ok_value}
    if host_name not in host_by_name:
        allowed = ", ".join(host_by_name)
        finding = Finding("HOST", f"no host {host_name!r}", allowed)
        return printer.fail((finding,))
    return _show(printer, await client.drain(host_by_name[host_name]))


def _show(printer: Printer, outcome: Result[object, ClientFailure]) -> ExitCode:
    match outcome:
        case Ok(value):
            return printer.show(value)
        case Err(failure):
            return printer.fail(failure)
