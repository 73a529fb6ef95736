"""A TCP relay that can stall its open connections while new ones work."""

import asyncio

READ_BYTES = 65536


class Relay:
    """Forwards TCP connections to a port on loopback."""

    def __init__(self):
        self.target_port = 0
        self.port = 0
        self.stalled_writers = set()
        self.writers = set()
        self.tasks = set()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        upstream = await asyncio.open_connection("127.0.0.1", self.target_port)
        for source, target in ((reader, upstream[1]), (upstream[0], writer)):
            task = asyncio.ensure_future(self.forward(source, target))
            self.tasks.add(task)
        self.writers.add(upstream[1])

    async def forward(self, source, target):
        while data := await source.read(READ_BYTES):
            if target not in self.stalled_writers:
                target.write(data)
                await target.drain()
        target.close()

    def stall_open(self):
        self.stalled_writers |= self.writers
