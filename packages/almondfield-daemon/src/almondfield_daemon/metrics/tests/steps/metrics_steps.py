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
class EveryTypeStats:
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
class OmittedStats:
    delay_s: float
    leader: str


@dataclass(frozen=True)
class LinkStats:
    links: int


def add_stats(context, part, stats):
    context.stats = getattr(context, "stats", {}) | {part: stats}


@given('a part "{part}" with statistics of every type')
def step_impl(context, part):
    stats = EveryTypeStats(
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
    add_stats(context, part, stats)


@given('a part "{part}" with an infinite number and a text')
def step_impl(context, part):
    add_stats(context, part, OmittedStats(float("inf"), "north-1"))


@given('a part "{part}" with {count:d} links')
def step_impl(context, part, count):
    add_stats(context, part, LinkStats(count))


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
