"""Stand-in backend servers: a streaming model runner and a plain service.

Both write a ledger of the requests that they run; measurements are computed from it.
``python bench/standins.py --name NAME ...`` serves one stand-in until it is stopped.
"""

import asyncio
import json
import os
import random
import signal
from dataclasses import asdict, dataclass, replace
from pathlib import Path

import aiosonic
import cyclopts
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from almondfield_core.clock import now
from almondfield_core.messages import ServerAnnouncement, ServerState
from almondfield_core.tables import PoolKind
from almondfield_daemon.serving import HttpListener, bind

__all__ = ["RunRecord", "StandInServer", "event_bytes", "response_text"]

ANNOUNCE_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
MAX_HEADER_BYTES = 64 * 1024


@dataclass(frozen=True)
class RunRecord:
    """One line of a stand-in's ledger.

    :ivar request_id: identifier of the request, set by the caller.
    :ivar team: team of the request, set by the caller.
    :ivar server: name of the stand-in.
    :ivar pool: pool of the stand-in.
    :ivar event: ``start`` or ``end``.
    :ivar time_s: time on the machine's monotonic clock, in seconds.
    :ivar whole: for ``end``, whether the complete answer was sent.
    :ivar resumed: whether this run resumes an interrupted stream.
    :ivar method: HTTP method.
    """

    request_id: str
    team: str
    server: str
    pool: str
    event: str
    time_s: float
    whole: bool = False
    resumed: bool = False
    method: str = "POST"


def event_bytes(request_id: str, number: int) -> bytes:
    """Return one server-sent event of a model's answer."""
    return f'id: {number}\ndata: {{"id":"{request_id}","n":{number}}}\n\n'.encode()


def response_text(request_id: str) -> str:
    """Return the body of a plain service's answer."""
    return json.dumps({"id": request_id, "done": True, "note": request_id * 4})


