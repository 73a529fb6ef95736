"""Limits of the measuring processes themselves."""

import resource

__all__ = ["raise_open_files"]

OPEN_FILES = 16384


def raise_open_files() -> None:
    """Let this process and its children hold enough connections."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = OPEN_FILES if hard == resource.RLIM_INFINITY else min(hard, OPEN_FILES)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
