"""Takeover by a new version: the shared listener, paced starts and the exchange of cordons."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
from asyncio.subprocess import PIPE, Process
from collections.abc import Mapping
from pathlib import Path

import pytest

from lanemux.core.cordons import CordonRecord
from lanemux.core.system import Machine
from lanemux.takeover import cordon_file
from lanemux.takeover.cordon_sync import CordonSync
from lanemux.takeover.pace import CPU_SLICE_S, MAX_TOTAL_SLEEP_S, SLEEP_S, CpuPacer, start_pacing, stop_pacing
from tests.sockets import HOST, PATIENCE_S, Got, Upstream, Writer, answers, read, request, run, until, written
from tests.test_process import SETTINGS, config


def test_encoded_cordon_is_decoded_unchanged() -> None:
    change = CordonRecord("s-\u00e9\ud800", True, 12)
    assert cordon_file.decode(cordon_file.encode(change)) == change


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b"\xff",
        b'{"version": 2, "host": "a", "out": true, "at_ns": 1}',
        b'{"version": 1, "host": "", "out": true, "at_ns": 1}',
        b'{"version": 1, "host": "a", "out": 1, "at_ns": 1}',
        b'{"version": 1, "host": "a", "out": true, "at_ns": true}',
        b'{"version": 1, "host": "a", "out": true}',
        b"[" * 8000,
    ],
)
def test_invalid_cordon_file_is_rejected(text: bytes) -> None:
    with pytest.raises(ValueError):
        cordon_file.decode(text)


def test_truncated_cordon_file_is_rejected() -> None:
    text = cordon_file.encode(CordonRecord("s-5be2a07c", True, 1_700_000_000_000_000_000))
    for size in range(len(text)):
        with pytest.raises(ValueError):
            cordon_file.decode(text[:size])


def test_cordons_are_exchanged_both_ways_and_a_broken_file_is_skipped(tmp_path: Path) -> None:
    async def test() -> None:
        received: tuple[list[CordonRecord], list[CordonRecord]] = ([], [])
        old, new = (CordonSync(Machine(), f"{tmp_path}/words", h.append) for h in received)
        old.open()
        assert old.publish(CordonRecord("a", True, 1))
        (tmp_path / "words" / ("0" * 32 + cordon_file.FILE_SUFFIX)).write_bytes(b'{"version": 1, "ho')
        new.open()  # earlier changes are known at once
        assert received[1] == [CordonRecord("a", True, 1)]
        assert new.publish(CordonRecord("a", False, 2)) and old.publish(CordonRecord("b", True, 3))
        await until(
            lambda: (
                received == ([CordonRecord("a", False, 2)], [CordonRecord("a", True, 1), CordonRecord("b", True, 3)])
            )
        )
        old.close()
        new.close()

    run(test())


def test_cordon_written_in_the_tick_of_the_last_poll_is_read(tmp_path: Path) -> None:
    class Coarse(Machine):
        def directory_mtime_ns(self, folder: str) -> int:
            return 1  # as if all happened within one tick of the file system's clock

    async def test() -> None:
        received: list[CordonRecord] = []
        sync, other = (
            CordonSync(Coarse(), f"{tmp_path}", received.append),
            CordonSync(Machine(), f"{tmp_path}", lambda w: None),
        )
        sync.open()
        assert other.publish(CordonRecord("a", True, 1))
        await until(lambda: received == [CordonRecord("a", True, 1)])
        sync.close()

    run(test())


def test_cordon_that_cannot_be_stored_is_reported(tmp_path: Path) -> None:
    async def test() -> None:
        (tmp_path / "file").write_bytes(b"")
        sync = CordonSync(Machine(), f"{tmp_path}/file/words", lambda change: None)
        sync.open()
        assert not sync.publish(CordonRecord("a", True, 1))
        sync.close()

    run(test())


def test_paced_start_sleeps_within_a_long_computation() -> None:
    """A long computation without imports: no part of it uses the CPU for long without a sleep."""
    begun, slept_at, slept = time.process_time(), [], 0.0

    def sleep(for_s: float) -> None:
        nonlocal slept
        slept_at.append(time.process_time())
        slept += for_s

    start_pacing(CpuPacer(sleep))
    try:
        while time.process_time() < begun + 1.0:
            pass
    finally:
        stop_pacing()
    first = [at for at in slept_at if at < begun + 0.2]
    assert max(b - a for a, b in itertools.pairwise([begun, *first])) < 6 * CPU_SLICE_S  # a kernel tick may be 10 ms
    assert slept == pytest.approx(MAX_TOTAL_SLEEP_S, abs=SLEEP_S)  # and then it stops sleeping


def test_no_sleep_after_pacing_has_stopped() -> None:
    slept: list[float] = []
    start_pacing(CpuPacer(slept.append))
    stop_pacing()
    before, begun = len(slept), time.process_time()
    while time.process_time() < begun + 10 * CPU_SLICE_S:
        pass
    assert len(slept) == before


def test_failed_paced_start_keeps_its_exit_status(tmp_path: Path) -> None:
    """The timer's signal must not end the process while the interpreter exits."""
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    for _ in range(3):
        ended = subprocess.run(
            [sys.executable, "-m", "lanemux"],
            capture_output=True,
            timeout=PATIENCE_S,
            check=False,
            env=env | {"RELAY_LISTEN_FD": "5", "RELAY_CONFIG": f"{tmp_path}/none"},
        )
        assert (ended.returncode, ended.stderr.count(b"\n")) == (2, 1)


