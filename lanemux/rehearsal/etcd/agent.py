"""etcd in place of platform discovery: a member for each balancer, over one store, a prefix each.

Each balancer has a prefix of its own, since a box has another address for each. When a row was written to a balancer's
connection is booked as the agent of platform discovery books it.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable, Sequence

from lanemux.rehearsal.addresses import Address
from lanemux.rehearsal.etcd.server import Listen, StandIn
from lanemux.rehearsal.etcd.store import Change, Store
from lanemux.rehearsal.plan import MS, Box, Happening, Notice
from lanemux.rehearsal.records import Told

TOLD_AT_LATEST_NS = 6_000_000_000  # as with platform discovery: a stall must be found out before


class EtcdAgent:
    """The member that one balancer follows."""

    def __init__(
        self,
        balancer: int,
        now: Callable[[], int],
        wall_zero_ms: int,
        book: list[Told],
        store: Store,
        listen: Listen = socket.create_server,
    ) -> None:
        self.balancer, self._now, self._book, self._wall_zero_ms = balancer, now, book, wall_zero_ms
        self.prefix = f"/rehearsal/{balancer}/"
        self._store = store
        self._open: dict[str, list[tuple[int, Told]]] = {}  # host -> (revision, row) not written yet
        self._rows: dict[str, dict[str, object]] = {}
        self._member = StandIn(store, listen=listen)
        self._member.wrote = self._wrote
        self._tasks: dict[asyncio.Task[None], None] = {}

    async def open(self, host: str) -> Address:
        await self._member.start(host)
        return self._member.address

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await self._member.stop()

    def operators(self) -> str:
        """What the balancer's operators' file says."""
        host, port = self._member.address
        return f'[etcd]\nendpoints = ["{host}:{port}"]\nprefix = "{self.prefix}"\n'

    def tell(self, box: Box, dial: Address, notice: Notice, first: bool = False) -> None:
        """The store has news; those who watch hear it at once."""
        born_ms = 0 if not notice.born_ns else self._wall_zero_ms + notice.born_ns // MS
        row: dict[str, object] = {
            "dial": f"{dial[0]}:{dial[1]}",
            "site": box.room,
            "class": box.kind,
            "block": box.cell,
            "health": notice.health,
            "share": 1.0,
            "born_ms": born_ms,
        }
        gone = notice.health == "removed"
        self._rows.pop(box.host, None)
        if not gone:
            self._rows[box.host] = row
        told = Told(self.balancer, notice.box, notice.health, 0, 0 if first else self._now() + TOLD_AT_LATEST_NS)
        if first:
            told.written_ns = -1  # it stands in the balancer's configuration
        self._book.append(told)
        value = None if gone else json.dumps(row).encode()
        revision = self._store.write([(f"{self.prefix}{box.host}".encode(), value)])
        if not first:
            self._open.setdefault(box.host, []).append((revision, told))
        self._member.changed()

    def listing(self) -> dict[str, object]:
        """The whole list in discovery's form, for the configuration."""
        return {"seq": 1, "whole": True, "hosts": [{"host": host, **row} for host, row in self._rows.items()]}

    def upset(self, happening: Happening) -> None:
        """Something goes wrong with this member."""
        match happening.what:
            case "drop":
                self._member.drop()
            case "reset":
                self._spawn(self._restart())
            case "stall":
                self._spawn(self._stall((happening.until_ns - happening.at_ns) / 1e9))
            case "compact":
                self._spawn(self._compact())

    def _spawn(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self._tasks[task] = None
        task.add_done_callback(lambda task: self._tasks.pop(task, None))

    async def _restart(self) -> None:
        host, port = self._member.address
        await self._member.stop()
        await self._member.start(host, port)

    async def _stall(self, seconds: float) -> None:
        self._member.faults.silent = True
        await asyncio.sleep(seconds)
        self._member.faults.silent = False
        self._member.changed()

    async def _compact(self) -> None:
        """History goes while the watch is away."""
        self._member.faults.refuse_watches = "etcdserver: no leader"
        self._member.drop()
        await asyncio.sleep(0.3)
        if self._store.revision > self._store.compacted:
            self._store.compact(self._store.revision)
        self._member.faults.refuse_watches = ""

    def _wrote(self, changes: Sequence[Change], revision: int) -> None:
        """Rows have been written to the balancer: these changes, or all up to a revision."""
        at = self._now()
        hosts = [c.key.decode().removeprefix(self.prefix) for c in changes] or list(self._open)
        latest = {c.key.decode().removeprefix(self.prefix): c.revision for c in changes}
        for host in hosts:
            kept = []
            for made, told in self._open.get(host, ()):
                if made <= latest.get(host, revision):
                    told.written_ns = told.written_ns or at
                else:
                    kept.append((made, told))
            self._open[host] = kept
