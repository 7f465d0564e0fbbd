"""The operators' pictures of report 0f9eef, run against a real process; prints figures. `python -m tests.pictures -h`.

a: upstreams that read a large request slowly.  b: hundreds of clients that write or read slowly, or stop half way.
c: one client that sends small or unsound requests at full speed."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import os
import socket
import statistics
import tempfile
import time
from asyncio.subprocess import Process
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from tests.sockets import HOST, Got, Upstream, Writer, request, written
from tests.test_process import program

MEMORY_MB, SOCKETS = int(os.environ.get("MEMORY_MB", "80")), 1024
BAD_CLIENTS = SOCKETS // 3  # what clients may hold of the descriptors
GOOD_CLIENTS, GOOD_PAUSE_S = 8, 0.05
WORK_S = 0.02
LONG_BYTES = 8_000_000
BODY_BYTES = 64 * 1024
CLIENT_BYTES_PER_S = 64_000
LASTS_S = 6.0
SETTINGS: dict[str, object] = {
    "profiles": [
        {"name": name, "repeat": effect, "dedup_scope": "all", "window_ns": 5 * 10**9}
        | {"aim_ns": 264_000_000, "hard_limit_ns": 661_000_000, "late_worth": 0.0}
        for name, effect in (("read", "read_like"), ("pay", "non_idempotent"))
    ],
    "realms": [{"name": "desk", "share": 1.0, "quota_per_s": 1000.0}],
    "limits": {"send_cap": 5, "retry_after": True, "may_cancel": True, "connect_timeout_ns": 200_000_000},
}


async def works(got: Got, writer: Writer) -> None:
    """A sound upstream: short answers, or a long one for a path that says so."""
    await asyncio.sleep(WORK_S)
    if "/long" in got.first:
        for _ in range(LONG_BYTES // 50_000):
            if not _:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_BYTES)
            writer.write(b"x" * 50_000)
            await writer.drain()
        return
    writer.write(written(200, b"x" * 500))


def anonymous_mb(process: Process) -> float:
    """Memory of the process without the files that it has mapped, in MiB."""
    with contextlib.suppress(OSError, IndexError, ValueError):
        status = Path(f"/proc/{process.pid}/status").read_text()
        return int(status.partition("RssAnon:")[2].split()[0]) / 1024
    return 0.0


class GoodClients:
    """Usual clients: one request after another on a kept connection."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.statuses: Counter[str] = Counter()
        self.took_s: list[float] = []

    async def run(self, number: int) -> None:
        for count in itertools.count():
            began = time.monotonic()
            try:
                async with asyncio.timeout(3.0):
                    reader, writer = await asyncio.open_connection(HOST, self.port)
                    writer.write(request("/read/x", deadline_ms=661, name=f"good{number}-{count}"))
                    status = (await reader.readline()).split()[1].decode()
                    writer.close()
            except (OSError, TimeoutError, IndexError) as error:
                status = type(error).__name__
            self.statuses[status] += 1
            self.took_s.append(time.monotonic() - began)
            await asyncio.sleep(GOOD_PAUSE_S)

    def say(self) -> str:
        ordered = sorted(self.took_s) or [0.0]
        return (
            f"usual clients {dict(self.statuses)}, median {1000 * statistics.median(ordered):.0f} ms, "
            f"99% {1000 * ordered[int(0.99 * (len(ordered) - 1))]:.0f} ms, most {1000 * ordered[-1]:.0f} ms"
        )


Bad = Callable[[int, int, float], Awaitable[None]]  # port, number of the client, end


async def _connect(port: int, receive_bytes: int = 0) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    connection = socket.socket()
    connection.setblocking(False)
    if receive_bytes:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    await asyncio.get_running_loop().sock_connect(connection, (HOST, port))
    return await asyncio.open_connection(sock=connection, limit=1 << 16)


async def writes_slowly(port: int, number: int, end: float) -> None:
    """A body of 64 KiB at 64 kB a second, again and again."""
    for count in itertools.count():
        _, writer = await _connect(port)
        data = request("/pay/x", deadline_ms=661, method="POST", body=b"x" * BODY_BYTES, name=f"slow{number}-{count}")
        for at in range(0, len(data), 3200):
            writer.write(data[at : at + 3200])
            await asyncio.sleep(3200 / CLIENT_BYTES_PER_S)
            if time.monotonic() > end:
                return
        writer.close()


