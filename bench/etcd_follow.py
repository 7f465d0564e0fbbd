"""Measures how the balancer follows an etcd watch; the etcd server is a fake one, in a process other than the
balancer's. Run from the repository's root:

    python -m bench.etcd_follow notice   # delay from fake etcd to policy, for single changes and in bursts of 5,000
    python -m bench.etcd_follow size     # memory and CPU time at 100, 1,000 and 10,000 boxes, also over 20 relists

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
BOXES, RATE, BURST, BURSTS, SINGLE_CHANGES = 1000, 300, 5000, 6, 200
TRANSACTION_KEYS = 128  # keys per revision: etcd's default limit for one transaction
BURST_INTERVAL_S = 2.0
RELISTS = 20
FRAGMENT_EVENTS = 1000  # most changes in one watch response
STAMP = re.compile(rb'"site": "([0-9]+)"')
NOTICE_DURATION_S = 2.0 + SINGLE_CHANGES * 0.02 + 1.0 + 2.0 + BURSTS * BURST_INTERVAL_S


@dataclass
class Environment:
    """The fake etcd server, the process of boxes and clients, and the balancer's process."""

    etcd: FakeMember
    box: int  # the port of every box's address
    folder: Path
    process: asyncio.subprocess.Process
    load_process: asyncio.subprocess.Process
    sent: dict[int, int] = field(default_factory=dict)  # stamp of a row -> when it was written to the balancer

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

    def record_sent(self, changes: Sequence[Change], revision: int) -> None:
        """Record when each stamped row was written to the balancer's socket."""
        now = time.monotonic_ns()
        for change in changes:
            if (stamp := STAMP.search(change.value or b"")) is not None:
                self.sent[int(stamp[1])] = now

    def write(self, rows: list[tuple[str, bytes | None]]) -> None:
        for start in range(0, len(rows), TRANSACTION_KEYS):
            self.etcd.store.write([(f"{PREFIX}{h}".encode(), v) for h, v in rows[start : start + TRANSACTION_KEYS]])
        self.etcd.notify_watchers()

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
    """A TCP port that is free now."""
    import socket

    with socket.create_server((HOST, 0)) as taken:
        return int(taken.getsockname()[1])


