"""etcd in place of the platform's discovery: one fake member per balancer, over a shared store.

Each balancer has its own prefix, because a box has a different address for each balancer. The time at which a row was
written to a balancer's connection is recorded as by the agent of the platform's discovery.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable, Sequence

from lanemux.rehearsal.addresses import Address
from lanemux.rehearsal.etcd.server import FakeMember, Listen
from lanemux.rehearsal.etcd.store import Change, Store
from lanemux.rehearsal.plan import MS, Box, Happening, Notice
from lanemux.rehearsal.records import Told

MAX_NOTICE_DELAY_NS = 6_000_000_000  # as with the platform's discovery: a stall must be detected before this


class EtcdAgent:
    """The source of one balancer's upstream list: a fake etcd member of its own."""

    def __init__(
        self,
        balancer: int,
        now: Callable[[], int],
        wall_start_ms: int,
        records: list[Told],
        store: Store,
        listen: Listen = socket.create_server,
    ) -> None:
        self.balancer, self._now, self._records, self._wall_start_ms = balancer, now, records, wall_start_ms
        self.prefix = f"/rehearsal/{balancer}/"
        self._store = store
        self._pending: dict[str, list[tuple[int, Told]]] = {}  # host -> (revision, record) not written yet
        self._rows: dict[str, dict[str, object]] = {}
        self._member = FakeMember(store, listen=listen)
        self._member.on_written = self._record_written
        self._tasks: dict[asyncio.Task[None], None] = {}

    async def open(self, host: str) -> Address:
        await self._member.start(host)
        return self._member.address

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await self._member.stop()

    def operators_toml(self) -> str:
        """The part of the operators' file that makes the balancer follow this member."""
        host, port = self._member.address
        return f'[etcd]\nendpoints = ["{host}:{port}"]\nprefix = "{self.prefix}"\n'

    def publish(self, box: Box, dial: Address, notice: Notice, first: bool = False) -> None:
        """Publish a change of a box in the store; watches are notified immediately."""
        born_ms = 0 if not notice.born_ns else self._wall_start_ms + notice.born_ns // MS
        row: dict[str, object] = {
            "dial": f"{dial[0]}:{dial[1]}",
            "site": box.room,
            "class": box.kind,
            "block": box.cell,
            "health": notice.health,
            "share": 1.0,
            "born_ms": born_ms,
        }
        removed = notice.health == "removed"
        self._rows.pop(box.host, None)
        if not removed:
            self._rows[box.host] = row
        told = Told(self.balancer, notice.box, notice.health, 0, 0 if first else self._now() + MAX_NOTICE_DELAY_NS)
        if first:
            told.written_ns = -1  # already in the balancer's configuration
        self._records.append(told)
        value = None if removed else json.dumps(row).encode()
        revision = self._store.write([(f"{self.prefix}{box.host}".encode(), value)])
        if not first:
            self._pending.setdefault(box.host, []).append((revision, told))
        self._member.notify_watchers()

    def snapshot(self) -> dict[str, object]:
        """The complete list in the JSON form of the discovery API, for the configuration."""
        return {"seq": 1, "whole": True, "hosts": [{"host": host, **row} for host, row in self._rows.items()]}

    def inject_fault(self, happening: Happening) -> None:
        """Apply a fault of the plan to this member."""
        match happening.what:
            case "drop":
                self._member.drop()
            case "reset":
                self._spawn(self._restart())
            case "stall":
                self._spawn(self._stall((happening.until_ns - happening.at_ns) / 1e9))
            case "compact":
                self._spawn(self._compact())

    def _spawn(self, coroutine: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)  # type: ignore[arg-type]
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
        self._member.notify_watchers()

    async def _compact(self) -> None:
        """Compact the store while the watch is down."""
        self._member.faults.refuse_watches = "etcdserver: no leader"
        self._member.drop()
        await asyncio.sleep(0.3)
        if self._store.revision > self._store.compacted:
            self._store.compact(self._store.revision)
        self._member.faults.refuse_watches = ""

    def _record_written(self, changes: Sequence[Change], revision: int) -> None:
        """Record what was written to the balancer: these changes or, if there are none, all up to a revision."""
        now_ns = self._now()
        hosts = [c.key.decode().removeprefix(self.prefix) for c in changes] or list(self._pending)
        written_revisions = {c.key.decode().removeprefix(self.prefix): c.revision for c in changes}
        for host in hosts:
            remaining = []
            for row_revision, told in self._pending.get(host, ()):
                if row_revision <= written_revisions.get(host, revision):
                    told.written_ns = told.written_ns or now_ns
                else:
                    remaining.append((row_revision, told))
            self._pending[host] = remaining
