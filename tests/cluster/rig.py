"""Several real processes of the program on loopback, and faults between them.

Ways drop, double, delay, stall or are cut; processes are killed, frozen, woken, started again."""

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

START_S = 20.0  # a process is up by then, also where many start at once on a busy machine
LOOK_S = 0.05
ADMIN_HOST = "127.0.9.1"  # no other socket of a balancer is bound there: none takes a port that was free


@dataclass(slots=True)
class Way:
    """What befalls datagrams from one balancer to another."""

    cut: bool = False
    stalled: bool = False  # kept, and let through all at once when it ends
    lose: float = 0.0
    twice: float = 0.0
    late_s: tuple[float, float] = (0.0, 0.0)
    kept: list[bytes] = field(default_factory=list)


class Links(Relay):
    """The kit's network between balancers, each way with faults of its own."""

    def __init__(self, listens: list[tuple[str, int]], seed: int) -> None:
        super().__init__(Network(peer_loss=0.0, peer_ms=(0.0, 1.0)), listens, seed)
        self.ways = {(a, b): Way() for a in range(len(listens)) for b in range(len(listens)) if a != b}
        self._chance = random.Random(f"{seed}/ways")
        self._late: set[asyncio.TimerHandle] = set()

    def forward(self, sender: int, to: int, data: bytes) -> None:
        way = self.ways.get((sender, to))
        if way is None or way.cut or self._chance.random() < way.lose:
            return
        if way.stalled:
            way.kept.append(data)
            return
        for _ in range(1 + (self._chance.random() < way.twice)):
            handle = asyncio.get_running_loop().call_later(
                self._chance.uniform(*way.late_s), super().forward, sender, to, data
            )
            self._late.add(handle)
        self._late = {h for h in self._late if not h.cancelled() and h.when() > asyncio.get_running_loop().time()}

    def let_go(self) -> None:
        """Stalls end: all that was kept goes through at once."""
        for (sender, to), way in self.ways.items():
            way.stalled, kept, way.kept = False, way.kept, []
            for data in kept:
                super().forward(sender, to, data)

    def close(self) -> None:
        for handle in self._late:
            handle.cancel()
        super().close()


def free_ports(kind: socket.SocketKind, count: int, host: str = HOST) -> list[int]:
    """Ports of that host that nobody has now."""
    with contextlib.ExitStack() as stack:
        taken = [stack.enter_context(socket.socket(socket.AF_INET, kind)) for _ in range(count)]
        for sock in taken:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in taken]


class Cluster:
    """The processes, by number."""

    def __init__(self, folder: Path, count: int, seed: int, operators: str) -> None:
        self.folder, self.count = folder, count
        self.listens = [(HOST, port) for port in free_ports(socket.SOCK_DGRAM, count)]
        self.admin = free_ports(socket.SOCK_STREAM, count, ADMIN_HOST)
        self.links = Links(self.listens, seed)
        self.processes: dict[int, Process] = {}
        self._peers: list[list[tuple[str, int]]] = []
        (folder / "operators.toml").write_text(operators)

    async def open(self) -> None:
        self._peers, _ = await self.links.open(HOST)
        await asyncio.gather(*(self.start(i) for i in range(self.count)))

    async def start(self, i: int) -> None:
        """Start one, blank; it is up when its second address answers."""
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
        """(state, incarnation) of each, as this one tells it; None where it does not answer."""
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
        self, what: Callable[[dict[int, dict[int, tuple[str, int]]]], bool], of: list[int], limit_s: float
    ) -> float:
        """Wait until this holds of the views of these; how long that took. TimeoutError with the views."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        while True:
            views = {i: v for i in of if (v := await self.view(i)) is not None}
            if len(views) == len(of) and what(views):
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
                process.kill()  # also of one that is frozen
        await asyncio.gather(*(p.wait() for p in self.processes.values()))
        self.links.close()


@asynccontextmanager
async def cluster(folder: Path, count: int, seed: int, operators: str = "[fleet]\n") -> AsyncIterator[Cluster]:
    """So many processes that are up."""
    made = Cluster(folder, count, seed, operators)
    try:
        await made.open()
        yield made
    finally:
        await made.close()
