"""Crowds of clients that make a balancer hold as much memory as it lets them, each in one way or in several in turn."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Awaitable, Callable, Sequence

from tests.sockets import HOST, Got, Writer, request, written

BODY_BYTES = 60_000
LONG_BYTES = 8_000_000
CLIENT_BYTES_PER_S = 64_000
SLICES_PER_S = 10  # of what a slow client writes or reads
ANSWER_AFTER_S = 0.3  # a request that waits for its answer
WORK_S = 0.02
SMALL_BUFFER_BYTES = 16 * 1024  # of a client's socket that takes little
NUMBERS = itertools.count()

Way = Callable[[int], Awaitable[None]]  # argument: the balancer's port; goes on until it is cancelled


async def upstream_answers(got: Got, writer: Writer) -> None:
    """The answer of a stand-in upstream; the path of the request says which."""
    path = got.first.split()[1].rpartition("/")[2]
    await asyncio.sleep(ANSWER_AFTER_S if path == "waits" else WORK_S)
    if path == "long":
        await _write_long(writer)
    elif path == "chunks":
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n")
    elif path == "body":
        writer.write(written(200, b"x" * BODY_BYTES))
    else:
        writer.write(written(200, b"x" * 500))


async def _write_long(writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_BYTES)
    for _ in range(LONG_BYTES // 50_000):
        writer.write(b"x" * 50_000)
        await writer.drain()


def _name() -> str:
    return f"crowd{next(NUMBERS)}"


def _large(*fields: str, path: str = "/pay/x") -> bytes:
    return request(path, *fields, deadline_ms=661, method="POST", body=b"x" * BODY_BYTES, name=_name())


async def _connect(port: int, receive_bytes: int = 0) -> tuple[asyncio.StreamReader, Writer]:
    connection = socket.socket()
    connection.setblocking(False)
    if receive_bytes:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    try:
        await asyncio.get_running_loop().sock_connect(connection, (HOST, port))
        return await asyncio.open_connection(sock=connection, limit=1 << 16)
    except BaseException:
        connection.close()
        raise


async def _once(port: int, data: bytes) -> None:
    """Send this and wait for the end of the connection."""
    reader, writer = await _connect(port)
    try:
        writer.write(data)
        await reader.read()
    finally:
        writer.transport.abort()


async def _asks(port: int, data: bytes) -> None:
    """Send a request and read the first line of its answer."""
    reader, writer = await _connect(port)
    try:
        writer.write(data)
        await reader.readline()
    finally:
        writer.transport.abort()


async def _writes_slowly(port: int, data: bytes, slices: Sequence[int]) -> None:
    _, writer = await _connect(port)
    try:
        for start, end in itertools.pairwise(slices):
            writer.write(data[start:end])
            await asyncio.sleep(1 / SLICES_PER_S)
    finally:
        writer.transport.abort()


async def half_a_body(port: int) -> None:
    data = _large()
    await _once(port, data[: len(data) * 9 // 10])


async def body_at_64_kb(port: int) -> None:
    data = _large()
    await _writes_slowly(port, data, [*range(0, len(data), CLIENT_BYTES_PER_S // SLICES_PER_S), len(data)])


async def many_fields(port: int) -> None:
    await _asks(port, _large(*(f"a{index}: b" for index in range(245))))


async def endless_fields(port: int) -> None:
    await _once(port, b"GET /read/x HTTP/1.1\r\n" + b"a:\r\n" * 3200)


async def large_that_waits(port: int) -> None:
    await _asks(port, _large(path="/pay/waits"))


async def answers_not_read(port: int) -> None:
    """Asks again and again for 60 kB, and takes nothing."""
    _, writer = await _connect(port, SMALL_BUFFER_BYTES)
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    try:
        while True:
            writer.write(request("/read/body", deadline_ms=661, name=_name()))
            await asyncio.sleep(0.3)
    finally:
        writer.transport.abort()


async def long_answer_at_64_kb(port: int) -> None:
    reader, writer = await _connect(port, SMALL_BUFFER_BYTES)
    try:
        writer.write(request("/read/long", deadline_ms=3000, name=_name()))
        while await reader.read(CLIENT_BYTES_PER_S // SLICES_PER_S):
            await asyncio.sleep(1 / SLICES_PER_S)
    finally:
        writer.transport.abort()


async def answers_in_one_byte_chunks(port: int) -> None:
    await _asks(port, request("/read/chunks", deadline_ms=661, name=_name()))


async def one_byte_chunks(port: int) -> None:
    head = request("/pay/x", "Transfer-Encoding: chunked", deadline_ms=661, method="POST", name=_name())
    await _asks(port, head + b"1\r\nx\r\n" * BODY_BYTES + b"0\r\n\r\n")


async def two_byte_fields(port: int) -> None:
    await _asks(port, request("/read/x", *("a:" for _ in range(245)), deadline_ms=661, name=_name()))


async def one_byte_a_write(port: int) -> None:
    _, writer = await _connect(port)
    try:
        for byte in _large()[:400]:
            writer.write(bytes([byte]))
            await asyncio.sleep(0.002)
    finally:
        writer.transport.abort()


MEMORY_WAYS: dict[str, Way] = {
    "half a body": half_a_body,
    "a body at 64 kB a second": body_at_64_kb,
    "250 fields and a body": many_fields,
    "fields without end": endless_fields,
    "60 kB that wait": large_that_waits,
    "60 kB not read": answers_not_read,
    "8 MB at 64 kB a second": long_answer_at_64_kb,
}
TINY_WAYS: dict[str, Way] = {
    "chunks of one byte": one_byte_chunks,
    "fields of two bytes": two_byte_fields,
    "one byte a write": one_byte_a_write,
    "answers in chunks of one byte": answers_in_one_byte_chunks,
}


async def client(port: int, ways: Sequence[Way], turn_s: float) -> None:
    """One client that goes from one way to the next after `turn_s`, again and again until it is cancelled."""
    for way in itertools.cycle(ways):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(turn_s):
                while True:
                    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                        await way(port)
                    await asyncio.sleep(0.02)
