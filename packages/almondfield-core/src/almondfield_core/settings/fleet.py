"""Settings of a daemon that discovers the other hosts from seed addresses."""

import ipaddress
import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from result import Result

from almondfield_core.findings import Finding, format_value
from almondfield_core.settings.checking import check_positive
from almondfield_core.settings.core import (
    AnswerSettings,
    DaemonSettings,
    HostSettings,
    SecuritySettings,
    TimingSettings,
    item,
)
from almondfield_core.settings.reading import read_settings

__all__ = ["FLEET_TIMING", "FleetRole", "FleetSettings", "load_fleet_settings"]

MAX_PORT = 65_535
MAX_CORES = 1024
BYTES_PER_MB = 1_000_000
# Short, as callers wait while there is no leader, but long enough for a heartbeat to
# arrive over links with a high delay.
ELECTION_S = 0.4

FLEET_TIMING = TimingSettings(election_s=ELECTION_S)


class FleetRole(StrEnum):
    """Role of a daemon in the fleet."""

    ROUTER = "router"
    CONTROL = "control"


@dataclass(frozen=True)
class FleetSettings:
    """All settings of one daemon that discovers its fleet from seed addresses.

    The name of a host is its IP address, and all hosts use one port for each other.
    Messages between hosts are authenticated with an empty secret, so the network
    between them must be private.
    """

    role: FleetRole = item("Role of the daemon.")
    address: str = item("IP address of this host; its name in the fleet.")
    data_centre: str = item("Data centre of the host.")
    region: str = item("Region of the data centre.")
    peer_port: int = item("Port for the other hosts.")
    seed_addresses: tuple[str, ...] = item(
        "``ip:port`` of some control hosts; only the IP address is used."
    )
    may_form: bool = item(
        "Whether a host with an empty data folder may help form a new control group.",
        default=False,
    )
    caller_address: str = item(
        "``ip:port`` for callers; required on routers, otherwise empty.", default=""
    )
    ready_address: str = item(
        "``ip:port`` of a router's readiness check; required on routers.", default=""
    )
    control_address: str = item(
        "``ip:port`` for operators and backend servers; required on control hosts.",
        default="",
    )
    directory_address: str = item(
        "``ip:port`` of the directory that lists routers for callers; may be empty.",
        default="",
    )
    metrics_port: int = item("Port of the metrics; 0 for none.", default=0)
    data_folder: str = item(
        "Folder for durable state; required on control hosts.", default=""
    )
    lost_disks: int = item(
        "Number of control hosts that may lose their disks at the same time.", default=1
    )
    memory_mb: int = item("Memory that the daemon may use.", "MB", default=256)
    max_descriptors: int = item(
        "Descriptors that the daemon may have open.", default=1024
    )
    cpu_share: float = item(
        "Share of each of its processor cores that the daemon may use; 0 if not told.",
        default=0.0,
    )
    cpu_cores: float = item(
        "Processor cores that the daemon may use; 0 if not told.", default=0.0
    )
    max_header_lines: int = item(
        "Most header lines of a request. A head of 16 KiB has 5,461 lines at most.",
        default=8192,
    )
    grace_s: float = item(
        "Time from the stop signal until the daemon is killed.", "s", default=8.0
    )
    revocation_s: float = item(
        "Time in which a revoked key stops working on every host.",
        "s",
        default=5.0,
    )
    address_lifetime_s: float = item(
        "Time that callers may cache the addresses of routers.", "s", default=2.0
    )
    retry_share: float = item(
        "Most retries to a pool in the retry window, per request.", default=0.2
    )
    retry_slack: float = item(
        "Further retries to a pool in the retry window, over the whole fleet.",
        default=50.0,
    )
    retry_window_s: float = item("Length of the retry window.", "s", default=10.0)
    hedge_share: float = item(
        "Most second copies of slow requests to a pool in the retry window, per "
        "request; 0 for none.",
        default=0.02,
    )
    share_window_s: float = item(
        "Length of the window in which teams' shares of the engines are measured.",
        "s",
        default=4.0,
    )
    region_by_data_centre: dict[str, str] = item(
        "Region of each data centre of the deployment, by its name; if empty, the data "
        "centres of known routers and backend servers are used. Routes and teams that "
        "are limited to regions need it.",
        default_factory=dict,
    )
    cold_overrun: float = item(
        "Most requests to a cold server in a second, per request that it tolerates.",
        default=1.5,
    )
    cold_slack: float = item(
        "Further requests to a cold server in a second.", default=5.0
    )
    answers: AnswerSettings = item(
        "Limits on the answers of backend servers.", default=AnswerSettings()
    )

    @property
    def memory_bytes(self) -> int:
        """Return the memory that the daemon may use, in bytes."""
        return self.memory_mb * BYTES_PER_MB

    @property
    def cores(self) -> float:
        """Return the processor cores' worth that the daemon may use; 0 if not told."""
        return self.cpu_share * self.cpu_cores

    @property
    def seeds(self) -> tuple[str, ...]:
        """Return the names of the control hosts in ``seed_addresses``."""
        return tuple(text.rpartition(":")[0] for text in self.seed_addresses)

    def host(self, address: str, is_control: bool = False) -> HostSettings:
        """Return the settings for reaching a host of this fleet.

        :param address: its IP address.
        :param is_control: whether it belongs to the control group.
        """
        return HostSettings(
            name=address,
            data_centre=self.data_centre,
            address=address,
            region=self.region,
            peer_port=self.peer_port,
            voter=is_control,
        )

    def daemon_settings(self) -> DaemonSettings:
        """Return the settings for code shared with deployments of listed hosts."""
        is_control = self.role is FleetRole.CONTROL
        own = self.host(self.address, is_control)
        seeds = tuple(
            self.host(seed, is_control=True)
            for seed in self.seeds
            if seed != self.address
        )
        return DaemonSettings(
            host=self.address,
            hosts=(own, *seeds),
            security=SecuritySettings("", "", ""),
            data_folder=self.data_folder,
            timing=FLEET_TIMING,
            answers=self.answers,
        )


