"""The routers that said hello to a control host, and the addresses for callers."""

import random
from dataclasses import dataclass

import eliot

from almondfield_core.clock import now
from almondfield_daemon.fleet.messages import RouterHello, RouterState

__all__ = ["RouterDirectory"]

SILENCE_S = 2.5  # two hellos and a late one
FORGET_S = 20.0  # longer than callers keep an address
MAX_ADDRESSES = 64  # callers take no more
LEAST_IN_DATA_CENTRE = 2  # with fewer, one that fails leaves its callers none


@dataclass(frozen=True)
class _HeardRouter:
    """A router as it said hello.

    :ivar hello: what it said.
    :ivar heard_s: when, in seconds of the loop's clock.
    """

    hello: RouterHello
    heard_s: float


class RouterDirectory:
    """Routers by host, as they said hello.

    :param chance: source of the order of addresses.
    """

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._heard_by_host: dict[str, _HeardRouter] = {}

    def note(self, host: str, hello: RouterHello) -> None:
        """Take note of a router.

        :param host: name of its host.
        :param hello: what it said.
        """
        known = self._heard_by_host.get(host)
        if known is None or known.hello.state != hello.state:
            eliot.log_message("router:heard", router=host, state=hello.state.value)
        self._heard_by_host[host] = _HeardRouter(hello, now())

    def hosts(self) -> tuple[str, ...]:
        """Return the hosts whose routers were heard lately."""
        self._forget()
        return tuple(self._heard_by_host)

    def addresses(self, region: str, data_centre: str) -> tuple[str, ...]:
        """Return addresses for callers, those of their own data centre if it has some.

        :param region: region of the caller.
        :param data_centre: data centre of the caller.
        """
        self._forget()
        heard = [
            item
            for item in self._heard_by_host.values()
            if item.hello.state is RouterState.READY
        ]
        lately = [item for item in heard if now() - item.heard_s < SILENCE_S]
        # A control host that hears no router at all is itself cut off.
        usable = [item.hello for item in lately or heard]
        near = [hello for hello in usable if hello.data_centre == data_centre]
        if len(near) < LEAST_IN_DATA_CENTRE:
            in_region = [hello for hello in usable if hello.region == region]
            near = in_region or usable
        self._chance.shuffle(near)
        return tuple(hello.caller_address for hello in near[:MAX_ADDRESSES])

    def _forget(self) -> None:
        before_s = now() - FORGET_S
        for host, item in list(self._heard_by_host.items()):
            if item.heard_s < before_s:
                del self._heard_by_host[host]
                eliot.log_message("router:lost", router=host)
