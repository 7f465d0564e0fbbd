"""A simulation of the platform's discovery: one agent per balancer, which receives changes seconds late.

It serves `GET /registry/instances`, as a snapshot or as a watch (`after`, `wait_ms`), and records when each row was
written to its balancer: from then on the rules take the balancer to know of it.
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

MAX_NOTICE_DELAY_NS = 6_000_000_000  # after this, the balancer is taken to know an update, even if it has not read it
MAX_WAIT_MS = 60_000
PATH = "/registry/instances"


class DiscoveryAgent(Protocol):
    """The source of one balancer's upstream list."""

    balancer: int

    async def open(self, host: str) -> Address:
        """Start to listen; returns the address for the balancer's configuration."""

    async def close(self) -> None:
        """Stop serving."""

    def publish(self, box: Box, dial: Address, notice: Notice, first: bool = False) -> None:
        """Publish a change of a box; `first`: an entry of the list from before the balancer's start."""

    def snapshot(self) -> dict[str, object]:
        """The complete list in the JSON form of the discovery API."""

    def operators_toml(self) -> str:
        """The part of the operators' file that makes the balancer follow this agent; empty for the platform's."""

    def inject_fault(self, happening: Happening) -> None:
        """Apply a fault of the plan to the agent."""


@dataclass(slots=True)
class Row:
    """An agent's entry for one box."""

    seq: int
    box: int
    told: Told
    entry: dict[str, object]


class RegistryAgent:
    """The platform's discovery agent of one balancer."""

    def __init__(self, balancer: int, now: Callable[[], int], wall_start_ms: int, records: list[Told]) -> None:
        self.balancer, self._now, self._records, self._wall_start_ms = balancer, now, records, wall_start_ms
        self._rows: dict[int, Row] = {}
        self._seq = 1
        self._watches: dict[AgentConnection, tuple[int, asyncio.TimerHandle]] = {}  # (`after`, timer of `wait_ms`)
        self._server: asyncio.Server | None = None
        self._predecessor: RegistryAgent | None = None  # receives the same updates

    def successor(self) -> RegistryAgent:
        """The same discovery at a new address; this agent receives updates until `detach_predecessor` is called."""
        successor = RegistryAgent(self.balancer, self._now, self._wall_start_ms, self._records)
        successor._rows, successor._seq, successor._predecessor = dict(self._rows), self._seq, self
        return successor

    def detach_predecessor(self) -> None:
        """Send no more updates to the agent that this one replaces."""
        self._predecessor = None

    async def open(self, host: str) -> Address:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: AgentConnection(self), host, 0)
        address: Address = self._server.sockets[0].getsockname()
        return address

    def operators_toml(self) -> str:
        return ""

    def inject_fault(self, happening: Happening) -> None:
        """Nothing happens: an agent runs on the balancer's own machine."""

    async def close(self) -> None:
        for _, timer in self._watches.values():
            timer.cancel()
        if self._server is not None:
            self._server.close()

    def publish(self, box: Box, dial: Address, notice: Notice, first: bool = False) -> None:
        """Publish a change of a box; open watches are answered immediately."""
        self._seq += not first
        born_ms = 0 if not notice.born_ns else self._wall_start_ms + notice.born_ns // MS
        told = Told(self.balancer, notice.box, notice.health, 0, 0 if first else self._now() + MAX_NOTICE_DELAY_NS)
        if first:
            told.written_ns = -1  # already in the balancer's configuration
        self._records.append(told)
        self._store(
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

    def _store(self, row: Row) -> None:
        self._seq, self._rows[row.box] = row.seq, row
        if self._predecessor is not None:
            self._predecessor._store(row)
        for connection in list(self._watches):
            self._send_changes(connection, self._watches[connection][0])

    def snapshot(self) -> dict[str, object]:
        """The complete list; removed boxes are not in it."""
        rows = [row.entry for row in self._rows.values() if row.entry["health"] != "removed"]
        return {"seq": self._seq, "whole": True, "hosts": rows}

    def handle(self, connection: AgentConnection, target: str) -> None:
        """Handle a request of a balancer."""
        url = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        try:
            after, wait_ms = int(query["after"]) if "after" in query else None, int(query.get("wait_ms", "0"))
        except ValueError:
            connection.write(400, {})
            return
        if url.path != PATH:
            connection.write(404, {})
        elif after is None:
            for row in self._rows.values():
                self._record_written(row)
            connection.write(200, self.snapshot())
        elif after < self._seq or wait_ms <= 0:
            self._send_changes(connection, after)
        else:
            timer = asyncio.get_running_loop().call_later(
                min(wait_ms, MAX_WAIT_MS) / 1000, self._send_changes, connection, after
            )
            self._watches[connection] = (after, timer)

    def forget(self, connection: AgentConnection) -> None:
        """End a connection's watch, if it has one."""
        entry = self._watches.pop(connection, None)
        if entry is not None:
            entry[1].cancel()

    def _send_changes(self, connection: AgentConnection, after: int) -> None:
        self.forget(connection)
        changed = [row for row in self._rows.values() if row.seq > after]
        for row in changed:
            self._record_written(row)
        connection.write(200, {"seq": self._seq, "whole": False, "hosts": [row.entry for row in changed]})

    def _record_written(self, row: Row) -> None:
        if not row.told.written_ns:
            row.told.written_ns = self._now()


class AgentConnection(asyncio.Protocol):
    """A balancer's connection to an agent."""

    def __init__(self, agent: RegistryAgent) -> None:
        self._agent = agent
        self._parser = framing.MessageParser()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        try:
            for message in self._parser.feed(data):
                self._agent.handle(self, message.start_line.split(" ")[1])
        except framing.Unreadable:
            if self._transport is not None:
                self._transport.abort()

    def write(self, status: int, content: object) -> None:
        """Write a JSON response."""
        if self._transport is not None:
            self._transport.write(framing.response(status, json.dumps(content).encode()))

    def connection_lost(self, error: Exception | None) -> None:
        self._agent.forget(self)
