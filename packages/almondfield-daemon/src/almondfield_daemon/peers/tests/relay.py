"""A TCP relay whose open connections can go silent while new ones work."""

import asyncio

PIECE_BYTES = 65536


class Relay:
    """Forwards connections to a port on loopback."""

    def __init__(self):
        self.target_port = 0
        self.port = 0
        self.silent_writers = set()
        self.writers = set()
        self.tasks = set()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        onward = await asyncio.open_connection("127.0.0.1", self.target_port)
        for source, target in ((reader, onward[1]), (onward[0], writer)):
            task = asyncio.ensure_future(self.pump(source, target))
            self.tasks.add(task)
        self.writers.add(onward[1])

    async def pump(self, source, target):
        while piece := await source.read(PIECE_BYTES):
            if target not in self.silent_writers:
                target.write(piece)
                await target.drain()
        target.close()

    def silence_open(self):
        self.silent_writers |= self.writers
