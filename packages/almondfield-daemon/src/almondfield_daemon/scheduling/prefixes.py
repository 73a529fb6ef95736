"""Shared parts of prompts that a router sent to engines."""

from collections import OrderedDict
from dataclasses import dataclass

from almondfield_core.clock import now
from almondfield_core.routing import Prompt
from almondfield_daemon.scheduling.messages import EnginePrefix
from almondfield_fairshare.engines import SentPrefix

__all__ = ["SentPrefixes"]

MAX_KNOWN_PARTS = 20_000  # shared prompt parts whose last server is recorded
MAX_REPORTED = 128  # prefixes for a new scheduler; all routers report theirs at once
MAX_REPORTED_AGE_S = 30.0  # other prompts have likely displaced older ones


@dataclass(frozen=True)
class _Sent:
    """One record.

    :ivar item: the prefix, for a report.
    :ivar sent_s: when it was last sent, in seconds of the loop's clock.
    """

    item: EnginePrefix
    sent_s: float


class SentPrefixes:
    """The engine that last got each shared part from this router."""

    def __init__(self) -> None:
        self._sent_by_part: OrderedDict[str, _Sent] = OrderedDict()

    def record(self, pool: str, prompt: Prompt, server: str, started_ms: int) -> None:
        """Record the server that a prompt was sent to.

        :param pool: name of the pool.
        :param prompt: the prompt.
        :param server: name of the server.
        :param started_ms: when the server started, in milliseconds since 1970.
        """
        part = prompt.shared_part
        if not part:
            return
        shared = prompt.parts[:-1]
        prefix = Prompt(prompt.model, sum(item.tokens for item in shared), 0, shared)
        sent = SentPrefix(server, started_ms, prefix)
        self._sent_by_part[part] = _Sent(EnginePrefix(pool, sent), now())
        self._sent_by_part.move_to_end(part)
        if len(self._sent_by_part) > MAX_KNOWN_PARTS:
            self._sent_by_part.popitem(last=False)

    def last_server(self, prompt: Prompt) -> str:
        """Return the server that last got a prompt's shared parts; empty for none.

        :param prompt: the prompt.
        """
        sent = self._sent_by_part.get(prompt.shared_part)
        return sent.item.sent.server if sent is not None else ""

    def recent(self) -> tuple[EnginePrefix, ...]:
        """Return the prefixes for a new scheduler, the most recent one first."""
        since_s = now() - MAX_REPORTED_AGE_S
        recent = []
        for sent in reversed(self._sent_by_part.values()):
            if sent.sent_s < since_s or len(recent) >= MAX_REPORTED:
                break
            recent.append(sent.item)
        return tuple(recent)
