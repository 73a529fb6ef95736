"""Commands that read from the system."""

from result import Err, Ok, Result

from almondfield_cli.client import ClientFailure
from almondfield_cli.exit_codes import ExitCode
from almondfield_cli.options import DEFAULT_CONNECTION, Connection
from almondfield_cli.output import Printer
from almondfield_core.tables import dump_tables

__all__ = ["addresses", "export", "history", "show_outcome", "status"]

DEFAULT_HISTORY_RECORDS = 100


async def status(*, connection: Connection = DEFAULT_CONNECTION) -> ExitCode:
    """Print what the control group knows of the fleet."""
    match connection.connect():
        case Ok(client):
            return show_outcome(connection.printer, await client.status())
        case Err(findings):
            return connection.printer.fail(findings)


async def history(
    *,
    after: int | None = None,
    limit: int = DEFAULT_HISTORY_RECORDS,
    connection: Connection = DEFAULT_CONNECTION,
) -> ExitCode:
    """Print the audit trail of accepted changes, the newest ones by default.

    :param after: the first record has a greater revision.
    :param limit: number of records, at most.
    """
    match connection.connect():
        case Ok(client):
            pass
        case Err(findings):
            return connection.printer.fail(findings)
    if after is None:
        match await client.status():
            case Ok(fleet):
                after = max(0, fleet.revision - limit)
            case Err(failure):
                return connection.printer.fail(failure)
    return show_outcome(connection.printer, await client.history(after, limit))


async def export(
    *, stale: bool = False, connection: Connection = DEFAULT_CONNECTION
) -> ExitCode:
    """Print the tables as TOML that ``apply`` takes.

    :param stale: whether tables that may be out of date will do, as where no quorum
        is left.
    """
    match connection.connect():
        case Ok(client):
            outcome = await client.tables(stale)
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
            return show_outcome(connection.printer, await client.addresses())
        case Err(findings):
            return connection.printer.fail(findings)


def show_outcome(printer: Printer, outcome: Result[object, ClientFailure]) -> ExitCode:
    """Print a result or failure and return the exit code.

    :param printer: prints it.
    :param outcome: what the client answered.
    """
    match outcome:
        case Ok(value):
            return printer.show(value)
        case Err(failure):
            return printer.fail(failure)