class StandInServer:
    """One stand-in for a backend server.

    :param announcement: announcement that it sends.
    :param pool: name of its pool, as written to the ledger.
    :param token: token of backend servers.
    :param seeds: ``address:port`` of the hosts that receive announcements.
    :param ledger_file: file for the ledger lines; None keeps them in memory.
    :param listen: ``address:port`` to serve on; defaults to the announced address.
    """

    def __init__(
        self,
        announcement: ServerAnnouncement,
        pool: str,
        token: str,
        seeds: tuple[str, ...],
        ledger_file: Path | None = None,
        listen: str = "",
    ) -> None:
        self._listen = listen or announcement.address
        self.announcement = announcement
        self.pool = pool
        self.records: list[RunRecord] = []
        self.busy = 0
        self._token = token
        self._seeds = seeds
        self._file = open(ledger_file, "a") if ledger_file else None  # noqa: SIM115
        self._listener: HttpListener | None = None
        self._announcer: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start serving requests and sending announcements."""
        host, port = self._listen.rsplit(":", 1)
        path = "/{path:path}"
        app = Starlette(routes=[Route(path, self._serve, methods=["GET", "POST"])])
        self._listener = HttpListener(app, bind(host, int(port)), MAX_HEADER_BYTES)
        await self._listener.start()
        self._announcer = asyncio.create_task(self._announce_forever())

    async def leave(self) -> None:
        """Announce the state ``leaving``; running requests continue."""
        self.announcement = replace(self.announcement, state=ServerState.LEAVING)
        async with aiosonic.HTTPClient() as client:
            await self._announce(client)

    async def stop(self) -> None:
        """Stop announcing and serving."""
        if self._announcer:
            self._announcer.cancel()
        if self._listener:
            await self._listener.stop()
        if self._file:
            self._file.close()

    async def _announce_forever(self) -> None:
        async with aiosonic.HTTPClient() as client:
            while True:
                await self._announce(client)
                await asyncio.sleep(ANNOUNCE_S)

    async def _announce(self, client: aiosonic.HTTPClient) -> None:
        body = asdict(replace(self.announcement, busy=self.busy))
        headers = {"authorization": f"Bearer {self._token}"}
        seeds = list(self._seeds)
        random.shuffle(seeds)
        for seed in seeds:
            url = f"http://{seed}/announcements"
            try:
                async with asyncio.timeout(ANNOUNCE_TIMEOUT_S):
                    response = await client.post(url, json=body, headers=headers)
                    await response.content()
            except (Exception, TimeoutError):
                continue
            if response.status_code < 300:
                return

    async def _serve(self, request: Request) -> Response:
        if request.method == "GET":
            fields = dict(request.query_params)
        else:
            fields = json.loads(await request.body())
        request_id = fields["id"]
        cost_s = float(fields.get("cost_s", 0.01))
        team = fields.get("team", "")
        match self.announcement.kind:
            case PoolKind.MODEL:
                chunks = int(fields.get("chunks", 5))
                resume_after = int(request.headers.get("last-event-id", "0"))
                events = self._generate(
                    request, request_id, team, cost_s, chunks, resume_after
                )
                return StreamingResponse(events, media_type="text/event-stream")
            case PoolKind.SERVICE:
                return await self._run_plain(request, request_id, team, cost_s)

    async def _generate(self, request, request_id, team, cost_s, chunks, resume_after):
        self._start(request, request_id, team, resumed=resume_after > 0)
        is_complete = False
        try:
            for number in range(resume_after + 1, chunks + 1):
                await asyncio.sleep(cost_s / chunks)
                yield event_bytes(request_id, number)
            is_complete = True
        finally:
            self._end(request, request_id, team, is_complete, resumed=resume_after > 0)

    async def _run_plain(self, request, request_id, team, cost_s) -> Response:
        self._start(request, request_id, team)
        is_complete = False
        try:
            await asyncio.sleep(cost_s)
            is_complete = True
        finally:
            self._end(request, request_id, team, is_complete)
        return JSONResponse(json.loads(response_text(request_id)))

    def _start(self, request, request_id, team, resumed=False) -> None:
        self.busy += 1
        self._record_event(request, request_id, team, "start", resumed=resumed)

    def _end(self, request, request_id, team, is_complete, resumed=False) -> None:
        self.busy -= 1
        self._record_event(request, request_id, team, "end", is_complete, resumed)

    def _record_event(
        self, request, request_id, team, event, is_complete=False, resumed=False
    ):
        record = RunRecord(
            request_id,
            team,
            self.announcement.name,
            self.pool,
            event,
            now(),
            is_complete,
            resumed,
            request.method,
        )
        if self._file is None:
            self.records.append(record)
            return
        # One write per line, so that a killed process leaves no partial line.
        os.write(self._file.fileno(), (json.dumps(asdict(record)) + "\n").encode())


app = cyclopts.App(help="Serve one stand-in backend server until it is stopped.")


@app.default
def serve(
    *,
    name: str,
    address: str,
    data_centre: str,
    pool: str,
    slots: int,
    kind: PoolKind,
    model: str = "",
    resumes: bool = False,
    announced: str = "",
    token_file: Path,
    ledger_file: Path,
    seeds: list[str],
) -> None:
    """Serve one stand-in server; SIGUSR1 makes it announce that it leaves."""
    announcement = ServerAnnouncement(
        name=name,
        incarnation=os.getpid(),
        address=announced or address,
        data_centre=data_centre,
        kind=kind,
        slots=slots,
        model=model,
        resumes_streams=resumes,
        label_by_name={"pool": pool},
    )
    token = token_file.read_text().strip()

    async def main() -> None:
        stand_in = StandInServer(
            announcement, pool, token, tuple(seeds), ledger_file, address
        )
        await stand_in.start()
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        leaving: set[asyncio.Task[None]] = set()
        loop.add_signal_handler(
            signal.SIGUSR1, lambda: leaving.add(loop.create_task(stand_in.leave()))
        )
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        await stop.wait()
        await stand_in.stop()

    asyncio.run(main())


if __name__ == "__main__":
    app()
