"""A small deployment of the project's own programs, with stand-ins around it.

Needs the standard library only. The programs run as separate processes, as the deploy
file starts them; servers, clients and the operator are stand-ins in this process.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

__all__ = [
    "BOUNDS",
    "HELD",
    "BROKEN",
    "UNUSABLE",
    "Deployment",
    "Answer",
    "Record",
    "Server",
    "UnusableError",
    "call",
    "config_document",
    "is_troubled",
    "main",
    "measure",
    "send_request",
]

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, UNUSABLE = 0, 1, 2  # exit codes
START_S = 30.0  # until the programs serve
HEARTBEAT_S = 1.2
ROUND_S = 0.1  # between two requests on a route
ACK_S = 1.0  # a later acknowledgement of a server's call doesn't count
KEY = "k7b2ex5wa5xwyhks8nbk"
TENANT = "hule930"
DOMAIN = "ficu95.example"
ZONE = "is-south-a"
REGION = "is-south"
# Of the sheet of the Hestasala deployment, in seconds.
BOUNDS = {
    "contact": 3.0,
    "drain": 2.0,
    "grace": 8.0,
    "config_apply": 2.0,
    "revoke": 5.0,
    "recovery": 12.0,
}


class UnusableError(Exception):
    """Raised if a case can't run."""


class Record:
    """The file that a case writes: what was sent, answered and run.

    :param path: the file.
    """

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("")
        self._began_s = time.monotonic()

    def write(self, text):
        """Write a line with the seconds since the start."""
        with self._path.open("a") as file:
            file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")


def is_troubled():
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclass(frozen=True)
class Answer:
    """An answer as its client has seen it.

    :ivar status: HTTP status; 0 for none.
    :ivar header_by_name: headers with names in lower case.
    :ivar body: what has come of the body.
    :ivar is_whole: whether the answer is complete.
    :ivar error: why there is none.
    """

    status: int = 0
    header_by_name: dict = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    error: str = ""

    @property
    def is_success(self):
        """Return whether it is a whole answer of a server with success."""
        signed = "server-signature" in self.header_by_name
        return self.is_whole and 200 <= self.status < 300 and signed


async def read_head(reader):
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_answer(reader, on_part=None):
    """Return an answer; what has come of it if it ends early."""
    first, headers = await read_head(reader)
    status = int(first.split()[1])
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                part = await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    return Answer(status, headers, body, True)
                body += part
                if on_part is not None:
                    on_part(part)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Answer(status, headers, body, True)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        return Answer(status, headers, body, False, repr(error))


async def call(address, method, path, body=b"", headers=(), timeout_s=ACK_S):
    """Return the answer to a call on a new connection, or why there is none."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", *headers]
            if body or method in ("PUT", "POST"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return Answer(error=repr(error))
    finally:
        if writer is not None:
            writer.close()


async def send_request(address, path, method="POST", body=b"x", headers=(), s=4.0):
    """Return a new request's identifier, and its answer, from a router."""
    request_id = f"{random.getrandbits(64):016x}"
    lines = [
        f"Attempt-Id: {request_id}",
        f"Deadline-Ms: {int(s * 1000)}",
        f"Credential: {KEY}",
        *headers,
    ]
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(s):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = [f"{method} {path} HTTP/1.1", f"Host: {DOMAIN}", *lines]
            if method in ("POST", "PUT"):
                head.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            return request_id, await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return request_id, Answer(error=repr(error))
    finally:
        if writer is not None:
            writer.close()


