"""The server for clients over loopback sockets: invalid input, limits, timeouts and eviction."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Iterable
from typing import cast

import pytest

from lanemux import interface as api
from lanemux.net.client_connection import ClientConnection
from lanemux.net.connection_table import ConnectionTable
from tests.sockets import HOST, PATIENCE_S, Script, node, request, run, until

READY = b"GET /health/ready HTTP/1.1\r\n\r\n"


def fails_all(event: api.Event) -> Iterable[api.Action]:
    return [api.Fail(event.request)] if isinstance(event, api.Arrival) else ()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nbad header\r\n\r\n", 400),
        (b"POST /pay HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nyz", 400),
        (request("/pay", method="POST", body=b"x" * (64 * 1024 + 1)), 413),
        (request("/pay", "Content-Length: 60000000", method="POST"), 413),
        (request("/pay", "Content-Length: 3", "Content-Length: 3", method="POST") + b"abc", 400),
        (request("/pay", "Content-Length: 3", "Transfer-Encoding: chunked", method="POST") + b"0\r\n\r\n", 400),
        (request("/pay", "Transfer-Encoding: gzip, chunked", method="POST") + b"0\r\n\r\n", 400),
        (request("/pay", "Transfer-Encoding: identity", method="POST") + b"abc", 400),
        (request("/pay", "Transfer-Encoding: chunked", method="POST") + b"zz\r\n", 400),
        (request("/pay", "Transfer-Encoding: chunked", method="POST") + b"1;" + b"x" * 600_000, 413),
        (request("/pay", "Transfer-Encoding: chunked", method="POST") + b"0\r\n" + b"T: x\r\n" * 4000, 431),
        (request("/read", "X: " + "x" * 20_000), 431),
        (b"GET /read\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nX: " + b"x" * 20_000, 431),
    ],
)
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


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (request("/strange"), 400),
        (request("/"), 400),
        (request(deadline_ms=None), 400),
        (request(deadline_ms=0), 400),
        (request("/read", "Req-Deadline-Ms: soon", deadline_ms=None), 400),
        (b"GET /read HTTP/1.1\r\nReq-Deadline-Ms: 9\r\n\r\n", 400),
        (request(method="DELETE"), 405),
        (request(method="POST"), 405),
        (request("/pay"), 405),
        (request(body=b"abc"), 400),
        (request("/read?x#y"), 400),
        (request("/read", "Req-Id: another"), 400),
    ],
)
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
            await until(lambda: client.node._active_requests)
            got = await client.another().ask(request())
            assert got.status == 503 and float(got.headers["retry-after"]) > 0

    run(test())


@pytest.mark.parametrize("apart", [False, True])
@pytest.mark.parametrize("more", [request(), request() * 300, request()[:20], b"nonsense\r\n\r\n"])
def test_what_is_sent_ahead_of_an_answer_is_turned_away(more: bytes, apart: bool) -> None:
    async def test() -> None:
        script = Script()
        async with node(script) as client:
            await client.send(request() if apart else request() + more)
            if apart:
                await until(lambda: script.of(api.Arrival))
                await client.send(more)
            assert (await client.read()).status == 400
            assert await client.closed()
            assert len(script.of(api.Arrival)) == len(script.of(api.ClientGone)) == apart
            assert not client.node._active_requests and not client.node._active_request_ids

    run(test())


def test_an_empty_line_between_requests_is_no_request() -> None:
    async def test() -> None:
        async with node(Script(fails_all)) as client:
            for _ in range(2):
                assert (await client.ask(request() + b"\r\n")).status == 504

    run(test())


def test_a_client_that_reads_no_answer_is_not_read_either() -> None:
    async def test() -> None:
        async with node(Script()) as client:
            await client.ask(READY)
            assert client.writer is not None
            peer = cast(asyncio.Transport, client.writer.transport)
            peer.pause_reading()
            peer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            transport = next(iter(client.node.server._connections))._transport
            assert transport is not None
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            transport.set_write_buffer_limits(high=4096)
            connection = next(iter(client.node.server._connections))
            while transport.is_reading():
                connection.data_received(READY)
            assert transport.get_write_buffer_size() < 8192
            peer.resume_reading()
            await until(transport.is_reading)

    run(test())


def first(table: ConnectionTable) -> ClientConnection:
    return next(iter(table._members))


def age(table: ConnectionTable, seconds: float) -> None:
    """Make all connections of the table appear to have been there that much longer."""
    for member in table._members:
        member.since -= seconds


@pytest.mark.parametrize(
    ("data", "answer"),
    [(b"", b""), (b"GET /re", b"HTTP/1.1 408 "), (request("/pay", method="POST", body=b"abc")[:-1], b"HTTP/1.1 408 ")],
)
@pytest.mark.parametrize("served", [False, True])
def test_a_request_that_does_not_come_is_not_waited_for(data: bytes, answer: bytes, served: bool) -> None:
    async def test() -> None:
        async with node(Script()) as client:
            server = client.node.server
            if served:
                await client.ask(READY)
            await client.send(data)
            if served and not data:
                return  # the request timeout does not apply to an idle connection
            await until(lambda: server._awaiting_request and (not data or first(server._awaiting_request).receiving))
            server._tick()
            assert server._awaiting_request
            age(server._awaiting_request, 2.3)
            server._tick()
            assert client.reader is not None
            got = await asyncio.wait_for(client.reader.read(), PATIENCE_S)
            assert got.startswith(answer) and bool(got) == bool(answer)
            client.close()
            await until(lambda: not server._connections and not server._lingering)

    run(test())


def test_a_loop_that_is_always_late_closes_slow_clients_all_the_same() -> None:
    """After a stall the timeout check is postponed, but never twice in a row."""

    async def test() -> None:
        async with node(Script()) as client:
            server = client.node.server
            await client.send(b"GET /re")
            await until(lambda: server._awaiting_request and first(server._awaiting_request).receiving)
            age(server._awaiting_request, 2.3)
            server._tick_due -= 1.0  # as if the loop ran the check that late
            server._tick()
            assert server._awaiting_request  # postponed: its bytes may be unread
            server._tick_due -= 1.0
            assert server._eviction_candidate() is None  # nor is it evicted
            server._tick()
            assert not server._awaiting_request

    run(test())


def test_a_connection_that_is_kept_without_asking_is_closed_after_two_seconds() -> None:
    async def test() -> None:
        async with node(Script()) as client:
            server = client.node.server
            assert (await client.ask(READY)).status == 200
            age(server._idle, 1.8)
            server._tick()
            assert (await client.ask(READY)).status == 200  # restarts the idle timeout
            age(server._idle, 2.0)
            server._tick()
            assert await client.closed()
            await until(lambda: not server._connections)

    run(test())


def test_a_first_byte_does_not_put_off_the_time_since_connecting() -> None:
    async def test() -> None:
        async with node(Script()) as client:
            server = client.node.server
            await client.send(b"")
            await until(lambda: server._awaiting_request)
            age(server._awaiting_request, 2.0)
            since = first(server._awaiting_request).since
            await client.send(b"GET")
            await until(lambda: first(server._awaiting_request).receiving)
            assert first(server._awaiting_request).since == since

    run(test())


def test_one_that_was_turned_away_and_stays_is_cut_off() -> None:
    async def test() -> None:
        async with node(Script()) as client:
            server = client.node.server
            assert (await client.ask(b"nonsense\r\n\r\n")).status == 400
            assert server._lingering and server._connections
            age(server._lingering, 0.6)
            server._tick()
            assert not server._lingering and not server._connections

    run(test())


def test_one_that_was_turned_away_is_read_only_so_far() -> None:
    async def test() -> None:
        async with node(Script()) as client:
            await client.send(request("/pay", "Content-Length: 60000000", method="POST"))
            assert (await client.read()).status == 413  # before the body arrives
            connection = next(iter(client.node.server._connections))
            assert connection._transport is not None
            transport = connection._transport
            await client.send(b"x" * 300_000)
            await until(lambda: not transport.is_reading())

    run(test())


def test_silent_clients_make_place_before_those_that_have_spoken() -> None:
    async def test() -> None:
        async with node(Script(), sockets=32 + 16) as client:  # leaves places for eight clients
            server = client.node.server
            assert (await client.ask(READY)).status == 200
            silent = [client.another() for _ in range(7)]
            for other in silent:
                await other.send(b"")
            await until(lambda: len(server._awaiting_request) == 7)
            age(server._awaiting_request, 1.0)
            assert (await client.another().ask(READY)).status == 200
            assert await silent[0].closed()
            assert (await client.ask(READY)).status == 200  # idle for longer, but not evicted
            for other in silent:
                other.close()

    run(test())


def test_a_connection_whose_request_lies_unread_is_not_closed_for_another() -> None:
    """Guards against: usual clients' requests closed with no answer beside 490 others (report 730780)."""

    async def test() -> None:
        async with node(Script(), sockets=48) as client:
            server = client.node.server
            asking, silent_one = client.another(), client.another()
            for one in (asking, silent_one):
                one.reader, one.writer = await asyncio.open_connection(HOST, client.port)
            await until(lambda: len(server._awaiting_request) == 2 and not server._attaching)
            unread, empty = server._awaiting_request.members()
            assert unread._transport is not None
            unread._transport.pause_reading()  # as if the loop had not come to it yet
            await asking.send(READY)
            await until(lambda: unread.has_unread)
            age(server._awaiting_request, 1.0)
            assert server._eviction_candidate() is empty
            unread._transport.resume_reading()
            assert (await asking.read()).status == 200
            asking.close()
            silent_one.close()

    run(test())


