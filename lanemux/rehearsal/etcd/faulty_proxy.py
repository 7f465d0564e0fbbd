"""A TCP proxy between a client and a server on loopback that injects faults: splits, stalls and resets."""

from __future__ import annotations

import asyncio
import contextlib
import random

READ_BYTES = 64 * 1024


class FaultyProxy:
    """Forwards connections at `address` to `to`; its fields may be changed at any time."""

    def __init__(self, to: tuple[str, int], seed: int = 1) -> None:
        self.to = to
        self.address = ("", 0)
        self.max_chunk = 0  # writes to the client have a random size from 1 to this many bytes; 0: unlimited
        self.reset_after_bytes = -1  # each connection is reset after this many bytes to the client; -1: never
        self.connections_opened = 0
        self._rng = random.Random(seed)
        self._forwarding = asyncio.Event()
        self._forwarding.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1") -> FaultyProxy:
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()
        return self

    def hold(self, held: bool) -> None:
        """Stop or resume forwarding, with the connections open: neither side notices that nothing gets through."""
        (self._forwarding.clear if held else self._forwarding.set)()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections_opened += 1
        try:
            server_reader, server_writer = await asyncio.open_connection(*self.to)
        except OSError:
            writer.transport.abort()
            return
        directions = [
            asyncio.create_task(self._forward(reader, server_writer, False)),
            asyncio.create_task(self._forward(server_reader, writer, True)),
        ]
        writers = {writer, server_writer}
        self._writers |= writers
        self._tasks.update(directions)
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in directions:
                task.cancel()
            for each in writers:
                each.transport.abort()
            self._tasks.difference_update(directions)
            self._writers -= writers

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to_client: bool) -> None:
        forwarded = 0
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self._forwarding.wait()
                while data:
                    size = self._rng.randint(1, self.max_chunk) if to_client and self.max_chunk else len(data)
                    if to_client and self.reset_after_bytes >= 0:
                        size = min(size, self.reset_after_bytes - forwarded)
                        if size <= 0:
                            return
                    writer.write(data[:size])
                    await writer.drain()
                    forwarded, data = forwarded + size, data[size:]
                    if to_client and self.max_chunk:
                        await asyncio.sleep(0)
