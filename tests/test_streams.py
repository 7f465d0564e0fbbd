"""Streamed responses: framing, back-pressure, truncation, and the parser compared with a simple reference parser."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable
from typing import cast

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from lanemux import interface as api
from lanemux.interface import Result
from lanemux.net import streamed_response
from lanemux.net.http import MAX_BUFFERED_RESPONSE, MessageReader
from lanemux.net.upstream import MAX_PIECE, MIN_PIECE, STREAMING_BYTES, PoolManager
from lanemux.policy import Balancer
from tests.sockets import Answer, Client, Got, Script, Upstream, Writer, answers, node, request, run, settings, until
from tests.test_node import sends_first

LONG = bytes(range(256)) * 1024  # 256 KiB


async def body_of(client: Client) -> tuple[bytes, bytes, bool]:
    """Read a response's head and body without the code under test; False if its end is missing."""
    reader = client.reader
    assert reader is not None
    head = await reader.readuntil(b"\r\n\r\n")
    lower, body = head.lower(), b""
    try:
        if b"transfer-encoding: chunked" in lower:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        elif b"content-length" in lower:
            told = int(lower.partition(b"content-length: ")[2].partition(b"\r\n")[0])
            while len(body) < told and (piece := await reader.read(told - len(body))):
                body += piece
            return head, body, len(body) == told
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return head, body, False
    return head, body, True


def chunked(body: bytes, size: int = 7000, end: bool = True, extension: str = "") -> bytes:
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    data = b"".join(b"%x%b\r\n%b\r\n" % (len(p), extension.encode(), p) for p in parts)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + data + (b"0\r\nX-T: 1\r\n\r\n" if end else b"")


def sends_raw(data: bytes, close: bool = False) -> Answer:
    async def answer(got: Got, writer: Writer) -> None:
        for i in range(0, len(data), 9001):
            writer.write(data[i : i + 9001])
            await writer.drain()
        if close:
            writer.close()

    return answer


WHOLE = [
    ("length", answers(200, LONG)),
    ("chunks", sends_raw(chunked(LONG))),
    ("extensions", sends_raw(chunked(LONG, 90, True, ";a=b"))),
    ("until the end", sends_raw(b"HTTP/1.1 200 OK\r\n\r\n" + LONG, close=True)),
    ("1xx ahead", sends_raw(b"HTTP/1.1 103 E\r\n\r\n" * 3 + chunked(LONG))),
]


@pytest.mark.parametrize(("form", "answer"), WHOLE)
def test_a_long_answer_comes_whole_and_the_connection_goes_on(form: str, answer: Answer) -> None:
    async def test() -> None:
        upstream = await Upstream(answer).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            for _ in range(2):
                await client.send(request())
                _, body, whole = await body_of(client)
                assert whole and body == LONG
            assert client.node.tally.succeeded["read"] == 2 and client.node.held()["calls"] == 0
            assert client.node._pool_manager.streaming == 0
        assert [e.attempt for e in script.of(api.ResponseStarted)] == [0, 0]
        assert [(e.result, e.complete) for e in script.of(api.Outcome)] == [(Result.OK, True)] * 2

    run(test())


@pytest.mark.parametrize(
    ("form", "answer"),
    [
        ("length", sends_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + LONG, close=True)),
        ("chunks", sends_raw(chunked(LONG, end=False), close=True)),
        ("noise", sends_raw(chunked(LONG, end=False) + b"zzzz\r\n")),
    ],
)
def test_what_ends_in_the_middle_is_not_whole_for_the_client_and_not_tried_again(form: str, answer: Answer) -> None:
    async def test() -> None:
        upstream = await Upstream(answer).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            await client.send(request())
            _, body, whole = await body_of(client)
            assert not whole and LONG.startswith(body)
            assert client.node.tally.aborted["read"] == 1 and len(upstream.got) == 1
        assert [(e.result, e.complete) for e in script.of(api.Outcome)] == [(Result.RESET, True)]

    run(test())


