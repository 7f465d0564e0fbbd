"""What the seams cost in service: this tree's balancer beside another commit's, in turns, on one machine.

    python -m bench.seam_cost COMMIT [ROUNDS]

Both balancers stand all the time, each on a core of its own, before four upstreams that answer at once; sixteen
connections load one of them for a quarter of a second, then the other, in drawn order. Told are requests a second and
the processor time of the balancer for each (Linux, /proc/PID/schedstat), as ratios round by round, for two loads:

    full   as fast as it goes, with a module that only deals requests out: the network code alone, nothing refused
    paced  some 600 requests a second, with the daemon as it is
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import statistics
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

from lanemux.rehearsal import framing
from lanemux.rehearsal.balancers import Place, configuration, free_port
from lanemux.rehearsal.command import find
from lanemux.rehearsal.plan import Notice, draw, settings
from lanemux.rehearsal.registry import Agent

ROOT = Path(__file__).parent.parent
# Short rounds: what drifts on a shared machine is then the same for both of a pair.
UPSTREAMS, CONNECTIONS, ROUND_S, ROUNDS = 4, 16, 0.25, 300
PAUSE_S = {"full": 0.0, "paced": 0.025}  # of a connection between its requests
DEALER = """
import asyncio, os
from lanemux import interface as api
from lanemux.net.daemon import read_config
from lanemux.net.node import Node

class Dealer:
    ids, turn = [], 0
    def handle(self, now, events):
        actions = []
        for event in events:
            if isinstance(event, api.ListUpdate) and event.upstreams:
                self.ids = [u.id for u in event.upstreams]
            elif isinstance(event, api.Arrival):
                self.turn += 1
                actions.append(api.Send(event.request, self.ids[self.turn % len(self.ids)]))
            elif isinstance(event, api.Outcome) and not event.complete:
                actions.append(api.Fail(event.request))
        return actions

async def main():
    await Node(read_config(os.environ["RELAY_CONFIG"]), Dealer()).start()
    await asyncio.Event().wait()

asyncio.run(main())
"""
PROGRAMS = {"full": ["-c", DEALER], "paced": ["-m", "lanemux"]}
HOST = "127.0.0.1"
BODY = b"x" * 200


class Upstream(asyncio.Protocol):
    """Answers at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.framer = framing.Framer()

    def data_received(self, data: bytes) -> None:
        for message in self.framer.feed(data):
            look = " /stats " in message.first
            body = b'{"inflight": 0, "queue": 0}' if look else BODY
            self.transport.write(framing.answer(200, body))  # type: ignore[attr-defined]


class Client:
    """One connection that asks again as soon as it is answered."""

    def __init__(self, port: int, number: int) -> None:
        self.port, self.number, self.count, self.served = port, number, 0, 0

    async def ask(self, until: float, pause_s: float) -> None:
        loop = asyncio.get_running_loop()
        reader, writer = await asyncio.open_connection(HOST, self.port)
        framer = framing.Framer(answers=True)
        while loop.time() < until:
            self.count += 1
            writer.write(framing.request("/rate-lookup/1", {
                "Host": "quotes.internal", "Req-Id": f"{self.number:04x}{self.count:012x}",
                "Req-Owner": "brooklyn-desk", "Req-Deadline-Ms": "600", "Req-Cost": "1000"}))
            answers: list[framing.Message] = []
            while not answers:
                answers = framer.feed(await reader.read(65536))
            self.served += answers[0].status == 200
            if pause_s:
                await asyncio.sleep(pause_s)
        writer.close()


async def start(root: Path, folder: Path, name: str, core: int, agent: Agent, place: Place,
                program: list[str]) -> asyncio.subprocess.Process:
    told = settings(draw(find("calm-short", ""), 1), 0)
    told["realms"] = [{"name": "brooklyn-desk", "share": 1.0}]
    path = folder / f"{name}.json"
    path.write_text(json.dumps(configuration(name, place, "1", agent.listing(), told)))
    return await asyncio.create_subprocess_exec(
        sys.executable, *program, cwd=root, stdin=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
        env={**os.environ, "RELAY_CONFIG": str(path), "PYTHONPATH": str(root)},
        preexec_fn=lambda: os.sched_setaffinity(0, {core}))


