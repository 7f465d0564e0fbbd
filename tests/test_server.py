"""The side of the clients over loopback sockets: bad input, limits, order."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Iterable
from typing import cast

import pytest

from lanemux import interface as api
from tests.sockets import PATIENCE_S, Script, node, request, run, until

READY = b"GET /health/ready HTTP/1.1\r\n\r\n"


def fails_all(event: api.Event) -> Iterable[api.Action]:
    return [api.Fail(event.request)] if isinstance(event, api.Arrival) else ()


@pytest.mark.parametrize(("data", "status"), [
    (b"nonsense\r\n\r\n", 400), (b"GET /read HTTP/1.1\r\nbad header\r\n\r\n", 400),
    (b"POST /pay HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
    (b"GET /read HTTP/1.1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nyz", 400),
    (request("/pay", method="POST", body=b"x" * (64 * 1024 + 1)), 413),
    (b"GET /read HTTP/1.1\r\nX: " + b"x" * 20_000, 431)])
def test_what_cannot_be_read_is_answered_and_the_connection_closed(data: bytes, status: int) -> None:
    async def test() -> None:
        script = Script(fails_all)
        async with node(script) as client:
            got = await client.ask(data)
            assert got.status == status and got.headers["connection"] == "close"
            assert await client.closed()
            assert not script.of(api.Arrival)
            assert (await client.another().ask(READY)).status == 200
    run(test())


@pytest.mark.parametrize(("data", "status"), [
    (request("/strange"), 400), (request("/"), 400), (request(deadline_ms=None), 400),
    (request(deadline_ms=0), 400), (request("/read", "Req-Deadline-Ms: soon", deadline_ms=None), 400),
    (b"GET /read HTTP/1.1\r\nReq-Deadline-Ms: 9\r\n\r\n", 400), (request(method="DELETE"), 405)])
def test_what_cannot_be_understood_is_answered_and_the_connection_kept(data: bytes, status: int) -> None:
    async def test() -> None:
        script = Script(fails_all)
        async with node(script) as client:
            assert (await client.ask(data)).status == status
            assert not script.of(api.Arrival)
            assert (await client.ask(READY)).status == 200
    run(test())


def test_the_largest_body_is_taken() -> None:
    async def test() -> None:
        async with node(Script(fails_all)) as client:
            assert (await client.ask(request("/pay", method="POST", body=b"x" * 64 * 1024))).status == 504
    run(test())


def test_over_max_open_is_refused() -> None:
    async def test() -> None:
        async with node(Script(), max_open=1) as client:
            await client.send(request())
            await until(lambda: client.node._calls)
            got = await client.another().ask(request())
            assert got.status == 503 and float(got.headers["retry-after"]) > 0
    run(test())


def test_requests_sent_ahead_are_answered_in_order_also_before_a_bad_one() -> None:
    async def test() -> None:
        async with node(Script(fails_all)) as client:
            await client.send(request() * 12 + READY + request("/strange") + b"nonsense\r\n\r\n")
            statuses = [(await client.read()).status for _ in range(15)]
            assert statuses == [504] * 12 + [200, 400, 400]
            assert await client.closed()
    run(test())


def test_thousands_of_requests_sent_ahead_are_answered() -> None:
    async def test() -> None:
        async with node(Script()) as client:
            await client.send(READY * 4000)
            for _ in range(4000):
                assert (await client.read()).status == 200
    run(test())


def test_a_client_that_reads_no_answer_does_not_fill_the_memory() -> None:
    async def test() -> None:
        async with node(Script()) as client:
            await client.send(READY)
            assert client.writer is not None
            cast(asyncio.Transport, client.writer.transport).pause_reading()
            server_side = next(iter(client.node.server._connections))
            while not server_side._stuffed:
                await client.send(READY * 4000)
                await asyncio.sleep(0)
            assert server_side._transport is not None
            await until(lambda: not cast(asyncio.Transport, server_side._transport).is_reading())
            assert server_side._transport.get_write_buffer_size() < 256 * 1024
            cast(asyncio.Transport, client.writer.transport).resume_reading()
            assert client.reader is not None
            while server_side._stuffed:
                assert await asyncio.wait_for(client.reader.read(65536), PATIENCE_S)
    run(test())


def test_a_request_in_pieces_counts_from_its_last_byte() -> None:
    async def test() -> None:
        script = Script(fails_all)
        async with node(script) as client:
            data = request("/pay", method="POST", body=b"abc")
            for i in range(len(data) - 1):
                await client.send(data[i:i + 1])
            await asyncio.sleep(0)
            assert not script.of(api.Arrival)
            assert (await client.ask(data[-1:])).status == 504
    run(test())


def test_idle_connections_make_place_and_busy_ones_stay() -> None:
    async def test() -> None:
        script = Script()
        async with node(script, sockets=64 + 16) as client:  # so eight clients
            idle = client.another()
            assert (await idle.ask(READY)).status == 200
            busy = [client.another() for _ in range(7)]
            for other in busy:
                await other.send(request())
            await until(lambda: len(script.of(api.Arrival)) == 7)
            assert (await client.ask(READY)).status == 200
            assert await idle.closed()
            await client.send(request())
            await until(lambda: len(script.of(api.Arrival)) == 8)
            last = client.another()
            await last.send(READY)  # waits with the system until one has its answer
            script.react = lambda e: [api.Fail("3")] if isinstance(e, api.Wake) else ()
            client.node.feed(api.Wake("now"))
            assert (await last.read()).status == 200
            for other in (*busy, last):
                other.close()
    run(test())


def test_no_descriptor_left_for_a_connection_is_survived(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with node(Script()) as client:
            accept, failures = socket.socket.accept, [1, 1]

            def failing(self: socket.socket) -> object:
                if failures:
                    failures.pop()
                    raise OSError(errno.EMFILE, "no descriptor")
                return accept(self)

            monkeypatch.setattr(socket.socket, "accept", failing)
            assert (await client.ask(READY)).status == 200
            assert not failures
    run(test())


def test_a_client_that_wants_its_connection_closed_gets_that() -> None:
    async def test() -> None:
        async with node(Script(fails_all)) as client:
            got = await client.ask(request("/read", "Connection: close"))
            assert got.headers["connection"] == "close" and await client.closed()
    run(test())