class Server:
    """A sound backend server with heartbeats, which answers what it is sent.

    :param name: its identifier.
    :param service: name of its service.
    :param address: ``ip:port`` to listen on.
    :param controls: addresses of the control API, in the order in which it tries them.
    :param record: the record.
    """

    def __init__(self, name, service, address, controls, record):
        self.name = name
        self.service = service
        self.address = address
        self.controls = list(controls)
        self.version = "v1"
        self.slots = 6
        self.ran = []
        self.acks = 0
        self.state = "ready"
        self._record = record
        self._sequence = 0
        self.born_ms = 0
        self._target = 0
        self._listener = None
        self._beats = None
        self._writers = set()

    async def start(self):
        """Listen, and send heartbeats as a new incarnation."""
        self.born_ms = int(time.time() * 1000)
        self._sequence = 0
        self.state = "ready"
        host, _, port = self.address.rpartition(":")
        self._listener = await asyncio.start_server(self._serve, host, int(port))
        self._beats = asyncio.create_task(self._beat_on())
        self._record.write(f"server {self.name} starts, born {self.born_ms}")

    async def stop(self):
        """End as a process does: no heartbeat, no listener, no connection."""
        self._beats.cancel()
        self._listener.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._record.write(f"server {self.name} has ended")

    def announcement(self):
        """Return the next heartbeat as JSON."""
        self._sequence += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self.born_ms,
        }
        return json.dumps(fields).encode()

    async def beat(self):
        """Send one heartbeat; to the next daemon if one doesn't acknowledge it."""
        for _ in self.controls:
            target = self.controls[self._target]
            path = f"/v1/instances/{self.name}"
            answer = await call(target, "PUT", path, self.announcement())
            if 200 <= answer.status < 300:
                self.acks += 1
                return True
            self._target = (self._target + 1) % len(self.controls)
        return False

    async def leave(self, controls):
        """Send DELETE until a daemon acknowledges it; return the acknowledging one."""
        for target in controls:
            sent = f"server {self.name}: DELETE to {target}"
            answer = await call(target, "DELETE", f"/v1/instances/{self.name}")
            self._record.write(f"{sent}: {answer.status or answer.error}")
            if 200 <= answer.status < 300:
                return target
        return None

    def end_heartbeats(self):
        """Send no further heartbeat."""
        self._beats.cancel()

    async def _beat_on(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
            while await self._serve_one(reader, writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _serve_one(self, reader, writer):
        first, headers = await read_head(reader)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        method, path, _ = first.split(" ", 2)
        if path == "/healthz":
            await self.answer(writer, 200, [f"Instance-Id: {self.name}"], b"")
            return True
        request_id = headers.get("attempt-id", "")
        named = [f"Attempt-Id: {request_id}"]
        if headers.get("expect-instance", self.name) != self.name:
            await self.answer(writer, 421, [*named, "Not-Executed: 1"], b"")
            return True
        self.ran.append(request_id)
        await self.run(writer, named, method, path, headers, body)
        return headers.get("connection", "").lower() != "close"

    async def run(self, writer, named, method, path, headers, body):
        """Run a request, and answer it."""
        signed = [*named, f"Server-Signature: {self.name}.{named[0][12:20]}"]
        await self.answer(writer, 200, signed, f"{self.name} ran {path}".encode())

    async def answer(self, writer, status, headers, body):
        """Send a whole answer."""
        lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()


def config_document(version, routes, services):
    """Return a configuration as JSON.

    :param routes: for each its path prefix, service, kind, and further fields.
    :param services: names of the services.
    """
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": f"r-{index}",
                    "host": DOMAIN,
                    "pathPrefix": prefix,
                    "routeKind": kind,
                    "timeoutMs": 4000,
                    "targetLatencyMs": 400,
                    "priority": 1,
                    "service": service,
                    "maxAttempts": 2,
                    "public": False,
                    "sticky": False,
                    "resumable": False,
                    **more,
                }
                for index, (prefix, service, kind, more) in enumerate(routes)
            ],
            "services": [
                {
                    "name": name,
                    "healthPath": "/healthz",
                    "maxConns": 110,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
                "throughputPerS": 175000,
            },
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
        }
    ).encode()