def load_fleet_settings(
    path: str | Path,
) -> Result[FleetSettings, tuple[Finding, ...]]:
    """Return the settings in a TOML file, or a finding for each problem with them.

    :param path: the file.
    """
    return read_settings(path, FleetSettings, _check_settings)


def _check_settings(settings: FleetSettings, place: str) -> tuple[Finding, ...]:
    return tuple(finding.within(place) for finding in _check_items(settings))


def _check_items(settings: FleetSettings) -> Iterator[Finding]:
    yield from _check_ip("address", settings.address)
    if not 1 <= settings.peer_port <= MAX_PORT:
        yield Finding("peer_port", f"is {settings.peer_port}", f"1 to {MAX_PORT}")
    if not settings.seed_addresses:
        yield Finding("seed_addresses", "is empty", "ip:port of a control host")
    for index, text in enumerate(settings.seed_addresses):
        yield from _check_endpoint(f"seed_addresses[{index}]", text)
    required_by_role = {
        FleetRole.ROUTER: ("caller_address", "ready_address"),
        FleetRole.CONTROL: ("control_address", "data_folder"),
    }
    for name in required_by_role[settings.role]:
        if not getattr(settings, name):
            yield Finding(name, "is empty", f"a value for role {settings.role}")
    for name in ("caller", "ready", "control", "directory"):
        text = getattr(settings, f"{name}_address")
        if text:
            yield from _check_endpoint(f"{name}_address", text)
    positive = ("grace_s", "revocation_s", "address_lifetime_s", "retry_window_s")
    for name in (*positive, "max_header_lines"):
        if getattr(settings, name) <= 0:
            yield Finding(name, f"is {getattr(settings, name)}", "a number above 0")
    if not 0 <= settings.hedge_share <= 1:
        yield Finding("hedge_share", f"is {settings.hedge_share}", "0 to 1")
    for name in ("cpu_share", "cpu_cores"):
        if not 0 <= getattr(settings, name) <= MAX_CORES:
            value = getattr(settings, name)
            yield Finding(name, f"is {value}", f"0 to {MAX_CORES}")
    for name in ("cold_overrun", "cold_slack"):
        if not 0 <= getattr(settings, name) < math.inf:
            yield Finding(name, f"is {getattr(settings, name)}", "a number, 0 or more")
    yield from check_positive("answers", settings.answers)


def _check_ip(place: str, text: str) -> Iterator[Finding]:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        yield Finding(
            place, f"{format_value(text)} is not an IP address", "an IP address"
        )


def _check_endpoint(place: str, text: str) -> Iterator[Finding]:
    address, _, port = text.rpartition(":")
    yield from _check_ip(place, address)
    if not (port.isdecimal() and 1 <= int(port) <= MAX_PORT):
        yield Finding(place, f"{format_value(text)} has no valid port", "ip:port")
