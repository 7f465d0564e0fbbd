"""The follower against an unmodified etcd server (Debian: `apt-get install etcd-server etcd-client`). By hand:

    python -m bench.etcd_real

List, watch, lease expiry, compaction while the watch is cut off, kill -9 and restart, and a cluster of three whose
leader is killed. After each step the list that the source has told is compared whole with what etcdctl reads.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from lanemux import interface as api
from lanemux.core.address import Address
from lanemux.core.membership import Entry, Listing, Membership
from lanemux.etcd.member import Target
from lanemux.etcd.source import EtcdSource
from lanemux.rehearsal.etcd.mangler import Mangler

HOST, PREFIX = "127.0.0.1", "/boxes/"
PATIENCE_S = 30.0


def row(port: int, health: str = "up") -> str:
    return json.dumps({"dial": f"{HOST}:{port}", "site": "a", "class": "m", "block": 0, "health": health, "share": 1.0,
                       "born_ms": 0})


def free_port() -> int:
    with socket.create_server((HOST, 0)) as taken:
        return int(taken.getsockname()[1])


class Member:
    """One etcd process."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.folder = name, folder / name
        self.client, self.peer = free_port(), free_port()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, cluster: str) -> None:
        client, peer = f"http://{HOST}:{self.client}", f"http://{HOST}:{self.peer}"
        with (self.folder.parent / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "etcd", "--name", self.name, "--data-dir", str(self.folder), "--listen-client-urls", client,
                "--advertise-client-urls", client, "--listen-peer-urls", peer, "--initial-advertise-peer-urls", peer,
                "--initial-cluster", cluster, stdout=log, stderr=log)

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Cluster:
    """Members, and etcdctl for them."""

    def __init__(self, size: int, folder: Path) -> None:
        self.members = [Member(f"m{i}", folder) for i in range(size)]
        self.text = ",".join(f"{m.name}=http://{HOST}:{m.peer}" for m in self.members)

    async def start(self) -> None:
        for m in self.members:
            await m.start(self.text)
        await until(self.healthy, "the cluster to be healthy")

    async def healthy(self) -> bool:
        return (await self.ctl("endpoint", "health", check=False))[0] == 0

    async def ctl(self, *words: str, given: str = "", check: bool = True) -> tuple[int, str]:
        alive = [m for m in self.members if m.process is not None and m.process.returncode is None]
        endpoints = ",".join(f"{HOST}:{m.client}" for m in alive)
        process = await asyncio.create_subprocess_exec(
            "etcdctl", "--endpoints", endpoints, *words, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE, env={**os.environ, "ETCDCTL_API": "3"})
        out, errors = await process.communicate(given.encode())
        if check and process.returncode:
            raise RuntimeError(f"etcdctl {words}: {errors.decode()}")
        return process.returncode or 0, out.decode()

    async def put(self, rows: dict[str, str], *more: str) -> None:
        for host, value in rows.items():
            await self.ctl("put", f"{PREFIX}{host}", value, *more)

    async def stored(self) -> tuple[int, dict[int, int]]:
        """The revision, and the number and port of each box."""
        numbers = Membership(0)
        got = json.loads((await self.ctl("get", "--prefix", PREFIX, "-w", "json"))[1])
        ports = {}
        for kv in got.get("kvs", ()):
            host = base64.b64decode(kv["key"]).decode().removeprefix(PREFIX)
            ports[numbers.number(host)] = int(json.loads(base64.b64decode(kv["value"]))["dial"].split(":")[1])
        return int(got["header"]["revision"]), ports

    async def leader(self) -> Member:
        for m in self.members:
            status = json.loads((await self.ctl("endpoint", "status", "-w", "json"))[1])
            for s in status:
                if s["Status"]["header"]["member_id"] == s["Status"]["leader"]:
                    return next(m for m in self.members if s["Endpoint"].endswith(f":{m.client}"))
        raise RuntimeError("no leader")

    async def stop(self) -> None:
        for m in self.members:
            await m.kill()


async def until(true: Callable[[], Awaitable[bool]], what: str) -> float:
    """Wait for it; seconds that it took."""
    began = time.monotonic()
    while not await true():
        if time.monotonic() - began > PATIENCE_S:
            raise SystemExit(f"FAILED: waited {PATIENCE_S:.0f} s for {what}")
        await asyncio.sleep(0.02)
    return time.monotonic() - began


