"""Settings of one daemon as typed items, each with a description and a unit."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

__all__ = [
    "AnswerSettings",
    "DaemonSettings",
    "HostSettings",
    "LimitSettings",
    "OrderSettings",
    "SecuritySettings",
    "SharingPolicy",
    "TimingSettings",
    "item",
]


def item(description: str, unit: str = "", **kwargs: Any) -> Any:
    """Return a data class field with a description and a unit as metadata.

    :param description: one sentence for the settings reference.
    :param unit: unit of the value; empty for values without one.
    :param kwargs: passed on to :func:`dataclasses.field`.
    """
    return field(metadata={"description": description, "unit": unit}, **kwargs)


@dataclass(frozen=True)
class HostSettings:
    """One host of the deployment."""

    name: str = item("Name of the host, unique in the deployment.")
    data_centre: str = item("Data centre of the host.")
    address: str = item("IP address that the host listens on.")
    region: str = item("Region of the data centre.", default="local")
    caller_port: int = item("Port for callers.", default=8080)
    operator_port: int = item("Port for operators and metrics.", default=8081)
    peer_port: int = item("Port for the other hosts.", default=8082)
    voter: bool = item("Whether the host votes in the control group.", default=False)


@dataclass(frozen=True)
class SecuritySettings:
    """Files that hold the secrets."""

    operator_token_file: str = item("File with the operators' token.")
    backend_token_file: str = item("File with the backend servers' token.")
    fleet_secret_file: str = item("File with the secret that all hosts share.")


@dataclass(frozen=True)
class TimingSettings:
    """Intervals of the protocols between hosts."""

    heartbeat_s: float = item("Time between two heartbeats.", "s", default=0.3)
    silence_s: float = item(
        "Time without messages after which a peer is unresponsive.", "s", default=1.0
    )
    election_s: float = item("Shortest election timeout.", "s", default=0.6)
    freshness_lease_s: float = item("Lifetime of a freshness lease.", "s", default=3.0)
    pool_lease_s: float = item("Lifetime of a pool lease.", "s", default=1.0)
    drift_margin: float = item(
        "Largest relative drift between two hosts' clocks.", default=0.01
    )
    grant_lifetime_s: float = item("Lifetime of a slot grant.", "s", default=1.0)
    server_silence_s: float = item(
        "Time without announcements after which a server gets no new requests.",
        "s",
        default=3.0,
    )
    address_lifetime_s: float = item(
        "Time that callers may cache an answer to GET /addresses.", "s", default=5.0
    )


@dataclass(frozen=True)
class LimitSettings:
    """Limits on sizes, queues and retries."""

    max_body_bytes: int = item(
        "Largest body of a request.", "bytes", default=8 * 1024 * 1024
    )
    max_header_bytes: int = item(
        "Largest header section of a request.", "bytes", default=32 * 1024
    )
    max_announcement_bytes: int = item(
        "Largest announcement of a backend server.", "bytes", default=64 * 1024
    )
    max_tables_bytes: int = item(
        "Largest size of both tables together.", "bytes", default=16 * 1024 * 1024
    )
    max_queued_requests: int = item(
        "Most requests that may wait in one daemon.", default=20_000
    )
    max_queued_bytes: int = item(
        "Largest total size of the bodies that wait in one daemon.",
        "bytes",
        default=64 * 1024 * 1024,
    )
    retry_budget_share: float = item(
        "Retry budget: most retries per request sent, over time.", default=0.1
    )


@dataclass(frozen=True)
class AnswerSettings:
    """Limits on the answers of backend servers; a longer answer counts as lost.

    None limits a body as a whole.
    """

    max_head_bytes: int = item(
        "Largest head of an answer, with the interim responses before it.",
        "bytes",
        default=32 * 1024,
    )
    max_framing_bytes: int = item(
        "Longest chunk-size line or trailer section that is always accepted; up to"
        " twice the length may be.",
        "bytes",
        default=16 * 1024,
    )
    max_event_bytes: int = item(
        "Largest event of an event stream, with the lines of comments before it.",
        "bytes",
        default=256 * 1024,
    )
    max_eventless_bytes: int = item(
        "Most bytes of an event stream between two events with data, such as comments"
        " and blank lines.",
        "bytes",
        default=64 * 1024,
    )
    event_bytes: int = item(
        "Bytes that each event, comment or run of blank lines of a stream counts for"
        " beside its size.",
        "bytes",
        default=4 * 1024,
    )
    stream_burst_bytes: int = item(
        "What a stream may send at once; it is slowed beyond it.",
        "bytes",
        default=1024 * 1024,
    )
    slowed_stream_bytes_per_s: int = item(
        "Rate of a stream beyond its burst, and rate at which the burst comes back.",
        "bytes/s",
        default=4 * 1024 * 1024,
    )
    slowed_streams_bytes_per_s: int = item(
        "Rate of all streams of a router together that are beyond their bursts.",
        "bytes/s",
        default=4 * 1024 * 1024,
    )
    max_discarded_bytes: int = item(
        "Most bytes of a refusal that are received to use its connection again.",
        "bytes",
        default=64 * 1024,
    )
    max_header_lines: int = item(
        "Most header lines of an answer, with the interim responses before it.",
        default=512,
    )


@dataclass(frozen=True)
class OrderSettings:
    """Orders to backend servers to load models or to change roles."""

    load_interval_s: float = item(
        "Shortest time between the starts of two model loads from the weight store.",
        "s",
        default=10.0,
    )
    backlog_s: float = item(
        "Time that a pool is backlogged before it gets a spare server.",
        "s",
        default=30.0,
    )
    stay_s: float = item(
        "Shortest time that a moved server stays in its new pool.", "s", default=300.0
    )
    idle_s: float = item(
        "Longest wait for a server's requests to end before an order.",
        "s",
        default=120.0,
    )
    done_s: float = item(
        "Longest wait for a server to report that an order is done.",
        "s",
        default=900.0,
    )


class SharingPolicy(StrEnum):
    """Policy for sharing slots; all but the first are baselines for measurements."""

    FAIR_SHARE = "fair-share"
    FIRST_COME = "first-come"
    PER_ROUTER = "per-router"


@dataclass(frozen=True)
class DaemonSettings:
    """All settings of one daemon."""

    host: str = item("Name of this host, as in ``hosts``.")
    hosts: tuple[HostSettings, ...] = item("Hosts of the deployment.")
    security: SecuritySettings = item("Files that hold the secrets.")
    data_folder: str = item(
        "Folder for durable state; required on voters, otherwise empty.", default=""
    )
    timing: TimingSettings = item(
        "Intervals of the protocols.", default=TimingSettings()
    )
    limits: LimitSettings = item(
        "Limits on sizes, queues and retries.", default=LimitSettings()
    )
    answers: AnswerSettings = item(
        "Limits on the answers of backend servers.", default=AnswerSettings()
    )
    orders: OrderSettings = item("Orders to backend servers.", default=OrderSettings())
    sharing_policy: SharingPolicy = item(
        "How slots are shared between teams.", default=SharingPolicy.FAIR_SHARE
    )
    log_file: str = item("File for the log; empty for standard error.", default="")
