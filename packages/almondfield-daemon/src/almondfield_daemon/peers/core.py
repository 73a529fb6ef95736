"""The ``Peers`` port over pynng."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import eliot
from result import Err, Ok, Result

from almondfield_core.clock import Beat
from almondfield_core.ports import LinkFailure
from almondfield_core.settings import DaemonSettings, HostSettings
from almondfield_core.wire import decode_message, encode_message, kind_of
from almondfield_daemon.peers.frames import Envelope, Frame, FrameSeal, Purpose
from almondfield_daemon.peers.inbox import Inbox
from almondfield_daemon.peers.link import OutgoingLink
from almondfield_daemon.peers.meter import FRAMES, Meter, PeerStats
from almondfield_daemon.peers.sockets import PynngSockets, Sockets

__all__ = ["PynngPeers"]

FRAME_OVERHEAD_BYTES = 1024 * 1024
BEATS_PER_CHECK = 3

Handler = Callable[[str, Any], Awaitable[Any]]


class PynngPeers:
    """Messages to and from the other hosts.

    One task per peer sends, one per sender hands messages over in order.

    :param settings: settings of this daemon.
    :param secret: the secret that all hosts share.
    :param incarnation: number that grows with each start of this host.
    :param sockets: opens connections; pynng's if None.
    :param reach: returns how a host is reached that neither the settings nor the
        host itself has told of; None where such hosts are unknown.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        secret: bytes,
        incarnation: int,
        sockets: Sockets | None = None,
        reach: Callable[[str], HostSettings] | None = None,
    ) -> None:
        self._reach = reach
        self._settings = settings
        self._incarnation = incarnation
        self._seal = FrameSeal(secret)
        self._meter = Meter()
        self._sockets = sockets or PynngSockets(
            settings.limits.max_tables_bytes + FRAME_OVERHEAD_BYTES
        )
        self._host_by_name = {host.name: host for host in settings.hosts}
        self._own = self._host_by_name[settings.host]
        self._configured = frozenset(self._host_by_name)
        self._link_by_host: dict[str, OutgoingLink] = {}
        self._inbox_by_host: dict[str, Inbox] = {}
        self._handler_by_kind: dict[str, Handler] = {}
        self._waiting_kinds: set[str] = set()
        self._reply_by_tag: dict[int, asyncio.Future[Any]] = {}
        self._next_tag = 0
        self._kept: tuple[str, ...] = ()
        self._tasks: asyncio.TaskGroup | None = None

    @property
    def host(self) -> str:
        """Return the name of this host."""
        return self._own.name

    async def run(self) -> None:
        """Listen, send and hand over until cancelled."""
        address = f"{self._own.address}:{self._own.peer_port}"
        source = self._sockets.listen(address, self._receive)
        try:
            async with asyncio.TaskGroup() as tasks:
                self._tasks = tasks
                for part in (*self._link_by_host.values(), *self._inboxes()):
                    tasks.create_task(part.run())
                tasks.create_task(self._keep_links())
        finally:
            self._tasks = None
            source.close()

    def send(self, to: str, message: object) -> None:
        """Queue a one-way message; it is dropped where the path is down."""
        self._post(to, message, Purpose.ONE_WAY, 0)

    async def ask(
        self, to: str, message: object, timeout_s: float
    ) -> Result[Any, LinkFailure]:
        """Return the reply of a peer's handler to a message."""
        self._next_tag += 1
        tag = self._next_tag
        reply = asyncio.get_running_loop().create_future()
        self._reply_by_tag[tag] = reply
        try:
            if not self._post(to, message, Purpose.ASK, tag):
                return Err(LinkFailure(to, "no host of that name is known"))
            async with asyncio.timeout(timeout_s):
                return Ok(await reply)
        except TimeoutError:
            return Err(LinkFailure(to, f"no reply within {timeout_s} s"))
        finally:
            del self._reply_by_tag[tag]
            self._withdraw(to, tag, reply)

    def listen(self, message_type: type, handler: Handler, waits: bool = False) -> None:
        """Register the handler of a message type."""
        kind = kind_of(message_type)
        self._handler_by_kind[kind] = handler
        if waits:
            self._waiting_kinds.add(kind)

    def is_reachable(self, host: str) -> bool:
        """Return whether the path to a host and back works, as heartbeats show.

        The question starts heartbeats, so that a later one finds an answer.
        """
        if host == self.host:
            return True
        link = self._link(host)
        if link is None:
            return False
        link.use()
        return link.path.is_open

    def learn_host(self, host: HostSettings) -> None:
        """Take note of a host that the settings don't name.

        :param host: the host; ignored where the settings have one of its name.
        """
        if host.name in self._configured or self._host_by_name.get(host.name) == host:
            return
        self._host_by_name[host.name] = host
        link = self._link_by_host.get(host.name)
        if link is not None:
            link.retarget(host)

    def keep_links(self, hosts: Iterable[str]) -> None:
        """Keep heartbeats going with some hosts, also when nothing is sent.

        :param hosts: their names; they replace the ones given before.
        """
        self._kept = tuple(hosts)
        for host in self._kept:
            self.is_reachable(host)

    def known_hosts(self) -> tuple[HostSettings, ...]:
        """Return every host of the settings and every host learned."""
        return tuple(self._host_by_name.values())

    def stats(self) -> PeerStats:
        """Return messages, bytes and processor seconds by kind."""
        links = sum(link.is_active for link in self._link_by_host.values())
        return self._meter.stats(links)

    async def _keep_links(self) -> None:
        beat = Beat(self.host, BEATS_PER_CHECK * self._settings.timing.heartbeat_s)
        while True:
            await beat.wait()
            for host in self._kept:
                self.is_reachable(host)

    def _inboxes(self) -> tuple[Inbox, ...]:
        return tuple(self._inbox_by_host.values())

    def _post(self, to: str, message: object, purpose: Purpose, tag: int) -> bool:
        if to == self.host:
            # Messages to this host itself aren't coded; frozen data needs no copy.
            envelope = Envelope(kind_of(type(message)), message, purpose, tag)
            self._take_local(envelope)
            return True
        link = self._link(to)
        if link is None:
            self._meter.dropped("unknown host")
            return False
        kind = kind_of(type(message))
        with self._meter.work(kind):
            body = encode_message(message)
        self._meter.sent(kind, len(body))
        link.post(Envelope(kind, body, purpose, tag))
        return True

    def _withdraw(self, to: str, tag: int, reply: asyncio.Future[Any]) -> None:
        link = self._link_by_host.get(to)
        if link is not None and not (reply.done() and not reply.cancelled()):
            link.withdraw(tag)

    def _link(self, host: str) -> OutgoingLink | None:
        link = self._link_by_host.get(host)
        if link is not None:
            return link
        target = self._host_by_name.get(host)
        if target is None and self._reach is not None:
            target = self._host_by_name[host] = self._reach(host)
        if target is None:
            return None
        link = OutgoingLink(
            self._own,
            self._incarnation,
            target,
            self._sockets,
            self._seal,
            self._meter,
            self._settings.timing,
        )
        self._link_by_host[host] = link
        if self._tasks is not None:
            self._tasks.create_task(link.run())
        return link

    def _inbox(self, host: str) -> Inbox:
        inbox = self._inbox_by_host.get(host)
        if inbox is None:
            inbox = Inbox(lambda envelope: self._hand_over(host, envelope), self._meter)
            self._inbox_by_host[host] = inbox
            if self._tasks is not None:
                self._tasks.create_task(inbox.run())
        return inbox

    def _receive(self, sealed: bytes) -> None:
        with self._meter.work(FRAMES):
            opened = self._seal.open(sealed)
        match opened:
            case Ok(frame):
                self._meter.received(FRAMES, len(sealed))
                self._take(frame)
            case Err(error):
                self._meter.dropped(str(error).partition(":")[0])

    def _take(self, frame: Frame) -> None:
        if frame.receiver != self.host:
            self._meter.dropped("meant for another host")
            return
        if frame.introduction is not None:
            self.learn_host(frame.introduction)
        link = self._link(frame.sender)
        if link is None:
            self._meter.dropped("unknown sender")
            return
        if frame.wants_echo:
            # Also where the frame is dropped: a sender that knows an earlier
            # incarnation of this host learns of the present one by the answer.
            link.answer_heartbeat(at_once=frame.echo_incarnation != self._incarnation)
        refusal = link.path.refusal(frame)
        if refusal:
            self._meter.dropped(refusal)
            return
        link.note_heard()
        for envelope in frame.envelopes:
            self._take_envelope(frame.sender, envelope)

    def _take_local(self, envelope: Envelope) -> None:
        if envelope.purpose is Purpose.REPLY:
            self._resolve(envelope)
        else:
            self._inbox(self.host).put(envelope)

    def _take_envelope(self, sender: str, envelope: Envelope) -> None:
        self._meter.received(envelope.kind, len(envelope.body))
        if envelope.purpose is Purpose.REPLY:
            self._resolve(envelope)
        else:
            self._inbox(sender).put(envelope)

    def _resolve(self, envelope: Envelope) -> None:
        reply = self._reply_by_tag.get(envelope.tag)
        if reply is None or reply.done():
            self._meter.dropped("late reply")
            return
        message = self._decode(envelope)
        if message is not None:
            reply.set_result(message)

    def _decode(self, envelope: Envelope) -> Any:
        if not isinstance(envelope.body, bytes):
            return envelope.body
        with self._meter.work(envelope.kind):
            decoded = decode_message(envelope.kind, envelope.body)
        if decoded.is_err():
            self._meter.dropped("malformed message")
            return None
        return decoded.unwrap()

    async def _hand_over(self, sender: str, envelope: Envelope) -> None:
        if envelope.kind in self._waiting_kinds and self._tasks is not None:
            self._tasks.create_task(self._handle(sender, envelope))
            return
        await self._handle(sender, envelope)

    async def _handle(self, sender: str, envelope: Envelope) -> None:
        handler = self._handler_by_kind.get(envelope.kind)
        if handler is None:
            self._meter.dropped("no handler")
            return
        message = self._decode(envelope)
        if message is None:
            return
        try:
            answer = await self._meter.handling(envelope.kind, handler(sender, message))
        except Exception:
            # A handler's fault must not end the traffic of every other kind.
            eliot.write_traceback()
            return
        if answer is not None and envelope.purpose is Purpose.ASK:
            self._post(sender, answer, Purpose.REPLY, envelope.tag)
