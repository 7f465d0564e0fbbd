"""Following etcd's watch, measured against the stand-in in another process. Run from the repository's root:

    python -m bench.etcd_follow notice   # from the store to the decision, in calm and in bursts of 5,000 changes
    python -m bench.etcd_follow size     # memory and processor at 100, 1,000 and 10,000 boxes, also through 20 lists

Linux only: it reads /proc, and compares CLOCK_MONOTONIC between processes.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lanemux.rehearsal.etcd.server import FakeMember
from lanemux.rehearsal.etcd.store import Change, Store

HOST, PREFIX = "127.0.0.1", "/boxes/"
BOXES, RATE, BURST, BURSTS, CALM = 1000, 300, 5000, 6, 200
TXN = 128  # keys of one revision: etcd's default limit of a transaction
GAP_S = 2.0  # between bursts
RELISTS = 20
FRAGMENT = 1000  # changes of a response
STAMP = re.compile(rb'"site": "([0-9]+)"')
PHASES_S = 2.0 + CALM * 0.02 + 1.0 + 2.0 + BURSTS * GAP_S  # how long `notice` lasts


@dataclass
class World:
    """The stand-in, the boxes, and the balancer's process."""

    standin: FakeMember
    box: int  # the port that all boxes' addresses lead to
    folder: Path
    process: asyncio.subprocess.Process
    crowd: asyncio.subprocess.Process
    sent: dict[int, int] = field(default_factory=dict)  # when the row with that stamp was written to the balancer

    def row(self, health: str = "up", stamp: bool = False) -> bytes:
        site = str(time.monotonic_ns()) if stamp else "a"
        return json.dumps(
            {
                "dial": f"{HOST}:{self.box}",
                "site": site,
                "class": "m",
                "block": 0,
                "health": health,
                "share": 1.0,
                "born_ms": 0,
            }
        ).encode()

    def wrote(self, changes: Sequence[Change], revision: int) -> None:
        """Rows have been handed to the balancer's socket."""
        now = time.monotonic_ns()
        for change in changes:
            if (stamp := STAMP.search(change.value or b"")) is not None:
                self.sent[int(stamp[1])] = now

    def write(self, rows: list[tuple[str, bytes | None]]) -> None:
        for start in range(0, len(rows), TXN):
            self.standin.store.write([(f"{PREFIX}{h}".encode(), v) for h, v in rows[start : start + TXN]])
        self.standin.notify_watchers()

    def memory_mb(self) -> float:
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def processor_s(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


SETTINGS: dict[str, Any] = {
    "me": 0,
    "replicas_of_me": 4,
    "locality": "a",
    "zones": ["a"],
    "registry_mode": "push",
    "load_report": {"columns": ["inflight", "queue"], "how": "probe"},
    "profiles": [{"name": "read", "repeat": "read_like", "aim_ns": 264_000_000}],
    "realms": [{"name": "a", "share": 1}],
    "limits": {
        "conn_idle_ns": 15_000_000_000,
        "connect_timeout_ns": 200_000_000,
        "max_open": 20000,
        "probes": True,
        "may_cancel": True,
        "retry_after": True,
        "send_cap": 5,
    },
    "prices": {"probe": 0.002},
    "rules": {"stop_sending_within_ns": 500_000_000},
}


def free_port() -> int:
    import socket

    with socket.create_server((HOST, 0)) as taken:
        return int(taken.getsockname()[1])


@asynccontextmanager
async def world(count: int, program: list[str]) -> AsyncIterator[World]:
    """A balancer that has taken up a list of so many boxes."""
    standin = await FakeMember(Store()).start()
    standin.faults.max_fragment_events = FRAGMENT
    with tempfile.TemporaryDirectory() as name:
        folder, port = Path(name), free_port()
        crowd = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bench.programs.crowd",
            str(port),
            str(RATE),
            str(PHASES_S),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=64 * 1024 * 1024,
        )
        assert crowd.stdout is not None
        box = int(await crowd.stdout.readline())
        (folder / "config.json").write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"{HOST}:{port}",
                    "discovery": f"{HOST}:1",
                    "seed": "1",
                    "settings": SETTINGS,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                }
            )
        )
        (folder / "operators.toml").write_text(
            f'[etcd]\nendpoints = ["{HOST}:{standin.address[1]}"]\nprefix = "{PREFIX}"\n'
        )
        here = World(standin, box, folder, None, crowd)  # type: ignore[arg-type]
        standin.on_written = here.wrote
        here.write([(f"q-{i:06}", here.row()) for i in range(count)])
        with (folder / "log").open("wb") as log:
            here.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *program,
                str(folder / "report.json"),
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "RELAY_CONFIG": str(folder / "config.json"),
                    "LANEMUX_OPERATORS": str(folder / "operators.toml"),
                },
            )
        try:
            while not standin.watches:
                await asyncio.sleep(0.01)
            await asyncio.sleep(1.5)
            yield here
        finally:
            for process in (here.process, crowd):
                if process.returncode is None:
                    process.kill()
                    await process.wait()
            await standin.stop()


