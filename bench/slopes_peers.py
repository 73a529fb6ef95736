"""Slopes of the connections between hosts, over real sockets on loopback."""

import asyncio
import socket
import time

from almondfield_core.messages import DemandReport
from almondfield_core.settings import DaemonSettings, HostSettings, SecuritySettings
from almondfield_daemon.peers import PynngPeers
from slopes_fit import Slope, fit

__all__ = ["measure_peers"]

US_PER_S = 1e6
FRAMES = 400
GAP_S = 0.0005
BODY_BYTES = (100, 1000, 4000, 16000, 64000)
BATCHES = (1, 4, 16, 64)
LINKS = (1, 2, 4, 8)
LINK_MEASURE_S = 3.0
REPEATS = 3


def measure_peers() -> list[Slope]:
    """Return the slopes of frames, of messages in a frame, and of idle links."""
    by_bytes = [(b, _median(lambda b=b: _cost_us(b, 1))) for b in BODY_BYTES]
    by_batch = [(n, _median(lambda n=n: _cost_us(100, n))) for n in BATCHES]
    links = [(n, asyncio.run(_idle_links(n))) for n in LINKS]
    return [
        fit(
            "frame sent and received",
            "bytes of the frame's messages",
            "us of processor time, both ends",
            "one message a frame, TCP on loopback",
            by_bytes,
        ),
        fit(
            "frame sent and received",
            "messages in the frame",
            "us of processor time, both ends",
            "100 bytes a message, TCP on loopback",
            by_batch,
        ),
        fit(
            "idle link, processor",
            "links of a host",
            "us of processor time a second, that host and the far ends",
            "heartbeats every 0.3 s both ways",
            [(n, processor) for n, (processor, _) in links],
        ),
        fit(
            "idle link, traffic",
            "links of a host",
            "bytes a second sent by that host",
            "heartbeats every 0.3 s both ways",
            [(n, sent) for n, (_, sent) in links],
        ),
    ]


def _median(measure) -> float:
    return sorted(measure() for _ in range(REPEATS))[REPEATS // 2]


def _cost_us(body_bytes: int, batch: int) -> float:
    """Return processor time per frame in microseconds, less that of an empty loop."""
    busy_us = asyncio.run(_send_frames(body_bytes, batch))
    return busy_us - asyncio.run(_empty_loop())


async def _empty_loop() -> float:
    started_s = time.process_time()
    for _ in range(FRAMES):
        await asyncio.sleep(GAP_S)
    return (time.process_time() - started_s) / FRAMES * US_PER_S


async def _send_frames(body_bytes: int, batch: int) -> float:
    hosts, tasks = _start(2)
    received = 0
    report = DemandReport("p" * body_bytes, 1, 1, 1, 0)

    async def count(sender, message):
        nonlocal received
        received += 1

    hosts[1].register_handler(DemandReport, count)
    await _wait_until(lambda: hosts[0].is_reachable("h1"))
    started_s = time.process_time()
    for _ in range(FRAMES):
        for _ in range(batch):
            hosts[0].send("h1", report)
        await asyncio.sleep(GAP_S)
    await _wait_until(lambda: received >= FRAMES * batch)
    used_s = time.process_time() - started_s
    frames = hosts[0].stats().stats_by_kind["frames"].sent
    await _stop(tasks)
    return used_s / frames * US_PER_S


async def _idle_links(count: int) -> tuple[float, float]:
    hosts, tasks = _start(count + 1)
    others = [f"h{number}" for number in range(1, count + 1)]
    hosts[0].keep_links(others)
    await _wait_until(lambda: all(hosts[0].is_reachable(other) for other in others))
    started_s = time.process_time()
    sent = hosts[0].stats().stats_by_kind["frames"].sent_bytes
    await asyncio.sleep(LINK_MEASURE_S)
    processor_s = time.process_time() - started_s
    sent = hosts[0].stats().stats_by_kind["frames"].sent_bytes - sent
    await _stop(tasks)
    return processor_s / LINK_MEASURE_S * US_PER_S, sent / LINK_MEASURE_S


def _start(count: int) -> tuple[list[PynngPeers], list[asyncio.Task]]:
    rows = tuple(
        HostSettings(f"h{number}", "dc", "127.0.0.1", peer_port=_free_port())
        for number in range(count)
    )
    secrets = SecuritySettings("", "", "")
    peers = [
        PynngPeers(DaemonSettings(row.name, rows, secrets), b"secret", 1)
        for row in rows
    ]
    return peers, [asyncio.ensure_future(peer.run()) for peer in peers]


async def _stop(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_until(condition) -> None:
    async with asyncio.timeout(20.0):
        while not condition():
            await asyncio.sleep(0.01)


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
