"""Stand-in engines with sequential prefill and a prefix cache, and a workload."""

import asyncio
import random
from collections import OrderedDict

from almondfield_core.clock import now
from almondfield_core.routing import Prompt, PromptPart
from almondfield_fairshare.engines import (
    Admitted,
    AttemptId,
    EngineScheduler,
    EngineServer,
    PromptRequest,
)

OUTPUT_TOKEN_S = 0.01
SLOW_STEP_S = 0.02  # in which prefill goes on at one speed
SLOW_SHARE = 0.15
SLOWDOWN = 2.5
REDRAW_S = 0.6


class StandInEngine:
    """Prefills prompts in order of arrival, with least-recently-used caching.

    A prompt takes one of its slots from its prefill to the end of its answer. The next
    prompts are prefilled while its first event is on the way. While it is slowed down,
    its prefill takes a multiple of the usual time.
    """

    def __init__(self, rate, capacity_tokens, slots=64):
        self.first_event_delay_s = 0.0
        self.slots = asyncio.Semaphore(slots)
        self.rate = rate
        self.slowdown = None
        self.capacity_tokens = capacity_tokens
        self.cache = OrderedDict()
        self.lock = asyncio.Lock()
        self.repeated_tokens = 0
        self.prefilled_tokens = 0
        self.prefilled_part_ids = set()

    async def prefill(self, prompt):
        """Return once the prompt is prefilled."""
        async with self.lock:
            uncached = 0
            for part in prompt.parts:
                if part.part_id in self.cache:
                    self.cache.move_to_end(part.part_id)
                    continue
                uncached += part.tokens
                if part.part_id in self.prefilled_part_ids:
                    self.repeated_tokens += part.tokens
                self.cache[part.part_id] = part.tokens
            self.prefilled_part_ids |= {part.part_id for part in prompt.parts}
            while sum(self.cache.values()) > self.capacity_tokens:
                self.cache.popitem(last=False)
            self.prefilled_tokens += uncached
            await self._work(uncached / self.rate)

    async def _work(self, seconds):
        """Return once work that usually takes some seconds is done."""
        if self.slowdown is None:
            await asyncio.sleep(seconds)
            return
        while seconds > 1e-9:
            step_s = min(SLOW_STEP_S, seconds * self.slowdown)
            await asyncio.sleep(step_s)
            seconds -= step_s / self.slowdown


