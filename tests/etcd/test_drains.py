"""Drains and removals that come while requests wait for their connections, with the watch upset: none goes late.

Counted at the boxes: a request that comes more than 500 ms after the notice was written to the balancer's socket.
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
from lanemux.rehearsal.etcd.server import StandIn
from lanemux.rehearsal.etcd.store import Change, Store
from tests.etcd.test_source import PREFIX, key, row
from tests.sockets import HOST, Client, Got, Script, Upstream, Writer, request, settings, until, written

BOXES, ROUNDS = 76, 4  # 304 drains and removals
GRACE_S = 0.5


class Rolling:
    """A balancer that follows a stand-in etcd, and boxes whose connections come up only when let."""

    def __init__(self) -> None:
        self.standin = StandIn(Store())
        self.standin.wrote = self._wrote
        self.boxes: list[Upstream] = []
        self.came: list[tuple[int, float]] = []  # (box, when) of each request at a box
        self.noticed: dict[str, float] = {}  # host -> when its end was written to the balancer
        self.ended: set[str] = set()  # hosts whose end is in the store
        self.let = asyncio.Event()
        self.script = Script(self._react)
        self.numbers = Membership(0)

    def _react(self, event: api.Event) -> Iterable[api.Action]:
        if isinstance(event, api.Arrival):
            return [api.Send(event.request, self.numbers.number(host(int(event.key))))]
        if isinstance(event, api.Outcome) and not event.complete:
            return [api.Fail(event.request)]
        return ()

    def _wrote(self, changes: Sequence[Change], revision: int) -> None:
        told = {c.key.decode().removeprefix(PREFIX) for c in changes} or self.ended
        for name in told & self.ended:
            self.noticed.setdefault(name, time.monotonic())

    def note(self, number: int) -> Callable[[Got, Writer], Any]:
        async def answer(got: Got, writer: Writer) -> None:
            self.came.append((number, time.monotonic()))
            writer.write(written(200))

        return answer

    async def start(self, monkeypatch: pytest.MonkeyPatch) -> Node:
        self.boxes = [await Upstream(self.note(i)).start() for i in range(BOXES)]
        ports = {b.port for b in self.boxes}
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def held(make_protocol: Any, there: Any = None, port: Any = None, **more: Any) -> Any:
            if port in ports:
                await self.let.wait()
            return await connect(make_protocol, there, port, **more)

        monkeypatch.setattr(loop, "create_connection", held)
        await self.standin.start()
        self.up()
        config = Config("n", (HOST, 0), (HOST, 1), 1, 1024, settings(connect_timeout_ns=5_000_000_000))
        return Node(config, self.script, EtcdSourceFactory(Target((self.standin.address,), PREFIX)))

    def put(self, rows: dict[str, bytes | None]) -> None:
        self.standin.store.write([(key(h), v) for h, v in rows.items()])
        self.standin.changed()

    def up(self) -> None:
        self.ended.clear()
        self.noticed.clear()
        self.put({host(i): row(b.port) for i, b in enumerate(self.boxes)})

    def end(self, number: int) -> None:
        """Half of the boxes drain, half go, while the watch is lost in a way of its own each round."""
        names = [host(i) for i in range(BOXES)]
        self.ended = set(names)
        if number % 2:
            self.standin.drop()
        for at, name in enumerate(names):
            self.put({name: None if at % 2 else row(self.boxes[at].port, "draining")})
            if at == BOXES // 2 and number == 2:
                self.standin.drop()
        if number == 3:
            self.standin.store.compact(self.standin.store.revision)

    async def round(self, node: Node, port: int, number: int) -> int:
        """One round; gives how many requests came late."""
        self.let.clear()
        self.came.clear()
        clients = [Client(node, port) for _ in range(BOXES)]
        arrived = len(self.script.of(api.Arrival))
        for i, client in enumerate(clients):
            await client.send(request("/read", f"Cookie: user={i}"))
        await until(lambda: len(self.script.of(api.Arrival)) == arrived + BOXES)
        self.end(number)
        await until(lambda: len(self.noticed) == BOXES and not any(p.ready for p in node._hub.pools.values()))
        await until(lambda: time.monotonic() > max(self.noticed.values()) + GRACE_S)
        self.let.set()
        for client in clients:
            await client.read()
            client.close()
        late = sum(at > self.noticed[host(i)] + GRACE_S for i, at in self.came)
        self.up()
        await until(lambda: sum(p.ready for p in node._hub.pools.values()) == BOXES)
        return late


def host(number: int) -> str:
    return f"b{number:03}"


@pytest.mark.parametrize(("called_off", "rounds"), [(True, ROUNDS), (False, 1)])
def test_no_request_goes_to_a_box_late_only_because_those_that_wait_are_called_off(
    monkeypatch: pytest.MonkeyPatch, called_off: bool, rounds: int
) -> None:
    async def test() -> None:
        rolling = Rolling()
        node = await rolling.start(monkeypatch)
        if not called_off:
            monkeypatch.setattr(node.upstream_set, "_strayed", lambda: None)
        port = await node.start()
        try:
            await until(lambda: len(node._hub.pools) == BOXES)
            late = [await rolling.round(node, port, number) for number in range(rounds)]
        finally:
            node.close()
            await rolling.standin.stop()
            for box in rolling.boxes:
                box.stop()
        assert late == [0 if called_off else BOXES] * rounds

    asyncio.run(asyncio.wait_for(test(), 60))
