"""Validates announcements of backend servers."""

from almondfield_core.findings import Finding, check_address, check_number
from almondfield_core.messages import ServerAnnouncement

__all__ = ["check_announcement"]

MAX_NAME_CHARACTERS = 255
MAX_SLOTS = 100_000


def check_announcement(announcement: ServerAnnouncement) -> tuple[Finding, ...]:
    """Return a finding for each invalid value of an announcement.

    :param announcement: the decoded announcement.
    """
    return (
        *_check_name("name", announcement.name),
        *_check_name("data_centre", announcement.data_centre),
        *check_address("address", announcement.address),
        *check_number("slots", announcement.slots, 1, MAX_SLOTS),
        *check_number("busy", announcement.busy, 0, MAX_SLOTS),
        *check_number("incarnation", announcement.incarnation, 0),
    )


def _check_name(field: str, name: str) -> list[Finding]:
    if 0 < len(name) <= MAX_NAME_CHARACTERS and name.isprintable():
        return []
    allowed = f"1 to {MAX_NAME_CHARACTERS} printable characters"
    return [Finding(field, f"{name[:MAX_NAME_CHARACTERS]!r}", allowed)]
