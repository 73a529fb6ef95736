"""Memory of refused prompts, by which the requests of returning callers are known."""

from collections import OrderedDict

from almondfield_core.clock import now

__all__ = ["RefusedPrompts"]

LIFETIME_S = 10.0  # callers return after at most a third of their deadline
MAX_PROMPTS = 20_000  # some seconds of refusals of a large fleet


class RefusedPrompts:
    """When prompts were first refused, oldest first.

    A caller that was refused returns with the same prompt, often at another router. Its
    deadline doesn't tell how long it has waited, as callers' deadlines differ.
    """

    def __init__(self) -> None:
        self._first_refused_s_by_id: OrderedDict[str, float] = OrderedDict()

    def record(self, prompt_id: str) -> None:
        """Record a refusal; only the first one of a prompt counts.

        :param prompt_id: identifier of the prompt; empty for none.
        """
        if not prompt_id or prompt_id in self._first_refused_s_by_id:
            return
        self._first_refused_s_by_id[prompt_id] = now()
        self._remove_old()

    def waited_s(self, prompt_id: str) -> float:
        """Return the time since a prompt was first refused, in seconds; 0 if it wasn't.

        :param prompt_id: identifier of the prompt.
        """
        refused_s = self._first_refused_s_by_id.get(prompt_id)
        return 0.0 if refused_s is None else now() - refused_s

    def remove(self, prompt_id: str) -> None:
        """Drop a prompt that was admitted.

        :param prompt_id: identifier of the prompt.
        """
        self._first_refused_s_by_id.pop(prompt_id, None)

    def _remove_old(self) -> None:
        before_s = now() - LIFETIME_S
        items = self._first_refused_s_by_id
        while items and (
            len(items) > MAX_PROMPTS or next(iter(items.values())) < before_s
        ):
            items.popitem(last=False)