def test_a_connection_that_makes_place_before_it_is_up_is_closed() -> None:
    async def test() -> None:
        async with node(Script()) as client:
            server = client.node.server
            with socket.create_connection((HOST, client.port)) as peer:
                peer.setblocking(False)
                while not server._awaiting_request:
                    server._accept()
                age(server._awaiting_request, 1.0)
                assert server._evict()  # before its transport is made
                ended = asyncio.get_running_loop().sock_recv(peer, 1)
                assert await asyncio.wait_for(ended, PATIENCE_S) == b""

    run(test())


def test_an_id_that_is_open_is_not_taken_again() -> None:
    async def test() -> None:
        script = Script(lambda e: [api.Fail("1")] if isinstance(e, api.TimerFired) else ())
        async with node(script) as client:
            await client.send(request(name="one"))
            await until(lambda: client.node._active_requests)
            assert (await client.another().ask(request(name="one"))).status == 409
            client.node.feed(api.TimerFired("now"))
            assert (await client.read()).status == 504  # the duplicate has not affected the open request
            await client.send(request(name="one"))
            await until(lambda: len(script.of(api.Arrival)) == 2)

    run(test())


def test_a_request_in_pieces_counts_from_its_last_byte() -> None:
    async def test() -> None:
        script = Script(fails_all)
        async with node(script) as client:
            data = request("/pay", method="POST", body=b"abc")
            for i in range(len(data) - 1):
                await client.send(data[i : i + 1])
            await asyncio.sleep(0)
            assert not script.of(api.Arrival)
            assert (await client.ask(data[-1:])).status == 504

    run(test())


def test_idle_connections_make_place_and_busy_ones_stay() -> None:
    async def test() -> None:
        script = Script()
        async with node(script, sockets=32 + 16) as client:  # leaves places for eight clients
            idle = client.another()
            assert (await idle.ask(READY)).status == 200
            busy = [client.another() for _ in range(7)]
            for other in busy:
                await other.send(request())
            await until(lambda: len(script.of(api.Arrival)) == 7)
            got = await client.another().ask(READY)  # near capacity, connections are closed after their response
            assert got.status == 200 and got.headers["connection"] == "close"
            assert await idle.closed()
            await client.send(request())
            await until(lambda: len(script.of(api.Arrival)) == 8)
            last = client.another()
            await last.send(READY)  # stays in the kernel's backlog until another is answered
            script.react = lambda e: [api.Fail("3")] if isinstance(e, api.TimerFired) else ()
            client.node.feed(api.TimerFired("now"))
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
