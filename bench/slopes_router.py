"""Slopes of the data path: chunks, requests and announcements of one daemon."""

import asyncio
import json
import os
import random
import tempfile
from dataclasses import replace
from pathlib import Path

import msgspec

from almondfield_core.clock import now
from almondfield_core.tables import PoolKind
from deployment import BACKEND_TOKEN, Deployment, PoolPlan, Profile
from fleet import Fleet
from slopes_fit import Slope, fit
from slopes_hosts import make_announcement

__all__ = ["measure_router"]

US_PER_S = 1e6
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
FIRST_PORTS = range(21000, 29000, 100)
STREAMS = 100
STREAM_S = 4.0
CHUNKS_PER_STREAM = (4, 20, 40, 80)
REQUEST_RATES = (0, 50, 100, 200)
ANNOUNCE_RATES = (0, 50, 100, 200)
WARM_UP_S = 1.0
MEASURE_S = 2.0
PATH = "/v1/writing"


def measure_router() -> list[Slope]:
    """Return the slopes of chunks, requests, announcements and memory."""
    return asyncio.run(_measure())


async def _measure() -> list[Slope]:
    plans = (
        PoolPlan("writing", PoolKind.MODEL, PATH, 4, 64, 1.0, 0.5),
        PoolPlan("orders", PoolKind.SERVICE, "/v1/orders", 2, 64, 0.1, 0.5),
    )
    profile = Profile("slopes", "local", {"dc1": 1}, plans, 4)
    with tempfile.TemporaryDirectory() as folder:
        first_port = random.choice(FIRST_PORTS)
        deployment = Deployment(profile, Path(folder) / "d", first_port, "fair-share")
        fleet = Fleet(deployment, relayed=False)
        try:
            await fleet.start()
            await asyncio.sleep(2.0)
            return await _measure_fleet(fleet)
        finally:
            await fleet.stop()


async def _measure_fleet(fleet: Fleet) -> list[Slope]:
    chunks = [(await _measure_streams(fleet, count)) for count in CHUNKS_PER_STREAM]
    requests = [(await _measure_requests(fleet, rate)) for rate in REQUEST_RATES]
    announced = [(await _measure_announcements(fleet, rate)) for rate in ANNOUNCE_RATES]
    memory = fleet.largest_memory_mb()
    return [
        fit(
            "router, chunks",
            "chunks a second through the daemon",
            "us of processor time a second",
            f"{STREAMS} streams, one event a chunk, TCP on loopback",
            chunks,
        ),
        fit(
            "router, requests",
            "requests a second through the daemon",
            "us of processor time a second",
            "short answers of a plain service, TCP on loopback",
            requests,
        ),
        fit(
            "router, announcements",
            "announcements a second to the daemon",
            "us of processor time a second",
            "HTTP on one kept connection; one host, so their relay is local",
            announced,
        ),
        replace(
            fit(
                "router, memory",
                "streams held",
                "MB of the process",
                "one point: after these measurements",
                [(0, memory), (STREAMS, memory)],
            ),
            points=((STREAMS, memory),),
        ),
    ]


async def _measure_streams(fleet: Fleet, chunks: int) -> tuple[float, float]:
    """Return the daemon's chunks and microseconds of processor time per second."""
    calls = [
        asyncio.create_task(_call(fleet, PATH, f"s-{chunks}-{n}", STREAM_S, chunks))
        for n in range(STREAMS)
    ]
    await asyncio.sleep(WARM_UP_S)
    processor_us = await _measure_processor_us(fleet)
    completed = await asyncio.gather(*calls)
    assert all(completed), "a stream was not answered"
    return STREAMS * chunks / STREAM_S, processor_us


async def _measure_requests(fleet: Fleet, rate: int) -> tuple[float, float]:
    calls = []

    async def send():
        while True:
            request_id = f"r-{rate}-{len(calls)}"
            call = _call(fleet, "/v1/orders", request_id, 0.01, 1)
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(1.0 / rate)

    sender = asyncio.create_task(send()) if rate else None
    await asyncio.sleep(WARM_UP_S)
    before = len(calls)
    started_s = now()
    processor_us = await _measure_processor_us(fleet)
    actual_rate = (len(calls) - before) / (now() - started_s)
    if sender:
        sender.cancel()
    assert all(await asyncio.gather(*calls)), "a request was not answered"
    return actual_rate, processor_us


async def _measure_announcements(fleet: Fleet, rate: int) -> tuple[float, float]:
    address, _, port = fleet.deployment.seeds[0].rpartition(":")
    reader, writer = await asyncio.open_connection(address, int(port))
    sent = 0

    async def send():
        nonlocal sent
        while True:
            announcement = make_announcement(sent % 10, "none")
            body = msgspec.json.encode(announcement)
            head = (
                f"POST /announcements HTTP/1.1\r\nhost: {address}\r\n"
                f"authorization: Bearer {BACKEND_TOKEN}\r\n"
                f"content-type: application/json\r\n"
                f"content-length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            status = await reader.readline()
            assert status.startswith(b"HTTP/1.1 202"), status
            length = 0
            while (line := await reader.readline()) != b"\r\n":
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            await reader.readexactly(length)
            sent += 1
            await asyncio.sleep(1.0 / rate)

    sender = asyncio.create_task(send()) if rate else None
    await asyncio.sleep(WARM_UP_S)
    before, started_s = sent, now()
    processor_us = await _measure_processor_us(fleet)
    actual_rate = (sent - before) / (now() - started_s)
    if sender:
        assert not sender.done(), sender
        sender.cancel()
    writer.close()
    return actual_rate, processor_us


async def _measure_processor_us(fleet: Fleet) -> float:
    process = next(iter(fleet.daemon_by_host.values()))
    before, started_s = _processor_s(process.pid), now()
    await asyncio.sleep(MEASURE_S)
    used_s = _processor_s(process.pid) - before
    return used_s / (now() - started_s) * US_PER_S


def _processor_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def _call(
    fleet: Fleet, path: str, request_id: str, cost_s: float, chunks: int
) -> bool:
    """Return whether a request was answered with status 200, once its answer ends."""
    address, _, port = fleet.deployment.seeds[0].rpartition(":")
    load = next(load for load in fleet.deployment.loads() if load.path == path)
    payload = {"id": request_id, "team": load.team, "cost_s": cost_s, "chunks": chunks}
    body = json.dumps(payload).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n"
        f"authorization: Bearer {load.key}\r\ncontent-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    reader, writer = await asyncio.open_connection(address, int(port))
    writer.write(head.encode() + body)
    response = b"".join([piece async for piece in _read_chunks(reader)])
    writer.close()
    return response.startswith(b"HTTP/1.1 200")


async def _read_chunks(reader: asyncio.StreamReader):
    while piece := await reader.read(65536):
        yield piece