def share(values: list[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * part))] if values else float("nan")


def told(what: str, ns: list[int]) -> None:
    ms = [v / 1e6 for v in ns]
    print(f"{what}: {len(ms)}, p50 {share(ms, 0.5):.2f} ms, p99 {share(ms, 0.99):.2f} ms, most {max(ms):.2f} ms")


async def notice() -> None:
    async with world(BOXES, ["bench.programs.etcd_node"]) as here:
        assert here.crowd.stdin is not None and here.crowd.stdout is not None
        here.crowd.stdin.write(b"go\n")
        await asyncio.sleep(2.0)
        calm = time.monotonic_ns()
        for i in range(CALM):
            here.write([(f"q-{i % BOXES:06}", here.row("draining", True))])
            await asyncio.sleep(0.02)
        await asyncio.sleep(1.0)
        quiet = time.monotonic_ns()
        await asyncio.sleep(2.0)
        bursts = time.monotonic_ns()
        for n in range(BURSTS):
            half = [(f"n-{i:06}", here.row("up", True)) for i in range(BURST // 2)]
            more = [(f"m-{i:06}", here.row("up", True)) for i in range(BURST // 2)]
            here.write([*half, (f"q-{500 + n:06}", here.row("draining", True)), *more])
            await asyncio.sleep(GAP_S)
        answered = json.loads(await here.crowd.stdout.readline())
        end = time.monotonic_ns()
        here.process.send_signal(signal.SIGTERM)
        await here.process.wait()
        report = json.loads((here.folder / "report.json").read_text())
        print((here.folder / "log").read_text()[-500:])
        # From the moment it was written to the balancer's socket.
        report["late"] = [(at, at - here.sent[at - v], s) for at, v, s in report["late"] if at - v in here.sent]
    told(f"notice to decision in calm, {RATE} requests/s", [v for at, v, _ in report["late"] if calm <= at < bursts])
    told(f"the drain within a burst of {BURST}", [v for at, v, s in report["late"] if at >= bursts and s == "DRAINING"])
    told(f"all changes of bursts of {BURST}", [v for at, v, _ in report["late"] if at >= bursts])
    told("the loop for one slice", report["took"])
    told("passes of the garbage collector over all objects", [ns for old, ns in report["passes"] if old == 2])
    spans = [v for at, v in report["stood"] if calm <= at < quiet]
    told("the loop stood still in calm", spans)
    for name, begin, stop in (("without a burst", quiet, bursts), ("with bursts", bursts, end)):
        spans = [v / 1e6 for at, v in report["stood"] if begin <= at < stop]
        asked = [s * 1000 for at, s in answered if begin <= at < stop]
        print(
            f"{name}: the loop stood still {max(spans, default=0):.1f} ms at most; {len(asked)} answers, "
            f"p50 {share(asked, 0.5):.2f} ms, p99 {share(asked, 0.99):.2f} ms, most {max(asked, default=0):.1f} ms"
        )


async def size() -> None:
    for count in (100, 1_000, 10_000):
        async with world(count, ["bench.programs.etcd_node"]) as here:
            settled, spent = here.memory_mb(), here.processor_s()
            for _ in range(RELISTS):
                watches = here.standin.watches
                here.write([("q-000000", here.row())])
                here.standin.store.compact(here.standin.store.revision)
                # What the watch had not seen is compacted: it is cancelled, and the list is read anew.
                here.write([("q-000001", here.row())])
                here.standin.store.compact(here.standin.store.revision)
                here.standin.drop()
                while here.standin.watches <= watches:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(1.2)
            after, lists = here.memory_mb(), here.standin.lists
            print(
                f"{count} boxes: {settled:.1f} MB and {spent:.2f} s of processor until the list was in; after "
                f"{RELISTS} losses and {lists} pages {after:.1f} MB, "
                f"{(here.processor_s() - spent) / RELISTS * 1000:.0f} ms of processor for each",
                flush=True,
            )


def main() -> None:
    parser = argparse.ArgumentParser("bench.etcd_follow")
    parser.add_argument("what", choices=("notice", "size"))
    asyncio.run(notice() if parser.parse_args().what == "notice" else size())


if __name__ == "__main__":
    main()
