"""Shared parts of prompts that a router sent to engines."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import TypeVar

from almondfield_core.clock import now
from almondfield_core.routing import Prompt
from almondfield_daemon.scheduling.messages import EnginePrefix
from almondfield_fairshare.engines import SentPrefix

__all__ = ["SentPrefixes"]

ItemT = TypeVar("ItemT")

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
        self._server_by_part: OrderedDict[str, str] = OrderedDict()
        self._recent_by_part: OrderedDict[str, _Sent] = OrderedDict()

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
        _put_last(self._server_by_part, part, server, MAX_KNOWN_PARTS)
        recent = _Sent(EnginePrefix(pool, sent), now())
        _put_last(self._recent_by_part, part, recent, MAX_REPORTED)

    def last_server(self, prompt: Prompt) -> str:
        """Return the server that last got a prompt's shared parts; empty for none.

        :param prompt: the prompt.
        """
        return self._server_by_part.get(prompt.shared_part, "")

    def recent(self) -> tuple[EnginePrefix, ...]:
        """Return the prefixes for a new scheduler, the most recent one first."""
        since_s = now() - MAX_REPORTED_AGE_S
        recent = reversed(self._recent_by_part.values())
        return tuple(sent.item for sent in recent if sent.sent_s >= since_s)


def _put_last(items: OrderedDict[str, ItemT], key: str, item: ItemT, most: int) -> None:
    """Put an item at the end, and drop the first one if there are too many."""
    items[key] = item
    items.move_to_end(key)
    if len(items) > most:
        items.popitem(last=False)
