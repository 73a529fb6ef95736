"""Messages between members of the control group."""

from dataclasses import dataclass, field

from almondfield_control.commands import LogEntry, Member
from almondfield_core.wire import wire_message

__all__ = [
    "AppendReply",
    "AppendRequest",
    "FormationOffer",
    "FormationQuery",
    "FormationState",
    "HandOver",
    "JoinRequest",
    "SnapshotChunk",
    "SnapshotReply",
    "VoteReply",
    "VoteRequest",
]


@wire_message("vote-request")
@dataclass(frozen=True)
class VoteRequest:
    """Requests a vote.

    :ivar cluster_id: group of the candidate.
    :ivar to_voter: identity of the recipient; any other must not reply.
    :ivar term: term of the election.
    :ivar candidate: identity of the candidate.
    :ivar last_index: last entry of its log.
    :ivar last_term: term of that entry.
    :ivar pre_vote: whether this is a pre-vote, which changes no state of the voter.
    :ivar hand_over: whether the leader gave up its lease for this candidate.
    """

    cluster_id: str
    to_voter: str
    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool = False
    hand_over: bool = False


@wire_message("vote-reply")
@dataclass(frozen=True)
class VoteReply:
    """Reply to a vote request.

    :ivar term: newest term that the voter has seen.
    :ivar granted: whether the voter grants its vote or pre-vote to the candidate.
    """

    term: int
    granted: bool


@wire_message("append-request")
@dataclass(frozen=True)
class AppendRequest:
    """Entries from the leader; without entries it is a heartbeat.

    :ivar cluster_id: group of the leader.
    :ivar to_voter: identity of the recipient.
    :ivar term: term of the leader.
    :ivar previous_index: entry before the first entry of the request.
    :ivar previous_term: term of that entry.
    :ivar commit_index: last entry that is committed.
    :ivar entries: the entries.
    :ivar silent_s_by_voter: how long voters have been silent, by identity, in seconds;
        voters that answered within an election timeout are left out.
    """

    cluster_id: str
    to_voter: str
    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[LogEntry, ...] = ()
    silent_s_by_voter: dict[str, float] = field(default_factory=dict)


@wire_message("append-reply")
@dataclass(frozen=True)
class AppendReply:
    """Reply to an append request once its entries are durable.

    :ivar term: newest term that the member has seen.
    :ivar matched: whether its log contains the previous entry of the request.
    :ivar match_index: last entry known to match and to be durable; where not matched,
        the highest previous entry that the leader tries next.
    :ivar stalled: whether the member cannot write at present.
    :ivar disk_fails: whether its last write to the disk failed.
    """

    term: int
    matched: bool
    match_index: int
    stalled: bool = False
    disk_fails: bool = False


@wire_message("snapshot-chunk")
@dataclass(frozen=True)
class SnapshotChunk:
    """A chunk of the leader's snapshot.

    :ivar cluster_id: group of the leader.
    :ivar to_voter: identity of the recipient.
    :ivar term: term of the leader.
    :ivar last_index: last entry that the snapshot covers.
    :ivar last_term: term of that entry.
    :ivar total: size of the snapshot in bytes.
    :ivar checksum: xxHash of the whole snapshot.
    :ivar offset: offset of the chunk in the snapshot, in bytes.
    :ivar data: content of the chunk.
    """

    cluster_id: str
    to_voter: str
    term: int
    last_index: int
    last_term: int
    total: int
    checksum: int
    offset: int
    data: bytes


@wire_message("snapshot-reply")
@dataclass(frozen=True)
class SnapshotReply:
    """Reply to a snapshot chunk, with the offset of the next one.

    :ivar term: newest term that the member has seen.
    :ivar offset: bytes that the member has received, where the next chunk starts.
    :ivar installed: whether the member holds the whole snapshot durably.
    """

    term: int
    offset: int
    installed: bool = False


@wire_message("hand-over")
@dataclass(frozen=True)
class HandOver:
    """Requests an election at once; the leader has given up its lease.

    :ivar cluster_id: group of the former leader.
    :ivar to_voter: identity of the recipient.
    :ivar term: term of the former leader.
    """

    cluster_id: str
    to_voter: str
    term: int


@wire_message("formation-query")
@dataclass(frozen=True)
class FormationQuery:
    """Requests the formation state of a voter host.

    :ivar voter_id: identity of the sender.
    """

    voter_id: str


@wire_message("formation-offer")
@dataclass(frozen=True)
class FormationOffer:
    """Offers the first members of a new group, or confirms that all agreed.

    :ivar cluster_id: random identifier of the group.
    :ivar members: the first members.
    :ivar formed: whether every member agreed durably.
    """

    cluster_id: str
    members: tuple[Member, ...]
    formed: bool = False


@wire_message("formation-state")
@dataclass(frozen=True)
class FormationState:
    """Formation state of a voter; the reply to queries and offers.

    :ivar voter_id: identity stored in the data folder.
    :ivar cluster_id: group that the voter agreed to; empty for none.
    :ivar formed: whether the voter has confirmation that the group exists.
    :ivar may_form: whether the voter may propose a group.
    """

    voter_id: str
    cluster_id: str
    formed: bool
    may_form: bool = False


@wire_message("join-request")
@dataclass(frozen=True)
class JoinRequest:
    """Requests that the leader add a host with an empty data folder as a learner.

    :ivar voter_id: identity stored in the data folder.
    :ivar host: host of the folder if another host forwards the request; else empty.
    """

    voter_id: str
    host: str = ""
