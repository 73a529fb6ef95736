"""Exit codes of the command line."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """How a command ended.

    :cvar DONE: the command succeeded.
    :cvar FAILED: a change of voters was not confirmed, or a response was not decoded.
    :cvar USAGE: the command line is invalid; nothing was sent.
    :cvar CONFLICT: another change was accepted since the expected revision.
    :cvar FINDINGS: a file, an option or the tables are invalid.
    :cvar UNAVAILABLE: no host could answer; a change may have been accepted.
    :cvar NOT_IN_FORCE: the change is accepted but not yet in force everywhere.
    :cvar NOT_ALLOWED: the token is wrong or cannot be read.
    """

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    FINDINGS = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6
    NOT_ALLOWED = 7
