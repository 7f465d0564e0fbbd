"""What an upstream is told of a client's time, where the request lay unread in this machine's sockets for a while."""

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
LAY_S = 0.6
SLACK_MS = 150


class Watch(Upstream):
    """An upstream that notes how much time is left, by what it is told, beside what the client has."""

    def __init__(self) -> None:
        super().__init__(self._note)
        self.sent_s = 0.0  # the client's last byte
        self.over_ms: list[float] = []

    async def _note(self, got: Got, writer: Writer) -> None:
        left_ms = DEADLINE_MS - (time.monotonic() - self.sent_s) * 1000
        self.over_ms.append(int(got.headers["req-deadline-ms"]) - left_ms)
        writer.write(written(200))


def test_a_request_that_waited_to_be_accepted_has_less_time_left(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        upstream = Watch()
        await upstream.start()
        async with node(sends_once(), upstream) as client:
            plain, end = socket.socket.accept, time.monotonic() + LAY_S

            def accept(self: socket.socket) -> tuple[socket.socket, Any]:
                if self.getsockname()[1] == client.port and time.monotonic() < end:
                    raise OSError(errno.ENFILE, "ENFILE")
                return plain(self)

            monkeypatch.setattr(socket.socket, "accept", accept)
            upstream.sent_s = time.monotonic()
            assert (await client.ask(request(deadline_ms=DEADLINE_MS))).status == 200
            assert upstream.over_ms[0] < SLACK_MS
            upstream.sent_s = time.monotonic()
            assert (await client.ask(request(deadline_ms=DEADLINE_MS))).status == 200
            assert -SLACK_MS < upstream.over_ms[1] < SLACK_MS  # the next one did not wait

    run(test())


def test_a_request_that_waited_for_its_connection_to_an_upstream_tells_what_is_left_then(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        upstream = Watch()
        await upstream.start()
        async with node(sends_once(), upstream) as client:
            loop = asyncio.get_running_loop()
            plain = loop.create_connection

            async def late(*arguments: Any, **options: Any) -> Any:
                if arguments[1:] == (HOST, upstream.port):
                    await asyncio.sleep(LAY_S)
                return await plain(*arguments, **options)

            monkeypatch.setattr(loop, "create_connection", late)
            await client.send(b"")  # it is connected before the clock runs
            upstream.sent_s = time.monotonic()
            assert (await client.ask(request(deadline_ms=DEADLINE_MS))).status == 200
            assert -SLACK_MS < upstream.over_ms[0] < SLACK_MS

    run(test())


def test_a_request_that_waited_for_a_process_at_a_standstill_has_less_time_left(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Watch()
        await upstream.start()
        async with balancer(tmp_path, InjectionPlan(), config(upstream.port)) as program:
            reader, writer = await asyncio.open_connection(HOST, await program.ready())
            for stands_still in (False, True, False):
                if stands_still:
                    program.process.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(0.2)
                writer.write(request(deadline_ms=DEADLINE_MS))
                upstream.sent_s = time.monotonic()
                if stands_still:
                    await asyncio.sleep(LAY_S)
                    program.process.send_signal(signal.SIGCONT)
                assert (await read(reader)).status == 200
                await asyncio.sleep(0.2)
            assert all(-SLACK_MS < over < SLACK_MS for over in upstream.over_ms)
            writer.close()
        upstream.stop()

    run(test())
