"""The deadline sent to an upstream accounts for the time that a request waited unread in this machine's sockets."""

from __future__ import annotations

import asyncio
import errno
import signal
import socket
import time
from pathlib import Path
from typing import Any

import pytest

from lanemux.rehearsal.injection_plan import InjectionPlan
from tests.faults.modules import sends_once
from tests.faults.program import balancer
from tests.sockets import HOST, Got, Upstream, Writer, node, read, request, run, written
from tests.test_process import config

DEADLINE_MS = 2000
WAIT_S = 0.6
TOLERANCE_MS = 150


class DeadlineRecorder(Upstream):
    """An upstream that records how far the remaining time that it is sent exceeds what the client has left."""

    def __init__(self) -> None:
        super().__init__(self._record)
        self.sent_s = 0.0  # when the client sent its last byte
        self.excess_ms: list[float] = []

    async def _record(self, got: Got, writer: Writer) -> None:
        left_ms = DEADLINE_MS - (time.monotonic() - self.sent_s) * 1000
        self.excess_ms.append(int(got.headers["req-deadline-ms"]) - left_ms)
        writer.write(written(200))


def test_a_request_that_waited_to_be_accepted_has_less_time_left(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        upstream = DeadlineRecorder()
        await upstream.start()
        async with node(sends_once(), upstream) as client:
            original_accept, end_s = socket.socket.accept, time.monotonic() + WAIT_S

            def accept(self: socket.socket) -> tuple[socket.socket, Any]:
                if self.getsockname()[1] == client.port and time.monotonic() < end_s:
                    raise OSError(errno.ENFILE, "ENFILE")
                return original_accept(self)

            monkeypatch.setattr(socket.socket, "accept", accept)
            upstream.sent_s = time.monotonic()
            assert (await client.ask(request(deadline_ms=DEADLINE_MS))).status == 200
            assert upstream.excess_ms[0] < TOLERANCE_MS
            upstream.sent_s = time.monotonic()
            assert (await client.ask(request(deadline_ms=DEADLINE_MS))).status == 200
            assert -TOLERANCE_MS < upstream.excess_ms[1] < TOLERANCE_MS  # the next one did not wait

    run(test())


def test_a_request_that_waited_for_its_connection_to_an_upstream_sends_the_time_left_then(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        upstream = DeadlineRecorder()
        await upstream.start()
        async with node(sends_once(), upstream) as client:
            loop = asyncio.get_running_loop()
            create_connection = loop.create_connection

            async def delayed_connection(*arguments: Any, **options: Any) -> Any:
                if arguments[1:] == (HOST, upstream.port):
                    await asyncio.sleep(WAIT_S)
                return await create_connection(*arguments, **options)

            monkeypatch.setattr(loop, "create_connection", delayed_connection)
            await client.send(b"")  # connect before the time is taken
            upstream.sent_s = time.monotonic()
            assert (await client.ask(request(deadline_ms=DEADLINE_MS))).status == 200
            assert -TOLERANCE_MS < upstream.excess_ms[0] < TOLERANCE_MS

    run(test())


def test_a_request_that_waited_for_a_stopped_process_has_less_time_left(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = DeadlineRecorder()
        await upstream.start()
        async with balancer(tmp_path, InjectionPlan(), config(upstream.port)) as program:
            reader, writer = await asyncio.open_connection(HOST, await program.wait_until_ready())
            for is_stopped in (False, True, False):
                if is_stopped:
                    program.process.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(0.2)
                writer.write(request(deadline_ms=DEADLINE_MS))
                upstream.sent_s = time.monotonic()
                if is_stopped:
                    await asyncio.sleep(WAIT_S)
                    program.process.send_signal(signal.SIGCONT)
                assert (await read(reader)).status == 200
                await asyncio.sleep(0.2)
            assert all(-TOLERANCE_MS < excess < TOLERANCE_MS for excess in upstream.excess_ms)
            writer.close()
        upstream.stop()

    run(test())


def test_a_request_that_waited_and_was_read_in_many_short_reads_has_less_time_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against: only the last read counts, and by then the loop has run for a while."""

    async def test() -> None:
        upstream = DeadlineRecorder()
        await upstream.start()
        async with node(sends_once(), upstream) as client:
            assert (await client.ask(request(deadline_ms=DEADLINE_MS))).status == 200  # a connection that was used
            await asyncio.sleep(0.2)
            original_recv = socket.socket.recv

            def short_recv(self: socket.socket, size: int, *flags: int) -> bytes:
                if self.getsockname()[1] != client.port:
                    return original_recv(self, size, *flags)
                time.sleep(0.005)  # a busy loop: its turn takes some milliseconds
                return original_recv(self, min(size, 4), *flags)

            monkeypatch.setattr(socket.socket, "recv", short_recv)
            assert client.writer is not None
            upstream.sent_s = time.monotonic()
            client.writer.write(request(deadline_ms=DEADLINE_MS))
            time.sleep(WAIT_S)
            assert (await client.read()).status == 200
            assert upstream.excess_ms[1] < TOLERANCE_MS

    run(test())
