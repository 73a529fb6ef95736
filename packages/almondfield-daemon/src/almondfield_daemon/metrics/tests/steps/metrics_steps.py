"""Steps of metrics.feature."""

from dataclasses import dataclass

from behave import given, then, when

from almondfield_daemon.metrics import render_metrics


@dataclass(frozen=True)
class QueueStats:
    waiting: int


@dataclass(frozen=True)
class KindStats:
    sent: int


@dataclass(frozen=True)
class EveryKind:
    links: int
    ready: bool
    retries_total: int
    pools: tuple[str, ...]
    queue: QueueStats
    bytes_sent_by_kind: dict[str, int]
    delay_s_by_host_and_kind: dict[tuple[str, str], float]
    served_by_team: dict[str, float]
    stats_by_kind: dict[str, KindStats]


@dataclass(frozen=True)
class NoNumbers:
    delay_s: float
    leader: str


@dataclass(frozen=True)
class Links:
    links: int


def add(context, part, stats):
    context.stats = getattr(context, "stats", {}) | {part: stats}


@given('a part "{part}" with every kind of count')
def step_impl(context, part):
    stats = EveryKind(
        links=3,
        ready=True,
        retries_total=5,
        pools=("writing", "sales"),
        queue=QueueStats(7),
        bytes_sent_by_kind={"slot-grant": 30, "demand-report": 12},
        delay_s_by_host_and_kind={("north-1", "slot-grant"): 0.25},
        served_by_team={'mares "2"': 1.5},
        stats_by_kind={"slot-grant": KindStats(9)},
    )
    add(context, part, stats)


@given('a part "{part}" with an infinite count and a text')
def step_impl(context, part):
    add(context, part, NoNumbers(float("inf"), "north-1"))


@given('a part "{part}" with {count:d} links')
def step_impl(context, part, count):
    add(context, part, Links(count))


@when("the metrics are rendered")
def step_impl(context):
    content, context.headers = render_metrics(context.stats)
    lines = content.decode().splitlines()
    context.types = [line for line in lines if line.startswith("# TYPE")]
    context.samples = sorted(line for line in lines if line and line[0] != "#")


@then("the samples are")
def step_impl(context):
    assert "\n".join(context.samples) == context.text, context.samples
    assert context.headers["Content-Type"].startswith("text/plain")


@then("there are no samples")
def step_impl(context):
    assert context.samples == []


@then('"{name}" is a {kind}')
def step_impl(context, name, kind):
    assert f"# TYPE {name} {kind}" in context.types, context.types
