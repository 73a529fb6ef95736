"""A router that reads and passes on prompts one after the other."""

import asyncio
import random
from collections import Counter, deque

from almondfield_core.clock import now
from almondfield_daemon.forwarding import ServerSelector
from almondfield_daemon.forwarding.tests.fakes import FakeEngines, FakeLimits, FakeView
from almondfield_daemon.host_delay import HostDelay
from almondfield_daemon.server_notices import ServerNotices
from almondfield_fairshare.prefix_placement import Placement

__all__ = ["LateRouter"]

TARGET_S = 0.8
DECISION_S = 0.06


class LateRouter:
    """Decides on prompts in the order in which they came, as fast as it can.

    :param pass_s: processor time of a prompt that is passed on, in seconds.
    :param refuse_s: processor time of one that is refused, in seconds.

    :ivar read_by_team: prompts that were read, by team and whole second.
    :ivar passed_by_team: prompts that were passed on, in the same way.
    :ivar unread_s: how long each prompt wasn't read, in seconds.
    """

    def __init__(self, pass_s, refuse_s):
        self.read_by_team = {}
        self.passed_by_team = {}
        self.unread_s = []
        self._pass_s = pass_s
        self._refuse_s = refuse_s
        self._undecided = 0
        self._queue = deque()
        self._engines = FakeEngines()
        self._engines.has_undecided = False
        self._selector = ServerSelector(
            FakeView((), lambda: 1),
            Placement(random.Random(1)),
            "east",
            self._engines,
            HostDelay(),
            ServerNotices(),
            FakeLimits(),
        )

    async def serve(self, per_s_by_team, seconds):
        """Serve prompts that teams send at random times.

        :param per_s_by_team: prompts a second of each team.
        :param seconds: for how long they are sent.
        """
        self._started_s = now()
        for team in per_s_by_team:
            self.read_by_team[team] = Counter()
            self.passed_by_team[team] = Counter()
        sending = [
            asyncio.ensure_future(self._send(team, per_s, seconds))
            for team, per_s in per_s_by_team.items()
        ]
        while now() < self._started_s + seconds:
            if self._queue:
                await self._read(*self._queue.popleft())
            else:
                await asyncio.sleep(self._refuse_s)
        for task in sending:
            task.cancel()

    async def _send(self, team, per_s, seconds):
        rng = random.Random(team)
        while True:
            await asyncio.sleep(rng.expovariate(per_s))
            self._queue.append((team, now()))

    async def _read(self, team, sent_s):
        second = int(now() - self._started_s)
        self.read_by_team[team][second] += 1
        unread_s = now() - sent_s
        self.unread_s.append(unread_s)
        self._engines.has_undecided = self._undecided > 0
        if self._selector.late_refusal(team, TARGET_S, unread_s) is not None:
            await asyncio.sleep(self._refuse_s)
            return
        self.passed_by_team[team][second] += 1
        self._undecided += 1
        await asyncio.sleep(self._pass_s)
        asyncio.get_running_loop().call_later(DECISION_S, self._decide)

    def _decide(self):
        self._undecided -= 1
