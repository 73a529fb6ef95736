"""Client of one host for evacuations."""

from result import Err, Ok, Result

from almondfield_control.evacuations.messages import (
    EvacuationChangeReply,
    EvacuationChangeRequest,
    EvacuationsReply,
    EvacuationsRequest,
)
from almondfield_control.node.leader_client import LeaderClient
from almondfield_control.state import EvacuationRecord
from almondfield_core.clock import now
from almondfield_core.messages import ControlUnavailable, Evacuation, EvacuationChanged

__all__ = ["EvacuationClient"]

_NO_TIME_LEFT = ControlUnavailable(
    "other calls about the data centre came first", certainly_not_done=True
)


class EvacuationClient:
    """Begins, ends and lists evacuations through the leader.

    :param leader: client of the leader.
    """

    def __init__(self, leader: LeaderClient) -> None:
        self._leader = leader

    async def change(
        self, data_centre: str, in_force: bool, requested_by: str, timeout_s: float
    ) -> Result[EvacuationChanged, ControlUnavailable]:
        """Return the evacuation once a quorum holds the change.

        :param data_centre: the data centre.
        :param in_force: whether it is to be evacuated.
        :param requested_by: address of the operator.
        :param timeout_s: seconds after which no further attempt is made.
        """
        deadline_s = now() + timeout_s
        while (left_s := deadline_s - now()) > 0:
            match await self._leader.request(EvacuationsRequest(), left_s):
                case Ok(EvacuationsReply(index)):
                    pass
                case Err(unavailable):
                    return Err(
                        ControlUnavailable(unavailable.reason, certainly_not_done=True)
                    )
            request = EvacuationChangeRequest(
                data_centre, in_force, requested_by, known_index=index
            )
            left_s = deadline_s - now()
            match await self._leader.request(request, left_s):
                case Ok(EvacuationChangeReply(EvacuationRecord() as record)):
                    return Ok(
                        EvacuationChanged(
                            record.data_centre,
                            record.in_force,
                            record.changed_unix_s,
                            record.requested_by,
                        )
                    )
                case Ok(_):
                    # Another call came in between, so this one goes behind it.
                    continue
                case Err(unavailable):
                    return Err(unavailable)
        return Err(_NO_TIME_LEFT)

    async def evacuations(
        self, timeout_s: float
    ) -> Result[tuple[Evacuation, ...], ControlUnavailable]:
        """Return the evacuations in force, confirmed by a quorum after this call.

        :param timeout_s: seconds after which no further attempt is made.
        """
        request = EvacuationsRequest(is_confirmed=True)
        reply = await self._leader.request(request, timeout_s)
        return reply.map(
            lambda item: tuple(
                Evacuation(
                    record.data_centre, record.changed_unix_s, record.requested_by
                )
                for record in sorted(item.records, key=lambda r: r.data_centre)
                if record.in_force
            )
        )
