"""How far the caller of a stream has got, over all servers that send parts of it."""

from collections.abc import Callable

from almondfield_core.messages import ServerFailure
from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.forwarding.answers import stream_headers
from almondfield_daemon.forwarding.delivery import AnswerDelivery
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.ports import StreamOrigins
from almondfield_daemon.forwarding.selected_server import SelectedServer
from almondfield_daemon.forwarding.servers import ServerSelector
from almondfield_daemon.forwarding.silence_watch import SilenceWatch
from almondfield_daemon.forwarding.take_up import make_origins
from almondfield_daemon.router.calls import AnswerCutError, BackendAnswer
from almondfield_daemon.router.events import EventTracker

__all__ = ["WRONG_VERSION", "StreamProgress"]

WRONG_VERSION = "the server restarted with another version"


class StreamProgress:
    """Sends the events of a stream and knows where another answer has to go on.

    :param request: the request.
    :param servers: knows the versions of servers.
    :param origins: knows where streams began.
    :param delivery: the answer to the caller.
    :param max_event_bytes: limit on one event, in bytes.

    :ivar version: version at which the stream has to go on; None before its first
        event.
    :ivar last_event_id: last event that the caller has got; empty for none.
    :ivar unfinished_bytes: bytes after the last complete event of the last answer.
    """

    def __init__(
        self,
        request: ForwardRequest,
        servers: ServerSelector,
        origins: StreamOrigins,
        delivery: AnswerDelivery,
        max_event_bytes: int,
    ) -> None:
        self._request = request
        self._servers = servers
        self._origins = origins
        self._delivery = delivery
        self._tracker = EventTracker(max_event_bytes)
        self._is_version_known = True
        self.version = request.stream_version
        self.last_event_id = request.metadata.last_event_id
        self.unfinished_bytes = 0

    def can_go_on(self) -> bool:
        """Return whether another answer can go on where this one has ended."""
        if not self._delivery.is_started:
            return True
        return self._is_version_known and self._tracker.last_id is not None

    def has_wrong_version(self, server: FleetServer) -> bool:
        """Return whether a server can't go on with the stream after a restart.

        :param server: the server as it was when it was chosen.
        """
        return self.version is not None and self._servers.has_changed_version(
            self._request.pool, server
        )

    async def forward(
        self,
        answer: BackendAnswer,
        selected: SelectedServer,
        watch: SilenceWatch,
        on_first_event: Callable[[], None],
    ) -> None:
        """Send complete events as they arrive.

        :param answer: the answer of a server.
        :param selected: the server.
        :param watch: watches the waits for it.
        :param on_first_event: called when the first event of this answer has arrived.
        :raises AnswerCutError: if the answer ends early or can't be used.
        """
        headers = stream_headers(answer)
        tracker = self._tracker
        has_events = False
        watch.begin()
        async for chunk in answer.chunks():
            watch.end()
            if not has_events and self.has_wrong_version(selected.server):
                raise AnswerCutError(ServerFailure.STREAM, WRONG_VERSION)
            events = tracker.feed(chunk)
            if events:
                if not has_events:
                    has_events = True
                    on_first_event()
                selected.begin_answer()
                self._record_origin(selected.server)
                await self._delivery.start(answer.status, headers)
                await self._delivery.send_events(events)
            watch.begin()
        watch.end()
        await self._delivery.start(answer.status, headers)
        self.unfinished_bytes = tracker.unfinished_bytes
        await self._delivery.finish(tracker.take_remainder())

    def cut(self) -> None:
        """Record that an answer has ended early."""
        tracker = self._tracker
        self.unfinished_bytes = tracker.unfinished_bytes
        tracker.restart()
        if tracker.last_id is not None:
            self.last_event_id = tracker.last_id.decode("latin-1")

    def _record_origin(self, server: FleetServer) -> None:
        """Record where the stream began, before its caller has an event."""
        if not self._delivery.is_started:
            self.version = server.version
            has_changed = self._servers.has_changed_version(self._request.pool, server)
            self._is_version_known = not has_changed
            if self._request.route.is_resumable and not has_changed:
                for origin in make_origins(self._request, server):
                    self._origins.record(origin)
