"""The command ``almondfieldd``: runs one daemon from one settings file."""

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
    """Run the daemon until SIGTERM, SIGINT or an operator's drain stops it.

    :param settings: settings file in TOML.
    :param check: report findings in the settings without running the daemon.
    :returns: exit code; 2 if the daemon cannot start.
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
        for error in _flatten(group):
            print(f"almondfieldd: {error}", file=sys.stderr)
        code = EXIT_BAD_INPUT
    return code


def _flatten(group: BaseExceptionGroup) -> Iterator[BaseException]:
    """Return the errors of an exception group, including nested groups."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _flatten(error)
        else:
            yield error


class LogFileError(AlmondfieldError):
    """Raised if the log file cannot be written."""


@contextlib.contextmanager
def _logging_to(path: str) -> Iterator[None]:
    """Write the log to a file, or to standard error if the path is empty."""
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
    # Calendar time is read only here; the clock of the loop advances it from then on.
    started_unix_s = time.time()
    daemon = Daemon(settings, secrets, started_unix_s)
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await daemon.start()
    await daemon.run_until(stop)


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(app(result_action="return_value"))
