"""Helpers for socket tests: a scripted decision module, a client, a fake upstream and a fake discovery, on loopback."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from lanemux import interface as api
from lanemux.core.system import System
from lanemux.net.config import Config
from lanemux.net.decisions import Module
from lanemux.net.node import MakeConnectionAdmission, Node

HOST = "127.0.0.1"
PATIENCE_S = 10.0  # the longest time that a test waits for a condition
MS = 1_000_000
NUMBERS = itertools.count()

Json = dict[str, Any]
Writer = asyncio.StreamWriter
Answer = Callable[["Got", Writer], Awaitable[None]]


def run(test: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(test, 3 * PATIENCE_S))


async def until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    end = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < end, "the condition never became true"
        await asyncio.sleep(0.001)


@dataclass
class Got:
    """A received message, parsed independently of the code under test."""

    first: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.first.split()[1])


async def read(reader: asyncio.StreamReader) -> Got:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in head[1:] if line)}
    return Got(head[0], headers, await reader.readexactly(int(headers.get("content-length", 0))))


def written(status: int, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def silent(got: Got, writer: Writer) -> None:
    """Send no response."""


def answers(status: int, body: bytes = b"", *headers: str) -> Answer:
    async def answer(got: Got, writer: Writer) -> None:
        writer.write(written(status, body, *headers))

    return answer


def sends_raw(data: bytes, close: bool = False) -> Answer:
    async def answer(got: Got, writer: Writer) -> None:
        writer.write(data)
        if close:
            writer.close()

    return answer


async def breaks(got: Got, writer: Writer) -> None:
    writer.transport.abort()


class Upstream:
    """A fake upstream: records requests and answers them with `answer`."""

    def __init__(self, answer: Answer) -> None:
        self.answer = answer
        self.got: list[Got] = []
        self.opened = self.closed = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> Upstream:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        self.opened += 1
        try:
            while True:
                self.got.append(await read(reader))
                await self.answer(self.got[-1], writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed += 1
            writer.close()

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()


class Registry:
    """A fake discovery: serves the list `rows`, which `change` updates, and records its calls."""

    def __init__(self) -> None:
        self.rows: dict[str, Json] = {}
        self.version = 1
        self.calls: list[tuple[float, str]] = []
        self.broken = b""  # if set, sent as the response in place of the list
        self._changed = asyncio.Event()
        self._changed_hosts: list[str] = []
        self.upstream = Upstream(self._answer)

    def change(self, host: str, **row: object) -> None:
        self.rows[host] = {**entry(host), **self.rows.get(host, {}), **row}
        self.version += 1
        self._changed_hosts.append(host)
        self._changed.set()

    async def _answer(self, got: Got, writer: Writer) -> None:
        self.calls.append((time.monotonic(), got.first.split()[1]))
        if self.broken:
            writer.write(self.broken)
            writer.close()
            return
        watch = "after=" in got.first
        if watch:
            await self._changed.wait()
        self._changed.clear()
        hosts = [self.rows[h] for h in self._changed_hosts] if watch else list(self.rows.values())
        self._changed_hosts.clear()
        body = json.dumps({"seq": self.version, "whole": not watch, "hosts": hosts}).encode()
        writer.write(written(200, body))


def entry(host: str, port: int = 1, **more: object) -> Json:
    return {
        "host": host,
        "dial": f"{HOST}:{port}",
        "site": "east",
        "class": "m",
        "block": 0,
        "health": "up",
        "share": 1.0,
        "born_ms": 0,
        **more,
    }


def known(*ports: int) -> Json:
    return {"seq": 1, "whole": True, "hosts": [entry(f"s{i}", port) for i, port in enumerate(ports)]}


@dataclass
class Script:
    """A scripted decision module: records events, and returns the actions of `react`."""

    react: Callable[[api.Event], Iterable[api.Action]] = lambda event: ()
    events: list[api.Event] = field(default_factory=list)
    depth: int = 0
    max_depth: int = 0

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        self.depth += 1
        self.max_depth = max(self.max_depth, self.depth)
        self.events += events
        actions = [a for e in events for a in self.react(e)]
        self.depth -= 1
        return actions

    def avoided(self, now: int) -> int:
        return 0

    def standing(self, now: int) -> dict[str, object]:
        return {"rate": 1.0}

    def of(self, kind: type) -> list[Any]:
        return [e for e in self.events if isinstance(e, kind)]

    def ids(self) -> list[int]:
        """The ids of the upstreams in the last update that was not a delta."""
        lists = [e for e in self.of(api.ListUpdate) if e.kind is not api.ListKind.DELTA]
        return [u.id for u in lists[-1].upstreams]


def settings(in_answers: bool = False, **limits: Any) -> api.Settings:
    return api.Settings(
        reports_in_answers=in_answers,
        classes={
            "read": api.RequestClass("read"),
            "pay": api.RequestClass("pay", api.Effect.UNSAFE),
            "feed": api.RequestClass("feed", stream=True),
        },
        limits=api.Limits(**{"max_attempts": 3, "connect_timeout_ns": 2000 * MS, **limits}),
        report_columns=("inflight",),
    )


@asynccontextmanager
async def node(
    module: Module,
    *upstreams: Upstream,
    registry: Registry | None = None,
    sockets: int = 1024,
    known_list: object = None,
    readiness_delay_s: float = 0.0,
    admission: MakeConnectionAdmission | None = None,
    memory_mb: float = 0.0,
    system: System | None = None,
    **limits: Any,
) -> AsyncIterator[Client]:
    """Run a node that knows these upstreams; yields a client of it."""
    registry = registry or Registry()
    await registry.upstream.start()
    config = Config(
        "n",
        (HOST, 0),
        (HOST, registry.upstream.port),
        1,
        sockets,
        settings(**limits),
        known_list or known(*(u.port for u in upstreams)),
        memory_mb=memory_mb,
    )
    balancer = Node(config, module, system=system, admission=admission)
    port = await balancer.start(readiness_delay_s)
    client = Client(balancer, port)
    try:
        yield client
    finally:
        client.close()
        balancer.close()
        for u in (*upstreams, registry.upstream):
            u.stop()


class Client:
    """A client with one connection to the node."""

    def __init__(self, balancer: Node, port: int) -> None:
        self.node = balancer
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: Writer | None = None

    async def send(self, data: bytes) -> None:
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.writer.write(data)

    async def read(self) -> Got:
        assert self.reader is not None
        return await asyncio.wait_for(read(self.reader), PATIENCE_S)

    async def ask(self, data: bytes) -> Got:
        await self.send(data)
        return await self.read()

    async def closed(self) -> bool:
        """Wait until the node closes the connection; False if data came before that."""
        assert self.reader is not None
        return await asyncio.wait_for(self.reader.read(), PATIENCE_S) == b""

    def another(self) -> Client:
        return Client(self.node, self.port)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


def request(
    target: str = "/read",
    *more: str,
    deadline_ms: int | None = 5000,
    method: str = "GET",
    body: bytes = b"",
    name: str = "",
) -> bytes:
    """A client's request, with a unique id unless the test gives one."""
    name = name or f"{next(NUMBERS):08x}"
    lines = [f"{method} {target} HTTP/1.1", "Host: service.internal", f"Req-Id: {name}", *more]
    if deadline_ms is not None:
        lines.append(f"Req-Deadline-Ms: {deadline_ms}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
