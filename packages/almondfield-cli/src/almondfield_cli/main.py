"""Entry point of the ``almondfield`` command."""

import asyncio
import sys
from collections.abc import Sequence

from cyclopts import App, CycloptsError

from almondfield_cli.evacuation_commands import build_evacuations_app
from almondfield_cli.exit_codes import ExitCode
from almondfield_cli.host_commands import admit, drain, remove
from almondfield_cli.local_commands import key, settings
from almondfield_cli.query_commands import addresses, export, history, status
from almondfield_cli.table_commands import apply, apply_file, check, plan

__all__ = ["apply_file", "build_app", "main", "run_command"]

COMMANDS = (
    check,
    plan,
    apply,
    status,
    history,
    export,
    addresses,
    drain,
    admit,
    remove,
    settings,
    key,
)


def build_app() -> App:
    """Return the application with all commands."""
    app = App(
        name="almondfield",
        help="Operate a fleet of almondfield routers.",
        result_action="return_value",
    )
    for command in COMMANDS:
        app.command(command)
    app.command(build_evacuations_app())
    return app


async def run_command(arguments: Sequence[str]) -> ExitCode:
    """Run one command and return its exit code.

    :param arguments: command-line arguments without the program name.
    """
    try:
        outcome = await build_app().run_async(list(arguments), exit_on_error=False)
    except CycloptsError:
        return ExitCode.USAGE
    return outcome if isinstance(outcome, ExitCode) else ExitCode.DONE


def main() -> None:
    """Run the command in the process's arguments and exit with its code."""
    sys.exit(asyncio.run(run_command(sys.argv[1:])))
