"""Evacuations of data centres as one host without a replica knows them."""

from collections.abc import Callable, Iterable, Mapping

import eliot

from almondfield_control.state import EvacuationRecord
from almondfield_core.clock import now
from almondfield_core.containment import contain_errors

__all__ = ["EvacuationView", "log_evacuations"]


class EvacuationView:
    """The evacuated data centres as of the newest change that this host heard of.

    :ivar index: log entry of that change; 0 before the first one.
    :ivar in_force: the evacuated data centres.
    :ivar ended_s_by_data_centre: when this host heard that evacuations ended, in
        seconds of the loop's clock.
    :ivar end_callbacks: called with the data centres whose evacuation has ended.
    """

    def __init__(self) -> None:
        self.index = 0
        self.in_force: frozenset[str] = frozenset()
        self.ended_s_by_data_centre: dict[str, float] = {}
        self.end_callbacks: list[Callable[[frozenset[str]], None]] = []

    def install(self, index: int, data_centres: Iterable[str]) -> None:
        """Replace the evacuated data centres unless this host knows a newer change.

        A former leader may reply late.

        :param index: log entry of the last change.
        :param data_centres: the evacuated data centres after it.
        """
        if index <= self.index:
            return
        before, self.in_force = self.in_force, frozenset(data_centres)
        self.index = index
        for data_centre in before - self.in_force:
            self.ended_s_by_data_centre[data_centre] = now()
        for data_centre in self.in_force:
            self.ended_s_by_data_centre.pop(data_centre, None)
        log_evacuations(before, self.in_force, index)
        if ended := before - self.in_force:
            for callback in self.end_callbacks:
                with contain_errors("end of evacuations"):
                    callback(ended)


def log_evacuations(
    before: frozenset[str],
    after: frozenset[str],
    index: int,
    record_by_data_centre: Mapping[str, EvacuationRecord] | None = None,
) -> None:
    """Log each evacuation that began or ended.

    :param before: the evacuated data centres before a change.
    :param after: the evacuated data centres after it.
    :param index: log entry of the last change.
    :param record_by_data_centre: who asked for each change, where that is known.
    """
    for data_centre in sorted(before ^ after):
        record = (record_by_data_centre or {}).get(data_centre)
        eliot.log_message(
            "evacuation:begun" if data_centre in after else "evacuation:ended",
            data_centre=data_centre,
            entry=index,
            requested_by=record.requested_by if record else "",
            evacuated=len(after),
        )
