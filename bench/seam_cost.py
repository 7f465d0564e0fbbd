"""Throughput and CPU cost of a change: this tree's balancer against another commit's, or with [storm] on against off,
alternately, on one machine.

    python -m bench.seam_cost COMMIT [ROUNDS] [PAIRS]
    python -m bench.seam_cost storm [ROUNDS] [PAIRS]     # [storm] on over off

Both balancers run for all rounds of a pair, each on a core of its own, in front of four upstreams that answer at once;
sixteen connections load one of them for a quarter of a second, then the other, in random order. Two processes of the
same code differ by 3% during their whole life, so the pair is restarted PAIRS times, and the standard error is that
between pairs. Printed are requests per second and the balancer's CPU time per request (Linux, /proc/PID/schedstat), as
ratios of the same round, for two loads:

    full   without pauses, with a round-robin policy only: measures the network code alone, nothing is refused
    paced  some 600 requests a second, with the unchanged daemon
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
from dataclasses import dataclass
from pathlib import Path

from lanemux.rehearsal import framing
from lanemux.rehearsal.balancers import BalancerEndpoints, configuration, free_address
from lanemux.rehearsal.command import find_scenario
from lanemux.rehearsal.plan import Notice, draw_plan, settings
from lanemux.rehearsal.registry import RegistryAgent

ROOT = Path(__file__).parent.parent
# Rounds are short so that drift on a shared machine affects both balancers of a pair alike.
UPSTREAMS, CONNECTIONS, ROUND_S, ROUNDS, PAIRS = 4, 16, 0.25, 24, 10
PAUSE_S = {"full": 0.0, "paced": 0.025}  # pause of a connection between its requests
ROUND_ROBIN_PROGRAM = """
import asyncio, os
from lanemux import interface as api
from lanemux.net.config import read_config
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
PROGRAMS = {"full": ["-c", ROUND_ROBIN_PROGRAM], "paced": ["-m", "lanemux"]}
HOST = "127.0.0.1"
BODY = b"x" * 200


class Upstream(asyncio.Protocol):
    """Answers at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.parser = framing.MessageParser()

    def data_received(self, data: bytes) -> None:
        for message in self.parser.feed(data):
            is_probe = " /stats " in message.start_line
            body = b'{"inflight": 0, "queue": 0}' if is_probe else BODY
            self.transport.write(framing.response(200, body))  # type: ignore[attr-defined]


class Client:
    """One connection that sends its next request as soon as it is answered, or after a pause."""

    def __init__(self, port: int, number: int) -> None:
        self.port, self.number, self.count, self.served = port, number, 0, 0

    async def open(self) -> None:
        """Connect; the connection is kept for all rounds, as real clients keep theirs."""
        self._reader, self._writer = await asyncio.open_connection(HOST, self.port)

    def close(self) -> None:
        self._writer.close()

    async def ask(self, until: float, pause_s: float) -> None:
        loop = asyncio.get_running_loop()
        reader, writer = self._reader, self._writer
        parser = framing.MessageParser(responses=True)
        while loop.time() < until:
            self.count += 1
            writer.write(
                framing.request(
                    "/rate-lookup/1",
                    {
                        "Host": "quotes.internal",
                        "Req-Id": f"{self.number:04x}{self.count:012x}",
                        "Req-Owner": "brooklyn-desk",
                        "Req-Deadline-Ms": "600",
                        "Req-Cost": "1000",
                    },
                )
            )
            answers: list[framing.Message] = []
            while not answers:
                answers = parser.feed(await reader.read(65536))
            self.served += answers[0].status == 200
            if pause_s:
                await asyncio.sleep(pause_s)


@dataclass(frozen=True)
class Side:
    """One of the two balancers: its name, source tree and operators' file."""

    name: str
    root: Path
    operators: Path


async def start(
    side: Side, folder: Path, core: int, agent: RegistryAgent, endpoints: BalancerEndpoints, program: list[str]
) -> asyncio.subprocess.Process:
    """Start the balancer of one side on a core."""
    balancer_settings = settings(draw_plan(find_scenario("calm-short", ""), 1), 0)
    balancer_settings["realms"] = [{"name": "brooklyn-desk", "share": 1.0}]
    path = folder / f"{side.name}.json"
    path.write_text(json.dumps(configuration(side.name, endpoints, "1", agent.snapshot(), balancer_settings)))
    arguments = ["--operators", str(side.operators)] if "-m" in program else []
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *program,
        *arguments,
        cwd=side.root,
        stdin=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        env={**os.environ, "RELAY_CONFIG": str(path), "PYTHONPATH": str(side.root)},
        preexec_fn=lambda: os.sched_setaffinity(0, {core}),
    )


async def open_upstreams(agent: RegistryAgent) -> None:
    """Open the upstreams and publish them to discovery."""
    loop, plan = asyncio.get_running_loop(), draw_plan(find_scenario("calm-short", ""), 1)
    for number in range(UPSTREAMS):
        server = await loop.create_server(Upstream, HOST, 0)
        agent.publish(plan.boxes[number], server.sockets[0].getsockname()[:2], Notice(0, number, "up", 0), True)


