"""The binary ``almondfieldd``: one daemon from one settings file."""

import asyncio
import contextlib
import signal
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import cyclopts
import eliot
from result import Err, Ok, Result

from almondfield_core.findings import AlmondfieldError, Finding
from almondfield_core.settings import DaemonSettings, load_settings
from almondfield_daemon.runtime import Daemon, Secrets, load_secrets

__all__ = ["app", "main"]

EXIT_OK = 0
EXIT_BAD_INPUT = 2
LINE_BUFFERED = 1

app = cyclopts.App(name="almondfieldd", help="Run one host of the router fleet.")


@app.default
def serve(*, settings: Path, check: bool = False) -> int:
    """Run the daemon until it is told to stop.

    :param settings: settings file in TOML.
    :param check: report what is wrong with the settings, and do not run.
    :returns: exit code; 2 where the daemon cannot start.
    """
    match _load(settings):
        case Err(findings):
            for finding in findings:
                print(finding, file=sys.stderr)
            return EXIT_BAD_INPUT
        case Ok((loaded, secrets)):
            if check:
                print(f"{settings}: no findings")
                return EXIT_OK
            return _run(loaded, secrets)


def _load(
    path: Path,
) -> Result[tuple[DaemonSettings, Secrets], tuple[Finding, ...]]:
    loaded = load_settings(path)
    if loaded.is_err():
        return loaded
    settings = loaded.unwrap()
    return load_secrets(settings.security).map(lambda secrets: (settings, secrets))


def _run(settings: DaemonSettings, secrets: Secrets) -> int:
    code = EXIT_OK
    try:
        with _logging_to(settings.log_file):
            asyncio.run(_serve_until_stopped(settings, secrets))
    except* AlmondfieldError as group:
        for error in _leaves(group):
            print(f"almondfieldd: {error}", file=sys.stderr)
        code = EXIT_BAD_INPUT
    return code


def _leaves(group: BaseExceptionGroup) -> Iterator[BaseException]:
    """Return the errors that a group holds, also those of groups within it."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _leaves(error)
        else:
            yield error


class LogFileError(AlmondfieldError):
    """Raised where the log file cannot be written."""


@contextlib.contextmanager
def _logging_to(path: str) -> Iterator[None]:
    """Write the log to a file, or to standard error where the path is empty."""
    try:
        log = open(path, "a", buffering=LINE_BUFFERED) if path else sys.stderr  # noqa: SIM115
    except OSError as error:
        reason = f"log_file: {path!r} cannot be written: {error.strerror}"
        raise LogFileError(reason) from None
    destination = eliot.FileDestination(file=log)
    eliot.add_destinations(destination)
    try:
        yield
    finally:
        eliot.remove_destination(destination)
        if path:
            log.close()


async def _serve_until_stopped(settings: DaemonSettings, secrets: Secrets) -> None:
    loop = asyncio.get_running_loop()
    # The one look at calendar time; the clock of the loop carries it on.
    started_unix_s = time.time()
    daemon = Daemon(settings, secrets, started_unix_s)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await daemon.start()
    await daemon.run_until(stop)


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(app(result_action="return_value"))
