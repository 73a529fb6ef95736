"""Starts the project's programs on loopback addresses, with stand-ins around them.

The programs are those of the deploy file. Backend servers, callers and the platform are
stand-ins of this module; they need nothing but Python's standard library.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

__all__ = [
    "Deployment",
    "Process",
    "Record",
    "Reply",
    "Runner",
    "Stream",
    "call",
    "has_trouble",
    "main",
]

ROOT = Path(__file__).resolve().parent.parent
GRACE_S = 8
START_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 3.0
HEARTBEAT_S = 1.2
HELD = 0
BROKEN = 1
NOT_RUN = 2


def has_trouble():
    """Return whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, written to ``record.txt``.

    :param folder: folder of the case.
    """

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._start_s = time.monotonic()

    def __call__(self, text):
        """Write one line with its time."""
        self._file.write(f"{time.monotonic() - self._start_s:9.3f} s  {text}\n")
        self._file.flush()


class Process:
    """One of the project's programs.

    :param settings: its settings.
    :param folder: folder for its settings and its log.
    """

    def __init__(self, settings, folder):
        self.settings = settings
        self.name = settings["address"]
        self.path = folder / f"{self.name}.toml"
        self.log_path = folder / f"{self.name}.log"
        self._process = None

    async def start(self):
        """Write the settings and start the program."""
        lines = [f"{key} = {json.dumps(item)}" for key, item in self.settings.items()]
        self.path.write_text("\n".join(lines) + "\n")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            "ALMONDFIELD_SETTINGS": str(self.path),
        }
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "platform/main.py",
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self):
        """Return whether the process runs, frozen or not."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self):
        """Return the process id; 0 before the first start."""
        return self._process.pid if self._process is not None else 0

    def send(self, number):
        """Send a signal."""
        if self.is_running:
            self._process.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def wait(self):
        """Wait for the end of the process."""
        await self._process.wait()


class Deployment:
    """A small deployment: control hosts and routers, each at an address of its own.

    :param folder: temporary folder.
    :param record: writes the record.
    :param controls: number of control hosts.
    :param routers: number of routers.
    """

    def __init__(self, folder, record, controls=3, routers=1):
        self.record = record
        self._folder = Path(folder)
        self._network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self._ports = _free_ports(7, f"{self._network}.1")
        self.controls = [self._control(number) for number in range(1, controls + 1)]
        seeds = [item.settings["control_address"] for item in self.controls[:3]]
        self.seeds = seeds
        for item in self.controls:
            item.settings["seed_addresses"] = seeds
        self.routers = [self._router(number) for number in range(1, routers + 1)]

    def address(self, number, port=None):
        """Return an address of the network, with a port if one is given."""
        ip = f"{self._network}.{number}"
        return ip if port is None else f"{ip}:{port}"

    def server_address(self, number):
        """Return the address of a backend server."""
        return self.address(100 + number, self._ports[6])

    def add_control(self, number):
        """Return another control host with an empty disk, which joins the others."""
        item = self._control(number)
        item.settings |= {"seed_addresses": self.seeds, "may_form": False}
        self.controls.append(item)
        return item

    def _common(self, number):
        peer, _, _, _, _, metrics, _ = self._ports
        return {
            "address": self.address(number),
            "data_centre": f"zone-{number % 4}",
            "region": "region",
            "peer_port": peer,
            "metrics_port": metrics,
            "lost_disks": 1,
            "memory_mb": 300,
            "max_descriptors": 4100,
            "grace_s": GRACE_S,
            "revocation_s": 5.0,
            "retry_share": 0.2,
            "retry_slack": 56,
            "retry_window_s": 10,
            "share_window_s": 4,
        }

    def _control(self, number):
        _, control, directory, _, _, _, _ = self._ports
        data = self._folder / f"data-{number}"
        data.mkdir()
        settings = {
            "role": "control",
            **self._common(number),
            "may_form": True,
            "control_address": self.address(number, control),
            "directory_address": self.address(number, directory),
            "data_folder": str(data),
        }
        return Process(settings, self._folder)

    def _router(self, number):
        _, _, _, caller, ready, _, _ = self._ports
        settings = {
            "role": "router",
            **self._common(50 + number),
            "seed_addresses": self.seeds,
            "may_form": True,
            "caller_address": self.address(50 + number, caller),
            "ready_address": self.address(50 + number, ready),
        }
        return Process(settings, self._folder)

    async def start(self, document):
        """Start everything; return once the routers have the configuration."""
        for item in (*self.controls, *self.routers):
            await item.start()
        await self.publish(document)
        for item in self.controls:
            item.settings["may_form"] = False
        await self.wait_ready()

    async def wait_ready(self):
        """Wait until every router is ready."""
        for item in self.routers:
            address = item.settings["ready_address"]
            async with asyncio.timeout(START_TIMEOUT_S):
                while (await call(address, "GET", "/v1/readyz")).status != 200:
                    await asyncio.sleep(0.1)

    async def publish(self, document, timeout_s=START_TIMEOUT_S):
        """Send a configuration to one control host after the other until it's acked."""
        body = json.dumps(document).encode()
        version = document["version"]
        reply = await self._ask_any("PUT", body, timeout_s)
        self.record(f"configuration {version}: {reply}")
        if reply is None:
            raise TimeoutError(f"configuration {version} was never acknowledged")

    async def read(self, timeout_s):
        """Return the version that is read back; None if none comes in time."""
        reply = await self._ask_any("GET", b"", timeout_s)
        return None if reply is None else json.loads(reply.body)["version"]

    async def _ask_any(self, method, body, timeout_s):
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            for item in self.controls:
                if not item.is_running:
                    continue
                address = item.settings["control_address"]
                reply = await call(address, method, "/v1/config", body=body)
                if reply.status == 200:
                    return reply
            await asyncio.sleep(0.2)
        return None

    async def stop(self):
        """Kill all processes."""
        for item in (*self.controls, *self.routers):
            item.send(signal.SIGCONT)
            await item.kill()


