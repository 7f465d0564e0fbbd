"""Discovery as the platform has it: an agent for each balancer, which is pushed changes seconds late.

Answers `GET /registry/instances`, whole or as a watch (`after`, `wait_ms`), and books when each row was written
to its balancer: from then on the balancer has been told.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast
from urllib.parse import parse_qs, urlsplit

from lanemux.rehearsal import framing
from lanemux.rehearsal.addresses import Address
from lanemux.rehearsal.plan import MS, Box, Happening, Notice
from lanemux.rehearsal.records import Told

TOLD_AT_LATEST_NS = 6_000_000_000  # what an agent has counts as told so much later, read or not
MAX_WAIT_MS = 60_000
PATH = "/registry/instances"


class ListAgent(Protocol):
    """What tells one balancer the list."""

    balancer: int

    async def open(self, host: str) -> Address:
        """Listen; gives the address that the balancer is told."""

    async def close(self) -> None:
        """The end of it."""

    def tell(self, box: Box, dial: Address, notice: Notice, first: bool = False) -> None:
        """There is news of a box, or (`first`) the list before the start."""

    def listing(self) -> dict[str, object]:
        """The whole list in discovery's form."""

    def operators(self) -> str:
        """What the balancer's operators' file must say to follow it; nothing for the platform's."""

    def upset(self, happening: Happening) -> None:
        """Something goes wrong with it."""


@dataclass(slots=True)
class Row:
    """What the agent says of one box."""

    seq: int
    box: int
    told: Told
    text: dict[str, object]


class Agent:
    """The agent of one balancer."""

    def __init__(self, balancer: int, now: Callable[[], int], wall_zero_ms: int, book: list[Told]) -> None:
        self.balancer, self._now, self._book, self._wall_zero_ms = balancer, now, book, wall_zero_ms
        self._rows: dict[int, Row] = {}
        self._seq = 1
        self._watches: dict[Watcher, tuple[int, asyncio.TimerHandle]] = {}
        self._server: asyncio.Server | None = None
        self._old: Agent | None = None  # it is told what this one is told

    def successor(self) -> Agent:
        """The same discovery at another address; the old one goes on being told until the new one is `alone`."""
        made = Agent(self.balancer, self._now, self._wall_zero_ms, self._book)
        made._rows, made._seq, made._old = dict(self._rows), self._seq, self
        return made

    def alone(self) -> None:
        self._old = None

    async def open(self, host: str) -> Address:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Watcher(self), host, 0)
        address: Address = self._server.sockets[0].getsockname()
        return address

    def operators(self) -> str:
        return ""

    def upset(self, happening: Happening) -> None:
        """Nothing: an agent runs on the balancer's own machine."""

    async def close(self) -> None:
        for _, timer in self._watches.values():
            timer.cancel()
        if self._server is not None:
            self._server.close()

    def tell(self, box: Box, dial: Address, notice: Notice, first: bool = False) -> None:
        """The agent has news; those who watch hear it at once."""
        self._seq += not first
        born_ms = 0 if not notice.born_ns else self._wall_zero_ms + notice.born_ns // MS
        told = Told(self.balancer, notice.box, notice.health, 0, 0 if first else self._now() + TOLD_AT_LATEST_NS)
        if first:
            told.written_ns = -1  # it stands in the balancer's configuration
        self._book.append(told)
        self._take(
            Row(
                self._seq,
                notice.box,
                told,
                {
                    "host": box.host,
                    "dial": f"{dial[0]}:{dial[1]}",
                    "site": box.room,
                    "class": box.kind,
                    "block": box.cell,
                    "health": notice.health,
                    "share": 1.0,
                    "born_ms": born_ms,
                },
            )
        )

    def _take(self, row: Row) -> None:
        self._seq, self._rows[row.box] = row.seq, row
        if self._old is not None:
            self._old._take(row)
        for watcher in list(self._watches):
            self._answer(watcher, self._watches[watcher][0])

    def listing(self) -> dict[str, object]:
        """The whole list: removed boxes are not on it."""
        rows = [row.text for row in self._rows.values() if row.text["health"] != "removed"]
        return {"seq": self._seq, "whole": True, "hosts": rows}

    def ask(self, watcher: Watcher, target: str) -> None:
        """A call."""
        url = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        try:
            after, wait_ms = int(query["after"]) if "after" in query else None, int(query.get("wait_ms", "0"))
        except ValueError:
            watcher.write(400, {})
            return
        if url.path != PATH:
            watcher.write(404, {})
        elif after is None:
            for row in self._rows.values():
                self._wrote(row)
            watcher.write(200, self.listing())
        elif after < self._seq or wait_ms <= 0:
            self._answer(watcher, after)
        else:
            timer = asyncio.get_running_loop().call_later(
                min(wait_ms, MAX_WAIT_MS) / 1000, self._answer, watcher, after
            )
            self._watches[watcher] = (after, timer)

    def forget(self, watcher: Watcher) -> None:
        entry = self._watches.pop(watcher, None)
        if entry is not None:
            entry[1].cancel()

    def _answer(self, watcher: Watcher, after: int) -> None:
        self.forget(watcher)
        news = [row for row in self._rows.values() if row.seq > after]
        for row in news:
            self._wrote(row)
        watcher.write(200, {"seq": self._seq, "whole": False, "hosts": [row.text for row in news]})

    def _wrote(self, row: Row) -> None:
        if not row.told.written_ns:
            row.told.written_ns = self._now()


class Watcher(asyncio.Protocol):
    """A connection to an agent."""

    def __init__(self, agent: Agent) -> None:
        self._agent = agent
        self._framer = framing.Framer()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        try:
            for message in self._framer.feed(data):
                self._agent.ask(self, message.first.split(" ")[1])
        except framing.Unreadable:
            if self._transport is not None:
                self._transport.abort()

    def write(self, status: int, what: object) -> None:
        if self._transport is not None:
            self._transport.write(framing.answer(status, json.dumps(what).encode()))

    def connection_lost(self, error: Exception | None) -> None:
        self._agent.forget(self)
