"""How far the caller of a stream has got, over all servers that send parts of it."""

from collections.abc import Callable

from almondfield_core.messages import ServerFailure
from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.forwarding.answers import stream_headers
from almondfield_daemon.forwarding.attempt_log import log_resumed_stream
from almondfield_daemon.forwarding.delivery import AnswerDelivery
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.outcomes import Answered
from almondfield_daemon.forwarding.pacing import StreamPace, StreamPacing
from almondfield_daemon.forwarding.ports import StreamOrigins
from almondfield_daemon.forwarding.selected_server import SelectedServer
from almondfield_daemon.forwarding.servers import ServerSelector
from almondfield_daemon.forwarding.silence_watch import SilenceWatch
from almondfield_daemon.forwarding.take_up import make_origins
from almondfield_daemon.router.calls import (
    FIRST_ERROR_STATUS,
    SUCCESS_STATUSES,
    AnswerCutError,
)
from almondfield_daemon.router.events import EventTracker
from almondfield_daemon.router.joining import (
    WRONG_VERSION,
    AnswerHead,
    StreamPosition,
    find_obstacle,
)

__all__ = ["StreamProgress"]


class StreamProgress:
    """Sends the events of a stream and knows where another answer has to go on.

    :param request: the request.
    :param servers: knows the versions of servers.
    :param origins: knows where streams began.
    :param delivery: the answer to the caller.
    :param pacing: the work that all streams may cause, and the limits on answers.

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
        pacing: StreamPacing,
    ) -> None:
        self._request = request
        self._servers = servers
        self._origins = origins
        self._delivery = delivery
        self._max_event_bytes = max_event_bytes = pacing.limits.max_event_bytes
        self._pace = StreamPace(pacing)
        position = None
        if request.takes_up_stream:
            # The caller misses an event, or it would not ask for the rest.
            last_id = request.metadata.last_event_id.encode("latin-1")
            position = StreamPosition(last_id, is_event_due=True)
        self._tracker = EventTracker(max_event_bytes, position)
        self._is_version_known = True
        self.version = request.stream_version
        self.last_event_id = request.metadata.last_event_id
        self.unfinished_bytes = 0

    @property
    def slowed_s(self) -> float:
        """Return the seconds that the stream waited as it had sent too much."""
        return self._pace.waited_s

    def can_go_on(self) -> bool:
        """Return whether another answer can go on where this one has ended."""
        if not self._delivery.is_started:
            return True
        return self._is_version_known and self._tracker.last_id is not None

    def has_wrong_version(self, server: FleetServer) -> bool:
        """Return whether a server may have restarted, and can't go on with the stream.

        :param server: the server as it was when it was chosen.
        """
        return self.version is not None and self._servers.may_have_changed_version(
            self._request.pool, server
        )

    def check_head(self, answered: Answered, server: FleetServer) -> None:
        """Return if an answer may be sent to the caller, as far as its head tells.

        :param answered: the answer.
        :param server: its server.
        :raises AnswerCutError: if it can't be used; another one may replace it.
        """
        status = answered.answer.status
        if self._goes_on(answered):
            obstacle = self._find_obstacle(answered, server)
            log_resumed_stream(
                self._request, server, self.last_event_id, answered, obstacle
            )
            if obstacle:
                raise AnswerCutError(ServerFailure.STREAM, obstacle)
        elif status >= FIRST_ERROR_STATUS and self._request.route.is_resumable:
            reason = f"the stream has status {status}"
            raise AnswerCutError(ServerFailure.STREAM, reason)

    async def forward(
        self,
        answered: Answered,
        selected: SelectedServer,
        watch: SilenceWatch,
        on_first_event: Callable[[], None],
    ) -> None:
        """Send complete events as they arrive.

        :param answered: the answer of a server.
        :param selected: the server.
        :param watch: watches the waits for it.
        :param on_first_event: called when the first event of this answer has arrived.
        :raises AnswerCutError: if the answer ends early or can't be used.
        """
        answer = answered.answer
        headers = stream_headers(answer)
        tracker = self._tracker
        if self._request.takes_up_stream and not self._goes_on(answered):
            # A failure is an answer of its own, and no part of the stream.
            tracker = EventTracker(self._max_event_bytes)
        has_events = False
        watch.begin()
        async for chunk in answer.chunks():
            watch.end()
            awaits_join = tracker.has_begun and not has_events
            if awaits_join and self.has_wrong_version(selected.server):
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
            _raise_if(tracker.obstacle)
            await self._pace.spend(len(chunk), tracker.take_block_count())
            watch.begin()
        watch.end()
        self.unfinished_bytes = tracker.unfinished_bytes
        rest = tracker.finish()
        _raise_if(tracker.obstacle)
        await self._delivery.start(answer.status, headers)
        await self._delivery.finish(rest)

    def cut(self) -> None:
        """Record that an answer has ended early."""
        tracker = self._tracker
        self.unfinished_bytes = tracker.unfinished_bytes
        tracker.restart()
        if tracker.last_id is not None:
            self.last_event_id = tracker.last_id.decode("latin-1")

    def _goes_on(self, answered: Answered) -> bool:
        """Return whether the bytes of an answer are to follow earlier events.

        A caller that takes a stream up gets a failure as it is.
        """
        if self._delivery.is_started:
            return True
        is_success = answered.answer.status in SUCCESS_STATUSES
        return self._request.takes_up_stream and is_success

    def _find_obstacle(self, answered: Answered, server: FleetServer) -> str:
        """Return why an answer may not go on with the stream; empty if it may."""
        answer, metadata = answered.answer, answered.metadata
        return find_obstacle(
            AnswerHead(
                status=answer.status,
                headers=answer.headers,
                is_encoded=metadata.is_encoded,
                names_request=metadata.request_id == self._request.metadata.request_id,
                is_signed=metadata.is_signed,
                has_wrong_version=self.has_wrong_version(server),
            )
        )

    def _record_origin(self, server: FleetServer) -> None:
        """Record where the stream began, before its caller has an event."""
        if not self._delivery.is_started:
            self.version = server.version
            has_changed = self._servers.may_have_changed_version(
                self._request.pool, server
            )
            self._is_version_known = not has_changed
            if self._request.route.is_resumable and not has_changed:
                for origin in make_origins(self._request, server):
                    self._origins.record(origin)


def _raise_if(obstacle: str) -> None:
    """Raise an error if an answer can't go on with a stream."""
    if obstacle:
        raise AnswerCutError(ServerFailure.STREAM, obstacle)