async def stops_half_way(port: int, number: int, end: float) -> None:
    """Half of a large request, and then nothing."""
    while time.monotonic() < end:
        reader, writer = await _connect(port)
        data = request("/pay/x", deadline_ms=661, method="POST", body=b"x" * BODY_BYTES, name=f"half{number}")
        writer.write(data[: len(data) * 9 // 10])
        async with asyncio.timeout(max(0.1, end - time.monotonic())):
            await reader.read()
        writer.close()


async def sends_short_fields(port: int, number: int, end: float) -> None:
    """A head of very many short fields, without an end."""
    while time.monotonic() < end:
        reader, writer = await _connect(port)
        writer.write(b"GET /read/x HTTP/1.1\r\n" + b"a:\r\n" * 3200)
        async with asyncio.timeout(max(0.1, end - time.monotonic())):
            await reader.read()
        writer.close()


async def sends_whole_fields(port: int, number: int, end: float) -> None:
    """Whole requests with 250 short fields and a body."""
    fields = [f"a{index}: b" for index in range(240)]
    for count in itertools.count():
        if time.monotonic() > end:
            return
        reader, writer = await _connect(port)
        writer.write(
            request("/pay/x", *fields, deadline_ms=661, method="POST", body=b"x" * 9000, name=f"f{number}-{count}")
        )
        await reader.readline()
        writer.close()


async def reads_slowly(port: int, number: int, end: float) -> None:
    """A long answer, read at 64 kB a second."""
    for count in itertools.count():
        reader, writer = await _connect(port, 16 * 1024)
        writer.write(request("/read/long", deadline_ms=3000, name=f"reader{number}-{count}"))
        if b" 200 " in await reader.readline():
            break
        writer.close()
        await asyncio.sleep(0.2)
    while time.monotonic() < end and await reader.read(6400):
        await asyncio.sleep(6400 / CLIENT_BYTES_PER_S)
    writer.transport.abort()


CROWDS: dict[str, Bad] = {
    "write slowly": writes_slowly,
    "stop half way": stops_half_way,
    "many short fields, no end": sends_short_fields,
    "many short fields, whole": sends_whole_fields,
    "read long answers slowly": reads_slowly,
}


def _flood(name: str) -> Callable[[int], bytes]:
    """The bytes of the nth request of a client that sends at full speed on one connection."""

    def sound(count: int) -> bytes:
        return request("/read/x", deadline_ms=661, name=f"flood{count}")

    def new_names(count: int) -> bytes:
        owner = f"Req-Owner: desk{count}"
        return request(f"/read/{count}", owner, f"Cookie: user={count}", deadline_ms=661, name=f"names{count}")

    def new_classes(count: int) -> bytes:
        return request(f"/class{count}/x", deadline_ms=661, name=f"classes{count}")

    def health(count: int) -> bytes:
        return b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"

    def no_deadline(count: int) -> bytes:
        return request("/read/x", deadline_ms=None, name=f"none{count}")

    def one_byte_chunks(count: int) -> bytes:
        return (
            b"POST /pay/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * 60_000
            + b"0\r\n\r\n"
        )

    def empty_lines(count: int) -> bytes:
        return b"\r\n" * 500

    return {
        "sound": sound,
        "empty lines": empty_lines,
        "sound, new names": new_names,
        "unknown classes": new_classes,
        "readiness checks": health,
        "no deadline": no_deadline,
        "bodies of one-byte chunks": one_byte_chunks,
    }[name]


FLOODS = (
    "sound",
    "sound, new names",
    "unknown classes",
    "readiness checks",
    "no deadline",
    "bodies of one-byte chunks",
)


async def floods_in_turn(port: int, name: str, end: float, sent: Counter[str]) -> None:
    """Sends the next request as soon as the answer begins; on a new connection where the last one ends."""
    make = _flood(name)
    while time.monotonic() < end:
        reader, writer = await _connect(port)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while time.monotonic() < end:
                writer.write(make(sent[name]))
                sent[name] += 1
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
                await reader.readexactly(length)
        writer.transport.abort()


async def floods_blindly(port: int, name: str, end: float, sent: Counter[str]) -> None:
    """Writes requests without waiting for an answer, as fast as they are taken."""
    make = _flood(name)
    while time.monotonic() < end:
        reader, writer = await _connect(port)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(max(0.01, end - time.monotonic())):
                while True:
                    writer.write(b"".join(make(sent[name] + index) for index in range(20)))
                    sent[name] += 20
                    await writer.drain()
        writer.transport.abort()


async def picture(
    bad: Callable[[int, float], list[Awaitable[None]]], title: str, sockets: int = SOCKETS, cores: float = 1.0
) -> tuple[float, GoodClients]:
    """Run bad clients beside usual ones; prints and returns the process's most memory and what the usual ones got."""
    upstreams = [await Upstream(works).start() for _ in range(4)]
    folder = Path(tempfile.mkdtemp())
    async with program(
        folder, *(u.port for u in upstreams), settings=SETTINGS, memory_mb=MEMORY_MB, sockets=sockets, cores=cores
    ) as (process, port):
        good = GoodClients(port)
        tasks = [asyncio.create_task(good.run(number)) for number in range(GOOD_CLIENTS)]
        await asyncio.sleep(1.0)
        before_mb, before = anonymous_mb(process), good.say()
        good.statuses.clear()
        good.took_s.clear()
        most_mb, end = before_mb, time.monotonic() + LASTS_S
        tasks += [asyncio.ensure_future(one) for one in bad(port, end)]
        while time.monotonic() < end + 1.0 and process.returncode is None:
            most_mb = max(most_mb, anonymous_mb(process))
            await asyncio.sleep(0.02)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        print(f"{title}: {most_mb:.1f} MiB at most of {MEMORY_MB} ({before_mb:.1f} before); {good.say()}", flush=True)
        if "median" in before and process.returncode is not None:
            print(f"  the process ended with {process.returncode}")
    for upstream in upstreams:
        upstream.stop()
    return most_mb, good


async def crowds() -> None:
    for name, bad in CROWDS.items():
        await picture(
            lambda port, end, bad=bad: [bad(port, number, end) for number in range(BAD_CLIENTS)],  # type: ignore[misc]
            f"b, {BAD_CLIENTS} clients {name}",
        )


async def floods() -> None:
    await picture(lambda port, end: [], "c, no flood")
    for how, flood, names in (
        ("in turn", floods_in_turn, FLOODS),
        ("without waiting", floods_blindly, (*FLOODS, "empty lines")),
    ):
        for name in names:
            sent: Counter[str] = Counter()
            await picture(
                lambda port, end, flood=flood, name=name, sent=sent: [flood(port, name, end, sent)],  # type: ignore[misc]
                f"c, {name}, {how}",
            )
            print(f"  {sent[name] / LASTS_S:.0f} requests a second were sent", flush=True)


class SlowReader:
    """An upstream that reads a request slowly, or not at all."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> SlowReader:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind((HOST, 0))
        self._server = await asyncio.start_server(self._serve, sock=listener, limit=4096)
        self.port = listener.getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            head, taken = b"", 0
            while taken < BODY_BYTES:
                if not self.bytes_per_s:
                    await asyncio.sleep(20)
                data = await reader.read(2048)
                if not data:
                    return
                taken += len(data)
                head += data if len(head) < 2048 else b""
                await asyncio.sleep(len(data) / self.bytes_per_s)
            writer.write(written(200, b"done"))

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()


async def slow_upstreams() -> None:
    """Times of the final answers of requests with 64 KiB of body."""
    for bytes_per_s in (1e9, 400_000.0, 100_000.0, 20_000.0, 0.0):
        for method, path in (("POST", "/pay/x"),):
            upstreams = [await SlowReader(bytes_per_s).start() for _ in range(3)]
            ends: list[float] = []
            statuses: Counter[int] = Counter()
            folder = Path(tempfile.mkdtemp())
            async with program(folder, *(u.port for u in upstreams), settings=SETTINGS) as (_, port):
                for number in range(10):
                    reader, writer = await asyncio.open_connection(HOST, port)
                    began = time.monotonic()
                    writer.write(
                        request(path, deadline_ms=661, method=method, body=b"x" * BODY_BYTES, name=f"large{number}")
                    )
                    statuses[int((await reader.readline()).split()[1])] += 1
                    ends.append(time.monotonic() - began)
                    writer.close()
            for upstream in upstreams:
                upstream.stop()
            print(f"a, requests read at {bytes_per_s:.0f} bytes a second: {dict(statuses)}, last {max(ends):.3f} s")


PICTURES = {"a": slow_upstreams, "b": crowds, "c": floods}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("pictures", nargs="+", choices=sorted(PICTURES))
    for name in parser.parse_args().pictures:
        asyncio.run(PICTURES[name]())


if __name__ == "__main__":
    main()