async def open_upstreams(agent: Agent) -> None:
    loop, plan = asyncio.get_running_loop(), draw(find("calm-short", ""), 1)
    for number in range(UPSTREAMS):
        server = await loop.create_server(Upstream, HOST, 0)
        agent.tell(plan.boxes[number], server.sockets[0].getsockname()[:2], Notice(0, number, "up", 0), True)


async def load(port: int, pid: int, number: int, pause_s: float) -> tuple[float, float, int]:
    """Requests served a second, processor microseconds for each, and how many were not served."""
    loop = asyncio.get_running_loop()
    clients = [Client(port, number * 100 + i) for i in range(CONNECTIONS)]
    used, began = ran_ns(pid), loop.time()
    await asyncio.gather(*(c.ask(began + ROUND_S, pause_s) for c in clients))
    asked, served = sum(c.count for c in clients), sum(c.served for c in clients)
    return served / (loop.time() - began), (ran_ns(pid) - used) / 1000 / asked, asked - served


def ran_ns(pid: int) -> int:
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])


@contextlib.asynccontextmanager
async def standing(trees: dict[str, Path], folder: Path,
                   program: list[str]) -> AsyncIterator[dict[str, tuple[int, int]]]:
    """The balancers' ports and process numbers."""
    agent = Agent(0, lambda: 0, 0, [])
    discovery = await agent.open(HOST)
    await open_upstreams(agent)
    cores = sorted(os.sched_getaffinity(0))
    found, processes = {}, []
    for number, (name, root) in enumerate(trees.items()):
        listen, peer = free_port(HOST), free_port(HOST, datagrams=True)
        place = Place(listen, discovery, peer, [peer], peer)
        processes.append(await start(root, folder, name, cores[-1 - number], agent, place, program))
        found[name] = (listen[1], processes[-1].pid)
    try:
        for port, _ in found.values():
            while True:
                with contextlib.suppress(OSError):
                    (await asyncio.open_connection(HOST, port))[1].close()
                    break
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.5)  # their rest after a start
        yield found
    finally:
        for process in processes:
            process.kill()
            await process.wait()
        await agent.close()


async def measure(commit: str, rounds: int, other: Path, folder: Path, what: str) -> None:
    figures: dict[str, list[tuple[float, float, int]]] = {"here": [], commit: []}
    async with standing({"here": ROOT, commit: other}, folder, PROGRAMS[what]) as found:
        cores = sorted(os.sched_getaffinity(0))
        for number in range(rounds):
            for place, (_, pid) in enumerate(found.values()):  # cores are not alike: each has either one in turn
                os.sched_setaffinity(pid, {cores[-1 - (place + number) % 2]})
            for name in random.Random(number).sample(sorted(found), 2):
                figures[name].append(await load(*found[name], number, PAUSE_S[what]))
    for name, rows in figures.items():
        print(f"{what}, {name}: {statistics.median(r[0] for r in rows):.0f} requests/s, "
              f"{statistics.median(r[1] for r in rows):.1f} us of processor a request (medians of {rounds} rounds), "
              f"{sum(r[2] for r in rows)} not served")
    for figure, column in (("requests/s", 0), ("us a request", 1)):
        ratios = [h[column] / o[column] for h, o in zip(figures["here"], figures[commit], strict=True)]
        print(f"{what}, {figure}, here over {commit}: median {statistics.median(ratios):.4f}, "
              f"mean {statistics.mean(ratios):.4f}, standard error {statistics.stdev(ratios) / len(ratios) ** 0.5:.4f}")


def main() -> None:
    if len(sys.argv) < 2:
        raise SystemExit(__doc__)
    commit, rounds = sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else ROUNDS
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        other = folder / "other"
        subprocess.run(["git", "worktree", "add", "-q", "--detach", str(other), commit], cwd=ROOT, check=True)
        try:
            for what in PROGRAMS:
                asyncio.run(measure(commit, rounds, other, folder, what))
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(other)], cwd=ROOT, check=True)


if __name__ == "__main__":
    main()
