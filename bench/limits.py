"""Resource limits of the measuring processes."""

import resource

__all__ = ["raise_open_files"]

OPEN_FILES = 16384


def raise_open_files() -> None:
    """Raise the limit of open files for this process and its children."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = OPEN_FILES if hard == resource.RLIM_INFINITY else min(hard, OPEN_FILES)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
