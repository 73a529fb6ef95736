"""Steps of fleet_settings.feature."""

import tempfile
from pathlib import Path

from behave import given, then, when
from result import Err, Ok

from almondfield_core.settings import load_fleet_settings

COMMON = {
    "address": '"10.0.0.9"',
    "data_centre": '"east"',
    "region": '"north"',
    "peer_port": "7400",
    "seed_addresses": '["10.0.0.1:87", "10.0.0.2:87", "10.0.0.3:87"]',
}
ROUTER = COMMON | {
    "role": '"router"',
    "caller_address": '"10.0.0.9:80"',
    "ready_address": '"10.0.0.9:81"',
}
CONTROL = COMMON | {
    "role": '"control"',
    "control_address": '"10.0.0.9:87"',
    "data_folder": '"/data"',
}


def load(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.toml"
        text = "\n".join(f"{name} = {value}" for name, value in context.items.items())
        path.write_text(text)
        return load_fleet_settings(path)


@given("the settings of a router")
def step_impl(context):
    context.items = dict(ROUTER)


@given("the settings of a control host")
def step_impl(context):
    context.items = dict(CONTROL)


@given("no settings file")
def step_impl(context):
    context.items = None


@when("item {item} has the value {value}")
def step_impl(context, item, value):
    context.items[item] = value


@then("they are read without findings")
def step_impl(context):
    context.loaded = load(context)
    assert isinstance(context.loaded, Ok), context.loaded


@then('its seeds are "{seeds}"')
def step_impl(context, seeds):
    assert context.loaded.ok_value.seeds == tuple(seeds.split(", "))


@then("the router may use {cores:g} cores")
def step_impl(context, cores):
    assert context.loaded.ok_value.cores == cores


@then('a finding names "{place}"')
def step_impl(context, place):
    if context.items is None:
        outcome = load_fleet_settings("missing.toml")
    else:
        outcome = load(context)
    assert isinstance(outcome, Err), outcome
    texts = [str(finding) for finding in outcome.err_value]
    assert any(place in text for text in texts), texts


@then("the shared settings limit a head to {count:d} bytes")
def step_impl(context, count):
    shared = context.loaded.ok_value.daemon_settings()
    assert shared.answers.max_head_bytes == count, shared.answers
