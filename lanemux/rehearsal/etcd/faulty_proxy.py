"""A relay that hurts: it stands between a client and a server on loopback, and passes bytes on badly."""

from __future__ import annotations

import asyncio
import contextlib
import random

READ = 64 * 1024  # bytes at once


class FaultyProxy:
    """Passes on what comes to `address`; its fields may change at any time."""

    def __init__(self, to: tuple[str, int], seed: int = 1) -> None:
        self.to = to
        self.address = ("", 0)
        self.max_chunk = 0  # bytes passed on to the client at once, drawn from 1 to this; 0: all
        self.reset_after_bytes = -1  # bytes to the client after which each connection is reset; -1: never
        self.connections_opened = 0
        self._rng = random.Random(seed)
        self._free = asyncio.Event()
        self._free.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1") -> FaultyProxy:
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()
        return self

    def hold(self, held: bool) -> None:
        """Half open: neither side learns that nothing goes through any more."""
        (self._free.clear if held else self._free.set)()

    def reset(self) -> None:
        """Break every connection in hand."""
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
            there_reader, there_writer = await asyncio.open_connection(*self.to)
        except OSError:
            writer.transport.abort()
            return
        ways = [
            asyncio.create_task(self._pass_on(reader, there_writer, False)),
            asyncio.create_task(self._pass_on(there_reader, writer, True)),
        ]
        ends = {writer, there_writer}
        self._writers |= ends
        self._tasks.update(ways)
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            for end in ends:
                end.transport.abort()
            self._tasks.difference_update(ways)
            self._writers -= ends

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to_client: bool) -> None:
        passed = 0
        with contextlib.suppress(OSError):
            while data := await reader.read(READ):
                await self._free.wait()
                while data:
                    size = self._rng.randint(1, self.max_chunk) if to_client and self.max_chunk else len(data)
                    if to_client and self.reset_after_bytes >= 0:
                        size = min(size, self.reset_after_bytes - passed)
                        if size <= 0:
                            return
                    writer.write(data[:size])
                    await writer.drain()
                    passed, data = passed + size, data[size:]
                    if to_client and self.max_chunk:
                        await asyncio.sleep(0)
