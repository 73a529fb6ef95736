"""Steps of settings.feature."""

import copy
import dataclasses
import tempfile
import tomllib
from pathlib import Path

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from result import Err

from almondfield_core.findings import structure
from almondfield_core.settings import (
    DaemonSettings,
    check_settings,
    load_settings,
    read_secret,
)

VALID = """
host = 'north-1'
data_folder = 'data'
sharing_policy = 'fair-share'
[[hosts]]
name = 'north-1'
data_centre = 'dc-1'
address = '127.0.0.1'
caller_port = 8080
voter = true
[[hosts]]
name = 'north-2'
data_centre = 'dc-2'
address = '127.0.0.2'
[[hosts]]
name = 'north-3'
data_centre = 'dc-2'
address = '127.0.0.3'
[security]
operator_token_file = 'o'
backend_token_file = 'b'
fleet_secret_file = 'f'
[timing]
heartbeat_s = 0.2
[answers]
max_head_bytes = 8192
"""
SECRET_BY_STATE = {
    "is empty": b"",
    "is short": b"hunter2",
    "has two words": b"hunter2 hunter2 hunter2",
    "is not ASCII": b"\xfehunter2hunter2hunter2",
    "is valid": b"0123456789abcdef\n",
}


@given('"{old}" is replaced by "{new}"')
def step_impl(context, old, new):
    text = getattr(context, "settings_text", VALID)
    assert old in text
    context.settings_text = text.replace(old, new, 1)


@when("the settings are loaded")
def step_impl(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.toml"
        path.write_text(getattr(context, "settings_text", VALID))
        context.loaded = load_settings(path)


@then('the host is "{host}" and listens on "{address}"')
def step_impl(context, host, address):
    loaded = context.loaded.unwrap()
    assert loaded.host == host
    assert loaded.hosts[0].address == address


@then('a finding at "{place}" says "{problem}" and allows "{allowed}"')
def step_impl(context, place, problem, allowed):
    found = [
        (finding.place.partition("settings.toml: ")[2], *dataclasses.astuple(finding))
        for finding in context.loaded.unwrap_err()
    ]
    assert any(
        (found_place, found_problem, found_allowed) == (place, problem, allowed)
        for found_place, _, found_problem, found_allowed in found
    ), found


@then("there are {count:d} findings")
def step_impl(context, count):
    assert len(context.loaded.unwrap_err()) == count, context.loaded


NOT_TEXT = st.one_of(st.integers(), st.booleans(), st.floats(), st.lists(st.none()))
NOT_NUMBER = st.one_of(
    st.text(max_size=4),
    st.booleans(),
    st.just(float("nan")),
    st.just(float("inf")),
    st.integers(max_value=0),
    st.integers(min_value=2**63),
    st.dictionaries(st.text(max_size=2), st.integers(), max_size=1),
)
NOT_TABLE = st.one_of(st.integers(), st.text(max_size=3), st.lists(st.integers()))
UNKNOWN_KEY = st.text(max_size=6).filter(lambda key: key not in tomllib.loads(VALID))
MUTATIONS = st.one_of(
    st.tuples(st.sampled_from(["host", "data_folder"]), NOT_TEXT),
    st.tuples(st.sampled_from(["hosts", "security", "timing", "limits"]), NOT_TABLE),
    st.tuples(
        st.just("timing"),
        st.fixed_dictionaries({"silence_s": NOT_NUMBER}),
    ),
    st.tuples(
        st.just("limits"),
        st.dictionaries(
            st.sampled_from(["max_body_bytes", "max_queued_bytes"]),
            NOT_NUMBER,
            min_size=1,
        ),
    ),
    st.tuples(UNKNOWN_KEY, st.integers()),
)


@then("{count:d} malformed settings each give findings")
def step_impl(context, count):
    examples = []

    @settings(derandomize=True, max_examples=count, database=None, deadline=None)
    @for_all(MUTATIONS)
    def check(mutation):
        item, value = mutation
        if item == "hosts" and value == []:
            value = 0
        values = copy.deepcopy(tomllib.loads(VALID)) | {item: value}
        examples.append(1)
        read = structure(values, DaemonSettings, "settings")
        if isinstance(read, Err):
            assert read.err_value
            return
        assert check_settings(read.ok_value, "settings"), mutation

    check()
    assert len(examples) >= count, len(examples)


@given("a secret file that {state}")
def step_impl(context, state):
    context.folder = tempfile.TemporaryDirectory()
    context.secret_path = Path(context.folder.name) / "secret"
    if state in SECRET_BY_STATE:
        context.secret_path.write_bytes(SECRET_BY_STATE[state])


@when("the secret is read")
def step_impl(context):
    context.secret = read_secret(context.secret_path)
    context.folder.cleanup()


@then('the finding says "{problem}" and does not show the secret')
def step_impl(context, problem):
    finding = context.secret.unwrap_err()
    assert problem in finding.problem, finding
    assert "hunter2" not in str(finding)


@then('the secret is "{secret}"')
def step_impl(context, secret):
    assert context.secret.unwrap() == secret
