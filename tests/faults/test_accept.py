"""A failing accept affects no established connection and never causes a busy loop."""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from typing import Any

import pytest

from tests.faults.modules import sends_once
from tests.sockets import HOST, Script, Upstream, answers, node, request, run
from tests.test_process import ask


@pytest.mark.parametrize("error", ["ECONNABORTED", "EPROTO", "ENFILE", "ENOBUFS", "ENOMEM", "EHOSTUNREACH", "EPERM"])
def test_accepts_that_fail_in_a_burst_end_no_other_connection(monkeypatch: pytest.MonkeyPatch, error: str) -> None:
    async def test() -> None:
        upstream, script = await Upstream(answers(200)).start(), sends_once()
        async with node(script, upstream) as client:
            assert (await client.ask(request())).status == 200
            idle = await asyncio.open_connection(HOST, client.port)
            await asyncio.sleep(0.1)
            original_accept, failures_left = socket.socket.accept, [20]

            def accept(self: socket.socket) -> tuple[socket.socket, Any]:
                failures_left[0] -= 1
                if failures_left[0] >= 0:
                    raise OSError(getattr(errno, error), error)
                return original_accept(self)

            monkeypatch.setattr(socket.socket, "accept", accept)
            assert (await ask(client.port, request())).status == 200  # on a new connection
            assert failures_left[0] < 0
            assert (await client.ask(request())).status == 200  # the old one is still there
            assert not idle[0].at_eof()
            idle[1].close()

    run(test())


@pytest.mark.parametrize("error", ["EPERM", "ENFILE", "ECONNABORTED"])
def test_accepts_that_fail_always_do_not_keep_the_processor_busy(monkeypatch: pytest.MonkeyPatch, error: str) -> None:
    async def test() -> None:
        async with node(Script()) as client:
            accept_calls, original_accept = [0], socket.socket.accept

            def accept(self: socket.socket) -> tuple[socket.socket, Any]:
                if self.getsockname()[1] != client.port:  # the upstream and other sockets of the test
                    return original_accept(self)
                accept_calls[0] += 1
                raise OSError(getattr(errno, error), error)

            monkeypatch.setattr(socket.socket, "accept", accept)
            _, writer = await asyncio.open_connection(HOST, client.port)
            cpu_started = time.process_time()
            await asyncio.sleep(0.5)
            assert accept_calls[0] < 400 and time.process_time() - cpu_started < 0.1
            writer.close()

    run(test())


@pytest.mark.parametrize("error", ["ENFILE", "ENOBUFS", "ENOMEM", "EPROTO"])
def test_accepts_of_which_one_in_three_fails_keep_up_with_a_burst_of_connections(
    monkeypatch: pytest.MonkeyPatch, error: str
) -> None:
    """Otherwise a client that connects after a burst is accepted only after its deadline has passed."""

    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        async with node(sends_once(), upstream) as client:
            original_accept, accept_calls = socket.socket.accept, [0]

            def accept(self: socket.socket) -> tuple[socket.socket, Any]:
                if self.getsockname()[1] != client.port:
                    return original_accept(self)
                accept_calls[0] += 1
                if accept_calls[0] % 3 == 0:
                    raise OSError(getattr(errno, error), error)
                return original_accept(self)

            monkeypatch.setattr(socket.socket, "accept", accept)
            silent = [await asyncio.open_connection(HOST, client.port) for _ in range(200)]
            started = time.monotonic()
            assert (await ask(client.port, request(deadline_ms=300))).status == 200
            assert time.monotonic() - started < 0.3
            for _, writer in silent:
                writer.close()

    run(test())


def test_requests_in_the_backlog_while_accept_fails_during_a_drain_are_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Closing the listener then would reset these connections and lose their requests."""

    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        async with node(sends_once(), upstream) as client:
            original_accept, failing_until_s = socket.socket.accept, time.monotonic() + 0.8

            def accept(self: socket.socket) -> tuple[socket.socket, Any]:
                if self.getsockname()[1] == client.port and time.monotonic() < failing_until_s:
                    raise OSError(errno.EMFILE, "EMFILE")
                return original_accept(self)

            monkeypatch.setattr(socket.socket, "accept", accept)
            draining = asyncio.create_task(client.node.drain())
            requests = [asyncio.create_task(ask(client.port, request())) for _ in range(5)]
            assert [(await answer).status for answer in requests] == [200] * 5
            await draining

    run(test())


def test_a_lack_of_descriptors_that_closing_connections_does_not_relieve_closes_few_of_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with node(Script()) as client:
            idle = [await asyncio.open_connection(HOST, client.port) for _ in range(30)]
            await asyncio.sleep(0.2)
            original_accept, failing_until_s = socket.socket.accept, time.monotonic() + 0.3

            def accept(self: socket.socket) -> tuple[socket.socket, Any]:
                if self.getsockname()[1] == client.port and time.monotonic() < failing_until_s:
                    raise OSError(errno.EMFILE, "EMFILE")
                return original_accept(self)

            monkeypatch.setattr(socket.socket, "accept", accept)
            assert (await ask(client.port, b"GET /health/ready HTTP/1.1\r\n\r\n")).status == 200
            assert sum(reader.at_eof() for reader, _ in idle) <= 8  # one per pause of 50 ms
            for _, writer in idle:
                writer.close()

    run(test())


def test_a_request_whose_client_left_before_it_was_accepted_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        upstream, script = await Upstream(answers(200)).start(), sends_once()
        async with node(script, upstream) as client:
            assert (await client.ask(request())).status == 200  # an open connection to the upstream stays
            original_accept, failing_until_s = socket.socket.accept, time.monotonic() + 0.2

            def accept(self: socket.socket) -> tuple[socket.socket, Any]:
                if time.monotonic() < failing_until_s:
                    raise OSError(errno.ENOBUFS, "planned")
                return original_accept(self)

            monkeypatch.setattr(socket.socket, "accept", accept)
            _, writer = await asyncio.open_connection(HOST, client.port)
            writer.write(request())
            await writer.drain()
            writer.close()
            await asyncio.sleep(0.5)
            assert len(upstream.got) == 1
            assert (await ask(client.port, request())).status == 200
        upstream.stop()

    run(test())
