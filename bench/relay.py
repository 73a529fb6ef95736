"""A TCP relay that can silence open connections while new ones work."""

import asyncio
import contextlib

__all__ = ["Relay"]

CHUNK_BYTES = 64 * 1024


class Relay:
    """Forwards bytes between a port and a target.

    :param listen: ``address:port`` to listen on.
    :param target: ``address:port`` to connect to.
    :ivar cut: whether every connection is silent.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.listen = listen
        self.target = target
        self.cut = False
        self._generation = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start accepting connections."""
        host, port = self.listen.rsplit(":", 1)
        self._server = await asyncio.start_server(self._forward, host, int(port))

    def silence_open_connections(self) -> None:
        """Stop forwarding on open connections, without closing them."""
        self._generation += 1

    async def stop(self) -> None:
        """Close the relay and its connections."""
        if self._server:
            self._server.close()
        for task in set(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _forward(self, reader, writer) -> None:
        generation = self._generation
        host, port = self.target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        copiers = [
            asyncio.create_task(self._copy(reader, target_writer, generation)),
            asyncio.create_task(self._copy(target_reader, writer, generation)),
        ]
        self._tasks.update(copiers)
        for copier in copiers:
            copier.add_done_callback(self._tasks.discard)

    async def _copy(self, reader, writer, generation: int) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while True:
                data = await reader.read(CHUNK_BYTES)
                if generation != self._generation or self.cut:
                    # Forward neither bytes nor the end of the connection.
                    await self._wait_while_silent(generation)
                    continue
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        writer.close()

    async def _wait_while_silent(self, generation: int) -> None:
        if generation != self._generation:
            await asyncio.Event().wait()
        while self.cut:
            await asyncio.sleep(0.05)