class Pair:
    """Processes that share one inherited listener, as the platform starts them."""

    def __init__(self, folder: Path, *upstreams: int, settings: Mapping[str, object] = SETTINGS) -> None:
        self.folder, self.upstreams, self.settings = folder, upstreams, settings
        self.listening = socket.create_server((HOST, 0), backlog=128)
        self.port = self.listening.getsockname()[1]
        self.running: list[Process] = []

    async def start(self, name: str) -> tuple[Process, int]:
        """Start a process; return it and the port of its admin server."""
        path = self.folder / f"{name}.json"
        limits = {"sockets": 256, "cores": 1.0}
        path.write_text(json.dumps(config(*self.upstreams, limits=limits, settings=self.settings)))
        env = {
            **os.environ,
            "RELAY_CONFIG": str(path),
            "RELAY_ADMIN_ADDR": f"{HOST}:0",
            "TMPDIR": str(self.folder),
            "RELAY_LISTEN_FD": str(self.listening.fileno()),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lanemux", stderr=PIPE, env=env, pass_fds=[self.listening.fileno()]
        )
        self.running.append(process)
        assert process.stderr is not None
        line = b""
        while b"operators' port" not in line:
            line = await asyncio.wait_for(process.stderr.readline(), PATIENCE_S)
            assert line, "it ended before it was ready"
        port = int(line.split()[-1])
        await until_healthy(port)
        return process, port

    async def stop(self) -> None:
        for process in self.running:
            if process.returncode is None:
                process.kill()
            await process.communicate()
        self.listening.close()


async def call(port: int, line: str) -> Got:
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(f"{line} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    got = await asyncio.wait_for(read(reader), PATIENCE_S)
    writer.close()
    return got


async def until_healthy(port: int) -> None:
    async with asyncio.timeout(PATIENCE_S):
        while (await call(port, "GET /admin/health")).status != 200:
            await asyncio.sleep(0.01)


def test_takeover_loses_no_request_and_keeps_a_cordon(tmp_path: Path) -> None:
    async def test() -> None:
        async def slowly(got: Got, writer: Writer) -> None:
            await asyncio.sleep(0.01)
            writer.write(written(200, b"x"))

        one, two = await Upstream(slowly).start(), await Upstream(answers(200, b"x")).start()
        pair = Pair(tmp_path, one.port, two.port)
        finished = False
        ends: list[int] = []

        async def client() -> None:
            """Send requests without pause, reusing a connection for as long as it is kept open."""
            while not finished:
                reader, writer = await asyncio.open_connection(HOST, pair.port)
                kept = True
                while kept and not finished:
                    writer.write(request())
                    got = await asyncio.wait_for(read(reader), PATIENCE_S)
                    ends.append(got.status)
                    kept = got.headers.get("connection") != "close"
                writer.close()

        try:
            old, port = await pair.start("old")
            assert (await call(port, "PUT /admin/cordon/s1")).status == 200
            clients = [asyncio.create_task(client()) for _ in range(8)]
            for _ in range(2):
                new, port = await pair.start("new")
                seen = len(ends)
                old.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(old.wait(), PATIENCE_S) == 0
                await until(lambda seen=seen: len(ends) > seen + 50)  # type: ignore[misc]
                old = new
            assert json.loads((await call(port, "GET /admin/stats")).body)["ejected"] == 1
            finished = True
            await asyncio.gather(*clients)
            assert set(ends) == {200}
            assert two.got == []
            assert (await call(port, "PUT /admin/uncordon/s1")).status == 200
        finally:
            finished = True
            await pair.stop()

    run(test())


def test_inherited_socket_that_does_not_listen_is_rejected(tmp_path: Path) -> None:
    plain = socket.socket()
    with pytest.raises(OSError):
        Machine().inherit(plain.fileno())
    plain.close()


def test_admin_is_imported_only_if_configured(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(config(1)))
        code = (
            "import sys, asyncio, lanemux.net.daemon as d\n"
            "async def stopped(self, rest_s=0.0):\n"
            "    print(sorted(m for m in sys.modules if 'admin' in m or 'takeover' in m)); raise OSError('seen')\n"
            "d.Node.start = stopped\n"
            "from lanemux.cli import main; sys.exit(main([]))"
        )
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")} | {"RELAY_CONFIG": str(path)}
        for variables, imported in (({}, False), ({"RELAY_ADMIN_ADDR": f"{HOST}:0"}, True)):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", code, stdout=PIPE, stderr=PIPE, env=env | variables
            )
            out, _ = await asyncio.wait_for(process.communicate(), PATIENCE_S)
            assert (b"lanemux.admin" in out) is imported

    run(test())
