"""Conversion of changes of whole tables into changes of rows."""

import asyncio

from almondfield_core.messages import RowChange, TableChange
from almondfield_core.ports import TableView
from almondfield_core.tables import TableRows, Tables, rows_between

__all__ = ["always_conflicting", "to_row_change"]

# Comparing more rows on the event loop would delay heartbeats and lease renewals.
MAX_ROWS_ON_LOOP = 1_000
CATCH_UP_TIMEOUT_S = 1.0
NO_REVISION = -1


async def to_row_change(view: TableView, change: TableChange) -> RowChange | None:
    """Return a change of whole tables as a change of rows.

    The rows are the difference from the revision that the change expects. If the host
    already has a later revision, the change can no longer be accepted and needs no
    rows; the control group then replies with its first answer, or with the conflict.

    :param view: the tables of this host.
    :param change: the change.
    :returns: None if this host does not receive the expected revision in time.
    """
    tables = await _tables_at(view, change.expect_revision)
    if tables is None:
        return None
    if tables.revision > change.expect_revision:
        return _with_rows(change, TableRows())
    new_tables = Tables(tables.revision, change.pools, change.routes)
    if len(tables.routes) + len(new_tables.routes) <= MAX_ROWS_ON_LOOP:
        return _with_rows(change, rows_between(tables, new_tables))
    return _with_rows(change, await asyncio.to_thread(rows_between, tables, new_tables))


def always_conflicting(change: TableChange | RowChange) -> RowChange:
    """Return a change with the same identifier that conflicts at every revision.

    :param change: the change whose rows are dropped.
    """
    return RowChange(change.change_id, change.author, NO_REVISION, TableRows())


def _with_rows(change: TableChange, rows: TableRows) -> RowChange:
    return RowChange(change.change_id, change.author, change.expect_revision, rows)


async def _tables_at(view: TableView, revision: int) -> Tables | None:
    try:
        async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
            return await view.wait_for_revision(revision - 1)
    except TimeoutError:
        return None
