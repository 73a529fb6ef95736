"""Commands that the control group replicates."""

from almondfield_control.commands.core import (
    ChangeEvacuation,
    ClaimKey,
    Command,
    FencingIssued,
    LeasePool,
    LogEntry,
    MarkClaimsLost,
    Member,
    MembershipChange,
    NoOperation,
    PublishTable,
    SettleClaim,
    TableCommand,
    command_of,
    entry_of,
)

__all__ = [
    "ChangeEvacuation",
    "ClaimKey",
    "Command",
    "FencingIssued",
    "LeasePool",
    "LogEntry",
    "MarkClaimsLost",
    "Member",
    "MembershipChange",
    "NoOperation",
    "PublishTable",
    "SettleClaim",
    "TableCommand",
    "command_of",
    "entry_of",
]
