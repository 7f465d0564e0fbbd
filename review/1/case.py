"""Case 1: a long answer with something right behind it reaches the client whole by its framing, and wrong."""

from __future__ import annotations

import asyncio
import random
import sys
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import common  # noqa: E402

UPSTREAMS = 2
SHORT, LONG = (200, 4_000), (100_000, 400_000)  # bytes of a body; over 64 KiB an answer is passed on as it comes
LONG_SHARE = 0.3
MORE_SHARE = 0.2  # of the answers: they bring more than belongs to them
NOISE = b"%&/ noise, no HTTP \x00\xff"
REQUESTS, INTERVAL_S = 400, 0.04
DEADLINE_MS = 661
IDLE_S = 15.0  # the settings' conn_idle_ns: an upstream closes a connection that rests for longer
SEED = 70


def body_for(request_id: str, size: int) -> bytes:
    """The one right body of a request's answer: its id again and again."""
    return (f"<{request_id}>".encode() * (size // (len(request_id) + 2) + 1))[:size]


class Upstream:
    """A server whose answers are all good. Some have a second copy or noise right behind, as nothing else waits."""

    def __init__(self, name: str, record: common.Record, rng: random.Random) -> None:
        self.name, self._record, self._rng = name, record, rng
        self.more = 0  # answers that brought more
        self.made: dict[str, bytes] = {}  # the body made for each request
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, common.HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                first, headers = await asyncio.wait_for(common.read_head(reader), IDLE_S)
                if first.split()[1] == "/stats":
                    writer.write(common.answer(200, b'{"inflight":0,"queue":0}'))
                elif first.split()[1] == "/health/live":
                    writer.write(common.answer(200))
                elif "req-id" not in headers:
                    writer.write(common.answer(404))
                else:
                    writer.write(self._answer(headers["req-id"]))
                await writer.drain()
        writer.close()

    def _answer(self, request_id: str) -> bytes:
        rng = self._rng
        body = self.made[request_id] = body_for(
            request_id, rng.randint(*(LONG if rng.random() < LONG_SHARE else SHORT))
        )
        chunked, more = rng.random() < 0.5, ""
        response = _chunked(body) if chunked else common.answer(200, body)
        if rng.random() < MORE_SHARE and common.trouble():
            more = rng.choice(["a second copy", "noise"])
            self.more += 1
        form = "in chunks" if chunked else "with a length"
        self._record.line(f"{self.name}: {request_id} run, {len(body)} bytes {form}{more and f', then {more}'}")
        return response + {"": b"", "noise": NOISE, "a second copy": response}[more]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()


def _chunked(body: bytes) -> bytes:
    pieces = (body[start : start + 8000] for start in range(0, len(body), 8000))
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
    return b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


async def client(port: int, request_id: str, record: common.Record, upstreams: list[Upstream]) -> str:
    """Send one request on its own connection, read its answer by its framing, and judge it."""
    reader, writer = await asyncio.open_connection(common.HOST, port)
    try:
        record.line(f"client sends {request_id}")
        writer.write(common.request_bytes("rate-history", request_id, DEADLINE_MS))
        async with asyncio.timeout(3.0):
            first, headers = await common.read_head(reader)
            body = await common.read_body(reader, headers)
        status = first.split()[1]
        made = [upstream.made[request_id] for upstream in upstreams if request_id in upstream.made]
        if status != "200" or body in made:
            record.line(f"client got {status} for {request_id}, {len(body)} bytes, as made")
            return status
        head_at = body.find(b"HTTP/1.1 200")
        what = f"a head inside its body at byte {head_at}" if head_at >= 0 else "its end missing"
        length = " or ".join(str(len(right)) for right in made)
        record.line(
            f"client got 200 for {request_id}, whole by its framing, WRONG: {len(body)} of {length} bytes, {what}"
        )
        return "200, whole and wrong"
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError) as error:  # it can tell: not counted
        record.line(f"client got no whole answer for {request_id}: {type(error).__name__}")
        return "not whole, as the client can tell"
    finally:
        writer.close()


async def case(record: common.Record, temporary: Path) -> bool:
    discovery, rng = common.Discovery(), random.Random(SEED)
    await discovery.start()
    upstreams = [Upstream(f"s-{number}", record, rng) for number in range(UPSTREAMS)]
    for upstream in upstreams:
        await upstream.start()
        discovery.put(upstream.name, upstream.port)
    balancer = common.Balancer(temporary, discovery.port, common.settings([common.request_class("rate-history")]))
    try:
        balancer.start()
        await balancer.wait_ready()
        await asyncio.sleep(0.5)
        tasks = []
        for number in range(REQUESTS):
            tasks.append(asyncio.create_task(client(balancer.port, f"r{number:04d}", record, upstreams)))
            await asyncio.sleep(INTERVAL_S)
        outcomes = await asyncio.gather(*tasks)
    finally:
        await balancer.stop()
        for upstream in upstreams:
            upstream.stop()
        await discovery.stop()
    counted = {outcome: outcomes.count(outcome) for outcome in sorted(set(outcomes))}
    record.say(f"{REQUESTS} requests; answers that brought more: {sum(u.more for u in upstreams)}; outcomes: {counted}")
    wrong = counted.get("200, whole and wrong", 0)
    record.say(f"served with a wrong body, whole by its framing: {wrong}")
    if counted.get("200", 0) < REQUESTS / 2:
        raise common.CannotRun("less than half of the requests were served")
    return not wrong


common.run_case(FOLDER, case)
