"""What a member knows of silent voters from the messages of earlier leaders."""

from dataclasses import dataclass, field

__all__ = ["SilenceReport"]


@dataclass(frozen=True)
class SilenceReport:
    """Silent voters as a leader told them last.

    A member that becomes the leader itself counts their silence on, so that a change of
    leader doesn't put off their replacement.

    :ivar leader: identity of that leader; empty if none was heard.
    :ivar received_at: when its last message arrived, on the loop's clock.
    :ivar silent_s_by_voter: how long voters had been silent, by identity, in seconds.
    """

    leader: str = ""
    received_at: float = 0.0
    silent_s_by_voter: dict[str, float] = field(default_factory=dict)

    def seen_at(self, voter_id: str, default: float) -> float:
        """Return when a voter was last known to run, on the loop's clock.

        :param voter_id: identity of the voter.
        :param default: what is returned if the report doesn't tell.
        """
        if voter_id == self.leader:
            return self.received_at
        silent_s = self.silent_s_by_voter.get(voter_id)
        return default if silent_s is None else self.received_at - silent_s
