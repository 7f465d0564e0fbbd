"""Case 10: a short answer whose upstream hangs after its first bytes is ended 15 s after its client's time."""

from __future__ import annotations

import asyncio
import itertools
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

UPSTREAMS = 4
DEADLINE_S = 0.6  # of each request; the site's give-up time is 661 ms
LATE_S = 0.5 + 0.05  # up to half a second after its time it only earns nothing; 50 ms more on sockets
WATCHED_S = 20.0  # how long a client stays to see what comes
CLIENTS = 6
ASKING_S = 10.0
BODY = b"rate 6.78 fee 4.00 " * 50  # of an answer: 950 bytes


class HangingUpstream(Upstream):
    """Answers in chunks; while it hangs, only the first half of an answer comes. Its connections stay open."""

    hangs = False


async def chunked_answer(upstream: Upstream, request: Message, writer: asyncio.StreamWriter) -> None:
    assert isinstance(upstream, HangingUpstream)
    half = len(BODY) // 2
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (half, BODY[:half]))
    if upstream.hangs:
        upstream.record(f"{upstream.name} hangs in the middle of the answer to {request.headers['req-id']}")
        return
    writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY) - half, BODY[half:]))


class Fates:
    """How requests ended, as their clients saw it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.whole = self.failed = 0
        self.late: list[float] = []  # seconds from the request to its end, of those that had none in time

    async def ask(self, port: int, number: str) -> None:
        """One request on a connection of its own; the client stays until something ends it."""
        reader, writer = await asyncio.open_connection(HOST, port)
        began = time.monotonic()
        try:
            writer.write(
                f"GET /read/x HTTP/1.1\r\nHost: s\r\nReq-Id: {number}\r\nReq-Owner: desk\r\n"
                f"Req-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n\r\n".encode()
            )
            async with asyncio.timeout(WATCHED_S):
                fate = await self._answer(reader)
        except (OSError, asyncio.IncompleteReadError):
            fate = "not whole, and its client can tell"
        except TimeoutError:
            fate = "nothing ended it"
        finally:
            writer.close()
        took_s = time.monotonic() - began
        if took_s > DEADLINE_S + LATE_S:
            self.late.append(took_s)
            fate = f"LATE: {fate}"
        elif fate == "whole":
            self.whole += 1
        else:
            self.failed += 1
        self.record(f"answer {number}: {fate}, after {took_s:.2f} s")

    async def _answer(self, reader: asyncio.StreamReader) -> str:
        first, headers = await read_head(reader)
        body = b""
        if "chunked" in headers.get("transfer-encoding", ""):
            while line := await reader.readline():
                size = int(line, 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    break
            else:
                return "not whole, and its client can tell"
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
        return "whole" if " 200 " in first and body == BODY else first


async def case(folder: Path, record: Record) -> int:
    upstreams = [HangingUpstream(f"u{i}", record, chunked_answer) for i in range(UPSTREAMS)]
    for upstream in upstreams:
        await upstream.start()
    config = {
        "name": "n0",
        "listen": f"{HOST}:{free_port()}",
        "discovery": f"{HOST}:{free_port()}",
        "seed": f"{time.monotonic_ns()}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 1, "whole": True, "hosts": [row(u.name, u.port) for u in upstreams]},
        "settings": settings(),
    }
    balancer = Balancer("n0", folder, config)
    await balancer.start()
    fates = Fates(record)
    try:
        await balancer.ready()
        upstreams[0].hangs = TROUBLE
        numbers = itertools.count()
        end = time.monotonic() + ASKING_S

        async def client() -> None:
            while time.monotonic() < end:
                await fates.ask(balancer.port, f"r{next(numbers)}")
                await asyncio.sleep(0.05)

        await asyncio.gather(*(client() for _ in range(CLIENTS)))
        record.say(
            f"{fates.whole} whole, {fates.failed} failed in time; {len(fates.late)} had no end by "
            f"{DEADLINE_S + LATE_S} s, with {DEADLINE_S} s to wait; they ended after "
            f"{min(fates.late, default=0):.1f} to {max(fates.late, default=0):.1f} s"
        )
        if not fates.whole:
            raise NotRunError("nothing was served")
        return BROKEN if fates.late else HELD
    finally:
        await balancer.kill()
        for upstream in upstreams:
            upstream.stop()


run_case(case, HERE)
