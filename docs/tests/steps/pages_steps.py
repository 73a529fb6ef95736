"""Steps of ``pages.feature``: documentation and examples agree with the code."""

import re
from pathlib import Path

from behave import then

from almondfield_cli import ExitCode
from almondfield_core.settings import load_settings, read_secret
from almondfield_core.tables import hash_key, load_tables
from make_reference import render_pages

ROOT = Path(__file__).resolve().parents[3]
LINK = re.compile(r"\]\(([^)#:\s]+)(?:#[^)]*)?\)")


def example_folders():
    """Return the folder of every example."""
    return sorted(path.parent for path in ROOT.glob("examples/*/tables.toml"))


def settings_paths(folder):
    """Return the paths of the settings of every daemon of an example."""
    return [
        path
        for path in sorted(folder.rglob("*.toml"))
        if path.name != "tables.toml" and "data" not in path.parts
    ]


@then('"tools/make_reference.py --check" finds nothing to write')
def step_impl(context):
    for name, text in render_pages().items():
        path = ROOT / "docs" / "reference" / name
        assert path.read_text() == text + "\n", f"{name} is out of date"


@then("every relative link of a page resolves to a file")
def step_impl(context):
    pages = [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]
    pages += ROOT.glob("examples/**/*.md")
    broken = [
        (str(page.relative_to(ROOT)), link)
        for page in pages
        for link in LINK.findall(page.read_text())
        if not (page.parent / link).exists()
    ]
    assert len(pages) > 5
    assert not broken, broken


@then("the settings of every example have no findings")
def step_impl(context):
    for folder in example_folders():
        for path in settings_paths(folder):
            loaded = load_settings(path).unwrap()
            assert path.stem in (loaded.host, "almondfieldd"), path


@then("the tables of every example have no findings")
def step_impl(context):
    for folder in example_folders():
        assert load_tables(folder / "tables.toml").is_ok(), folder


@then("the secrets of every example can be read")
def step_impl(context):
    for folder in example_folders():
        security = load_settings(settings_paths(folder)[0]).unwrap().security
        for name in vars(security).values():
            assert read_secret(ROOT / name).is_ok(), name


@then('"{name}" has {hosts:d} hosts in {data_centres:d} data centres, {teams:d} teams')
def step_impl(context, name, hosts, data_centres, teams):
    folder = ROOT / "examples" / name
    paths = settings_paths(folder)
    loaded = load_settings(paths[0]).unwrap()
    tables = load_tables(folder / "tables.toml").unwrap()
    assert len(paths) == len(loaded.hosts) == hosts
    assert len({host.data_centre for host in loaded.hosts}) == data_centres
    assert len({route.team for route in tables.routes}) == teams


@then('the key of every team is "{prefix}" followed by its name')
def step_impl(context, prefix):
    for folder in example_folders():
        routes = load_tables(folder / "tables.toml").unwrap().routes
        teams_with_keys = {route.team for route in routes if route.key_hashes}
        assert teams_with_keys == {route.team for route in routes}
        for route in routes:
            expected = (hash_key(prefix + route.team),)
            assert route.key_hashes in ((), expected), route


@then('every exit code is listed in "{page}"')
def step_impl(context, page):
    text = (ROOT / page).read_text()
    for code in ExitCode:
        assert f"| {code.value} |" in text, code
