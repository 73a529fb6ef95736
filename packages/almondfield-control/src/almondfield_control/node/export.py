"""Writes older audit records to a file of JSON lines before the state drops them."""

import asyncio

import msgspec

from almondfield_control.consensus import Replica
from almondfield_control.state import MAX_AUDIT_RECORDS, records_of
from almondfield_control.storage import Disk
from almondfield_core.messages import AuditRecord

__all__ = ["AUDIT_FILE", "AuditExport"]

AUDIT_FILE = "audit.jsonl"
CHECK_S = 1.0
KEPT_RECORDS = MAX_AUDIT_RECORDS // 2
MAX_RECORDS_PER_WRITE = 200


class AuditExport:
    """Appends records that are older than the newest few hundred, each once.

    :param replica: the member of the control group on this host.
    :param disk: files of the data folder.
    """

    def __init__(self, replica: Replica, disk: Disk) -> None:
        self._replica = replica
        self._disk = disk
        self._exported = 0

    async def run(self) -> None:
        """Export until cancelled."""
        self._exported = await self._last_revision()
        while True:
            await asyncio.sleep(CHECK_S)
            while await self._export():
                pass

    async def _export(self) -> bool:
        """Return whether records were written, so that more may be due."""
        state = self._replica.state
        oldest_kept = state.tables.revision - KEPT_RECORDS
        changes = state.history(self._exported, MAX_RECORDS_PER_WRITE, oldest_kept)
        if not changes:
            return False
        due = await records_of(changes)
        lines = b"".join(msgspec.json.encode(record) + b"\n" for record in due)
        try:
            await self._disk.append(AUDIT_FILE, lines)
        except OSError:
            # A part may be there; whole lines of it are recognised by revision.
            self._exported = await self._last_revision()
            return False
        self._exported = due[-1].revision
        return True

    async def _last_revision(self) -> int:
        """Return the revision of the last whole line; a torn line is cut."""
        if AUDIT_FILE not in await self._disk.names():
            return 0
        data = await self._disk.read(AUDIT_FILE)
        whole = data[: data.rfind(b"\n") + 1]
        if len(whole) < len(data):
            await self._disk.truncate(AUDIT_FILE, len(whole))
        lines = whole.splitlines()
        if not lines:
            return 0
        return msgspec.json.decode(lines[-1], type=AuditRecord).revision
