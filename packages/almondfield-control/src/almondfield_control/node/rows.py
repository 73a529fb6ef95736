"""Turns tables as a whole into the rows that a change puts and removes."""

import asyncio

from almondfield_core.messages import RowChange, TableChange
from almondfield_core.ports import TableView
from almondfield_core.tables import TableRows, Tables, rows_between

__all__ = ["rows_of", "void"]

# More rows than these are compared in a thread, to keep heartbeats and leases going.
MAX_ROWS_ON_LOOP = 1_000
CATCH_UP_S = 1.0
NO_REVISION = -1


async def rows_of(view: TableView, change: TableChange) -> RowChange | None:
    """Return a change of whole tables as rows.

    The difference is taken against the revision that the change expects. Once the
    host has a later one, the change cannot be accepted any more and needs no rows;
    the control group then gives its first answer, or the conflict.

    :param view: the tables of this host.
    :param change: the change.
    :returns: None where this host does not get the expected revision in time.
    """
    tables = await _tables_at(view, change.expect_revision)
    if tables is None:
        return None
    if tables.revision > change.expect_revision:
        return _with_rows(change, TableRows())
    wanted = Tables(tables.revision, change.pools, change.routes)
    if len(tables.routes) + len(wanted.routes) <= MAX_ROWS_ON_LOOP:
        return _with_rows(change, rows_between(tables, wanted))
    return _with_rows(change, await asyncio.to_thread(rows_between, tables, wanted))


def void(change: TableChange | RowChange) -> RowChange:
    """Return a change that gets a conflict at every revision, under the same name.

    :param change: the change whose rows are dropped.
    """
    return RowChange(change.change_id, change.author, NO_REVISION, TableRows())


def _with_rows(change: TableChange, rows: TableRows) -> RowChange:
    return RowChange(change.change_id, change.author, change.expect_revision, rows)


async def _tables_at(view: TableView, revision: int) -> Tables | None:
    try:
        async with asyncio.timeout(CATCH_UP_S):
            return await view.wait_change(revision - 1)
    except TimeoutError:
        return None
