"""Export of older audit records to a JSON Lines file before the state drops them."""

import asyncio

import msgspec

from almondfield_control.consensus import Replica
from almondfield_control.state import MAX_AUDIT_RECORDS, audit_records_of
from almondfield_control.storage import Disk
from almondfield_core.messages import AuditRecord

__all__ = ["AUDIT_FILE", "AuditExport"]

AUDIT_FILE = "audit.jsonl"
CHECK_INTERVAL_S = 1.0
KEPT_RECORDS = MAX_AUDIT_RECORDS // 2
MAX_RECORDS_PER_WRITE = 200


class AuditExport:
    """Appends each audit record older than the newest ``KEPT_RECORDS``, exactly once.

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
            await asyncio.sleep(CHECK_INTERVAL_S)
            while await self._export():
                pass

    async def _export(self) -> bool:
        """Return whether records were written, so that more may be left to export."""
        state = self._replica.state
        oldest_kept = state.tables.revision - KEPT_RECORDS
        changes = state.history(self._exported, MAX_RECORDS_PER_WRITE, oldest_kept)
        if not changes:
            return False
        records = await audit_records_of(changes)
        lines = b"".join(msgspec.json.encode(record) + b"\n" for record in records)
        try:
            await self._disk.append(AUDIT_FILE, lines)
        except OSError:
            # A partial write may remain; its last complete line counts as exported.
            self._exported = await self._last_revision()
            return False
        self._exported = records[-1].revision
        return True

    async def _last_revision(self) -> int:
        """Return the revision of the last complete line; truncate an incomplete one."""
        if AUDIT_FILE not in await self._disk.names():
            return 0
        data = await self._disk.read(AUDIT_FILE)
        complete = data[: data.rfind(b"\n") + 1]
        if len(complete) < len(data):
            await self._disk.truncate(AUDIT_FILE, len(complete))
        lines = complete.splitlines()
        if not lines:
            return 0
        return msgspec.json.decode(lines[-1], type=AuditRecord).revision
