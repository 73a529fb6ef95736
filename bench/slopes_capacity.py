"""Works out docs/CAPACITY.md's tables: measured slope times count of the letter.

``python bench/slopes_capacity.py`` rewrites the tables between the marks of the page.
"""

import json
import re
from dataclasses import dataclass
from pathlib import Path

__all__ = ["main"]

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES = ROOT / "docs" / "capacity" / "slopes.json"
MARK = re.compile(r"(<!-- table: (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)

DAEMONS, REGIONS, DATA_CENTRES, RUNNERS = 370, 5, 11, 3600
TEAMS, BACKLOGGED, POOLS = 10_000, 1_000, 13
REQUESTS, TOKENS, CHANGES = 21_000, 4_800_000, 20_000
DAY_S, PEAK_FACTOR, CONTROL_HOSTS = 86_400, 10, 17
REGION_DAEMONS = DAEMONS // REGIONS
PART_RUNNERS = RUNNERS / POOLS / REGIONS
PART_TEAMS = TEAMS / POOLS / REGIONS
PART_BACKLOGGED = BACKLOGGED / POOLS / REGIONS
PARTS_PER_HOST = POOLS * REGIONS / CONTROL_HOSTS
REGION_ROWS = TEAMS / REGIONS
RESTARTS_A_DAY = 300
NEIGHBOURS = 4
TODAY_DAEMONS = 9
REPORTS_A_SECOND = 10 / 3
RENEWALS_A_SECOND = 2

Cell = tuple[str, float]


@dataclass(frozen=True)
class Row:
    """One kind of work of a role.

    :ivar messages: messages a second, sent and received.
    :ivar sent: bytes a second sent, as (working, value).
    :ivar processor: microseconds a second, as (working, value).
    """

    work: str
    messages: float
    sent: Cell
    processor: Cell


class Slopes:
    """The measured slopes by name."""

    def __init__(self) -> None:
        figures = json.loads(SLOPES.read_text())
        self._all = [slope for part in figures.values() for slope in part]

    def find(self, name: str, varied: str = "", unit: str = "") -> dict:
        """Return the one slope with such a name, count and unit."""
        found = [
            slope
            for slope in self._all
            if slope["name"] == name
            and varied in slope["varied"]
            and unit in slope["unit"]
        ]
        assert len(found) == 1, (name, varied, unit, len(found))
        return found[0]

    def line(self, count: float, *key: str) -> Cell:
        """Return the line's figure at a count, with its working."""
        slope = self.find(*key)
        value = slope["fixed"] + slope["slope"] * count
        if not count:
            return f"{slope['fixed']:,.0f}", value
        working = f"{slope['fixed']:,.0f} + {slope['slope']:.3g} × {count:,.4g}"
        return working, value

    def times(self, count: float, *key: str) -> Cell:
        """Return slope times count, with its working."""
        slope = self.find(*key)["slope"]
        return f"{slope:,.4g} × {count:,.4g}", slope * count


def add(*cells: Cell) -> Cell:
    """Return the sum of cells, with their workings."""
    return " + ".join(working for working, _ in cells), sum(v for _, v in cells)


def factor(number: float, cell: Cell) -> Cell:
    """Return a multiple of a cell, with its working."""
    return f"{number:.4g} × ({cell[0]})", number * cell[1]


NOTHING: Cell = ("0", 0.0)
PROCESSOR = "us of processor time"


def frame_half(slopes: Slopes, frames: float) -> Cell:
    """Return one end's cost of frames: half of what both ends pay."""
    fixed = slopes.find("frame sent and received", "bytes")["fixed"]
    return f"{fixed:,.0f} / 2 × {frames:,.4g}", fixed / 2 * frames


def one_pool(s: Slopes, servers: float, teams: float) -> tuple[Cell, Cell]:
    """Return bytes and microseconds a second of one pool's reports and grants.

    :param servers: servers of the pool.
    :param teams: teams of the pool at the router.
    """
    sent = add(
        s.line(0, "sharing, router", "servers", "bytes a second sent"),
        s.times(teams, "sharing, router", "teams with", "bytes a second sent"),
    )
    processor = add(
        s.line(servers, "sharing, router", "servers", PROCESSOR),
        s.times(teams, "sharing, router", "teams with", PROCESSOR),
    )
    return sent, processor


def reports_row(s: Slopes, pools: int, servers: float, teams: float) -> Row:
    """Return the work of reports and grants of several pools."""
    sent, processor = one_pool(s, servers, teams)
    rounds = 2 * REPORTS_A_SECOND * pools
    return Row(
        f"demand reports and grants, {pools} pools",
        rounds,
        factor(pools, sent),
        add(factor(pools, processor), frame_half(s, rounds)),
    )


def announcements_row(s: Slopes, servers: float) -> Row:
    """Return the work of the announcements of some servers, one a second each."""
    return Row(
        f"announcements of {servers:.1f} servers",
        servers,
        s.times(servers, "announcements, traffic"),
        s.times(servers, "router, announcements"),
    )


def router_rows(s: Slopes, pools: int) -> list[Row]:
    """Return the control work of a daemon that is no control host."""
    announced = RUNNERS / DAEMONS
    teams = 3 * PART_TEAMS * 3 / REGION_DAEMONS
    claims = REQUESTS / 10 / DAEMONS
    restarts = RESTARTS_A_DAY / DAY_S * 10
    return [
        Row(
            f"heartbeats with {NEIGHBOURS} neighbours",
            2 * NEIGHBOURS / 0.3,
            s.times(NEIGHBOURS, "idle link, traffic"),
            factor(0.5, s.times(NEIGHBOURS, "idle link, processor")),
        ),
        Row(
            "news of hosts, 300 restarts a day",
            0.0,
            factor(0.1, s.times(restarts, "restarts, traffic")),
            s.line(DAEMONS, "membership, processor"),
        ),
        Row(
            "renewal of leases",
            2 * RENEWALS_A_SECOND,
            s.line(0, "control, plain host", "hosts", "bytes a second sent"),
            add(
                s.line(0, "control, plain host", "hosts", PROCESSOR),
                frame_half(s, 2 * RENEWALS_A_SECOND),
            ),
        ),
        reports_row(s, pools, PART_RUNNERS, teams),
        announcements_row(s, announced),
        Row(
            f"{claims:.1f} claims with settlement a second",
            4 * claims,
            s.times(claims, "control, plain host", "claims", "bytes a second sent"),
            add(
                s.times(claims, "control, plain host", "claims", PROCESSOR),
                frame_half(s, 4 * claims),
            ),
        ),
        Row(
            "changes, whole tables of the region, average day",
            5 * CHANGES / REGIONS / DAY_S,
            NOTHING,
            factor(
                CHANGES / REGIONS / DAY_S,
                s.times(REGION_ROWS, "control, plain host", "rows", PROCESSOR),
            ),
        ),
    ]


def today_rows(s: Slopes) -> list[Row]:
    """Return the control work of a daemon of today's larger deployment."""
    pools, servers, teams = 2, 10, 16
    heartbeats, _, renewals = router_rows(s, pools)[:3]
    return [
        heartbeats,
        renewals,
        reports_row(s, pools, servers, teams),
        announcements_row(s, servers / TODAY_DAEMONS),
    ]


def planned_rows(s: Slopes) -> list[Row]:
    """Return the same daemon's work with the mechanisms that the page proposes."""
    teams = 3 * PART_TEAMS * 3 / REGION_DAEMONS
    sent, report = one_pool(s, PART_RUNNERS, teams)
    calmer = 1.0 / REPORTS_A_SECOND
    claims = REQUESTS / 10 / DAEMONS
    control_hosts = 3
    claim_frames = 2 * 5.0
    return [
        Row(
            "heartbeats with 4 neighbours every 0.5 s",
            2 * NEIGHBOURS / 0.5,
            factor(0.6, s.times(NEIGHBOURS, "idle link, traffic")),
            factor(0.3, s.times(NEIGHBOURS, "idle link, processor")),
        ),
        Row(
            "renewal of leases, once a second",
            2,
            factor(0.5, s.line(0, "control, plain host", "hosts", "bytes a second s")),
            add(
                factor(0.5, s.line(0, "control, plain host", "hosts", PROCESSOR)),
                frame_half(s, 2),
            ),
        ),
        Row(
            "reports of 13 pools once a second, one frame per control host",
            2 * control_hosts,
            factor(calmer * POOLS, sent),
            add(factor(calmer * POOLS, report), frame_half(s, 2 * control_hosts)),
        ),
        Row(
            f"{claims:.1f} claims a second, a frame each 0.2 s",
            claim_frames,
            s.times(claims, "control, plain host", "claims", "bytes a second sent"),
            add(
                s.times(claims, "control, plain host", "claims", PROCESSOR),
                frame_half(s, claim_frames),
            ),
        ),
    ]


def scheduler_rows(s: Slopes, parts: float) -> list[Row]:
    """Return the work of a control host that schedules parts of pools."""

    def all_of(unit: str) -> Cell:
        return add(
            s.line(REGION_DAEMONS, "sharing, scheduler", "routers", unit),
            s.times(PART_RUNNERS, "sharing, scheduler", "servers", unit),
            s.times(PART_TEAMS, "sharing, scheduler", "teams with", unit),
            s.times(PART_BACKLOGGED, "sharing, scheduler", "backlogged teams", unit),
        )

    frames = 2 * REPORTS_A_SECOND * REGION_DAEMONS * parts
    relays = REGION_DAEMONS * 4.0
    return [
        Row(
            f"{parts:.1f} pool parts",
            frames,
            factor(parts, all_of("bytes a second sent")),
            add(factor(parts, all_of(PROCESSOR)), frame_half(s, frames)),
        ),
        Row(
            "relays of announcements",
            relays,
            NOTHING,
            add(
                factor(
                    parts, s.times(PART_RUNNERS, "sharing, relays at the scheduler")
                ),
                frame_half(s, relays),
            ),
        ),
    ]


def voter_rows(s: Slopes) -> list[Row]:
    """Return the work of the leading voter of a region."""
    claims = REQUESTS / 10 / REGIONS
    changes = CHANGES / REGIONS / DAY_S
    renewals = 2 * RENEWALS_A_SECOND * REGION_DAEMONS
    rows_sent = s.find("control, leader", "rows", "bytes a second sent")["slope"]
    sent = rows_sent / 6 * REGION_DAEMONS * REGION_ROWS * changes
    working = (
        f"{rows_sent:,.0f} / 6 hosts × {REGION_DAEMONS} × {REGION_ROWS:,.0f} rows"
        f" × {changes:.3g}"
    )
    return [
        Row(
            f"leases of {REGION_DAEMONS} hosts",
            renewals,
            s.line(REGION_DAEMONS, "control, leader", "hosts", "bytes a second sent"),
            add(
                s.line(REGION_DAEMONS, "control, leader", "hosts", PROCESSOR),
                frame_half(s, renewals),
            ),
        ),
        Row(
            f"{claims:.0f} claims with settlement a second",
            10 * claims,
            s.times(claims, "control, leader", "claims", "bytes a second sent"),
            s.times(claims, "control, leader", "claims", PROCESSOR),
        ),
        Row(
            "changes, whole tables, average day",
            2 * REGION_DAEMONS * changes,
            (working, sent),
            factor(
                changes,
                s.times(REGION_ROWS, "control, leader", "rows", PROCESSOR),
            ),
        ),
    ]


def relay_rows(s: Slopes) -> list[Row]:
    """Return the work of a daemon that takes every runner of a data centre."""
    announced = RUNNERS / DATA_CENTRES
    return [
        Row(
            f"all {announced:.0f} servers of a data centre at one host",
            announced,
            s.times(announced, "announcements, traffic"),
            s.times(announced, "router, announcements"),
        )
    ]


def data_rows(s: Slopes) -> list[Row]:
    """Return the data path of one daemon at the peak."""
    chunks, requests = TOKENS / DAEMONS, REQUESTS / DAEMONS
    return [
        Row(
            f"{chunks:,.0f} chunks a second",
            chunks,
            NOTHING,
            s.times(chunks, "router, chunks"),
        ),
        Row(
            f"{requests:.0f} requests a second",
            requests,
            NOTHING,
            s.times(requests, "router, requests"),
        ),
    ]


def render(rows: list[Row]) -> str:
    """Return a table with a total."""
    lines = [
        "| Work | Messages /s | Bytes sent /s | Processor, us /s | Of a core |",
        "| --- | ---: | --- | --- | ---: |",
    ]
    for row in rows:
        share = row.processor[1] / 1e4
        lines.append(
            f"| {row.work} | {row.messages:,.3g} | {row.sent[0]} = "
            f"**{row.sent[1]:,.0f}** | {row.processor[0]} = "
            f"**{row.processor[1]:,.0f}** | {share:.2f} % |"
        )
    sent = sum(row.sent[1] for row in rows)
    spent = sum(row.processor[1] for row in rows)
    messages = sum(row.messages for row in rows)
    lines.append(
        f"| **Together** | **{messages:,.3g}** | **{sent:,.0f}** | **{spent:,.0f}** | "
        f"**{spent / 1e4:.2f} %** |"
    )
    return "\n".join(lines) + "\n"


def main() -> None:
    """Rewrite the tables of the page."""
    slopes = Slopes()
    table_by_name = {
        "router": render(router_rows(slopes, POOLS)),
        "today": render(today_rows(slopes)),
        "planned": render(planned_rows(slopes)),
        "scheduler": render(scheduler_rows(slopes, PARTS_PER_HOST)),
        "voter": render(voter_rows(slopes)),
        "relay": render(relay_rows(slopes)),
        "data": render(data_rows(slopes)),
    }
    page = PAGE.read_text()
    page = MARK.sub(lambda m: m[1] + table_by_name[m[2]] + m[3], page)
    PAGE.write_text(page)


if __name__ == "__main__":
    main()