@asynccontextmanager
async def start_environment(count: int, program: list[str]) -> AsyncIterator[Environment]:
    """Start a balancer, and yield once it watches and has had 1.5 s for its list of `count` boxes."""
    etcd = await FakeMember(Store()).start()
    etcd.faults.max_fragment_events = FRAGMENT_EVENTS
    with tempfile.TemporaryDirectory() as name:
        folder, port = Path(name), free_port()
        load_process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bench.programs.crowd",
            str(port),
            str(RATE),
            str(NOTICE_DURATION_S),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=64 * 1024 * 1024,
        )
        assert load_process.stdout is not None
        box = int(await load_process.stdout.readline())
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
            f'[etcd]\nendpoints = ["{HOST}:{etcd.address[1]}"]\nprefix = "{PREFIX}"\n'
        )
        environment = Environment(etcd, box, folder, None, load_process)  # type: ignore[arg-type]
        etcd.on_written = environment.record_sent
        environment.write([(f"q-{i:06}", environment.row()) for i in range(count)])
        with (folder / "log").open("wb") as log:
            environment.process = await asyncio.create_subprocess_exec(
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
            while not etcd.watches:
                await asyncio.sleep(0.01)
            await asyncio.sleep(1.5)
            yield environment
        finally:
            for process in (environment.process, load_process):
                if process.returncode is None:
                    process.kill()
                    await process.wait()
            await etcd.stop()


def quantile(values: list[float], fraction: float) -> float:
    """The value at this fraction of the sorted values."""
    return sorted(values)[min(len(values) - 1, int(len(values) * fraction))] if values else float("nan")


def print_latencies(what: str, ns: list[int]) -> None:
    """Print number, quantiles and maximum of latencies."""
    ms = [v / 1e6 for v in ns]
    print(f"{what}: {len(ms)}, p50 {quantile(ms, 0.5):.2f} ms, p99 {quantile(ms, 0.99):.2f} ms, most {max(ms):.2f} ms")


async def notice() -> None:
    """Measure how late the balancer applies changes, and how long its event loop stalls."""
    async with start_environment(BOXES, ["bench.programs.etcd_node"]) as environment:
        assert environment.load_process.stdin is not None and environment.load_process.stdout is not None
        environment.load_process.stdin.write(b"go\n")
        await asyncio.sleep(2.0)
        single_changes_start = time.monotonic_ns()
        for i in range(SINGLE_CHANGES):
            environment.write([(f"q-{i % BOXES:06}", environment.row("draining", True))])
            await asyncio.sleep(0.02)
        await asyncio.sleep(1.0)
        idle_start = time.monotonic_ns()
        await asyncio.sleep(2.0)
        bursts_start = time.monotonic_ns()
        for n in range(BURSTS):
            half = [(f"n-{i:06}", environment.row("up", True)) for i in range(BURST // 2)]
            more = [(f"m-{i:06}", environment.row("up", True)) for i in range(BURST // 2)]
            environment.write([*half, (f"q-{500 + n:06}", environment.row("draining", True)), *more])
            await asyncio.sleep(BURST_INTERVAL_S)
        answered = json.loads(await environment.load_process.stdout.readline())
        end = time.monotonic_ns()
        environment.process.send_signal(signal.SIGTERM)
        await environment.process.wait()
        report = json.loads((environment.folder / "report.json").read_text())
        print((environment.folder / "log").read_text()[-500:])
        # Measured from the write to the balancer's socket.
        report["late"] = [
            (at, at - environment.sent[at - v], s) for at, v, s in report["late"] if at - v in environment.sent
        ]
    print_latencies(
        f"notice to decision in calm, {RATE} requests/s",
        [v for at, v, _ in report["late"] if single_changes_start <= at < bursts_start],
    )
    print_latencies(
        f"the drain within a burst of {BURST}",
        [v for at, v, s in report["late"] if at >= bursts_start and s == "DRAINING"],
    )
    print_latencies(f"all changes of bursts of {BURST}", [v for at, v, _ in report["late"] if at >= bursts_start])
    print_latencies("the loop for one slice", report["took"])
    print_latencies(
        "passes of the garbage collector over all objects", [ns for old, ns in report["passes"] if old == 2]
    )
    spans = [v for at, v in report["stood"] if single_changes_start <= at < idle_start]
    print_latencies("the loop stood still in calm", spans)
    for name, begin, stop in (("without a burst", idle_start, bursts_start), ("with bursts", bursts_start, end)):
        spans = [v / 1e6 for at, v in report["stood"] if begin <= at < stop]
        latencies = [s * 1000 for at, s in answered if begin <= at < stop]
        print(
            f"{name}: the loop stood still {max(spans, default=0):.1f} ms at most; {len(latencies)} answers, "
            f"p50 {quantile(latencies, 0.5):.2f} ms, p99 {quantile(latencies, 0.99):.2f} ms, "
            f"most {max(latencies, default=0):.1f} ms"
        )


async def size() -> None:
    """Measure memory and CPU time by the number of boxes."""
    for count in (100, 1_000, 10_000):
        async with start_environment(count, ["bench.programs.etcd_node"]) as environment:
            settled, spent = environment.memory_mb(), environment.processor_s()
            for _ in range(RELISTS):
                watches = environment.etcd.watches
                environment.write([("q-000000", environment.row())])
                environment.etcd.store.compact(environment.etcd.store.revision)
                # The watch has not received the compacted changes: it is cancelled, and the balancer lists again.
                environment.write([("q-000001", environment.row())])
                environment.etcd.store.compact(environment.etcd.store.revision)
                environment.etcd.drop()
                while environment.etcd.watches <= watches:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(1.2)
            after, lists = environment.memory_mb(), environment.etcd.lists
            print(
                f"{count} boxes: {settled:.1f} MB and {spent:.2f} s of processor until the list was in; after "
                f"{RELISTS} losses and {lists} pages {after:.1f} MB, "
                f"{(environment.processor_s() - spent) / RELISTS * 1000:.0f} ms of processor for each",
                flush=True,
            )


def main() -> None:
    parser = argparse.ArgumentParser("bench.etcd_follow")
    parser.add_argument("what", choices=("notice", "size"))
    asyncio.run(notice() if parser.parse_args().what == "notice" else size())


if __name__ == "__main__":
    main()
