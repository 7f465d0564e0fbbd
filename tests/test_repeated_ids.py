"""Requests whose id comes again, and requests of clients that have left: real processes, effects counted by id."""

from __future__ import annotations

import asyncio
import errno
import itertools
import random
import signal
import socket
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from lanemux.core.claimed_ids import ClaimedIds, MemoryStorage
from lanemux.core.system import Machine
from lanemux.core.tally import Tally
from lanemux.takeover.shared_ids import SharedIds, share_ids
from tests.sockets import HOST, Got, Upstream, Writer, request, run, written
from tests.takeover.test_takeover import Pair
from tests.test_process import program

REQUESTS = 60
WORK_S = 0.15  # for which an upstream works on a request
AWAY_S = 0.3  # longest time until a request comes again
WINDOW_S = 0.2  # for which upstreams remember an idempotency key
LEFT_GRACE_S = 0.1  # no attempt may begin this long after its client left
SETTINGS: dict[str, object] = {
    "profiles": [
        {"name": "read", "repeat": "read_like", "aim_ns": 2_000_000_000},
        {"name": "pay", "repeat": "non_idempotent", "aim_ns": 2_000_000_000},
        {"name": "fee", "repeat": "idempotency_key", "dedup_scope": "all", "aim_ns": 2_000_000_000}
        | {"window_ns": int(WINDOW_S * 1e9)},
    ],
    "limits": {"send_cap": 3, "retry_after": True, "may_cancel": True},
}


