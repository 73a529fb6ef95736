"""Evacuations of data centres in the replicated state."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from almondfield_control.commands import ChangeEvacuation

__all__ = ["EvacuationRecord", "EvacuationTable"]

MAX_RECORDS = 1_000  # far above the number of data centres of a deployment


@dataclass(frozen=True)
class EvacuationRecord:
    """The last change of the evacuation of a data centre.

    :ivar data_centre: the data centre.
    :ivar in_force: whether it is evacuated.
    :ivar changed_index: entry that last began or ended the evacuation.
    :ivar changed_unix_s: time of that entry, in seconds since 1970.
    :ivar requested_by: address of the operator who asked for that.
    :ivar called_index: last entry about the data centre, even if it changed nothing.
    """

    data_centre: str
    in_force: bool
    changed_index: int
    changed_unix_s: float
    requested_by: str
    called_index: int


class EvacuationTable:
    """The evacuations of all data centres that have been evacuated.

    A record is kept after the end of an evacuation: it gives the time of the end and
    shows which commands came late.

    :param records: one record for each data centre.

    :ivar index: entry that last began or ended an evacuation; 0 for none.
    :ivar in_force: the evacuated data centres.
    """

    def __init__(self, records: Iterable[EvacuationRecord] = ()) -> None:
        self._record_by_data_centre = {item.data_centre: item for item in records}
        self.index = 0
        self.in_force: frozenset[str] = frozenset()
        self._summarize()

    @property
    def records(self) -> tuple[EvacuationRecord, ...]:
        """Return the record of each data centre that was evacuated once."""
        return tuple(self._record_by_data_centre.values())

    def change(
        self, command: ChangeEvacuation, index: int, unix_s: float
    ) -> EvacuationRecord | None:
        """Return the record after a command; None if it came after a later call.

        A repeated call changes neither the time nor the operator.

        :param command: the command.
        :param index: its log entry.
        :param unix_s: time of that entry, in seconds since 1970.
        """
        record = self._record_by_data_centre.get(command.data_centre)
        has_changed = record is None or record.in_force != command.in_force
        if record is not None and record.called_index > command.known_index:
            return None if has_changed else record
        if has_changed:
            is_new_end = record is None and not command.in_force
            record = EvacuationRecord(
                command.data_centre,
                command.in_force,
                # Nothing ends where there was no evacuation.
                0 if is_new_end else index,
                0.0 if is_new_end else unix_s,
                "" if is_new_end else command.requested_by,
                index,
            )
        else:
            record = replace(record, called_index=index)
        self._record_by_data_centre[command.data_centre] = record
        self._drop_oldest()
        self._summarize()
        return record

    def _summarize(self) -> None:
        records = self._record_by_data_centre.values()
        self.index = max([self.index, *(item.changed_index for item in records)])
        self.in_force = frozenset(item.data_centre for item in records if item.in_force)

    def _drop_oldest(self) -> None:
        if len(self._record_by_data_centre) <= MAX_RECORDS:
            return
        ended = [r for r in self._record_by_data_centre.values() if not r.in_force]
        if ended:
            oldest = min(ended, key=lambda record: record.called_index)
            del self._record_by_data_centre[oldest.data_centre]
