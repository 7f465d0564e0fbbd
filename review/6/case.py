"""Case 6: a client that reads a long answer at 64 kB a second is cut off before its end."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness2 import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    TROUBLE,
    Balancer,
    Message,
    NotRunError,
    Record,
    Upstream,
    free_port,
    read_head,
    row,
    run_case,
    settings,
)

LENGTH = 7_000_000  # bytes of the answer; answers of up to 32 MB occur
RATE = 64_000 if TROUBLE else 20_000_000  # bytes a second that the client reads
RECEIVE_BUFFER = 128 * 1024  # bytes; the client holds no more than it is about to read
TICK_S = 0.05
SILENCE_S = 10.0  # without a byte for so long, the client takes the answer for lost
BODY = bytes(range(256)) * (LENGTH // 256) + b"." * (LENGTH % 256)


async def long_answer(upstream: Upstream, request: Message, writer: asyncio.StreamWriter) -> None:
    """A good upstream: it gives all of the answer as fast as it is taken, and keeps the connection open."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LENGTH)
    for start in range(0, LENGTH, 65536):
        writer.write(BODY[start : start + 65536])
        await writer.drain()
    upstream.record(f"{upstream.name}: the last byte of the answer is written")


async def case(folder: Path, record: Record) -> int:
    upstreams = [await Upstream(f"u{i}", record, long_answer).start() for i in range(2)]
    config = {
        "name": "n0",
        "listen": f"{HOST}:{free_port()}",
        "discovery": f"{HOST}:{free_port()}",
        "seed": "61",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 1, "whole": True, "hosts": [row(u.name, u.port) for u in upstreams]},
        "settings": settings(),
    }
    balancer = Balancer("n0", folder, config)
    await balancer.start()
    try:
        await balancer.ready()
        client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        client.connect((HOST, balancer.port))
        reader, writer = await asyncio.open_connection(sock=client, limit=64 * 1024)
        writer.write(
            b"GET /read/x HTTP/1.1\r\nHost: s\r\nReq-Id: r1\r\nReq-Owner: desk\r\nReq-Deadline-Ms: 600\r\n\r\n"
        )
        async with asyncio.timeout(5.0):
            first, headers = await read_head(reader)
        record.say(f"client: {first}, {headers}")
        if " 200 " not in first or headers.get("content-length") != str(LENGTH):
            raise NotRunError("the answer did not begin as a long answer does")
        got, began = bytearray(), time.monotonic()
        ended, last, told = "", began, began
        while len(got) < LENGTH and not ended:
            due = int((time.monotonic() - began) * RATE) - len(got)
            if due > 0:
                try:
                    async with asyncio.timeout(SILENCE_S):
                        piece = await reader.read(min(due, LENGTH - len(got), 1 << 20))
                    got += piece
                    ended = "" if piece else "the connection ended"
                    last = time.monotonic()
                except TimeoutError:
                    ended = f"no byte came for {SILENCE_S} s"
                except OSError as error:
                    ended = f"the connection broke: {error!r}"
            if time.monotonic() - told > 5.0:
                told = time.monotonic()
                record(f"client: has read {len(got)} of {LENGTH} bytes")
            await asyncio.sleep(TICK_S)
        whole = bytes(got) == BODY
        record.say(
            f"client: {len(got)} of {LENGTH} bytes after {last - began:.1f} s; {ended or 'whole'}; equal: {whole}"
        )
        for line in balancer.log_text().splitlines():
            if "aborted" in line or "ERROR" in line or "WARNING" in line:
                record(f"log: {line}")
        writer.close()
        return HELD if whole else BROKEN
    finally:
        await balancer.kill()
        for upstream in upstreams:
            upstream.stop()


run_case(case, HERE)
