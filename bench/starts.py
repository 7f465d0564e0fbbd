"""Cost of a start by the size of the fleet, for this tree and optionally another commit, alternately in one run.

    python -m bench.starts [--before COMMIT] [--rounds N] [--sizes 10,200,500,1024]

Each start is one process in a clean installation: the package as delivered, in a folder that it can't write to
(PYTHONDONTWRITEBYTECODE), with the bytecode that the `build` of its tree leaves; a commit without deploy/build has
none. Its configuration lists SIZE balancers and SIZE known upstreams, and it is stopped with SIGTERM once it is ready.
Printed are median and maximum of: ms until "ready on port", and by then ms of CPU time and MiB (private, and peak).
"""

from __future__ import annotations

import argparse
import io
import json
import os
import re
import shutil
import signal
import statistics
import subprocess
import sys
import tarfile
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from lanemux.rehearsal.balancers import BalancerEndpoints, configuration, free_address

ROOT = Path(__file__).parent.parent
HOST, UNUSED_ADDRESS = "127.0.0.1", ("127.0.0.1", 9)  # of upstreams and discovery: a start contacts neither
SIZES, ROUNDS = "10,200,500,1024", 7
READY_TIMEOUT_S = 30.0  # the platform's limit


@dataclass(frozen=True)
class Cost:
    """Cost of one start until it was ready."""

    ready_ms: float
    processor_ms: float
    private_mib: float
    most_mib: float


def install(folder: Path, commit: str | None) -> Path:
    """Install the package of a commit (None: of this tree) into the folder, as its `build` leaves it."""
    if commit is None:
        for name in ("lanemux", "deploy"):
            shutil.copytree(ROOT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
    else:
        packed = subprocess.run(
            ["git", "archive", commit, "lanemux", "deploy"], cwd=ROOT, check=True, capture_output=True
        ).stdout
        with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
            archive.extractall(folder, filter="data")
    if (folder / "deploy" / "build").exists():  # the libraries are this interpreter's; of `build` only its bytecode
        subprocess.run(
            [sys.executable, "-m", "compileall", "-q", "--invalidation-mode", "checked-hash", "lanemux"],
            cwd=folder,
            check=True,
        )
    return folder


def configuration_for(size: int) -> dict[str, object]:
    """A configuration with `size` balancers and `size` known upstreams."""
    own = free_address(HOST, datagrams=True)
    peers = [own, *((f"127.1.{i // 250}.{1 + i % 250}", 7946) for i in range(size - 1))]
    hosts = [
        {
            "host": f"quote-server-{i:05d}",
            "dial": f"127.2.{i // 250}.{1 + i % 250}:8080",
            "site": f"zone-{i % 5}",
            "class": "box-a",
            "block": i // 8,
            "health": "up",
            "share": 1.0,
            "born_ms": 0,
        }
        for i in range(size)
    ]
    settings: dict[str, object] = {
        "me": 0,
        "replicas_of_me": size,
        "profiles": [{"name": "read"}],
        "limits": {"peers": True, "send_cap": 3},
    }
    endpoints = BalancerEndpoints((HOST, 0), UNUSED_ADDRESS, own, peers, (HOST, 9))
    return configuration("n0", endpoints, "8c1f30d27a5be964", {"seq": 1, "whole": True, "hosts": hosts}, settings)


def memory_mib(pid: int) -> tuple[float, float]:
    """Private and peak memory (Linux, /proc/PID/status: RssAnon and VmHWM)."""
    status = Path(f"/proc/{pid}/status").read_text()
    kib = [int(found[1]) for name in ("RssAnon", "VmHWM") if (found := re.search(rf"{name}:\s+(\d+)", status))]
    return kib[0] / 1024, kib[1] / 1024


def processor_ms(pid: int) -> float:
    """CPU time of the process so far (Linux, /proc/PID/schedstat, in ns)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e6


def start(installation: Path, size: int) -> Cost:
    """Start a balancer in an installation; RuntimeError if it is not ready within READY_TIMEOUT_S."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration_for(size)))
        environment = {**os.environ, "RELAY_CONFIG": str(path), "PYTHONDONTWRITEBYTECODE": "1", "TMPDIR": folder}
        begun = time.monotonic()
        with subprocess.Popen(
            [sys.executable, "-m", "lanemux"], cwd=installation, env=environment, stderr=subprocess.PIPE
        ) as process:
            assert process.stderr is not None
            for line in process.stderr:
                if b"ready on port" in line:
                    ready_ms = (time.monotonic() - begun) * 1000
                    cost = Cost(ready_ms, processor_ms(process.pid), *memory_mib(process.pid))
                    process.send_signal(signal.SIGTERM)
                    process.stderr.read()
                    return cost
                if time.monotonic() - begun > READY_TIMEOUT_S:
                    break
            process.kill()
    raise RuntimeError(f"{installation}: not ready with {size}")


def summary(costs: list[Cost]) -> str:
    """Table cells with median and maximum of each cost."""

    def median_and_max(name: str) -> str:
        values = [getattr(c, name) for c in costs]
        return f"{statistics.median(values):.0f} ({max(values):.0f})"

    return " | ".join(median_and_max(name) for name in ("ready_ms", "processor_ms", "private_mib", "most_mib"))


def main() -> int:
    parser = argparse.ArgumentParser("bench.starts", allow_abbrev=False)
    parser.add_argument("--before", metavar="COMMIT")
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    parser.add_argument("--sizes", default=SIZES)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        installations = {"now": install(Path(folder) / "now", None)}
        if options.before:
            (Path(folder) / "before").mkdir()
            installations["before"] = install(Path(folder) / "before", options.before)
        print("| balancers and upstreams | code | ready, ms | processor, ms | private, MiB | at most, MiB |")
        print("| --- | --- | --- | --- | --- | --- |")
        for size in map(int, options.sizes.split(",")):
            costs: dict[str, list[Cost]] = {name: [] for name in installations}
            for _ in range(options.rounds):
                for name, installation in installations.items():
                    costs[name].append(start(installation, size))
            for name in installations:
                print(f"| {size} | {name} | {summary(costs[name])} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
