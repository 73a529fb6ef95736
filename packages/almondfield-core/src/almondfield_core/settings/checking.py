"""Checks settings beyond the types of their items."""

import dataclasses
import ipaddress
from collections import Counter
from collections.abc import Iterator
from typing import Any

from almondfield_core.findings import Finding, format_value
from almondfield_core.settings.core import DaemonSettings, HostSettings

__all__ = ["check_positive", "check_settings"]

ALLOWED_VOTER_COUNTS = (1, 3, 5)
MAX_PORT = 65_535
MAX_NAME_LENGTH = 63
MAX_DRIFT_MARGIN = 0.2


def check_settings(settings: DaemonSettings, place: str) -> tuple[Finding, ...]:
    """Return a finding for each invalid value of the settings.

    :param settings: the settings.
    :param place: file of the settings, shown in each finding.
    """
    checks = (
        _check_hosts(settings.hosts),
        _check_own_host(settings),
        _check_sections(settings),
        _check_timing_relations(settings),
        _check_secret_files(settings),
    )
    return tuple(finding.within(place) for check in checks for finding in check)


def check_positive(section: str, values: Any) -> Iterator[Finding]:
    """Return a finding for each number of a section that is not above 0.

    :param section: path of the section.
    :param values: the section.
    """
    for item in dataclasses.fields(values):
        value = getattr(values, item.name)
        if value <= 0:
            path = f"{section}.{item.name}"
            yield Finding(path, f"is {value}", "a number above 0")


def _check_hosts(hosts: tuple[HostSettings, ...]) -> Iterator[Finding]:
    for index, host in enumerate(hosts):
        yield from _check_host(f"hosts[{index}]", host)
    yield from _find_repeated("name", [host.name for host in hosts])
    yield from _find_repeated_endpoints(hosts)
    voters = sum(host.voter for host in hosts)
    if voters not in ALLOWED_VOTER_COUNTS:
        yield Finding("hosts", f"{voters} hosts have voter = true", "1, 3 or 5")


def _check_host(path: str, host: HostSettings) -> Iterator[Finding]:
    for item in ("name", "data_centre", "region"):
        yield from _check_name(f"{path}.{item}", getattr(host, item))
    try:
        address = ipaddress.ip_address(host.address)
    except ValueError:
        problem = f"{format_value(host.address)} is not an IP address"
        yield Finding(f"{path}.address", problem, "an IPv4 or IPv6 address")
    else:
        if address.is_unspecified or address.is_multicast:
            problem = f"{format_value(host.address)} is not the address of one host"
            yield Finding(
                f"{path}.address", problem, "an address that other hosts can connect to"
            )
    ports = {
        item: getattr(host, item)
        for item in ("caller_port", "operator_port", "peer_port")
    }
    for item, port in ports.items():
        if not 1 <= port <= MAX_PORT:
            yield Finding(f"{path}.{item}", f"is {port}", f"1 to {MAX_PORT}")
    if len(set(ports.values())) < len(ports):
        yield Finding(path, "uses a port more than once", "three different ports")


def _check_name(path: str, name: str) -> Iterator[Finding]:
    has_valid_length = 1 <= len(name) <= MAX_NAME_LENGTH
    if not has_valid_length or not name.isprintable() or " " in name:
        allowed = f"1 to {MAX_NAME_LENGTH} printable characters without spaces"
        yield Finding(path, f"is {format_value(name)}", allowed)


def _find_repeated(item: str, values: list[str]) -> Iterator[Finding]:
    for value, count in Counter(values).items():
        if count > 1:
            problem = f"{count} hosts have the {item} {format_value(value)}"
            yield Finding("hosts", problem, "one host each")


def _find_repeated_endpoints(hosts: tuple[HostSettings, ...]) -> Iterator[Finding]:
    endpoints = [
        f"{host.address}:{port}"
        for host in hosts
        for port in {host.caller_port, host.operator_port, host.peer_port}
    ]
    yield from _find_repeated("address and port", endpoints)


def _check_own_host(settings: DaemonSettings) -> Iterator[Finding]:
    host_by_name = {host.name: host for host in settings.hosts}
    own_host = host_by_name.get(settings.host)
    if own_host is None:
        allowed = ", ".join(format_value(name, quote=False) for name in host_by_name)
        problem = f"{format_value(settings.host)} is not one of the hosts"
        yield Finding("host", problem, allowed or "a host of the list hosts")
    elif own_host.voter and not settings.data_folder:
        problem = f"is empty, but {format_value(own_host.name)} is a voter"
        yield Finding("data_folder", problem, "a folder on a disk")


def _check_sections(settings: DaemonSettings) -> Iterator[Finding]:
    for section in ("timing", "limits", "answers", "orders"):
        yield from check_positive(section, getattr(settings, section))
    if settings.limits.retry_budget_share > 1:
        value = settings.limits.retry_budget_share
        yield Finding("limits.retry_budget_share", f"is {value}", "at most 1")
    if settings.timing.drift_margin > MAX_DRIFT_MARGIN:
        value = settings.timing.drift_margin
        allowed = f"at most {MAX_DRIFT_MARGIN}"
        yield Finding("timing.drift_margin", f"is {value}", allowed)


def _check_timing_relations(settings: DaemonSettings) -> Iterator[Finding]:
    timing = settings.timing
    shorter_and_longer = (
        ("heartbeat_s", "silence_s"),
        ("heartbeat_s", "election_s"),
        ("heartbeat_s", "pool_lease_s"),
        ("silence_s", "freshness_lease_s"),
    )
    for shorter, longer in shorter_and_longer:
        if getattr(timing, shorter) >= getattr(timing, longer):
            value = getattr(timing, shorter)
            allowed = f"less than {longer}, {getattr(timing, longer)}"
            yield Finding(f"timing.{shorter}", f"is {value}", allowed)


def _check_secret_files(settings: DaemonSettings) -> Iterator[Finding]:
    for item in dataclasses.fields(settings.security):
        if not getattr(settings.security, item.name):
            yield Finding(f"security.{item.name}", "is empty", "the name of a file")
