"""Background tasks of one member."""

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["BackgroundTasks"]


class BackgroundTasks:
    """Runs tasks whose failure ends the member.

    A member must not go on with a part of its tasks missing.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._failures: asyncio.Queue[BaseException] = asyncio.Queue()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Return a task that runs a coroutine.

        :param coroutine: the coroutine.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def raise_failure(self) -> None:
        """Raise the first failure of a task."""
        raise await self._failures.get()

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failures.put_nowait(task.exception())
