"""Steps of events.feature."""

import itertools

from behave import then, when
from hypothesis import given as given_values
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from almondfield_daemon.router.events import EventBoundary, EventTracker

MAX_EVENT_BYTES = 1024


@when('a stream "{text}" ends')
def step_impl(context, text):
    context.stream = text.replace("\\r", "\r").replace("\\n", "\n").encode()


@when('a stream "" ends')
def step_impl(context):
    context.stream = b""


@then("it ends {where} an event, however it is split into chunks")
def step_impl(context, where):
    stream = context.stream

    @hypothesis_settings(derandomize=True, max_examples=200, deadline=None)
    @given_values(st.lists(st.integers(0, len(stream)), max_size=len(stream)))
    def check(cuts):
        boundary = EventBoundary(MAX_EVENT_BYTES)
        ends = [0, *sorted(cuts), len(stream)]
        for start, end in itertools.pairwise(ends):
            boundary.feed(stream[start:end])
        assert boundary.is_inside_event == (where == "inside"), (ends, stream)

    check()


def cut(stream, cuts):
    """Return the parts of a stream that is cut at some places."""
    ends = [0, *sorted(min(place, len(stream)) for place in cuts), len(stream)]
    return [stream[start:end] for start, end in itertools.pairwise(ends)]


BLANK_LINES = (b"\n\n", b"\r\n\r\n")
LINE_ENDS = st.sampled_from((b"\n", b"\r\n"))
EVENTS = st.builds(
    lambda lines, end: end.join((*lines, b"", b"")),
    st.lists(st.sampled_from((b"data: a", b"id: 1", b":")), min_size=1, max_size=4),
    LINE_ENDS,
)
CUTS = st.lists(st.integers(0, 200), max_size=30)


@then("events of 1 to 40 bytes with any line ends are found in any chunks")
def step_impl(context):
    @hypothesis_settings(derandomize=True, max_examples=500, deadline=None)
    @given_values(st.lists(EVENTS, max_size=6), CUTS)
    def check(events, cuts):
        stream = b"".join(events)
        boundary = EventBoundary(40)
        tracker = EventTracker(40)
        received = b""
        for part in cut(stream, cuts):
            boundary.feed(part)
            received += tracker.feed(part)
            assert stream.startswith(received)
            assert not received or received.endswith(BLANK_LINES), received
        assert not boundary.is_oversized, (events, cuts)
        assert not boundary.is_inside_event
        assert received == stream, (events, cuts)

    check()


@then("a stream with an event of more than 40 bytes is oversized in any chunks")
def step_impl(context):
    @hypothesis_settings(derandomize=True, max_examples=500, deadline=None)
    @given_values(st.lists(EVENTS, max_size=3), st.integers(0, 60), LINE_ENDS, CUTS)
    def check(events, length, end, cuts):
        event = b"data: " + b"a" * (40 + length - 2 * len(end) - 6) + end + end
        stream = b"".join((*events, event, b"data: b" + end + end))
        boundary = EventBoundary(40)
        tracker = EventTracker(40)
        received = b""
        for part in cut(stream, cuts):
            boundary.feed(part)
            if boundary.is_oversized:
                break
            received += tracker.feed(part)
            assert not received or received.endswith(BLANK_LINES), received
        assert boundary.is_oversized == (length > 0), (events, cuts)

    check()


@then('more than 40 bytes of "{text}" between two events are found in any chunks')
def step_impl(context, text):
    filler = text.replace("\\r", "\r").replace("\\n", "\n").encode()

    @hypothesis_settings(derandomize=True, max_examples=300, deadline=None)
    @given_values(st.integers(0, 60 // len(filler)), CUTS)
    def check(count, cuts):
        stream = b"data: a\n\n" + count * filler + b"data: a\n\n"
        boundary = EventBoundary(MAX_EVENT_BYTES, 40)
        for part in cut(3 * stream, cuts):
            boundary.feed(part)
        # The end of the event's last line and its blank line count as well.
        is_longer = len(b"\n\n") + count * len(filler) > 40
        assert boundary.is_eventless == is_longer, (count, cuts)

    check()