@dataclass
class Reply:
    """An answer as a caller sees it.

    :ivar status: HTTP status; 0 if there is none.
    :ivar headers: headers with names in lower case.
    :ivar body: the body as far as it came.
    :ivar is_complete: whether it is complete by its framing.
    """

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False

    def __str__(self):
        state = "complete" if self.is_complete else "not complete"
        return f"status {self.status}, {len(self.body)} bytes, {state}"


async def call(address, method, path, headers=(), body=b"", timeout_s=CALL_TIMEOUT_S):
    """Return the answer to a call on a new connection."""
    reply = Reply()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_request(method, path, headers, body))
            await read_head(reader, reply)
            async for part in read_parts(reader, reply):
                reply.body += part
    except (OSError, EOFError, TimeoutError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return reply


def encode_request(method, path, headers=(), body=b""):
    """Return a request with a length."""
    lines = [f"{method} {path} HTTP/1.1", *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_head(reader, reply):
    """Read status and headers into a reply."""
    head = await reader.readuntil(b"\r\n\r\n")
    status, _, rest = head.decode("latin-1").partition("\r\n")
    reply.status = int(status.split(" ")[1])
    for line in rest.split("\r\n"):
        name, colon, value = line.partition(":")
        if colon:
            reply.headers[name.strip().lower()] = value.strip()


async def read_parts(reader, reply):
    """Yield the parts of a body; mark the reply as complete at its end."""
    if reply.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            yield (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    elif "content-length" in reply.headers:
        left = int(reply.headers["content-length"])
        while left:
            part = await reader.read(min(left, 65536))
            if not part:
                raise EOFError
            left -= len(part)
            yield part
    else:
        while part := await reader.read(65536):
            yield part
    reply.is_complete = True


class Runner:
    """A sound backend server; tests replace single methods.

    :param deployment: the deployment, whose control hosts it announces itself to.
    :param name: its identifier.
    :param service: its service.
    :param address: ``ip:port`` to listen on.
    :param version: version of its software.
    """

    def __init__(self, deployment, name, service, address, version="v1"):
        self.name = name
        self.service = service
        self.address = address
        self.version = version
        self.state = "ready"
        self.event_count = 20
        self.event_s = 0.1
        self.work_s = 0.05
        self.runs = []
        self.heartbeat_delay_s = 0.0
        self._deployment = deployment
        self._record = deployment.record
        self._listener = None
        self._tasks = set()
        self._sequence = 0
        self._born_ms = 0

    async def start(self):
        """Listen and announce the server until it is stopped."""
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)
        host, _, port = self.address.rpartition(":")
        self._listener = await asyncio.start_server(
            self._accept, host, int(port), reuse_address=True
        )
        self._record(f"{self.name} starts, version {self.version}")
        self._spawn(self._announce_again_and_again())

    async def crash(self):
        """End at once: reset all connections and say nothing."""
        self._record(f"{self.name} crashes")
        self._listener.close()
        for task in set(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _announce_again_and_again(self):
        await asyncio.sleep(self.heartbeat_delay_s)
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    def announcement(self):
        """Return the next announcement."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-1",
            "version": self.version,
            "slots": 64,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }

    async def announce(self):
        """Announce the server once, at the first control host that acknowledges it."""
        body = json.dumps(self.announcement()).encode()
        return await self.tell("PUT", body)

    async def tell(self, method, body=b""):
        """Return the control host that acknowledged a call; None if none did."""
        controls = [item for item in self._deployment.controls if item.is_running]
        random.shuffle(controls)
        for item in controls:
            address = item.settings["control_address"]
            path = f"/v1/instances/{self.name}"
            reply = await call(address, method, path, body=body, timeout_s=1.0)
            if reply.status // 100 == 2:
                return item
        return None

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
            writer.close()
        except (OSError, EOFError):
            writer.close()
        except asyncio.CancelledError:
            _reset(writer)
        finally:
            self._tasks.discard(task)

    async def _serve_one(self, reader, writer):
        """Serve one request; return whether the connection is kept."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, _, rest = head.partition("\r\n")
        method, target, _ = line.split(" ")
        headers = {}
        for item in rest.split("\r\n"):
            name, colon, value = item.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        is_kept = headers.get("connection", "").lower() != "close"
        if headers.get("expect-instance", self.name) != self.name:
            lines = ["HTTP/1.1 421 Misdirected Request", "Content-Length: 0"]
            request_id = headers.get("attempt-id", "")
            lines.append(f"Attempt-Id: {request_id}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            await writer.drain()
            return is_kept
        await self.answer(method, target, headers, body, writer)
        return is_kept

    async def answer(self, method, target, headers, body, writer):
        """Run a request and answer it."""
        request_id = headers.get("attempt-id", "")
        last_event = headers.get("last-event-id", "")
        self.runs.append(request_id)
        self._record(
            f"{self.name} ({self.version}) runs {request_id} {method} {target}"
            + (f" after event {last_event}" if last_event else "")
        )
        lines = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {request_id}",
            f"Server-Signature: {self.name}.{request_id}",
        ]
        if "/stream/" in target:
            lines += [
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            ]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            for number in range(int(last_event or 0) + 1, self.event_count + 1):
                event = f"id: {number}\ndata: {self.version}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.event_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return
        await asyncio.sleep(self.work_s)
        content = f"{self.name} {request_id}".encode()
        lines.append(f"Content-Length: {len(content)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
        await writer.drain()


class Stream:
    """A caller of one stream, which takes it up where it broke off.

    :param address: ``ip:port`` of the router.
    :param path: path of the request.
    :param name: begins the identifiers of its attempts.
    :param record: writes the record.

    :ivar attempts: identifiers of its attempts.
    """

    def __init__(self, address, path, name, record):
        self.address = address
        self.path = path
        self.name = name
        self.attempts = []
        self.events = []
        self.is_complete = False
        self._record = record
        self._first_id = ""

    async def run(self, deadline_s=15.0, attempts=4):
        """Request the stream, and the rest of it where it broke off."""
        until_s = time.monotonic() + deadline_s
        for number in range(attempts):
            request_id = f"{self.name}-{number}"
            self.attempts.append(request_id)
            reply = await self._request(request_id, until_s - time.monotonic())
            self._record(f"{request_id} gets {reply}, {len(self.events)} events so far")
            if self.is_complete or time.monotonic() >= until_s:
                return
            left_s = until_s - time.monotonic()
            pause_s = float(reply.headers.get("retry-after", 0.05))
            if pause_s > left_s / 3:
                return
            await asyncio.sleep(pause_s)

    async def _request(self, request_id, left_s):
        headers = [
            "Host: a.example",
            f"Attempt-Id: {request_id}",
            f"Deadline-Ms: {max(1, int(left_s * 1000))}",
        ]
        if self.events:
            headers.append(f"Last-Event-Id: {self.events[-1][0]}")
            headers.append(f"Resumes: {self._first_id}")
        reply = Reply()
        writer = None
        try:
            async with asyncio.timeout(left_s):
                host, _, port = self.address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(encode_request("POST", self.path, headers, b"prompt"))
                await read_head(reader, reply)
                await self._read_events(reader, reply, request_id)
        except (OSError, EOFError, TimeoutError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.close()
        return reply

    async def _read_events(self, reader, reply, request_id):
        rest = b""
        async for part in read_parts(reader, reply):
            rest += part
            *events, rest = rest.split(b"\n\n")
            for event in events:
                match = re.fullmatch(rb"id: (\d+)\ndata: (.*)", event)
                if reply.status == 200 and match:
                    self._first_id = self._first_id or request_id
                    self.events.append((int(match[1]), match[2].decode()))
        self.is_complete = reply.status == 200 and reply.is_complete


def _reset(writer):
    """Reset a connection."""
    linger = (1).to_bytes(4, sys.byteorder) + (0).to_bytes(4, sys.byteorder)
    owner = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        owner.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _free_ports(count, address):
    """Return ports that are free on an address."""
    listeners = [socket.socket() for _ in range(count)]
    for listener in listeners:
        listener.bind((address, 0))
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


def main(case, folder):
    """Run a case and exit with its result.

    :param case: coroutine function that gets the temporary folder and the record, and
        returns whether the rule was broken.
    :param folder: folder of the case.
    """
    record = Record(folder)

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(115):
                return await case(temporary, record)

    try:
        is_broken = asyncio.run(run())
    except Exception as error:
        record(f"the case couldn't run: {error!r}")
        sys.exit(NOT_RUN)
    record("the rule was broken" if is_broken else "the rule held")
    sys.exit(BROKEN if is_broken else HELD)
