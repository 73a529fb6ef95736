"""Implementation of the ``Peers`` port over pynng."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any

import eliot
from result import Err, Ok, Result

from almondfield_core.clock import ArrivalTimeout, PeriodicTimer, now
from almondfield_core.containment import contain_errors
from almondfield_core.ports import LinkFailure
from almondfield_core.settings import DaemonSettings, HostSettings
from almondfield_core.wire import (
    WireError,
    decode_message,
    encode_message,
    kind_of,
)
from almondfield_daemon.peers.envelope_queue import ByteBudget
from almondfield_daemon.peers.frames import (
    FRAME_OVERHEAD_BYTES,
    MAX_MESSAGE_BYTES,
    MAX_PAYLOAD_BYTES,
    Envelope,
    Frame,
    FrameSeal,
    Purpose,
)
from almondfield_daemon.peers.inbox import Inbox
from almondfield_daemon.peers.link import OutgoingLink
from almondfield_daemon.peers.message_counters import FRAMES, MessageCounters, PeerStats
from almondfield_daemon.peers.sockets import PynngSockets, Sockets
from almondfield_daemon.peers.turns import HandlingTurns

__all__ = ["PynngPeers"]

HEARTBEATS_PER_CHECK = 3
MAX_QUEUED_BYTES = 32 * 1024 * 1024
MAX_LATE_REQUESTS = 1000  # without a timely reply; some seconds of a busy router
MS_PER_S = 1000
UNKNOWN_HOST = "unknown host"
UNENCODABLE = "can't be encoded"
TOO_LARGE = "message too large"

Handler = Callable[[str, Any], Awaitable[Any]]


@dataclass(frozen=True)
class _LateRequest:
    """A request whose timeout has passed without a reply.

    :ivar host: the host that it was sent to.
    :ivar sent_s: when it was sent, in seconds of the loop's clock.
    :ivar on_late: called with its reply; None to drop the reply.
    """

    host: str
    sent_s: float
    on_late: Callable[[Any], None] | None


class PynngPeers:
    """Messages to and from the other hosts.

    There is one sending task per receiver, and one task per sender that passes its
    messages to their handlers in order.

    :param settings: settings of this daemon.
    :param secret: the secret that all hosts share.
    :param incarnation: incarnation of this host; it increases with each start.
    :param sockets: opens connections; those of pynng if None.
    :param resolve_host: returns the settings of a host by name if neither the settings
        nor an introduction of the host has them; None if such hosts are unknown.
    :param on_reply: called with the host of each reply, also of a late one, and the
        seconds since its request was sent.
    :param max_queued_bytes: size of the large messages that wait to be sent, and of
        those that wait for their handlers, in bytes.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        secret: bytes,
        incarnation: int,
        sockets: Sockets | None = None,
        resolve_host: Callable[[str], HostSettings] | None = None,
        on_reply: Callable[[str, float], None] = lambda host, reply_time_s: None,
        max_queued_bytes: int = MAX_QUEUED_BYTES,
    ) -> None:
        self._resolve_host = resolve_host
        self._on_reply = on_reply
        self._queued = ByteBudget(max_queued_bytes)
        self._unhandled = ByteBudget(max_queued_bytes)
        self._settings = settings
        self._incarnation = incarnation
        self._seal = FrameSeal(secret)
        self._counters = MessageCounters()
        self._sockets = sockets or PynngSockets(
            MAX_PAYLOAD_BYTES + FRAME_OVERHEAD_BYTES
        )
        self._host_by_name = {host.name: host for host in settings.hosts}
        self._own_host = self._host_by_name[settings.host]
        self._configured_hosts = frozenset(self._host_by_name)
        self._link_by_host: dict[str, OutgoingLink] = {}
        self._inbox_by_host: dict[str, Inbox] = {}
        self._handler_by_kind: dict[str, Handler] = {}
        self._concurrent_kinds: set[str] = set()
        self._turns = HandlingTurns()
        self._handling_delay_s = 0.0
        self._reply_by_tag: dict[int, asyncio.Future[Any]] = {}
        self._late_by_tag: OrderedDict[int, _LateRequest] = OrderedDict()
        self._next_tag = 0
        self._monitored_hosts: tuple[str, ...] = ()
        self._tasks: asyncio.TaskGroup | None = None

    @property
    def host(self) -> str:
        """Return the name of this host."""
        return self._own_host.name

    @property
    def handling_delay_s(self) -> float:
        """Return how long the message that is handled now waited for its handler."""
        return self._handling_delay_s

    async def run(self) -> None:
        """Listen, send, and run handlers until cancelled."""
        address = f"{self._own_host.address}:{self._own_host.peer_port}"
        source = self._sockets.listen(address, self._receive)
        try:
            async with asyncio.TaskGroup() as tasks:
                self._tasks = tasks
                for part in (*self._link_by_host.values(), *self._inboxes()):
                    tasks.create_task(part.run())
                tasks.create_task(self._check_links())
        finally:
            self._tasks = None
            source.close()

    def send(self, to: str, message: object) -> None:
        """Queue a one-way message; it is dropped if the path is down."""
        self._post(to, message, Purpose.ONE_WAY, 0)

    async def request(
        self,
        to: str,
        message: object,
        timeout_s: float,
        on_late: Callable[[Any], None] | None = None,
    ) -> Result[Any, LinkFailure]:
        """Return the reply of a peer's handler to a message."""
        self._next_tag += 1
        tag = self._next_tag
        sent_s = now()
        reply = asyncio.get_running_loop().create_future()
        self._reply_by_tag[tag] = reply
        try:
            problem = self._post(to, message, Purpose.REQUEST, tag)
            if problem:
                return Err(LinkFailure(to, problem))
            async with ArrivalTimeout(timeout_s):
                message = await reply
            self._on_reply(to, now() - sent_s)
            return Ok(message)
        except TimeoutError:
            self._record_late(tag, _LateRequest(to, sent_s, on_late))
            return Err(LinkFailure(to, f"no reply within {timeout_s} s"))
        finally:
            del self._reply_by_tag[tag]
            self._cancel_request(to, tag, reply)

    def register_handler(
        self, message_type: type, handler: Handler, concurrent: bool = False
    ) -> None:
        """Register the handler of a message type."""
        kind = kind_of(message_type)
        self._handler_by_kind[kind] = handler
        if concurrent:
            self._concurrent_kinds.add(kind)

    def is_reachable(self, host: str) -> bool:
        """Return whether heartbeats show that the path to a host and back works.

        The call starts heartbeats on the path, so that a later call has a result.
        """
        if host == self.host:
            return True
        link = self._link(host)
        if link is None:
            return False
        link.mark_used()
        return link.path.is_open

    def add_host(self, host: HostSettings) -> None:
        """Add or update a host that the settings don't name.

        :param host: the host; ignored if the settings have a host of that name.
        """
        if (
            host.name in self._configured_hosts
            or self._host_by_name.get(host.name) == host
        ):
            return
        self._host_by_name[host.name] = host
        link = self._link_by_host.get(host.name)
        if link is not None:
            link.set_target(host)

    def keep_links(self, hosts: Iterable[str]) -> None:
        """Exchange heartbeats with some hosts even if no messages are sent.

        :param hosts: names of the hosts; they replace those of earlier calls.
        """
        self._monitored_hosts = tuple(hosts)
        for host in self._monitored_hosts:
            self.is_reachable(host)

    def known_hosts(self) -> tuple[HostSettings, ...]:
        """Return the hosts of the settings and those added at run time."""
        return tuple(self._host_by_name.values())

    def stats(self) -> PeerStats:
        """Return messages, bytes and processor seconds by kind of message."""
        links = sum(link.is_active for link in self._link_by_host.values())
        return self._counters.stats(links)

    async def _check_links(self) -> None:
        check_timer = PeriodicTimer(
            self.host, HEARTBEATS_PER_CHECK * self._settings.timing.heartbeat_s
        )
        while True:
            await check_timer.wait()
            for host in self._monitored_hosts:
                with contain_errors("check of links"):
                    self.is_reachable(host)

    def _inboxes(self) -> tuple[Inbox, ...]:
        return tuple(self._inbox_by_host.values())

    def _post(self, to: str, message: object, purpose: Purpose, tag: int) -> str:
        """Queue a message; return why it is dropped, or nothing if it isn't."""
        if to == self.host:
            # Messages to this host are frozen data, so they need no encoding or copy.
            envelope = Envelope(kind_of(type(message)), message, purpose, tag)
            self._deliver_locally(envelope)
            return ""
        link = self._link(to)
        if link is None:
            return self._drop(UNKNOWN_HOST)
        kind = kind_of(type(message))
        try:
            with self._counters.measure(kind):
                body = encode_message(message)
        except WireError as error:
            return self._drop_message(UNENCODABLE, kind, to, str(error))
        if len(body) > MAX_MESSAGE_BYTES:
            # The other host would drop its frame as often as it is sent.
            detail = f"{len(body)} bytes; at most {MAX_MESSAGE_BYTES}"
            return self._drop_message(TOO_LARGE, kind, to, detail)
        self._counters.count_sent(kind, len(body))
        link.post(Envelope(kind, body, purpose, tag))
        return ""

    def _drop_message(self, reason: str, kind: str, to: str, detail: str) -> str:
        eliot.log_message(
            "peer:message-dropped", kind=kind, peer_host=to, reason=detail
        )
        return self._drop(reason)

    def _drop(self, reason: str) -> str:
        self._counters.count_dropped(reason)
        return reason

    def _cancel_request(self, to: str, tag: int, reply: asyncio.Future[Any]) -> None:
        link = self._link_by_host.get(to)
        if link is not None and not (reply.done() and not reply.cancelled()):
            link.cancel_request(tag)

    def _link(self, host: str) -> OutgoingLink | None:
        link = self._link_by_host.get(host)
        if link is not None:
            return link
        target = self._host_by_name.get(host)
        if target is None and self._resolve_host is not None:
            target = self._host_by_name[host] = self._resolve_host(host)
        if target is None:
            return None
        link = OutgoingLink(
            self._own_host,
            self._incarnation,
            target,
            self._sockets,
            self._seal,
            self._counters,
            self._settings.timing,
            self._queued,
        )
        self._link_by_host[host] = link
        if self._tasks is not None:
            self._tasks.create_task(link.run())
        return link

    def _inbox(self, host: str) -> Inbox:
        inbox = self._inbox_by_host.get(host)
        if inbox is None:
            inbox = Inbox(
                lambda envelope, waited_s: self._dispatch(host, envelope, waited_s),
                self._counters,
                self._unhandled,
                self._turns,
                self._concurrent_kinds.__contains__,
            )
            self._inbox_by_host[host] = inbox
            if self._tasks is not None:
                self._tasks.create_task(inbox.run())
        return inbox

    def _receive(self, sealed: bytes) -> None:
        with self._counters.measure(FRAMES):
            opened = self._seal.open(sealed)
        match opened:
            case Ok(frame):
                self._counters.count_received(FRAMES, len(sealed))
                self._process_frame(frame)
            case Err(error):
                self._counters.count_dropped(str(error).partition(":")[0])
                if error.is_sealed:
                    # It is of a host of the fleet; others could fill the log.
                    eliot.log_message(
                        "peer:frame-dropped", reason=str(error), bytes=len(sealed)
                    )

    def _process_frame(self, frame: Frame) -> None:
        if frame.receiver != self.host:
            self._counters.count_dropped("meant for another host")
            return
        if frame.introduction is not None:
            self.add_host(frame.introduction)
        link = self._link(frame.sender)
        if link is None:
            self._counters.count_dropped("unknown sender")
            return
        if frame.wants_echo:
            # Done even if the frame is dropped: a sender that has an earlier
            # incarnation of this host gets the current one from the heartbeat.
            link.answer_heartbeat(
                immediately=frame.echo_incarnation != self._incarnation
            )
        drop_reason = link.path.record(frame)
        if drop_reason:
            self._counters.count_dropped(drop_reason)
            return
        link.wake_if_queued()
        for envelope in frame.envelopes:
            self._deliver(frame.sender, envelope)

    def _deliver_locally(self, envelope: Envelope) -> None:
        if envelope.purpose is Purpose.REPLY:
            self._complete_request(envelope)
        else:
            self._inbox(self.host).put(envelope)

    def _deliver(self, sender: str, envelope: Envelope) -> None:
        self._counters.count_received(envelope.kind, len(envelope.body))
        if envelope.purpose is Purpose.REPLY:
            self._complete_request(envelope)
        else:
            self._inbox(sender).put(envelope)

    def _complete_request(self, envelope: Envelope) -> None:
        reply = self._reply_by_tag.get(envelope.tag)
        if reply is None or reply.done():
            self._counters.count_dropped("late reply")
            self._process_late(envelope)
            return
        message = self._decode(envelope)
        if message is not None:
            reply.set_result(message)

    def _record_late(self, tag: int, late: "_LateRequest") -> None:
        self._late_by_tag[tag] = late
        if len(self._late_by_tag) > MAX_LATE_REQUESTS:
            self._late_by_tag.popitem(last=False)

    def _process_late(self, envelope: Envelope) -> None:
        late = self._late_by_tag.pop(envelope.tag, None)
        if late is None:
            return
        self._on_reply(late.host, now() - late.sent_s)
        after_ms = round((now() - late.sent_s) * MS_PER_S, 1)
        eliot.log_message("peer:late-reply", kind=envelope.kind, after_ms=after_ms)
        message = None if late.on_late is None else self._decode(envelope)
        if message is not None:
            # The other messages of the frame follow.
            with contain_errors("late reply"):
                late.on_late(message)

    def _decode(self, envelope: Envelope) -> Any:
        if not isinstance(envelope.body, bytes):
            return envelope.body
        with self._counters.measure(envelope.kind):
            decoded = decode_message(envelope.kind, envelope.body)
        if decoded.is_err():
            self._counters.count_dropped("malformed message")
            return None
        return decoded.unwrap()

    async def _dispatch(self, sender: str, envelope: Envelope, waited_s: float) -> None:
        if envelope.kind in self._concurrent_kinds and self._tasks is not None:
            self._tasks.create_task(self._run_handler(sender, envelope, waited_s))
            return
        await self._run_handler(sender, envelope, waited_s)

    async def _run_handler(
        self, sender: str, envelope: Envelope, waited_s: float
    ) -> None:
        handler = self._handler_by_kind.get(envelope.kind)
        if handler is None:
            self._counters.count_dropped("no handler")
            return
        try:
            message = self._decode(envelope)
            if message is None:
                return
            self._handling_delay_s = waited_s
            reply = await self._counters.measure_handler(
                envelope.kind, handler(sender, message)
            )
            if reply is not None and envelope.purpose is Purpose.REQUEST:
                self._post(sender, reply, Purpose.REPLY, envelope.tag)
        except Exception:
            # An error in one handler must not stop messages of every other kind.
            eliot.write_traceback()
