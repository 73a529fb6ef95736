"""Command line for operators of an almondfield fleet."""

from almondfield_cli.exit_codes import ExitCode
from almondfield_cli.main import main, run_command

__all__ = ["ExitCode", "main", "run_command"]