class Workload:
    """Callers of several teams that request engines from a scheduler."""

    def __init__(self, engines, slots=64, rate=40_000.0, capacity=600_000, seed=1):
        self.rng = random.Random(seed)
        self.engine_by_name = {
            f"engine-{n}": StandInEngine(rate, capacity, slots) for n in range(engines)
        }
        self.scheduler = EngineScheduler(window_s=4.0)
        self.servers = [
            EngineServer(name, 1, slots, capacity) for name in self.engine_by_name
        ]
        self.scheduler.set_servers(self.servers)
        self.work_per_s = rate * engines
        self.first_s = []
        self.outcomes = []
        self.number = 0
        self.retries_once = False
        self.output_tokens = 100
        self.deadlines_differ = False
        self.target_s = 0.8
        self.caller_timeout_s = None
        self.callers_timed_out = 0
        self.began_s = now()
        self.admissions = []
        self.first_s_by_team = {}
        self.reports_slowdown = True

    def prompt(self, shared, unshared_tokens, shared_tokens, output_tokens=None):
        """Return a prompt with one shared part and one unique part."""
        self.number += 1
        output_tokens = output_tokens or self.output_tokens
        parts = (
            PromptPart(shared, shared_tokens),
            PromptPart(f"own-{self.number}", unshared_tokens),
        )
        total = unshared_tokens + shared_tokens
        return Prompt("m", total, output_tokens, parts)

    async def submit(self, team, prompt, first_try_s=None, is_repeat=False):
        """Request an engine, use it and record the outcome."""
        attempt = AttemptId("router", len(self.outcomes))
        requested_s = now()
        waited_s = 0.0 if first_try_s is None else requested_s - first_try_s
        request = PromptRequest(
            team,
            prompt,
            self.target_s,
            is_repeat=is_repeat,
            waited_s=0.0 if self.deadlines_differ else waited_s,
        )
        decision = self.scheduler.decide(attempt, request, self.work_per_s)
        self.outcomes.append((team, prompt, decision))
        if not is_repeat:
            is_admitted = isinstance(decision, Admitted)
            self.admissions.append((requested_s - self.began_s, is_admitted))
        if not isinstance(decision, Admitted):
            if self.retries_once and first_try_s is None:
                await asyncio.sleep(decision.retry_after_s)
                await self.submit(team, prompt, requested_s)
            return
        engine = self.engine_by_name[decision.server]
        async with engine.slots:
            await self._answer(engine, attempt, prompt, team, requested_s, waited_s)

    async def _answer(self, engine, attempt, prompt, team, requested_s, waited_s):
        """Prefill an admitted prompt and send its answer."""
        try:
            async with asyncio.timeout(self.caller_timeout_s):
                await engine.prefill(prompt)
                await asyncio.sleep(engine.first_event_delay_s)
        except TimeoutError:
            self.callers_timed_out += 1
            self.scheduler.end(attempt)
            return
        self.first_s.append(now() - requested_s)
        since_first_try_s = now() - requested_s + waited_s
        self.first_s_by_team.setdefault(team, []).append(since_first_try_s)
        name = self._name(engine)
        if engine.slowdown is not None and self.reports_slowdown:
            self.scheduler.pool.record_slowdown(name, 1, engine.slowdown, now())
        self.scheduler.begin_answer(attempt, name)
        await asyncio.sleep(prompt.max_output_tokens * OUTPUT_TOKEN_S)
        self.scheduler.end(attempt)

    def _name(self, engine):
        return next(n for n, item in self.engine_by_name.items() if item is engine)

    async def redraw_slow_engines(self):
        """Slow some engines down, others each time, until cancelled."""
        rng = random.Random(2)
        while True:
            for engine in self.engine_by_name.values():
                engine.slowdown = SLOWDOWN if rng.random() < SLOW_SHARE else 1.0
            await asyncio.sleep(REDRAW_S)

    async def generate(self, seconds, streams):
        """Submit requests of each (team, rate, make_prompt) for some seconds."""
        tasks = []
        rates = list(streams)
        total = sum(rate for _, rate, _ in rates)
        until_s = now() + seconds
        while now() < until_s:
            await asyncio.sleep(self.rng.expovariate(total))
            team, _, make_prompt = self.rng.choices(
                rates, weights=[rate for _, rate, _ in rates]
            )[0]
            tasks.append(asyncio.ensure_future(self.submit(team, make_prompt())))
        await asyncio.gather(*tasks)

    def work(self, team):
        """Return the work of a team's admitted requests."""
        return sum(
            prompt.input_tokens + 2 * prompt.max_output_tokens
            for requester, prompt, decision in self.outcomes
            if requester == team and isinstance(decision, Admitted)
        )

    def admitted_share(self, team):
        """Return the admitted fraction of a team's requests."""
        decisions = [d for requester, _, d in self.outcomes if requester == team]
        return sum(isinstance(d, Admitted) for d in decisions) / len(decisions)

    def repeated_share(self):
        """Return the repeated fraction of all prefilled tokens."""
        engines = self.engine_by_name.values()
        seen = set()
        repeated = sum(engine.repeated_tokens for engine in engines)
        for engine in engines:
            repeated += sum(1 for part in engine.prefilled_part_ids if part in seen)
            seen |= engine.prefilled_part_ids
        return repeated / max(1, sum(engine.prefilled_tokens for engine in engines))
