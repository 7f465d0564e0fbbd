"""Several processes of the balancer on loopback, with faults between them.

Links drop, duplicate, delay, hold back or are cut; processes are killed, suspended, resumed and restarted."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
from asyncio.subprocess import DEVNULL, Process
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lanemux.rehearsal.relay import Relay
from lanemux.rehearsal.scenario import Network
from tests.sockets import HOST
from tests.test_process import SETTINGS, config

START_S = 20.0  # upper bound for a start, also when many start at once on a busy machine
LOOK_S = 0.05
ADMIN_HOST = "127.0.9.1"  # no other socket of a balancer is bound there, so none takes a port found free


@dataclass(slots=True)
class Link:
    """Faults of the datagrams from one balancer to another."""

    cut: bool = False
    stalled: bool = False  # held back, and delivered all at once when that ends
    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    delay_s: tuple[float, float] = (0.0, 0.0)
    held_back: list[bytes] = field(default_factory=list)


class FaultyRelay(Relay):
    """The rehearsal's relay between balancers, with faults of its own for each direction."""

    def __init__(self, listens: list[tuple[str, int]], seed: int) -> None:
        super().__init__(Network(peer_loss=0.0, peer_ms=(0.0, 1.0)), listens, seed)
        self.links = {(a, b): Link() for a in range(len(listens)) for b in range(len(listens)) if a != b}
        self._link_rng = random.Random(f"{seed}/ways")
        self._link_timers: set[asyncio.TimerHandle] = set()

    def forward(self, sender: int, to: int, data: bytes) -> None:
        link = self.links.get((sender, to))
        if link is None or link.cut or self._link_rng.random() < link.loss_rate:
            return
        if link.stalled:
            link.held_back.append(data)
            return
        for _ in range(1 + (self._link_rng.random() < link.duplicate_rate)):
            handle = asyncio.get_running_loop().call_later(
                self._link_rng.uniform(*link.delay_s), super().forward, sender, to, data
            )
            self._link_timers.add(handle)
        self._link_timers = {
            h for h in self._link_timers if not h.cancelled() and h.when() > asyncio.get_running_loop().time()
        }

    def release(self) -> None:
        """End all stalls and deliver everything held back at once."""
        for (sender, to), link in self.links.items():
            link.stalled, held_back, link.held_back = False, link.held_back, []
            for data in held_back:
                super().forward(sender, to, data)

    def close(self) -> None:
        for handle in self._link_timers:
            handle.cancel()
        super().close()


def free_ports(kind: socket.SocketKind, count: int, host: str = HOST) -> list[int]:
    """Ports of that host that are free now."""
    with contextlib.ExitStack() as stack:
        taken = [stack.enter_context(socket.socket(socket.AF_INET, kind)) for _ in range(count)]
        for sock in taken:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in taken]


class Cluster:
    """Balancer processes, by number."""

    def __init__(self, folder: Path, count: int, seed: int, operators: str) -> None:
        self.folder, self.count = folder, count
        self.listens = [(HOST, port) for port in free_ports(socket.SOCK_DGRAM, count)]
        self.admin = free_ports(socket.SOCK_STREAM, count, ADMIN_HOST)
        self.relay = FaultyRelay(self.listens, seed)
        self.processes: dict[int, Process] = {}
        self._peers: list[list[tuple[str, int]]] = []
        (folder / "operators.toml").write_text(operators)

    async def open(self) -> None:
        self._peers, _ = await self.relay.open(HOST)
        await asyncio.gather(*(self.start(i) for i in range(self.count)))

    async def start(self, i: int) -> None:
        """Start one without state; it is up when its admin address answers."""
        path = self.folder / f"{i}.json"
        settings = {**SETTINGS, "me": i, "replicas_of_me": self.count}
        path.write_text(
            json.dumps(
                config(
                    name=f"n{i}",
                    settings=settings,
                    admin_addr=f"{ADMIN_HOST}:{self.admin[i]}",
                    peer_listen=f"{HOST}:{self.listens[i][1]}",
                    peers=[f"{h}:{p}" for h, p in self._peers[i]],
                )
            )
        )
        with (self.folder / f"{i}.log").open("ab") as log:
            self.processes[i] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lanemux",
                stdout=DEVNULL,
                stderr=log,
                env={**os.environ, "RELAY_CONFIG": str(path), "LANEMUX_OPERATORS": str(self.folder / "operators.toml")},
            )
        async with asyncio.timeout(START_S):
            while await self.view(i) is None:
                assert self.processes[i].returncode is None, (self.folder / f"{i}.log").read_text()
                await asyncio.sleep(LOOK_S)

    async def view(self, i: int) -> dict[int, tuple[str, int]] | None:
        """(state, incarnation) of each member as this one reports it; None if it does not answer."""
        told = await self.call(i, "/admin/fleet")
        return None if told is None else {m["number"]: (m["state"], m["incarnation"]) for m in told["members"]}

    async def call(self, i: int, target: str) -> Any:
        try:
            reader, writer = await asyncio.open_connection(ADMIN_HOST, self.admin[i])
            writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            answer = await asyncio.wait_for(reader.read(), 2.0)
            writer.close()
        except (OSError, TimeoutError):
            return None
        head, _, body = answer.partition(b"\r\n\r\n")
        return json.loads(body) if b" 200 " in head.partition(b"\r\n")[0] else None

    async def until(
        self, condition: Callable[[dict[int, dict[int, tuple[str, int]]]], bool], numbers: list[int], limit_s: float
    ) -> float:
        """Wait until the condition holds for these views; returns the seconds it took. TimeoutError lists the views."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        while True:
            views = {i: v for i in numbers if (v := await self.view(i)) is not None}
            if len(views) == len(numbers) and condition(views):
                return loop.time() - begun
            if loop.time() > begun + limit_s:
                raise TimeoutError(f"after {limit_s} s: {views}")
            await asyncio.sleep(LOOK_S)

    async def kill(self, i: int) -> None:
        self.processes[i].kill()
        await self.processes[i].wait()

    def signal(self, i: int, number: signal.Signals) -> None:
        self.processes[i].send_signal(number)

    async def close(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()  # works on a suspended one too
        await asyncio.gather(*(p.wait() for p in self.processes.values()))
        self.relay.close()


@asynccontextmanager
async def cluster(folder: Path, count: int, seed: int, operators: str = "[fleet]\n") -> AsyncIterator[Cluster]:
    """`count` running processes."""
    made = Cluster(folder, count, seed, operators)
    try:
        await made.open()
        yield made
    finally:
        await made.close()
