"""Commands about evacuations of data centres."""

from cyclopts import App
from result import Err, Ok

from almondfield_cli.exit_codes import ExitCode
from almondfield_cli.options import DEFAULT_CONNECTION, ConnectionOptions
from almondfield_cli.query_commands import show_outcome

__all__ = ["build_evacuations_app"]


async def list_evacuations(
    *, connection: ConnectionOptions = DEFAULT_CONNECTION
) -> ExitCode:
    """Print the evacuations in force, since when, and who asked."""
    match connection.connect(needs_token=False):
        case Ok(client):
            return show_outcome(connection.printer, await client.evacuations())
        case Err(findings):
            return connection.printer.fail(findings)


async def start(
    data_centre: str, /, *, connection: ConnectionOptions = DEFAULT_CONNECTION
) -> ExitCode:
    """Send nothing more to the backend servers of a data centre.

    :param data_centre: name of the data centre.
    """
    return await _change(data_centre, True, connection)


async def end(
    data_centre: str, /, *, connection: ConnectionOptions = DEFAULT_CONNECTION
) -> ExitCode:
    """Use the backend servers of an evacuated data centre again.

    :param data_centre: name of the data centre.
    """
    return await _change(data_centre, False, connection)


def build_evacuations_app() -> App:
    """Return the ``evacuations`` command with its subcommands."""
    app = App(
        name="evacuations",
        help="List, start and end evacuations of data centres. HOST is an operator "
        "interface, or the control address of a control host, which needs no token.",
    )
    app.command(list_evacuations, name="list")
    app.command(start)
    app.command(end)
    return app


async def _change(
    data_centre: str, in_force: bool, connection: ConnectionOptions
) -> ExitCode:
    match connection.connect(needs_token=False):
        case Ok(client):
            outcome = await client.change_evacuation(data_centre, in_force)
            return show_outcome(connection.printer, outcome)
        case Err(findings):
            return connection.printer.fail(findings)
