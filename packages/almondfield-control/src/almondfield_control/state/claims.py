"""Claims on idempotency keys."""

from dataclasses import dataclass, replace

from almondfield_control.commands import ClaimKey, MarkClaimsLost, SettleClaim
from almondfield_core.messages import (
    ClaimAnswered,
    ClaimGranted,
    ClaimLost,
    ClaimMismatch,
    ClaimOutcome,
    ClaimRunning,
    StoredAnswer,
)

__all__ = ["ClaimRecord", "ClaimTable"]

CLAIM_LIFETIME_S = 24 * 3600.0
MAX_CLAIMS = 200_000
MAX_ANSWER_BYTES = 16 * 1024
MAX_STORED_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True)
class ClaimRecord:
    """State of the claim on one idempotency key.

    :ivar team: team that owns the key.
    :ivar key: the idempotency key.
    :ivar fingerprint: hash of the request.
    :ivar claimant: attempt that holds the key.
    :ivar host: router of that attempt.
    :ivar incarnation: incarnation of that router.
    :ivar claimed_unix_s: when the key was claimed, in seconds since 1970.
    :ivar settled: whether the request has ended, or its router was lost.
    :ivar answer: the stored answer, if any.
    """

    team: str
    key: str
    fingerprint: str
    claimant: str
    host: str
    incarnation: int
    claimed_unix_s: float
    settled: bool = False
    answer: StoredAnswer | None = None


class ClaimTable:
    """Claims by (team, key), oldest first."""

    def __init__(self, records: tuple[ClaimRecord, ...] = ()) -> None:
        self._record_by_key = {(item.team, item.key): item for item in records}
        self._running_keys = {
            key for key, item in self._record_by_key.items() if not item.settled
        }
        self._stored_bytes = sum(_body_bytes(item) for item in records)

    @property
    def records(self) -> tuple[ClaimRecord, ...]:
        """Return all claims, oldest first."""
        return tuple(self._record_by_key.values())

    def claim(self, command: ClaimKey, unix_s: float) -> ClaimOutcome | None:
        """Return the outcome of a claim; None if the table is full.

        :param command: the claim.
        :param unix_s: time of the entry, in seconds since 1970.
        """
        self._expire(unix_s)
        request = command.request
        key = (request.team, request.key)
        record = self._record_by_key.get(key)
        if record is not None:
            return _outcome_of(record, command)
        if len(self._record_by_key) >= MAX_CLAIMS:
            return None
        self._record_by_key[key] = ClaimRecord(
            team=request.team,
            key=request.key,
            fingerprint=request.fingerprint,
            claimant=request.claimant,
            host=command.host,
            incarnation=command.incarnation,
            claimed_unix_s=unix_s,
        )
        self._running_keys.add(key)
        return ClaimGranted()

    def settle(self, command: SettleClaim) -> bool:
        """Store the result of a request; return whether the claimant held the key.

        :param command: the result.
        """
        key = (command.request.team, command.request.key)
        record = self._record_by_key.get(key)
        if record is None or record.claimant != command.request.claimant:
            return False
        if record.answer is not None:
            return True
        self._running_keys.discard(key)
        if not command.ran:
            del self._record_by_key[key]
            return True
        answer = self._limit_body(command.answer)
        self._stored_bytes += len(answer.body) if answer else 0
        self._record_by_key[key] = replace(record, settled=True, answer=answer)
        return True

    def mark_lost(self, command: MarkClaimsLost) -> int:
        """Mark a router's running claims as lost and return their number.

        :param command: the router, and the incarnation from which on claims are kept.
        """
        lost = self._running_of(command.host, command.before_incarnation)
        for key in lost:
            record = self._record_by_key[key]
            self._record_by_key[key] = replace(record, settled=True)
            self._running_keys.discard(key)
        return len(lost)

    def has_running(self, host: str, before_incarnation: int) -> bool:
        """Return whether earlier incarnations of a router hold unsettled claims.

        :param host: name of the router's host.
        :param before_incarnation: only smaller incarnations are considered.
        """
        return bool(self._running_of(host, before_incarnation))

    def _running_of(self, host: str, before_incarnation: int) -> list[tuple[str, str]]:
        return [
            key
            for key in self._running_keys
            if self._record_by_key[key].host == host
            and self._record_by_key[key].incarnation < before_incarnation
        ]

    def _expire(self, unix_s: float) -> None:
        while self._record_by_key:
            key, record = next(iter(self._record_by_key.items()))
            if record.claimed_unix_s + CLAIM_LIFETIME_S > unix_s:
                return
            del self._record_by_key[key]
            self._running_keys.discard(key)
            self._stored_bytes -= _body_bytes(record)

    def _limit_body(self, answer: StoredAnswer | None) -> StoredAnswer | None:
        if answer is None:
            return None
        size = len(answer.body)
        total = self._stored_bytes + size
        if size <= MAX_ANSWER_BYTES and total <= MAX_STORED_BYTES:
            return answer
        return replace(answer, body=b"", complete=False)


def _outcome_of(record: ClaimRecord, command: ClaimKey) -> ClaimOutcome:
    if record.fingerprint != command.request.fingerprint:
        return ClaimMismatch()
    if record.answer is not None:
        return ClaimAnswered(record.answer)
    if record.settled:
        return ClaimLost()
    if record.claimant == command.request.claimant:
        return ClaimGranted()
    return ClaimRunning()


def _body_bytes(record: ClaimRecord) -> int:
    return len(record.answer.body) if record.answer else 0
