"""Tells single callers from many callers that share an address."""

from collections import OrderedDict, deque

from almondfield_core.clock import now

__all__ = ["CallerRates"]

WINDOW_S = 6.0  # the longest time for which callers keep answers by themselves
MAX_ANSWERS = 6  # in the window; a single caller asks every 2 s
MAX_CALLERS = 4096  # about 1 MB


class CallerRates:
    """How often each caller asked lately, for a bounded number of callers."""

    def __init__(self) -> None:
        self._answered_s_by_caller: OrderedDict[int, deque[float]] = OrderedDict()

    def is_shared(self, caller: str) -> bool:
        """Count one answer; return whether several callers seem to have this name.

        A single caller asks once in the lifetime of an answer. Where one asks more
        than twice as often, there are several, such as behind a shared resolver.

        :param caller: name of the caller; empty if nothing is known about it.
        """
        if not caller:
            return True
        key = hash(caller)  # names come from callers and may be long
        times_s = self._answered_s_by_caller.pop(key, None)
        if times_s is None:
            times_s = deque(maxlen=MAX_ANSWERS + 1)
        self._answered_s_by_caller[key] = times_s
        if len(self._answered_s_by_caller) > MAX_CALLERS:
            self._answered_s_by_caller.popitem(last=False)
        times_s.append(now())
        return len(times_s) > MAX_ANSWERS and now() - times_s[0] < WINDOW_S