class Effects:
    """What the upstreams have run, by id."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.began: dict[str, float] = {}

    async def answer(self, got: Got, writer: Writer) -> None:
        """A sound upstream: it runs a request whose last byte has come, whether or not its client waits."""
        name = got.headers["req-id"]
        self.runs[name] += 1
        self.began[name] = time.monotonic()
        await asyncio.sleep(WORK_S)
        writer.write(written(200, b"done"))

    def twice(self) -> list[str]:
        return sorted(name for name, count in self.runs.items() if count > 1)


def effectful(class_name: str, name: str) -> bytes:
    key = [f"Idempotency-Key: {name}"] if class_name == "fee" else []
    return request(f"/{class_name}/1", *key, method="POST", body=b"pay 1", deadline_ms=2000, name=name)


async def send_and_leave(port: int, data: bytes, after_s: float, reset: bool) -> None:
    """Send a request, and close the connection without waiting for the answer."""
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    await asyncio.sleep(after_s)
    if reset:
        connection: socket.socket = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.close()


async def status_of(port: int, data: bytes) -> int:
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    async with asyncio.timeout(5.0):
        first = await reader.readline()
    writer.close()
    return int(first.split()[1])


async def come_again(port: int, classes: Sequence[str], rng: random.Random) -> Counter[int]:
    """Send requests whose clients leave, each again under its id soon after; returns the statuses of the second."""
    statuses: Counter[int] = Counter()

    async def one(number: int) -> None:
        await asyncio.sleep(number * 0.02)
        data = effectful(classes[number % len(classes)], f"r{number}")
        await send_and_leave(port, data, rng.uniform(0.0, 2 * WORK_S), rng.random() < 0.5)
        await asyncio.sleep(rng.uniform(0.0, AWAY_S))
        statuses[await status_of(port, data)] += 1

    await asyncio.gather(*(one(number) for number in range(REQUESTS)))
    return statuses


def test_an_id_that_comes_again_after_its_client_left_does_not_run_twice(tmp_path: Path) -> None:
    """Guards against: an unsafe request runs once for each time that its id comes (report 0f9eef, picture d)."""

    async def test() -> None:
        effects = Effects()
        upstreams = [await Upstream(effects.answer).start() for _ in range(4)]
        async with program(tmp_path, *(u.port for u in upstreams), settings=SETTINGS) as (_, port):
            statuses = await come_again(port, ("pay", "fee"), random.Random(1))
        assert not effects.twice(), f"{len(effects.twice())} of {REQUESTS} ran twice; answers {statuses}"
        assert effects.runs

    run(test())


def test_an_id_that_comes_again_at_the_other_process_of_an_upgrade_does_not_run_twice(tmp_path: Path) -> None:
    """Guards against: the new process of an upgrade runs what the old one has run (report 0f9eef, picture d)."""

    async def test() -> None:
        effects = Effects()
        upstreams = [await Upstream(effects.answer).start() for _ in range(4)]
        pair = Pair(tmp_path, *(u.port for u in upstreams), settings=SETTINGS)
        try:
            await pair.start("old")
            again = [effectful("pay", f"before{number}") for number in range(4)]
            await asyncio.gather(*(send_and_leave(pair.port, data, 0.05, False) for data in again))
            await pair.start("new")
            statuses = await come_again(pair.port, ("pay", "fee"), random.Random(2))
            for data in again:
                statuses[await status_of(pair.port, data)] += 1
        finally:
            await pair.stop()
        assert not effects.twice(), f"{len(effects.twice())} of {REQUESTS + 4} ran twice; answers {statuses}"
        assert len(effects.runs) > REQUESTS / 2

    run(test())


def test_a_safe_request_is_served_again_and_an_id_that_was_never_sent_is_taken(tmp_path: Path) -> None:
    """Guards against: a mend of the above that refuses what may be repeated, or what no upstream has seen."""

    async def test() -> None:
        effects = Effects()
        upstream = await Upstream(effects.answer).start()
        async with program(tmp_path, upstream.port, settings=SETTINGS) as (_, port):
            safe = request("/read/1", deadline_ms=2000, name="safe")
            await send_and_leave(port, safe, 0.05, False)
            assert await status_of(port, safe) == 200
        upstream.stop()
        (tmp_path / "none").mkdir()
        async with program(tmp_path / "none", upstream.port, settings=SETTINGS) as (_, port):
            data = effectful("pay", "never-sent")
            assert {await status_of(port, data) for _ in range(2)} == {503}  # nothing listens there any more

    run(test())


def test_requests_that_lay_unread_when_their_clients_left_are_not_sent_on(tmp_path: Path) -> None:
    """Guards against: what a client had sent is sent on long after it has closed its connection."""

    async def test() -> None:
        effects = Effects()
        upstreams = [await Upstream(effects.answer).start() for _ in range(4)]
        left: dict[str, float] = {}
        async with program(tmp_path, *(u.port for u in upstreams), settings=SETTINGS) as (process, port):

            async def client(number: int) -> None:
                reader, writer = await asyncio.open_connection(HOST, port)
                if number % 2:  # on a connection that has been used
                    writer.write(request("/read/1", deadline_ms=2000))
                    await reader.readexactly(20)
                    await asyncio.sleep(0.1)
                process.send_signal(signal.SIGSTOP)
                name = f"r{number}"
                writer.write(effectful("pay", name) + effectful("pay", f"{name}-behind") * (number % 4 // 2) * 200)
                writer.close()
                left[name] = left[f"{name}-behind"] = time.monotonic()

            for number in range(12):
                await client(number)
                await asyncio.sleep(0.3)
                process.send_signal(signal.SIGCONT)
                await asyncio.sleep(0.2)
        late = {name: began - left[name] for name, began in effects.began.items() if name in left}
        assert all(after_s < LEFT_GRACE_S for after_s in late.values()), late

    run(test())


def test_the_table_of_ids_is_bounded_and_forgets_the_oldest() -> None:
    now = itertools.count(1)
    claims = ClaimedIds(MemoryStorage(), lambda: next(now))
    names = [b"%d" % number for number in range(100_000)]
    assert all(claims.claim(name) for name in names)
    assert not any(claims.claim(name) for name in names[-2000:])
    assert claims.claim(names[0])
    claims.release(names[-1])
    assert claims.claim(names[-1])


def test_a_claim_from_before_the_machine_started_makes_room_first() -> None:
    storage = MemoryStorage()
    future = ClaimedIds(storage, lambda: 10**18)
    for number in range(100_000):
        future.claim(b"old %d" % number)
    claims = ClaimedIds(storage, itertools.count(1).__next__)
    names = [b"%d" % number for number in range(2000)]
    assert all(claims.claim(name) for name in names) and not any(claims.claim(name) for name in names)


def test_ids_are_known_to_this_process_while_the_shared_file_fails(tmp_path: Path) -> None:
    class FailingFile(MemoryStorage):
        def read_at(self, offset: int, size: int) -> bytes:
            raise OSError(errno.EIO, "EIO")

        def close(self) -> None:
            pass

    tally = Tally(())
    shared = SharedIds(ClaimedIds(MemoryStorage(), time.monotonic_ns), FailingFile(), time.monotonic_ns, tally)
    assert shared.claim(b"a") and not shared.claim(b"a")
    shared.release(b"a")
    assert shared.claim(b"a")
    assert tally.failed_calls == {"shared ids": {"EIO": 3}}
    (tmp_path / "file").write_bytes(b"")
    assert (
        share_ids(
            ClaimedIds(MemoryStorage(), time.monotonic_ns), Machine(), f"{tmp_path}/file", time.monotonic_ns, tally
        )
        is None
    )
