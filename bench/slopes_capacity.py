"""Computes the tables of docs/CAPACITY.md from measured slopes and design sizes.

``python bench/slopes_capacity.py`` rewrites the tables between the page's markers.
"""

import json
import re
from dataclasses import dataclass
from pathlib import Path

__all__ = ["main"]

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES = ROOT / "docs" / "capacity" / "slopes.json"
TABLE_BLOCK = re.compile(r"(<!-- table: (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)

DAEMONS, REGIONS, DATA_CENTRES, RUNNERS = 370, 5, 11, 3600
TEAMS, BACKLOGGED, POOLS = 10_000, 1_000, 13
REQUESTS_PER_S, TOKENS_PER_S, CHANGES_PER_DAY = 21_000, 4_800_000, 20_000
DAY_S, PEAK_FACTOR, CONTROL_HOSTS = 86_400, 10, 17
REGION_DAEMONS = DAEMONS // REGIONS
RUNNERS_PER_PART = RUNNERS / POOLS / REGIONS
TEAMS_PER_PART = TEAMS / POOLS / REGIONS
BACKLOGGED_PER_PART = BACKLOGGED / POOLS / REGIONS
PARTS_PER_HOST = POOLS * REGIONS / CONTROL_HOSTS
REGION_ROWS = TEAMS / REGIONS
RESTARTS_PER_DAY = 300
NEIGHBOURS = 4
TODAY_DAEMONS = 9
REPORTS_PER_S = 10 / 3
RENEWALS_PER_S = 2

Cell = tuple[str, float]


@dataclass(frozen=True)
class Row:
    """One kind of work of a role.

    :ivar work: description of the work.
    :ivar messages: messages per second, sent and received.
    :ivar sent: bytes sent per second, as (formula, value).
    :ivar processor: processor microseconds per second, as (formula, value).
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
        """Return the only slope that matches a name, a varied count and a unit."""
        found = [
            slope
            for slope in self._all
            if slope["name"] == name
            and varied in slope["varied"]
            and unit in slope["unit"]
        ]
        assert len(found) == 1, (name, varied, unit, len(found))
        return found[0]

    def estimate(self, count: float, *key: str) -> Cell:
        """Return the value of the fitted line at a count, with its formula."""
        slope = self.find(*key)
        value = slope["fixed"] + slope["slope"] * count
        if not count:
            return f"{slope['fixed']:,.0f}", value
        formula = f"{slope['fixed']:,.0f} + {slope['slope']:.3g} × {count:,.4g}"
        return formula, value

    def scale(self, count: float, *key: str) -> Cell:
        """Return slope times count, with its formula."""
        slope = self.find(*key)["slope"]
        return f"{slope:,.4g} × {count:,.4g}", slope * count


def add(*cells: Cell) -> Cell:
    """Return the sum of cells, with its formula."""
    return " + ".join(formula for formula, _ in cells), sum(v for _, v in cells)


def multiply(number: float, cell: Cell) -> Cell:
    """Return a multiple of a cell, with its formula."""
    return f"{number:.4g} × ({cell[0]})", number * cell[1]


ZERO: Cell = ("0", 0.0)
PROCESSOR_UNIT = "us of processor time"


def one_end_cost(slopes: Slopes, frames: float) -> Cell:
    """Return the cost of frames at one end, half of the cost at both ends."""
    fixed = slopes.find("frame sent and received", "bytes")["fixed"]
    return f"{fixed:,.0f} / 2 × {frames:,.4g}", fixed / 2 * frames


def one_pool(slopes: Slopes, servers: float, teams: float) -> tuple[Cell, Cell]:
    """Return bytes and microseconds per second of one pool's reports and grants.

    :param servers: servers of the pool.
    :param teams: teams of the pool at the router.
    """
    sent = add(
        slopes.estimate(0, "sharing, router", "servers", "bytes a second sent"),
        slopes.scale(teams, "sharing, router", "teams with", "bytes a second sent"),
    )
    processor = add(
        slopes.estimate(servers, "sharing, router", "servers", PROCESSOR_UNIT),
        slopes.scale(teams, "sharing, router", "teams with", PROCESSOR_UNIT),
    )
    return sent, processor


def reports_row(slopes: Slopes, pools: int, servers: float, teams: float) -> Row:
    """Return the work of reports and grants of several pools."""
    sent, processor = one_pool(slopes, servers, teams)
    rounds = 2 * REPORTS_PER_S * pools
    return Row(
        f"demand reports and grants, {pools} pools",
        rounds,
        multiply(pools, sent),
        add(multiply(pools, processor), one_end_cost(slopes, rounds)),
    )


def announcements_row(slopes: Slopes, servers: float) -> Row:
    """Return the work of servers that each send one announcement per second."""
    return Row(
        f"announcements of {servers:.1f} servers",
        servers,
        slopes.scale(servers, "announcements, traffic"),
        slopes.scale(servers, "router, announcements"),
    )


def router_rows(slopes: Slopes, pools: int) -> list[Row]:
    """Return the control work of a daemon that is not a control host."""
    servers = RUNNERS / DAEMONS
    teams = 3 * TEAMS_PER_PART * 3 / REGION_DAEMONS
    claims = REQUESTS_PER_S / 10 / DAEMONS
    restarts = RESTARTS_PER_DAY / DAY_S * 10
    return [
        Row(
            f"heartbeats with {NEIGHBOURS} neighbours",
            2 * NEIGHBOURS / 0.3,
            slopes.scale(NEIGHBOURS, "idle link, traffic"),
            multiply(0.5, slopes.scale(NEIGHBOURS, "idle link, processor")),
        ),
        Row(
            "news of hosts, 300 restarts a day",
            0.0,
            multiply(0.1, slopes.scale(restarts, "restarts, traffic")),
            slopes.estimate(DAEMONS, "membership, processor"),
        ),
        Row(
            "renewal of leases",
            2 * RENEWALS_PER_S,
            slopes.estimate(0, "control, plain host", "hosts", "bytes a second sent"),
            add(
                slopes.estimate(0, "control, plain host", "hosts", PROCESSOR_UNIT),
                one_end_cost(slopes, 2 * RENEWALS_PER_S),
            ),
        ),
        reports_row(slopes, pools, RUNNERS_PER_PART, teams),
        announcements_row(slopes, servers),
        Row(
            f"{claims:.1f} claims with settlement a second",
            4 * claims,
            slopes.scale(
                claims, "control, plain host", "claims", "bytes a second sent"
            ),
            add(
                slopes.scale(claims, "control, plain host", "claims", PROCESSOR_UNIT),
                one_end_cost(slopes, 4 * claims),
            ),
        ),
        Row(
            "changes, whole tables of the region, average day",
            5 * CHANGES_PER_DAY / REGIONS / DAY_S,
            ZERO,
            multiply(
                CHANGES_PER_DAY / REGIONS / DAY_S,
                slopes.scale(
                    REGION_ROWS, "control, plain host", "rows", PROCESSOR_UNIT
                ),
            ),
        ),
    ]


def today_rows(slopes: Slopes) -> list[Row]:
    """Return the control work of a daemon of the larger current deployment."""
    pools, servers, teams = 2, 10, 16
    heartbeats, _, renewals = router_rows(slopes, pools)[:3]
    return [
        heartbeats,
        renewals,
        reports_row(slopes, pools, servers, teams),
        announcements_row(slopes, servers / TODAY_DAEMONS),
    ]


def planned_rows(slopes: Slopes) -> list[Row]:
    """Return the router's control work with the mechanisms that the page proposes."""
    teams = 3 * TEAMS_PER_PART * 3 / REGION_DAEMONS
    sent, report = one_pool(slopes, RUNNERS_PER_PART, teams)
    report_ratio = 1.0 / REPORTS_PER_S
    claims = REQUESTS_PER_S / 10 / DAEMONS
    control_hosts = 3
    claim_frames = 2 * 5.0
    return [
        Row(
            "heartbeats with 4 neighbours every 0.5 s",
            2 * NEIGHBOURS / 0.5,
            multiply(0.6, slopes.scale(NEIGHBOURS, "idle link, traffic")),
            multiply(0.3, slopes.scale(NEIGHBOURS, "idle link, processor")),
        ),
        Row(
            "renewal of leases, once a second",
            2,
            multiply(
                0.5,
                slopes.estimate(0, "control, plain host", "hosts", "bytes a second s"),
            ),
            add(
                multiply(
                    0.5,
                    slopes.estimate(0, "control, plain host", "hosts", PROCESSOR_UNIT),
                ),
                one_end_cost(slopes, 2),
            ),
        ),
        Row(
            "reports of 13 pools once a second, one frame per control host",
            2 * control_hosts,
            multiply(report_ratio * POOLS, sent),
            add(
                multiply(report_ratio * POOLS, report),
                one_end_cost(slopes, 2 * control_hosts),
            ),
        ),
        Row(
            f"{claims:.1f} claims a second, a frame each 0.2 s",
            claim_frames,
            slopes.scale(
                claims, "control, plain host", "claims", "bytes a second sent"
            ),
            add(
                slopes.scale(claims, "control, plain host", "claims", PROCESSOR_UNIT),
                one_end_cost(slopes, claim_frames),
            ),
        ),
    ]


def scheduler_rows(slopes: Slopes, parts: float) -> list[Row]:
    """Return the work of a control host that schedules parts of pools."""

    def per_part(unit: str) -> Cell:
        return add(
            slopes.estimate(REGION_DAEMONS, "sharing, scheduler", "routers", unit),
            slopes.scale(RUNNERS_PER_PART, "sharing, scheduler", "servers", unit),
            slopes.scale(TEAMS_PER_PART, "sharing, scheduler", "teams with", unit),
            slopes.scale(
                BACKLOGGED_PER_PART, "sharing, scheduler", "backlogged teams", unit
            ),
        )

    frames = 2 * REPORTS_PER_S * REGION_DAEMONS * parts
    relays = REGION_DAEMONS * 4.0
    return [
        Row(
            f"{parts:.1f} pool parts",
            frames,
            multiply(parts, per_part("bytes a second sent")),
            add(
                multiply(parts, per_part(PROCESSOR_UNIT)), one_end_cost(slopes, frames)
            ),
        ),
        Row(
            "relays of announcements",
            relays,
            ZERO,
            add(
                multiply(
                    parts,
                    slopes.scale(RUNNERS_PER_PART, "sharing, relays at the scheduler"),
                ),
                one_end_cost(slopes, relays),
            ),
        ),
    ]


def voter_rows(slopes: Slopes) -> list[Row]:
    """Return the work of the leading voter of a region."""
    claims = REQUESTS_PER_S / 10 / REGIONS
    changes = CHANGES_PER_DAY / REGIONS / DAY_S
    renewals = 2 * RENEWALS_PER_S * REGION_DAEMONS
    rows_sent = slopes.find("control, leader", "rows", "bytes a second sent")["slope"]
    sent = rows_sent / 6 * REGION_DAEMONS * REGION_ROWS * changes
    formula = (
        f"{rows_sent:,.0f} / 6 hosts × {REGION_DAEMONS} × {REGION_ROWS:,.0f} rows"
        f" × {changes:.3g}"
    )
    return [
        Row(
            f"leases of {REGION_DAEMONS} hosts",
            renewals,
            slopes.estimate(
                REGION_DAEMONS, "control, leader", "hosts", "bytes a second sent"
            ),
            add(
                slopes.estimate(
                    REGION_DAEMONS, "control, leader", "hosts", PROCESSOR_UNIT
                ),
                one_end_cost(slopes, renewals),
            ),
        ),
        Row(
            f"{claims:.0f} claims with settlement a second",
            10 * claims,
            slopes.scale(claims, "control, leader", "claims", "bytes a second sent"),
            slopes.scale(claims, "control, leader", "claims", PROCESSOR_UNIT),
        ),
        Row(
            "changes, whole tables, average day",
            2 * REGION_DAEMONS * changes,
            (formula, sent),
            multiply(
                changes,
                slopes.scale(REGION_ROWS, "control, leader", "rows", PROCESSOR_UNIT),
            ),
        ),
    ]


def relay_rows(slopes: Slopes) -> list[Row]:
    """Return the work of a daemon that receives every announcement of a data centre."""
    servers = RUNNERS / DATA_CENTRES
    return [
        Row(
            f"all {servers:.0f} servers of a data centre at one host",
            servers,
            slopes.scale(servers, "announcements, traffic"),
            slopes.scale(servers, "router, announcements"),
        )
    ]


def data_rows(slopes: Slopes) -> list[Row]:
    """Return the data-path work of one daemon at the peak."""
    chunks, requests = TOKENS_PER_S / DAEMONS, REQUESTS_PER_S / DAEMONS
    return [
        Row(
            f"{chunks:,.0f} chunks a second",
            chunks,
            ZERO,
            slopes.scale(chunks, "router, chunks"),
        ),
        Row(
            f"{requests:.0f} requests a second",
            requests,
            ZERO,
            slopes.scale(requests, "router, requests"),
        ),
    ]


def render(rows: list[Row]) -> str:
    """Return a Markdown table with a row of totals."""
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
    page = TABLE_BLOCK.sub(lambda m: m[1] + table_by_name[m[2]] + m[3], page)
    PAGE.write_text(page)


if __name__ == "__main__":
    main()
