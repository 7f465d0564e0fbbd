"""A new version beside the running one: the listener that both have, and operators' words between them."""

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
from pathlib import Path

import pytest

from lanemux.core.cordons import CordonRecord
from lanemux.core.system import Machine
from lanemux.takeover import words
from lanemux.takeover.pace import SLEEP_S, SLEEPS_S, WORK_S, Pace, begin, end
from lanemux.takeover.shared import Shared
from tests.sockets import HOST, PATIENCE_S, Got, Upstream, Writer, answers, read, request, run, until, written
from tests.test_process import config


def test_a_word_is_read_as_it_was_written() -> None:
    word = CordonRecord("s-\u00e9\ud800", True, 12)
    assert words.read(words.written(word)) == word


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
def test_what_is_no_word_is_refused(text: bytes) -> None:
    with pytest.raises(ValueError):
        words.read(text)


def test_every_cut_of_a_word_is_refused() -> None:
    text = words.written(CordonRecord("s-5be2a07c", True, 1_700_000_000_000_000_000))
    for size in range(len(text)):
        with pytest.raises(ValueError):
            words.read(text[:size])


def test_words_go_both_ways_and_a_spoilt_file_costs_only_itself(tmp_path: Path) -> None:
    async def test() -> None:
        heard: tuple[list[CordonRecord], list[CordonRecord]] = ([], [])
        old, new = (Shared(Machine(), f"{tmp_path}/words", h.append) for h in heard)
        old.open()
        assert old.tell(CordonRecord("a", True, 1))
        (tmp_path / "words" / ("0" * 32 + words.ENDING)).write_bytes(b'{"version": 1, "ho')
        new.open()  # what was said before it began is known at once
        assert heard[1] == [CordonRecord("a", True, 1)]
        assert new.tell(CordonRecord("a", False, 2)) and old.tell(CordonRecord("b", True, 3))
        await until(
            lambda: heard == ([CordonRecord("a", False, 2)], [CordonRecord("a", True, 1), CordonRecord("b", True, 3)])
        )
        old.close()
        new.close()

    run(test())


def test_a_word_kept_in_the_tick_of_the_last_look_is_heard(tmp_path: Path) -> None:
    class Coarse(Machine):
        def directory_mtime_ns(self, folder: str) -> int:
            return 1  # all within one tick of the file system's clock

    async def test() -> None:
        heard: list[CordonRecord] = []
        shared, other = Shared(Coarse(), f"{tmp_path}", heard.append), Shared(Machine(), f"{tmp_path}", lambda w: None)
        shared.open()
        assert other.tell(CordonRecord("a", True, 1))
        await until(lambda: heard == [CordonRecord("a", True, 1)])
        shared.close()

    run(test())


def test_a_word_that_cannot_be_kept_is_told(tmp_path: Path) -> None:
    async def test() -> None:
        (tmp_path / "file").write_bytes(b"")
        shared = Shared(Machine(), f"{tmp_path}/file/words", lambda word: None)
        shared.open()
        assert not shared.tell(CordonRecord("a", True, 1))
        shared.close()

    run(test())


def test_a_paced_start_sleeps_wherever_its_work_stands() -> None:
    """One long stretch without an import: no part of it takes the processor for long."""
    begun, slept_at, slept = time.process_time(), [], 0.0

    def sleep(for_s: float) -> None:
        nonlocal slept
        slept_at.append(time.process_time())
        slept += for_s

    begin(Pace(sleep))
    try:
        while time.process_time() < begun + 1.0:
            pass
    finally:
        end()
    first = [at for at in slept_at if at < begun + 0.2]
    assert max(b - a for a, b in itertools.pairwise([begun, *first])) < 6 * WORK_S  # the kernel's tick may be 10 ms
    assert slept == pytest.approx(SLEEPS_S, abs=SLEEP_S)  # and then it sleeps no more


def test_nothing_is_paced_once_it_has_ended() -> None:
    slept: list[float] = []
    begin(Pace(slept.append))
    end()
    before, begun = len(slept), time.process_time()
    while time.process_time() < begun + 10 * WORK_S:
        pass
    assert len(slept) == before


def test_a_paced_start_that_fails_ends_with_its_own_status(tmp_path: Path) -> None:
    """The timer must not end the process while the interpreter leaves."""
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
    """Processes on one inherited listener, as the platform starts them."""

    def __init__(self, folder: Path, *upstreams: int) -> None:
        self.folder, self.upstreams = folder, upstreams
        self.listening = socket.create_server((HOST, 0), backlog=128)
        self.port = self.listening.getsockname()[1]
        self.running: list[Process] = []

    async def start(self, name: str) -> tuple[Process, int]:
        """A process, and its operators' port."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config(*self.upstreams, limits={"sockets": 256, "cores": 1.0})))
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
        await until_yes(port)
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


async def until_yes(port: int) -> None:
    async with asyncio.timeout(PATIENCE_S):
        while (await call(port, "GET /admin/health")).status != 200:
            await asyncio.sleep(0.01)


def test_no_request_is_lost_and_a_cordon_goes_over(tmp_path: Path) -> None:
    async def test() -> None:
        async def slowly(got: Got, writer: Writer) -> None:
            await asyncio.sleep(0.01)
            writer.write(written(200, b"x"))

        one, two = await Upstream(slowly).start(), await Upstream(answers(200, b"x")).start()
        pair = Pair(tmp_path, one.port, two.port)
        over = False
        ends: list[int] = []

        async def client() -> None:
            """Asks without pause, on a connection for as long as that is kept."""
            while not over:
                reader, writer = await asyncio.open_connection(HOST, pair.port)
                kept = True
                while kept and not over:
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
            over = True
            await asyncio.gather(*clients)
            assert set(ends) == {200}
            assert two.got == []
            assert (await call(port, "PUT /admin/uncordon/s1")).status == 200
        finally:
            over = True
            await pair.stop()

    run(test())


def test_what_is_no_listener_is_refused(tmp_path: Path) -> None:
    plain = socket.socket()
    with pytest.raises(OSError):
        Machine().inherit(plain.fileno())
    plain.close()


def test_nothing_of_it_is_imported_where_nothing_is_told(tmp_path: Path) -> None:
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
        for told, imported in (({}, False), ({"RELAY_ADMIN_ADDR": f"{HOST}:0"}, True)):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", code, stdout=PIPE, stderr=PIPE, env=env | told
            )
            out, _ = await asyncio.wait_for(process.communicate(), PATIENCE_S)
            assert (b"lanemux.admin" in out) is imported

    run(test())
