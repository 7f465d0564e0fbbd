"""Bytes right behind an upstream's answer: they neither change it nor cut it off, and its connection is not reused."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from lanemux import interface as api
from lanemux.interface import Result
from lanemux.net.http import MAX_BUFFERED_RESPONSE, MAX_RESPONSE, MessageReader
from tests.sockets import Answer, Got, Script, Upstream, Writer, answers, node, request, run, sends_raw, until, written
from tests.test_node import fails_unserved, sends_first
from tests.test_streams import LONG, body_of, chunked, framed

SURPLUS = {
    "copy with a length": written(200, LONG),
    "copy in chunks": chunked(LONG),
    "short copy": written(200, b"another"),
    "failure": written(500, b"another"),
    "noise": b"%&/ noise, no HTTP \x00\xff",
    "much noise": b"%&/ noise" * 4000,
    "endless head": b"HTTP/1.1 200 OK\r\nX: " + b"y" * 40_000,
    "part of a head": b"HTTP/1.1 2",
    "length over the limit": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
    "upgrade": b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n\x00",
    "many interim answers": b"HTTP/1.1 103 E\r\n\r\n" * 20,
}
LONG_ANSWERS = {
    "length": written(200, LONG),
    "length, close": written(200, LONG, "Connection: close"),
    "chunks": chunked(LONG),
}
CLIENT_TIMEOUT_S = 2.0
with_surplus = pytest.mark.parametrize("surplus", SURPLUS.values(), ids=SURPLUS)


def sends_end_with(data: bytes, surplus: bytes) -> Answer:
    """Send the end of `data` and the start of `surplus` in one segment, so that they are read at once."""

    async def answer(got: Got, writer: Writer) -> None:
        writer.write(data[:-1000])
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(data[-1000:] + surplus)

    return answer


# Guards against clients getting a long answer without its end, cut off, or with another one's head in it (review/1).
@with_surplus
@pytest.mark.parametrize("data", LONG_ANSWERS.values(), ids=LONG_ANSWERS)
def test_bytes_right_behind_a_streamed_answer_neither_spoil_it_nor_cut_it_off(data: bytes, surplus: bytes) -> None:
    async def test() -> None:
        upstream = await Upstream(sends_end_with(data, surplus)).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            for number in (1, 2):
                await client.send(request())
                _, body, whole = await asyncio.wait_for(body_of(client), CLIENT_TIMEOUT_S)
                assert whole and body == LONG
                assert upstream.opened == number and not client.node._pool_manager.idle
            assert client.node.tally.succeeded["read"] == 2 and client.node._pool_manager.streaming == 0
        assert [(e.result, e.complete) for e in script.of(api.Outcome)] == [(Result.OK, True)] * 2

    run(test())


# Guards against the head of a long answer, or an upgrade, behind a short answer taking the short one's place.
@with_surplus
@pytest.mark.parametrize(("status", "result"), [(200, Result.OK), (500, Result.ERROR)])
def test_bytes_right_behind_a_short_answer_do_not_take_its_place(status: int, result: Result, surplus: bytes) -> None:
    async def test() -> None:
        upstream = await Upstream(sends_raw(written(status, b"mine") + surplus)).start()
        script = Script()
        sends_first(script, fails_unserved)
        async with node(script, upstream) as client:
            for number in (1, 2):
                got = await asyncio.wait_for(client.ask(request()), CLIENT_TIMEOUT_S)
                assert (got.status, got.body) == ((200, b"mine") if status == 200 else (504, b""))
                assert upstream.opened == number and not client.node._pool_manager.idle
        assert not script.of(api.ResponseStarted)
        assert [e.result for e in script.of(api.Outcome)] == [result] * 2

    run(test())


# Guards against a probe that was answered counting as failed because of what followed its answer.
@with_surplus
def test_bytes_right_behind_the_answer_of_a_probe_do_not_make_it_fail(surplus: bytes) -> None:
    async def test() -> None:
        upstream = await Upstream(sends_raw(written(200, b'{"inflight":7}') + surplus)).start()
        script = Script()
        async with node(script, upstream) as client:
            client.node._execute(api.Probe(script.ids()[0]))
            await until(lambda: script.of(api.ProbeResult))
            assert not client.node._pool_manager.idle
        assert [(e.result, e.report) for e in script.of(api.ProbeResult)] == [(Result.OK, {"inflight": 7})]

    run(test())


def first_body(data: bytes, cuts: list[int], stream: bool) -> bytes:
    """The body of the first answer in `data`, which is read in parts of these sizes, in turn."""
    reader, passed_on, at, reads = MessageReader(responses=True, max_body=MAX_RESPONSE, stream=stream), b"", 0, 0
    while at < len(data):
        size = max(cuts[reads % len(cuts)], len(data) // 300)
        complete = reader.feed(data[at : at + size])
        assert not reader.error_status
        passed_on += b"".join(reader.pieces)
        reader.pieces = []
        if complete:
            assert len(complete) == 1
            return passed_on if complete[0].streamed else complete[0].body
        at, reads = at + size, reads + 1
    raise AssertionError("no complete answer")


# Guards against a cut between two reads at which what is behind an answer changes it, streamed or buffered (lists too).
@hypothesis_settings(deadline=None, derandomize=True, database=None)
@given(
    st.integers(0, 3),
    st.sampled_from([0, 1, 900, MAX_BUFFERED_RESPONSE, MAX_BUFFERED_RESPONSE + 1, 200_000]),
    st.sampled_from(list(SURPLUS.values())),
    st.lists(st.integers(1, 70_000), min_size=1, max_size=20),
    st.booleans(),
)
def test_however_it_is_cut_surplus_changes_no_answer(
    form: int, size: int, surplus: bytes, cuts: list[int], stream: bool
) -> None:
    body = LONG[:size]
    assert first_body(framed(body, form) + surplus, cuts, stream) == body


@pytest.mark.parametrize("moment", ["before the write", "right after it"])
def test_bytes_that_come_while_a_request_is_written_are_not_its_answer(
    moment: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: the same in the instant of the write (review/3)."""

    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        script = Script()
        sends_first(script, fails_unserved)
        async with node(script, upstream) as client:
            assert (await client.ask(request())).status == 200
            looks = iter([False, moment == "before the write", moment == "right after it"])
            monkeypatch.setattr(client.node._pool_manager, "has_unread", lambda connection: next(looks, False))
            status = (await client.ask(request())).status
            assert status == (200 if moment == "before the write" else 504)
            await until(lambda: upstream.closed == 1)
        assert [e.result for e in script.of(api.Outcome)][1] is (
            Result.OK if moment == "before the write" else Result.RESET
        )

    run(test())


@pytest.mark.parametrize("surplus", [b"H", b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"])
def test_a_connection_with_unread_bytes_is_not_used_again(surplus: bytes) -> None:
    """Guards against: bytes that lie unread in the socket are taken for the answer to the next request (review/3)."""

    async def test() -> None:
        writers: list[Writer] = []

        async def answer(got: Got, writer: Writer) -> None:
            writers.append(writer)
            writer.write(written(200, got.headers["req-id"].encode()))

        upstream = await Upstream(answer).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            assert (await client.ask(request(name="one"))).body == b"one"
            pool = client.node._pool_manager.pools[script.ids()[0]]
            assert len(pool.idle) == 1
            connection = socket.socket(fileno=os.dup(writers[0].transport.get_extra_info("socket").fileno()))
            connection.send(surplus)  # in the balancer's socket at once, and read only in the loop's next turn
            connection.close()
            assert pool.reuse() is None and not pool.idle
            assert (await client.ask(request(name="two"))).body == b"two" and upstream.opened == 2

    run(test())
