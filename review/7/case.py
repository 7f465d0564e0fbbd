"""Case 7: clients that stop in the middle of a head of many short lines drive a balancer over its memory limit."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness2 import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    TROUBLE,
    Balancer,
    Message,
    NotRunError,
    Record,
    Upstream,
    answer_ok,
    ask,
    free_port,
    row,
    run_case,
    settings,
)

MEMORY_MB = 80  # counted as MiB; 32 to 192 MB are allowed, and 80 with 1,024 descriptors is what some of the days have
SOCKETS = 1024  # 256 to 1,024
BAD = SOCKETS // 3  # clients hold a third of the descriptors at most for requests
LINES = 3200  # of a head: 13 kB, which a request's head may have
HEAD = b"GET /read/x HTTP/1.1\r\n" + (b"a:\r\n" * LINES if TROUBLE else b"X-Filler: " + b"a" * 4 * LINES)
LASTS_S = 8.0  # from the first bad client to the end
WORK_S = 0.1  # an upstream works on a request for so long
GOOD = 8  # usual clients


async def work(upstream: Upstream, request: Message, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(WORK_S)
    await answer_ok(upstream, request, writer)


class Platform:
    """Kills the balancer once it holds more memory than it may: counted without the files that it has mapped."""

    def __init__(self, balancer: Balancer, record: Record) -> None:
        self.balancer, self.record = balancer, record
        self.most_mb = 0.0
        self.killed = False

    async def run(self) -> None:
        assert self.balancer.process is not None
        status = Path(f"/proc/{self.balancer.process.pid}/status")
        while self.balancer.process.returncode is None:
            with contextlib.suppress(OSError, ValueError, IndexError):
                held = int(status.read_text().partition("RssAnon:")[2].split()[0]) / 1024
                if held > self.most_mb + 5:
                    self.record(f"platform: the balancer holds {held:.0f} MiB")
                self.most_mb = max(self.most_mb, held)
                if held > MEMORY_MB and not self.killed:
                    self.killed = True
                    self.record.say(f"platform: killed for {held:.0f} MiB of {MEMORY_MB}")
                    self.balancer.signal(signal.SIGKILL)
            await asyncio.sleep(0.02)


async def bad_client(balancer: Balancer, record: Record, fates: dict[str, int]) -> None:
    """Sends a part of a head and stays; reads what it is sent, and is content with an error or a close within 3 s."""
    began = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection(HOST, balancer.port)
            writer.write(HEAD)
            first = await reader.readline()
            fate = first.decode("latin-1").strip() or "close"
    except OSError:
        fate = "reset"
    except TimeoutError:
        fate = "nothing"
    finally:
        if writer is not None:
            writer.close()
    fates[fate] = fates.get(fate, 0) + 1
    record(f"bad client: {fate} after {time.monotonic() - began:.2f} s")


async def good_client(balancer: Balancer, name: str, record: Record, answers: dict[str, int]) -> None:
    """A usual client: one request after another."""
    for count in itertools.count():
        number = f"{name}-{count}"
        try:
            fate = str((await ask(HOST, balancer.port, "/read/x", number, 600)).status)
        except ConnectionRefusedError:
            fate = "refused a connection"
        except (OSError, asyncio.IncompleteReadError):
            fate = "lost: the connection ended with no answer"
        except TimeoutError:
            fate = "no answer in time"
        answers[fate] = answers.get(fate, 0) + 1
        record(f"answer {number}: {fate}")
        await asyncio.sleep(0.05)


async def case(folder: Path, record: Record) -> int:
    upstreams = [await Upstream(f"u{i}", record, work).start() for i in range(3)]
    config = {
        "name": "n0",
        "listen": f"{HOST}:{free_port()}",
        "discovery": f"{HOST}:{free_port()}",
        "seed": "77",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": {"seq": 1, "whole": True, "hosts": [row(u.name, u.port) for u in upstreams]},
        "settings": settings(),
    }
    balancer = Balancer("n0", folder, config)
    await balancer.start()
    tasks: list[asyncio.Task[None]] = []
    try:
        await balancer.ready()
        platform = Platform(balancer, record)
        fates: dict[str, int] = {}
        answers: dict[str, int] = {}
        tasks = [asyncio.create_task(platform.run())]
        tasks += [asyncio.create_task(good_client(balancer, f"c{i}", record, answers)) for i in range(GOOD)]
        await asyncio.sleep(1.5)
        if not answers.get("200"):
            raise NotRunError(f"usual clients got {answers}")
        before = platform.most_mb
        record.say(f"{BAD} bad clients send {len(HEAD)} bytes of a head each, and stay; {before:.0f} MiB before")
        tasks += [asyncio.create_task(bad_client(balancer, record, fates)) for _ in range(BAD)]
        await asyncio.sleep(LASTS_S)
        record.say(f"bad clients got {fates}; usual clients got {answers}")
        record.say(f"the balancer held {platform.most_mb:.0f} MiB at most, of {MEMORY_MB}; killed: {platform.killed}")
        if balancer.process is not None and balancer.process.returncode is not None and not platform.killed:
            record.say(f"the balancer ended by itself: {balancer.log_text()[-300:]}")
            return BROKEN
        return BROKEN if platform.killed else HELD
    finally:
        for task in tasks:
            task.cancel()
        await balancer.kill()
        for upstream in upstreams:
            upstream.stop()


run_case(case, HERE)
