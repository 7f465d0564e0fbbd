"""Drains and removals while requests wait for connections and the watch fails: no request is sent late.

Counted at the boxes: requests that arrive more than 500 ms after the notice was written to the balancer's socket.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import pytest

from lanemux import interface as api
from lanemux.core.membership import Membership
from lanemux.etcd.member import Target
from lanemux.etcd.source import EtcdSourceFactory
from lanemux.net.config import Config
from lanemux.net.node import Node
from lanemux.rehearsal.etcd.server import FakeMember
from lanemux.rehearsal.etcd.store import Change, Store
from tests.etcd.test_source import PREFIX, key, row
from tests.sockets import HOST, Client, Got, Script, Upstream, Writer, request, settings, until, written

BOXES, ROUNDS = 76, 4  # 304 drains and removals
GRACE_S = 0.5


class DrainScenario:
    """A balancer that follows a fake etcd server, and boxes whose connections are held back until released."""

    def __init__(self) -> None:
        self.server = FakeMember(Store())
        self.server.on_written = self._on_written
        self.boxes: list[Upstream] = []
        self.arrivals: list[tuple[int, float]] = []  # (box, time) of each request at a box
        self.notified_at: dict[str, float] = {}  # host -> when its drain or removal was written to the balancer
        self.ended: set[str] = set()  # hosts whose drain or removal is in the store
        self.release = asyncio.Event()
        self.script = Script(self._react)
        self.numbers = Membership(0)

    def _react(self, event: api.Event) -> Iterable[api.Action]:
        if isinstance(event, api.Arrival):
            return [api.Send(event.request, self.numbers.id_of(host(int(event.key))))]
        if isinstance(event, api.Outcome) and not event.complete:
            return [api.Fail(event.request)]
        return ()

    def _on_written(self, changes: Sequence[Change], revision: int) -> None:
        hosts = {c.key.decode().removeprefix(PREFIX) for c in changes} or self.ended
        for name in hosts & self.ended:
            self.notified_at.setdefault(name, time.monotonic())

    def record_arrivals(self, number: int) -> Callable[[Got, Writer], Any]:
        async def answer(got: Got, writer: Writer) -> None:
            self.arrivals.append((number, time.monotonic()))
            writer.write(written(200))

        return answer

    async def start(self, monkeypatch: pytest.MonkeyPatch) -> Node:
        self.boxes = [await Upstream(self.record_arrivals(i)).start() for i in range(BOXES)]
        ports = {b.port for b in self.boxes}
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def connect_when_released(make_protocol: Any, there: Any = None, port: Any = None, **more: Any) -> Any:
            if port in ports:
                await self.release.wait()
            return await connect(make_protocol, there, port, **more)

        monkeypatch.setattr(loop, "create_connection", connect_when_released)
        await self.server.start()
        self.all_up()
        config = Config("n", (HOST, 0), (HOST, 1), 1, 1024, settings(connect_timeout_ns=5_000_000_000))
        return Node(config, self.script, EtcdSourceFactory(Target((self.server.address,), PREFIX)))

    def put(self, rows: dict[str, bytes | None]) -> None:
        self.server.store.write([(key(h), v) for h, v in rows.items()])
        self.server.notify_watchers()

    def all_up(self) -> None:
        self.ended.clear()
        self.notified_at.clear()
        self.put({host(i): row(b.port) for i, b in enumerate(self.boxes)})

    def end_boxes(self, number: int) -> None:
        """Half of the boxes drain, half are removed, while the watch is lost in a different way each round."""
        names = [host(i) for i in range(BOXES)]
        self.ended = set(names)
        if number % 2:
            self.server.drop()
        for at, name in enumerate(names):
            self.put({name: None if at % 2 else row(self.boxes[at].port, "draining")})
            if at == BOXES // 2 and number == 2:
                self.server.drop()
        if number == 3:
            self.server.store.compact(self.server.store.revision)

    async def round(self, node: Node, port: int, number: int) -> int:
        """Run one round; returns the number of late requests."""
        self.release.clear()
        self.arrivals.clear()
        clients = [Client(node, port) for _ in range(BOXES)]
        arrived = len(self.script.of(api.Arrival))
        for i, client in enumerate(clients):
            await client.send(request("/read", f"Cookie: user={i}"))
        await until(lambda: len(self.script.of(api.Arrival)) == arrived + BOXES)
        self.end_boxes(number)
        await until(
            lambda: len(self.notified_at) == BOXES and not any(p.ready for p in node._pool_manager.pools.values())
        )
        await until(lambda: time.monotonic() > max(self.notified_at.values()) + GRACE_S)
        self.release.set()
        for client in clients:
            await client.read()
            client.close()
        late = sum(at > self.notified_at[host(i)] + GRACE_S for i, at in self.arrivals)
        self.all_up()
        await until(lambda: sum(p.ready for p in node._pool_manager.pools.values()) == BOXES)
        return late


def host(number: int) -> str:
    return f"b{number:03}"


@pytest.mark.parametrize(("cancelled", "rounds"), [(True, ROUNDS), (False, 1)])
def test_no_request_reaches_a_box_late_only_because_waiting_ones_are_cancelled(
    monkeypatch: pytest.MonkeyPatch, cancelled: bool, rounds: int
) -> None:
    async def test() -> None:
        scenario = DrainScenario()
        node = await scenario.start(monkeypatch)
        if not cancelled:
            monkeypatch.setattr(node.upstream_set, "_on_targets_changed", lambda: None)
        port = await node.start()
        try:
            await until(lambda: len(node._pool_manager.pools) == BOXES)
            late = [await scenario.round(node, port, number) for number in range(rounds)]
        finally:
            node.close()
            await scenario.server.stop()
            for box in scenario.boxes:
                box.stop()
        assert late == [0 if cancelled else BOXES] * rounds

    asyncio.run(asyncio.wait_for(test(), 60))