class Followed:
    """A source, and the list that it has told."""

    def __init__(self, addresses: list[Address]) -> None:
        self.now: dict[int, Entry] = {}
        self.ended = 0
        self.source = EtcdSource(Target(tuple(addresses), PREFIX), Membership(0), random.Random(1), self._hear)
        self.source.watch()

    def _hear(self, listing: Listing | None) -> None:
        for e in listing.entries if listing is not None else ():
            self.now[e.upstream.id] = e
            if e.upstream.state is api.State.GONE:
                self.ended += 1
                del self.now[e.upstream.id]

    async def equals(self, cluster: Cluster, what: str) -> None:
        async def same() -> bool:
            return {i: e.address[1] for i, e in self.now.items()} == (await cluster.stored())[1]
        took = await until(same, what)
        print(f"ok: {what}: {len(self.now)} boxes the same as etcdctl's after {took:.2f} s", flush=True)


async def one_member(folder: Path) -> None:
    cluster = Cluster(1, folder)
    await cluster.start()
    relay = await Mangler((HOST, cluster.members[0].client)).start()
    await cluster.put({f"b{i}": row(1) for i in range(40)})
    followed = Followed([relay.address])
    try:
        await followed.equals(cluster, "list")
        await cluster.put({"b1": row(2), "c": row(3), "b2": row(1, "draining")})
        await cluster.ctl("del", f"{PREFIX}b0")
        await followed.equals(cluster, "watch")
        lease = (await cluster.ctl("lease", "grant", "2"))[1].split()[1]
        await cluster.put({f"b{i}": row(4) for i in range(10, 24)}, "--lease", lease)
        await followed.equals(cluster, "boxes under a lease")

        async def run_out() -> bool:
            return len((await cluster.stored())[1]) < 30
        await until(run_out, "the lease to run out")
        await followed.equals(cluster, "a lease that ran out, a third of the list at once")
        relay.hold(True)
        relay.reset()
        await cluster.ctl("del", f"{PREFIX}b5")
        await cluster.put({"d": row(5), "b6": row(6)})
        await cluster.ctl("compact", str((await cluster.stored())[0]))
        relay.hold(False)
        await followed.equals(cluster, "compaction while the watch was cut off")
        # The deletion is the compacted revision itself: up to 3.4.31 a watch from it would miss it.
        relay.hold(True)
        relay.reset()
        await cluster.ctl("del", f"{PREFIX}b7")
        await cluster.ctl("compact", str((await cluster.stored())[0]))
        relay.hold(False)
        await followed.equals(cluster, "a deletion that was compacted itself")
        relay.hold(True)  # half open
        await cluster.put({"e": row(7)})
        opened, began = relay.opened, time.monotonic()

        async def left() -> bool:
            return relay.opened > opened
        await until(left, "a silent connection to be left")
        print(f"ok: an open and silent connection was left after {time.monotonic() - began:.2f} s", flush=True)
        relay.hold(False)
        await followed.equals(cluster, "a connection that was half open")
        await cluster.members[0].kill()
        await asyncio.sleep(1.0)
        await cluster.members[0].start(cluster.text)
        await until(cluster.healthy, "the member to be back")
        await cluster.put({"f": row(8), "b9": row(9)})
        await followed.equals(cluster, "kill -9 and restart")
    finally:
        followed.source.stop()
        await relay.stop()
        await cluster.stop()


async def three_members(folder: Path) -> None:
    cluster = Cluster(3, folder)
    await cluster.start()
    await cluster.put({f"b{i}": row(1) for i in range(20)})
    leader = await cluster.leader()
    rest = [m for m in cluster.members if m is not leader]
    followed = Followed([(HOST, m.client) for m in (leader, *rest)])
    followed.source._endpoints = [(HOST, m.client) for m in (leader, *rest)]  # it must be on the one that dies
    try:
        await followed.equals(cluster, "three members")
        await leader.kill()
        await until(cluster.healthy, "a new leader")
        await cluster.put({"b1": row(2), "c": row(3)})
        await cluster.ctl("del", f"{PREFIX}b0")
        await followed.equals(cluster, "the leader killed")
        await leader.start(cluster.text)
        await cluster.put({"g": row(4)})
        await followed.equals(cluster, "the old leader back")
    finally:
        followed.source.stop()
        await cluster.stop()


async def main() -> None:
    for name in ("etcd", "etcdctl"):
        if shutil.which(name) is None:
            raise SystemExit(f"{name} is not installed")
    for work in (one_member, three_members):
        with tempfile.TemporaryDirectory(prefix="etcd-") as folder:
            await work(Path(folder))
    print("all the same")


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
