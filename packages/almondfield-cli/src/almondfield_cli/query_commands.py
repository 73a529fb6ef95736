"""Commands that print the state of the fleet."""

from result import Err, Ok, Result

from almondfield_cli.client import ClientFailure
from almondfield_cli.exit_codes import ExitCode
from almondfield_cli.options import DEFAULT_CONNECTION, ConnectionOptions
from almondfield_cli.output import Printer
from almondfield_core.tables import dump_tables

__all__ = ["addresses", "export", "history", "show_outcome", "status"]

DEFAULT_HISTORY_RECORDS = 100


async def status(*, connection: ConnectionOptions = DEFAULT_CONNECTION) -> ExitCode:
    """Print the control group's view of the fleet."""
    match connection.connect():
        case Ok(client):
            return show_outcome(connection.printer, await client.status())
        case Err(findings):
            return connection.printer.fail(findings)


async def history(
    *,
    after: int | None = None,
    limit: int = DEFAULT_HISTORY_RECORDS,
    connection: ConnectionOptions = DEFAULT_CONNECTION,
) -> ExitCode:
    """Print the audit trail of accepted changes, by default the newest ones.

    :param after: the first record has a greater revision.
    :param limit: maximum number of records.
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
    *, stale: bool = False, connection: ConnectionOptions = DEFAULT_CONNECTION
) -> ExitCode:
    """Print the tables as TOML, in the form that ``apply`` takes.

    :param stale: whether to accept tables that may be out of date, for example while
        there is no quorum.
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


async def addresses(*, connection: ConnectionOptions = DEFAULT_CONNECTION) -> ExitCode:
    """Print the router addresses that callers are given."""
    match connection.connect():
        case Ok(client):
            return show_outcome(connection.printer, await client.addresses())
        case Err(findings):
            return connection.printer.fail(findings)


def show_outcome(printer: Printer, outcome: Result[object, ClientFailure]) -> ExitCode:
    """Print a result or failure and return the exit code.

    :param printer: printer of the output format.
    :param outcome: what the client returned.
    """
    match outcome:
        case Ok(value):
            return printer.show(value)
        case Err(failure):
            return printer.fail(failure)
