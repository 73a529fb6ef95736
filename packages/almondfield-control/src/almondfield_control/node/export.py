"""Export of older audit records to a JSON Lines file before the state drops them."""

import asyncio

import eliot
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
        self._exported: int | None = None

    async def run(self) -> None:
        """Export until cancelled; a disk that is full or fails is tried again."""
        failure = ""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            try:
                while await self._export():
                    pass
            except OSError as error:
                # The file may end with a part of the records, or with unsynced ones.
                self._exported = None
                if str(error) != failure:
                    eliot.log_message("audit:export-failed", reason=str(error))
                failure = str(error)
            else:
                failure = ""

    async def _export(self) -> bool:
        """Return whether records were written, so that more may be left to export.

        :raises OSError: if the disk fails.
        """
        if self._exported is None:
            self._exported = await self._last_revision()
        state = self._replica.state
        oldest_kept = state.tables.revision - KEPT_RECORDS
        changes = state.history(self._exported, MAX_RECORDS_PER_WRITE, oldest_kept)
        if not changes:
            return False
        records = await audit_records_of(changes)
        lines = b"".join(msgspec.json.encode(record) + b"\n" for record in records)
        await self._disk.append(AUDIT_FILE, lines)
        self._exported = records[-1].revision
        return True

    async def _last_revision(self) -> int:
        """Return the revision of the last complete line, once that line is synced.

        The lines of one write may be unsynced, as in the journal; an incomplete one is
        dropped.

        :raises OSError: if the disk fails.
        """
        if AUDIT_FILE not in await self._disk.names():
            return 0
        data = await self._disk.read(AUDIT_FILE)
        lines = data[: data.rfind(b"\n") + 1].splitlines(keepends=True)
        end = b"".join(lines[-MAX_RECORDS_PER_WRITE:])
        offset = sum(map(len, lines[:-MAX_RECORDS_PER_WRITE]))
        await self._disk.rewrite_end(AUDIT_FILE, offset, end)
        if not lines:
            return 0
        return msgspec.json.decode(lines[-1], type=AuditRecord).revision