async def load(clients: list[Client], pid: int, pause_s: float) -> tuple[float, float, int]:
    """Requests served per second, CPU microseconds per request, and the number not served."""
    loop = asyncio.get_running_loop()
    before = sum(c.count for c in clients), sum(c.served for c in clients)
    used, began = cpu_time_ns(pid), loop.time()
    await asyncio.gather(*(c.ask(began + ROUND_S, pause_s) for c in clients))
    asked, served = sum(c.count for c in clients) - before[0], sum(c.served for c in clients) - before[1]
    return served / (loop.time() - began), (cpu_time_ns(pid) - used) / 1000 / asked, asked - served


def cpu_time_ns(pid: int) -> int:
    """CPU time of the process so far."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])


@contextlib.asynccontextmanager
async def running_balancers(
    sides: tuple[Side, Side], folder: Path, program: list[str]
) -> AsyncIterator[dict[str, tuple[int, int]]]:
    """Start both balancers and yield the port and process ID of each."""
    agent = RegistryAgent(0, lambda: 0, 0, [])
    discovery = await agent.open(HOST)
    await open_upstreams(agent)
    cores = sorted(os.sched_getaffinity(0))
    balancers, processes = {}, []
    for number, side in enumerate(sides):
        listen, peer = free_address(HOST), free_address(HOST, datagrams=True)
        endpoints = BalancerEndpoints(listen, discovery, peer, [peer], peer)
        processes.append(await start(side, folder, cores[-1 - number], agent, endpoints, program))
        balancers[side.name] = (listen[1], processes[-1].pid)
    try:
        for port, _ in balancers.values():
            while True:
                with contextlib.suppress(OSError):
                    (await asyncio.open_connection(HOST, port))[1].close()
                    break
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.5)  # the balancers need this long to settle after a start
        yield balancers
    finally:
        for process in processes:
            process.kill()
            await process.wait()
        await agent.close()


async def measure(
    sides: tuple[Side, Side], rounds: int, number: int, folder: Path, what: str
) -> dict[str, list[tuple[float, float, int]]]:
    """Start one pair and run its rounds."""
    results: dict[str, list[tuple[float, float, int]]] = {side.name: [] for side in sides}
    async with running_balancers(sides if number % 2 else (sides[1], sides[0]), folder, PROGRAMS[what]) as balancers:
        cores = sorted(os.sched_getaffinity(0))
        clients = {name: [Client(port, i) for i in range(CONNECTIONS)] for name, (port, _) in balancers.items()}
        await asyncio.gather(*(c.open() for own in clients.values() for c in own))
        for turn in range(rounds):
            # The cores differ in speed: the balancers swap theirs each round.
            for position, (_, pid) in enumerate(balancers.values()):
                os.sched_setaffinity(pid, {cores[-1 - (position + turn) % 2]})
            for name in random.Random(turn).sample(sorted(balancers), 2):
                results[name].append(await load(clients[name], balancers[name][1], PAUSE_S[what]))
        for own in clients.values():
            for client in own:
                client.close()
    return results


def print_results(sides: tuple[Side, Side], pairs: list[dict[str, list[tuple[float, float, int]]]], what: str) -> None:
    """Print medians per side, and the ratios of the two sides."""
    first, second = (side.name for side in sides)
    for name in (first, second):
        rows = [row for pair in pairs for row in pair[name]]
        print(
            f"{what}, {name}: {statistics.median(r[0] for r in rows):.0f} requests/s, "
            f"{statistics.median(r[1] for r in rows):.1f} us of processor a request (medians), "
            f"{sum(r[2] for r in rows)} not served"
        )
    for figure, column in (("requests/s", 0), ("us a request", 1)):
        ratios = [
            statistics.median(a[column] / b[column] for a, b in zip(pair[first], pair[second], strict=True))
            for pair in pairs
        ]
        error = statistics.stdev(ratios) / len(ratios) ** 0.5 if len(ratios) > 1 else 0.0
        print(
            f"{what}, {figure}, {first} over {second}: {len(pairs)} pairs, mean of their medians "
            f"{statistics.mean(ratios):.4f}, standard error {error:.4f}",
            flush=True,
        )


def compare(sides: tuple[Side, Side], rounds: int, pairs: int, folder: Path, loads: list[str]) -> None:
    """Measure and print each load."""
    for what in loads:
        print_results(
            sides, [asyncio.run(measure(sides, rounds, number, folder, what)) for number in range(pairs)], what
        )


def main() -> None:
    if len(sys.argv) < 2:
        raise SystemExit(__doc__)
    other_name, *more = sys.argv[1:]
    rounds, pairs = [int(word) for word in more] + [ROUNDS, PAIRS][len(more) :]
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        plain, storm, other = folder / "plain.toml", folder / "storm.toml", folder / "other"
        plain.write_text("")
        storm.write_text("[storm]\n")
        if other_name == "storm":
            compare((Side("on", ROOT, storm), Side("off", ROOT, plain)), rounds, pairs, folder, ["paced"])
            return
        subprocess.run(["git", "worktree", "add", "-q", "--detach", str(other), other_name], cwd=ROOT, check=True)
        try:
            compare((Side("here", ROOT, plain), Side(other_name, other, plain)), rounds, pairs, folder, list(PROGRAMS))
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(other)], cwd=ROOT, check=True)


if __name__ == "__main__":
    main()
