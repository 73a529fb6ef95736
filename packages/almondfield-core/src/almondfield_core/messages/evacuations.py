"""Bodies of the operators' calls about evacuations of data centres."""

from dataclasses import dataclass

__all__ = ["Evacuation", "EvacuationChanged", "EvacuationList"]


@dataclass(frozen=True)
class Evacuation:
    """An evacuation that is in force.

    :ivar data_centre: the data centre.
    :ivar since_unix_s: when it came into force, in seconds since 1970.
    :ivar requested_by: address of the operator who asked for it.
    """

    data_centre: str
    since_unix_s: float
    requested_by: str


@dataclass(frozen=True)
class EvacuationList:
    """The evacuations in force.

    :ivar evacuations: the evacuations, by the names of their data centres.
    """

    evacuations: tuple[Evacuation, ...]


@dataclass(frozen=True)
class EvacuationChanged:
    """The evacuation of a data centre after a call that a quorum holds.

    :ivar data_centre: the data centre.
    :ivar in_force: whether it is evacuated.
    :ivar changed_unix_s: when that began or ended, in seconds since 1970; 0 for a data
        centre that was never evacuated.
    :ivar requested_by: address of the operator who asked for it first.
    """

    data_centre: str
    in_force: bool
    changed_unix_s: float
    requested_by: str