def test_a_connection_is_read_again_after_a_response_whose_last_piece_its_client_did_not_take_at_once() -> None:
    """Guards against: the next request on the connection times out, since reading stayed paused."""

    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            assert (await client.ask(request())).status == 200
            pool = client.node._pool_manager.pools[script.ids()[0]]
            connection = pool.reuse()
            assert connection is not None
            connection.set_paused(True)  # as a streamed response leaves it whose client did not take the last piece
            pool.keep(connection)
            assert (await client.ask(request())).status == 200 and upstream.opened == 1

    run(test())


def test_the_first_bytes_do_not_wait_for_the_rest() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def answer(got: Got, writer: Writer) -> None:
            long = "chunks" not in got.first
            head = b"Content-Length: 100000" if long else b"Transfer-Encoding: chunked"
            writer.write(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n" + (b"x" if long else b"1\r\nx\r\n"))
            await release.wait()
            writer.write(b"y" * 99_999 if long else b"1\r\ny\r\n0\r\n\r\n")

        upstream = await Upstream(answer).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            for target, rest in (("/read", b"y" * 99_999), ("/read/chunks", b"1\r\ny\r\n0\r\n\r\n")):
                release.clear()
                await client.send(request(target))
                assert client.reader is not None
                await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), 2.0)
                first = b"x" if target == "/read" else b"1\r\nx\r\n"
                assert await asyncio.wait_for(client.reader.readexactly(len(first)), 2.0) == first
                release.set()
                assert await asyncio.wait_for(client.reader.readexactly(len(rest)), 2.0) == rest

    run(test())