def free_ports(count, address):
    """Return ports that are free on a loopback address.

    :param address: an address of the case's own network.
    """
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((address, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Deployment:
    """Control hosts and routers as processes, with their settings in a folder.

    :param record: the record.
    :param controls: number of control hosts.
    :param routers: number of routers.
    """

    def __init__(self, record, controls=3, routers=2):
        self.record = record
        self._folder = Path(tempfile.mkdtemp(prefix="case-"))
        network = f"127.{1 + os.getpid() % 250}.{random.randrange(1, 250)}"
        ports = free_ports(7, f"{network}.11")
        self.peer_port, control, directory, front, ready, server, metrics = ports
        self._metrics_port = metrics
        self.server_port = server
        self._network = network
        self.control_ips = [f"{network}.{11 + index}" for index in range(controls)]
        self.router_ips = [f"{network}.{21 + index}" for index in range(routers)]
        self.controls = [f"{ip}:{control}" for ip in self.control_ips]
        self.directories = [f"{ip}:{directory}" for ip in self.control_ips]
        self.routers = [f"{ip}:{front}" for ip in self.router_ips]
        self.ready = [f"{ip}:{ready}" for ip in self.router_ips]
        self.process_by_name = {}
        self.has_ended = []

    def server_address(self, index):
        """Return the address of a stand-in server."""
        return f"{self._network}.{31 + index}:{self.server_port}"

    def _write_settings(self, name, may_form):
        role, index = name.split("-")
        index = int(index)
        items = {
            "role": role,
            "address": (self.control_ips if role == "control" else self.router_ips)[
                index
            ],
            "data_centre": ZONE,
            "region": REGION,
            "peer_port": self.peer_port,
            "seed_addresses": self.controls[:3],
            "may_form": may_form,
            "metrics_port": self._metrics_port,
            "lost_disks": 1,
            "memory_mb": 300,
            "max_descriptors": 1024,
            "cpu_share": 0.6,
            "cpu_cores": 1,
            "grace_s": BOUNDS["grace"],
            "revocation_s": BOUNDS["revoke"],
            "retry_share": 0.2,
            "retry_slack": 58,
            "retry_window_s": 10,
            "share_window_s": 4,
        }
        if role == "control":
            data = self._folder / name
            data.mkdir(exist_ok=True)
            items["control_address"] = self.controls[index]
            items["directory_address"] = self.directories[index]
            items["data_folder"] = str(data)
        else:
            items["caller_address"] = self.routers[index]
            items["ready_address"] = self.ready[index]
        lines = [f"{key} = {json.dumps(value)}" for key, value in items.items()]
        lines += ["[region_by_data_centre]", f'"{ZONE}" = "{REGION}"']
        path = self._folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start(self, name, may_form=False):
        """Start a process with the command of the deploy file."""
        settings = self._write_settings(name, may_form)
        kept = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment["ALMONDFIELD_SETTINGS"] = str(settings)
        environment["PYTHONPATH"] = "target/deps"
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self._folder / f"{name}.log").open("ab")
        self.process_by_name[name] = subprocess.Popen(
            ["python3", "platform/main.py"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.record.write(f"{name} starts")

    def send_signal(self, name, number):
        """Send a signal to a process of this deployment."""
        self.record.write(f"{name} gets {signal.Signals(number).name}")
        self.process_by_name[name].send_signal(number)

    def log(self, name):
        """Return what a process has logged so far."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    async def begin(self, document):
        """Start all processes, and configure them."""
        for index in range(len(self.controls)):
            self.start(f"control-{index}", may_form=True)
        for index in range(len(self.routers)):
            self.start(f"router-{index}")
        await self.configure(document)
        await self.wait_ready()

    async def configure(self, document):
        """Send a configuration, unchanged, until it is acknowledged."""
        end_s = time.monotonic() + START_S
        version = json.loads(document)["version"]
        while time.monotonic() < end_s:
            for address in self.controls:
                answer = await call(address, "PUT", "/v1/config", document)
                if answer.status == 200:
                    self.record.write(f"configuration {version} acknowledged")
                    return
            await asyncio.sleep(0.2)
        raise UnusableError(f"configuration {version} isn't acknowledged: {answer}")

    async def wait_ready(self):
        """Return once all routers say that they are ready."""
        end_s = time.monotonic() + START_S
        for address in self.ready:
            while (await call(address, "GET", "/v1/readyz")).status != 200:
                if time.monotonic() > end_s:
                    raise UnusableError(f"{address} doesn't become ready")
                await asyncio.sleep(0.1)

    async def wait_served(self, path, count=3, method="POST", headers=()):
        """Return once each router serves some requests in a row."""
        end_s = time.monotonic() + START_S
        for address in self.routers:
            served = 0
            while served < count:
                _, answer = await send_request(address, path, method, headers=headers)
                served = served + 1 if answer.is_success else 0
                if time.monotonic() > end_s:
                    raise UnusableError(f"{address} doesn't serve {path}: {answer}")
                await asyncio.sleep(0.05)

    def close(self):
        """End all processes that were started, and delete their files."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                with suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)


async def measure(deployment, paths, rounds):
    """Return how many requests were served on each of some routes.

    :param paths: prefixes of the routes.
    :param rounds: number of requests on each route, over all routers in turn.
    """
    served = {path: 0 for path in paths}
    statuses = {path: {} for path in paths}
    for index in range(rounds):
        for path in served:
            address = deployment.routers[index % len(deployment.routers)]
            request_id, answer = await send_request(address, f"{path}{index}")
            served[path] += answer.is_success
            seen = statuses[path]
            seen[answer.status] = seen.get(answer.status, 0) + 1
            deployment.record.write(
                f"request {request_id} {path}{index} at {address}: "
                f"{answer.status or answer.error}"
            )
        await asyncio.sleep(ROUND_S)
    for path, count in served.items():
        deployment.record.write(
            f"{path}: {count} of {rounds} served, by status {statuses[path]}"
        )
    return served


def main(case, folder, controls=3, routers=2):
    """Run a case, and exit with its code.

    :param case: coroutine function; gets the deployment, returns whether the rule held.
    :param folder: folder of the case, for its record.
    """
    record = Record(Path(folder) / "record.txt")
    record.write(f"TROUBLE={int(is_troubled())}")
    deployment = Deployment(record, controls, routers)
    code = UNUSABLE
    try:
        held = asyncio.run(case(deployment))
        code = HELD if held else BROKEN
    except Exception as error:  # anything else than a verdict
        record.write(f"the case can't run: {error!r}")
    finally:
        deployment.close()
    record.write({HELD: "held", BROKEN: "broken", UNUSABLE: "unusable"}[code])
    sys.exit(code)