def test_an_old_client_gets_no_chunks() -> None:
    async def test() -> None:
        upstream = await Upstream(sends_raw(chunked(LONG))).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            await client.send(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            head, body, _ = await body_of(client)
            assert body == LONG and b"chunked" not in head

    run(test())


def test_a_reader_who_stops_holds_one_piece_and_is_ended_at_last(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        written = 0

        async def answer(got: Got, writer: Writer) -> None:
            nonlocal written
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n")
            for _ in range(512):
                writer.write(b"x" * 65536)
                await writer.drain()
                written += 65536

        upstream = await Upstream(answer).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            await client.send(b"")
            assert client.writer is not None
            peer = cast(asyncio.Transport, client.writer.transport)
            peer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            peer.pause_reading()
            await client.send(request())
            await until(lambda: client.node.streams.active)
            call = next(iter(client.node.streams.active.values()))
            transport = call.client._transport
            assert transport is not None
            await until(lambda: transport.get_write_buffer_size() > 0)
            before = -1
            while before != written:  # until all buffers on the way are full
                before = written
                await asyncio.sleep(0.05)
                assert transport.get_write_buffer_size() <= 2 * MAX_PIECE
            assert written < 32 * 1024 * 1024
            assert not call.finished
            monkeypatch.setattr(streamed_response, "CLIENT_TIMEOUT_NS", 10**9)
            await until(lambda: not client.node.streams.active)
            assert client.node.tally.aborted["read"] == 1

    run(test())


def test_a_client_that_leaves_ends_the_upstream_side() -> None:
    async def test() -> None:
        upstream = await Upstream(sends_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nx")).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            await client.send(request())
            await until(lambda: client.node.streams.active)
            client.close()
            await until(lambda: upstream.closed == 1 and not client.node.streams.active)
            assert client.node._pool_manager.streaming == 0 and script.of(api.ClientGone)

    run(test())


def test_a_second_request_in_the_middle_of_an_answer_gets_nothing_of_it() -> None:
    async def test() -> None:
        upstream = await Upstream(sends_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nx")).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            await client.send(request())
            await until(lambda: client.node.streams.active)
            await client.send(request())
            _, body, whole = await body_of(client)
            assert body == b"x" and not whole
            assert len(upstream.got) == 1

    run(test())


def test_pieces_get_smaller_as_more_answers_pass() -> None:
    async def test() -> None:
        manager = PoolManager(10, 1.0, 1.0)
        for passing in (0, 1, 128, 129, 500, 5000):
            manager.streaming = passing
            size = len(manager.buffer())
            assert MIN_PIECE <= size <= MAX_PIECE
            assert passing * size <= STREAMING_BYTES or size == MIN_PIECE

    run(test())


def test_an_upstream_whose_long_answer_passes_has_room_for_another_request() -> None:
    second = 1_000_000_000
    module = Balancer(settings(), 1, 0)
    module.handle(0, [api.ListUpdate(api.ListKind.FULL, [api.Upstream(7)])])
    now = second

    def arrives(name: str) -> list[api.Send]:
        actions = module.handle(now, [api.Arrival(name, "read", "", now + 10 * second)])
        return [a for a in actions if isinstance(a, api.Send)]

    assert arrives("a")
    assert not arrives("b")  # no higher concurrency limit has proved useful yet
    sent = module.handle(now + 1000, [api.ResponseStarted("a", 0, 7, 1000)])
    assert [a.request for a in sent if isinstance(a, api.Send)] == ["b"]
    server = module.fleet.servers[7]
    assert server.inflight == 1
    later = now + 20 * second  # a slow client must not count against the upstream
    pace, good = server.latency_ratio, module.rate.successes
    module.handle(later, [api.Outcome("a", 0, 7, Result.RESET, 20 * second, True)])
    assert (server.inflight, server.latency_ratio, server.failure_streak) == (1, pace, 0)
    assert module.rate.successes <= good and "a" not in module.requests


def reference_bodies(data: bytes) -> list[bytes]:
    """Reference parser: the bodies of complete messages with a length or in chunks."""
    bodies = []
    while data:
        head, _, data = data.partition(b"\r\n\r\n")
        if b"Content-Length" in head:
            size = int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0])
            bodies.append(data[:size])
            data = data[size:]
            continue
        body = b""
        while True:
            line, _, data = data.partition(b"\r\n")
            size = int(line.partition(b";")[0], 16)
            body, data = body + data[:size], data[size:].removeprefix(b"\r\n")
            if not size:
                break
        if not data.startswith(b"HTTP/") and data:
            data = data.partition(b"\r\n\r\n")[2]  # trailers
        bodies.append(body)
    return bodies


def framed(body: bytes, how: int) -> bytes:
    if how == 0:
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d \r\nX:\t a \r\n\r\n" % len(body) + body
    return chunked(body, (3, 500, 70_000)[how - 1], extension=";x=y" * (how == 2)).replace(b"X-T: 1\r\n", b"")


def parsed_bodies(data: Iterable[bytes]) -> list[bytes]:
    reader, bodies, passing = MessageReader(responses=True, max_body=1 << 20, stream=True), [], b""
    for part in data:
        ready = reader.feed(part)
        assert not reader.error_status
        passing += b"".join(reader.pieces)
        reader.head, reader.pieces = None, []
        for message in ready:
            assert all(v == v.strip() for _, v in message.headers)
            bodies.append(passing if message.streamed else message.body)
            assert message.streamed == (len(bodies[-1]) > MAX_BUFFERED_RESPONSE)
            passing = b""
    return bodies


@hypothesis_settings(deadline=None, derandomize=True, database=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.sampled_from([0, 1, 900, MAX_BUFFERED_RESPONSE, MAX_BUFFERED_RESPONSE + 1, 200_000]),
        ),
        min_size=1,
        max_size=1,
    ),
    st.lists(st.integers(1, 70_000), min_size=1, max_size=40),
)
def test_however_it_is_cut_the_same_bodies_are_read(messages: list[tuple[int, int]], cuts: list[int]) -> None:
    data = b"".join(framed(LONG[:size], how) for how, size in messages)
    parts: list[bytes] = []
    at = 0
    while at < len(data):
        step = max(cuts[len(parts) % len(cuts)], len(data) // 300 if at > 300 else 1)
        parts.append(data[at : at + step])
        at += step
    assert parsed_bodies(parts) == reference_bodies(data)


@hypothesis_settings(derandomize=True, database=None)
@given(st.integers(1, 60))
def test_white_space_round_a_value_goes_wherever_it_is_cut(cut: int) -> None:
    data = b"GET /read HTTP/1.1\r\nReq-Deadline-Ms: \t161 \t\r\nReq-Id: x  \r\n\r\n"
    reader = MessageReader()
    got = reader.feed(data[:cut]) + reader.feed(data[cut:])
    assert (got[0].header(b"req-deadline-ms"), got[0].header(b"req-id")) == (b"161", b"x")
