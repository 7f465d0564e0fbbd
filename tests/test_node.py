"""The node over loopback sockets: requests, attempts and their outcomes, with a scripted decision module."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Iterable
from functools import partial
from typing import cast

import pytest

from lanemux import interface as api
from lanemux.core.clock import now_ns
from lanemux.interface import Result
from lanemux.net.config import Config
from lanemux.net.discovery import read_listing
from lanemux.net.frontend import LATE_ARRIVALS_S
from lanemux.net.node import Node
from lanemux.net.server import ACCEPTS_PER_TURN
from lanemux.policy import Balancer
from tests.sockets import (
    HOST,
    MS,
    Answer,
    Client,
    Got,
    Script,
    Upstream,
    Writer,
    answers,
    breaks,
    known,
    node,
    request,
    run,
    sends_raw,
    settings,
    silent,
    until,
    written,
)


def sends_first(
    script: Script, then: Callable[[api.Event], Iterable[api.Action]] = lambda e: (), timeout_ns: int = 0
) -> None:
    """Send each request to the first upstream; `then` handles all other events."""

    def react(event: api.Event) -> Iterable[api.Action]:
        if isinstance(event, api.Arrival):
            return [api.Send(event.request, script.ids()[0], timeout_ns)]
        return then(event)

    script.react = react


def fails_unserved(event: api.Event) -> Iterable[api.Action]:
    if isinstance(event, api.Outcome) and not event.complete:
        return [api.Fail(event.request)]
    return ()


def test_a_request_goes_through_unchanged() -> None:
    async def test() -> None:
        upstream = await Upstream(answers(200, b"\x00quote\r\n", "Content-Type: x/y", "Srv-Load: {}")).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            got = await client.ask(
                request(
                    "/pay/a%20b?x=1&y=%2F",
                    "Idempotency-Key: k1",
                    "Cookie: a=b; user=7f3a",
                    "Req-Owner: acme",
                    "Req-Cost: 1200",
                    "Req-Retry: 1",
                    "Connection: x-hop",
                    "X-Hop: 1",
                    method="POST",
                    body=b"\x01body",
                    name="9b1f03aa",
                )
            )
            assert (got.status, got.body) == (200, b"\x00quote\r\n")
            assert got.headers["content-type"] == "x/y" and "srv-load" not in got.headers
            seen = upstream.got[0]
            assert (seen.first, seen.body) == ("POST /pay/a%20b?x=1&y=%2F HTTP/1.1", b"\x01body")
            assert (seen.headers["req-id"], seen.headers["idempotency-key"]) == ("9b1f03aa", "k1")
            assert 4000 < int(seen.headers["req-deadline-ms"]) <= 5000
            assert "x-hop" not in seen.headers
        arrival = script.of(api.Arrival)[0]
        assert (arrival.class_name, arrival.tenant, arrival.key) == ("pay", "acme", "7f3a")
        assert arrival.cost_hint_ns == 1_200_000 and arrival.retry
        assert time.monotonic_ns() + 5000 * MS - arrival.deadline_ns > 0
        outcome = script.of(api.Outcome)[0]
        assert (outcome.result, outcome.attempt, outcome.complete) == (Result.OK, 0, True)
        assert outcome.took_ns > 0

    run(test())


def test_the_real_module_serves() -> None:
    async def test() -> None:
        upstream = await Upstream(answers(200, b'{"inflight": 1}')).start()
        async with node(Balancer(settings(probes=True), 1, time.monotonic_ns()), upstream) as client:
            for _ in range(3):
                assert (await client.ask(request())).status == 200
        assert sum(g.first.startswith("GET /read") for g in upstream.got) == 3

    run(test())


def test_a_refusal_is_told_at_once_with_its_retry_after() -> None:
    async def test() -> None:
        script = Script(lambda e: [api.Refuse(e.request, 437 * MS)] if isinstance(e, api.Arrival) else ())
        async with node(script) as client:
            begun = time.monotonic()
            got = await client.ask(request())
            assert got.status == 503 and got.headers["retry-after"] == "0.437"
            assert time.monotonic() - begun < 2.5  # the client would wait five seconds

    run(test())


DECLINED = "Srv-Declined: 1"


@pytest.mark.parametrize(
    ("answer", "result"),
    [
        (answers(200, b"x"), Result.OK),
        (answers(500), Result.ERROR),
        (answers(503, b"", DECLINED), Result.FULL),
        (answers(504, b"", DECLINED), Result.FULL),
        (answers(503), Result.ERROR),
        (answers(404), Result.ERROR),
        (answers(500, b"", DECLINED), Result.ERROR),
        (breaks, Result.RESET),
        (sends_raw(b"no http\r\n"), Result.RESET),
        (sends_raw(b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhalf", close=True), Result.RESET),
        (answers(200, b"x" * 400_000), Result.OK),
        (answers(200, b"x" * (1024 * 1024 + 1)), Result.OK),
        (sends_raw(b"HTTP/1.1 200 X\r\nContent-Length: 67108865\r\n\r\nabc"), Result.RESET),
        (sends_raw(b"HTTP/1.1 500 X\r\nContent-Length: 1048577\r\n\r\nabc"), Result.RESET),
        (sends_raw(b"HTTP/1.1 200 X\r\nContent-Length: 3000000000\r\n\r\nabc"), Result.RESET),
        (sends_raw(b"HTTP/1.1 200 X\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nab"), Result.RESET),
        (sends_raw(b"HTTP/1.1 200 X\r\nContent-Length: -1\r\n\r\nab"), Result.RESET),
        (sends_raw(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\nzz\r\n"), Result.RESET),
        (sends_raw(b"HTTP/1.1 200 X\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"), Result.RESET),
        (sends_raw(b"HTTP/1.1 OK 200\r\nContent-Length: 1\r\n\r\na"), Result.RESET),
        (sends_raw(b"ICY 200 OK\r\nContent-Length: 1\r\n\r\na"), Result.RESET),
        (sends_raw(b"HTTP/1.1 200 X\r\n" + b"X: y\r\n" * 4000), Result.RESET),
        (sends_raw(b"HTTP/1.1 102 X\r\n\r\n" * 17 + written(200)), Result.RESET),
    ],
)
def test_what_comes_back_is_the_outcome(answer: Answer, result: Result) -> None:
    async def test() -> None:
        upstream = await Upstream(answer).start()
        script = Script()
        sends_first(script, fails_unserved)
        async with node(script, upstream) as client:
            got = await client.ask(request())
            assert got.status == (200 if result is Result.OK else 504)
            assert [o.result for o in script.of(api.Outcome)] == [result]
            assert len(upstream.got) == 1  # the node itself does not retry

    run(test())


@pytest.mark.parametrize("behind", [written(200, b"mine"), b"\xd1\xaanoise\r\n\r\n", b"HTTP/1.1 2"])
def test_what_comes_behind_a_good_answer_takes_nothing_from_it_and_meets_no_other(behind: bytes) -> None:
    async def test() -> None:
        upstream = await Upstream(sends_raw(written(200, b"mine") + behind)).start()
        script = Script()
        sends_first(script, fails_unserved)
        async with node(script, upstream) as client:
            for number in (1, 2):
                assert (await client.ask(request())).body == b"mine"
                assert upstream.opened == len(upstream.got) == number and not client.node._pool_manager.idle
            assert [o.result for o in script.of(api.Outcome)] == [Result.OK] * 2

    run(test())


def test_answers_that_only_announce_one_are_passed_over_also_in_pieces() -> None:
    async def test() -> None:
        async def answer(got: object, writer: asyncio.StreamWriter) -> None:
            ahead = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: y\r\n\r\n"
            for byte in ahead + written(200, b"it"):
                writer.write(bytes([byte]))
                await asyncio.sleep(0)

        upstream = await Upstream(answer).start()
        script = Script()
        sends_first(script, fails_unserved)
        async with node(script, upstream) as client:
            for _ in range(2):
                got = await client.ask(request())
                assert (got.status, got.body) == (200, b"it") and "link" not in got.headers
            assert upstream.opened == 1

    run(test())


@pytest.mark.parametrize(
    ("report", "heard"),
    [
        ("1" + "0" * 400, None),
        ("[" * 10_000, None),
        ('{"inflight":1' + "0" * 400 + "}", {}),
        ("{", None),
        ('{"inflight":-3,"queue":2}', {"queue": 2.0}),
        ('{"inflight":1e400,"queue":true}', {}),
        ("3", None),
    ],
)
def test_a_load_report_that_cannot_be_read_costs_nothing_else(report: str, heard: object) -> None:
    async def test() -> None:
        upstream = await Upstream(answers(200, b"it", f"Srv-Load: {report}")).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream, in_answers=True) as client:
            for number in (1, 2):
                assert (await client.ask(request())).body == b"it"
                await until(lambda number=number: len(script.of(api.Outcome)) == number)  # type: ignore[misc]
            assert [(o.result, o.report) for o in script.of(api.Outcome)] == [(Result.OK, heard)] * 2

    run(test())


def test_probes_leave_places_for_attempts() -> None:
    async def test() -> None:
        upstream = await Upstream(silent).start()
        script = Script(lambda e: [api.Probe(script.ids()[0])] * 20 if isinstance(e, api.TimerFired) else ())
        async with node(script, upstream) as client:
            client.node._pool_manager.capacity = 16
            client.node.feed(api.TimerFired("now"))
            assert client.node._pool_manager.open_connections <= 14
            sends_first(script)
            await client.send(request())
            await until(lambda: any("/read" in got.first for got in upstream.got))

    run(test())


def test_nothing_is_out_or_begun_once_a_node_is_closed() -> None:
    """Storm seed 880186: a probe was connecting when the drain ended, and outlived the node."""

    async def test() -> None:
        upstream = await Upstream(silent).start()
        sent: list[str] = []

        def decide(e: api.Event) -> list[api.Action]:
            if isinstance(e, api.TimerFired):
                return [api.Probe(script.ids()[0])] * 3
            if isinstance(e, api.Arrival) or (isinstance(e, api.Outcome) and len(sent) < 3):
                sent.append(e.request)
                return [api.Send(e.request, script.ids()[0], 0), api.Probe(script.ids()[0])]
            return []

        script = Script(decide)
        async with node(script, upstream) as client:
            await client.send(request())
            await until(lambda: any("/read" in got.first for got in upstream.got))
            client.node.feed(api.TimerFired("now"))  # these probes are connecting
            client.node.close()
            await client.node._pool_manager.wait_for_cancelled()
            assert (
                len(sent) == 1 and not client.node.held()["probes"] and not client.node._pool_manager.open_connections
            )

    run(test())


def test_requests_that_come_late_in_a_drain_are_answered_too() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def answer(got: Got, writer: asyncio.StreamWriter) -> None:
            if "/late" in got.first:
                await release.wait()
            writer.write(written(200, b"it"))

        upstream = await Upstream(answer).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            draining = asyncio.create_task(client.node.drain())
            await until(lambda: not client.node.ready)
            assert (await client.ask(request())).status == 200  # afterwards no request is active
            assert client.node._drained.is_set()
            late = client.another()
            await late.send(request("/read/late"))
            await until(lambda: client.node.server._listener is None)
            asyncio.get_running_loop().call_later(0.1, release.set)
            assert (await late.read()).body == b"it"
            await draining

    run(test())


def test_a_large_answer_is_written_whole_before_the_end_of_a_drain() -> None:
    async def test() -> None:
        body = bytes(range(256)) * 1000
        upstream = await Upstream(answers(200, body)).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            await client.send(b"")
            assert client.writer is not None
            mine = cast(asyncio.Transport, client.writer.transport)
            mine.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            mine.pause_reading()
            await until(lambda: client.node.server._connections)
            side = next(iter(client.node.server._connections))
            await until(lambda: side._transport)
            assert side._transport is not None
            side._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            draining = asyncio.create_task(client.node.drain())
            await until(lambda: not client.node.ready)
            await client.send(request())
            await until(lambda: client.node.streams.active)
            await until(lambda: client.node.server._listener is None)
            assert not draining.done()
            for transport in (mine, side._transport):  # sending through small buffers would take long
                for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, option, 1 << 20)
            mine.resume_reading()
            assert (await client.read()).body == body
            await draining

    run(test())


def test_a_refused_connection_never_ran() -> None:
    async def test() -> None:
        upstream = await Upstream(silent).start()
        upstream.stop()
        script = Script()
        sends_first(script, fails_unserved)
        async with node(script, upstream) as client:
            assert (await client.ask(request())).status == 504
            assert [o.result for o in script.of(api.Outcome)] == [Result.CONNECT_FAILED]

    run(test())


def test_a_connection_that_never_comes_up_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        upstream = await Upstream(silent).start()
        script = Script()
        sends_first(script, fails_unserved)
        async with node(script, upstream, connect_timeout_ns=20 * MS) as client:
            await client.send(request())
            hold_connections(monkeypatch, asyncio.Event())
            assert (await client.read()).status == 504
            assert [o.result for o in script.of(api.Outcome)] == [Result.CONNECT_FAILED]

    run(test())


def test_a_break_before_the_last_byte_is_written_never_ran() -> None:
    async def test() -> None:
        held: list[asyncio.StreamWriter] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            held.append(writer)  # reads nothing: the data stays in the sender's buffers

        server = await asyncio.start_server(serve, HOST, 0, limit=1)
        script = Script()
        sends_first(script, fails_unserved)
        port = server.sockets[0].getsockname()[1]
        async with node(script, known_list=known(port)) as client:
            pool = next(iter(client.node._pool_manager.pools.values()))
            ended: list[Result] = []
            exchange = pool.exchange(b"x" * 50_000_000, None, lambda result, response: ended.append(result))
            await until(lambda: held and not exchange.waiting)
            held[0].transport.abort()
            await until(lambda: ended)
            assert ended == [Result.CONNECT_FAILED]
        server.close()

    run(test())


def test_a_timed_out_attempt_closes_its_connection_and_its_late_answer_is_dropped() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def late(got: object, writer: asyncio.StreamWriter) -> None:
            if len(upstream.got) == 1:
                await release.wait()
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nlate")
            else:
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nfresh")

        upstream = await Upstream(late).start()
        script = Script()

        def again(event: api.Event) -> Iterable[api.Action]:
            if isinstance(event, api.Outcome) and event.result is Result.TIMEOUT:
                release.set()
                return [api.Send(event.request, event.upstream)]
            return ()

        sends_first(script, again, timeout_ns=30 * MS)
        async with node(script, upstream) as client:
            assert (await client.ask(request())).body == b"fresh"
            assert upstream.opened == 2
            await until(lambda: upstream.closed == 1)
            assert [(o.result, o.attempt) for o in script.of(api.Outcome)] == [(Result.TIMEOUT, 0), (Result.OK, 1)]

    run(test())


def test_a_given_up_attempt_has_ended_before_the_module_hears_of_it() -> None:
    async def test() -> None:
        with socket.create_server((HOST, 0)) as listener:
            listener.setblocking(False)
            accepted: list[socket.socket] = []
            ended: list[bytes] = []
            script = Script()

            def read_end(event: api.Event) -> Iterable[api.Action]:
                if isinstance(event, api.Outcome) and event.result is Result.TIMEOUT:
                    ended.append(accepted[0].recv(65536))  # b"": the connection was closed
                    return [api.Fail(event.request)]
                return ()

            sends_first(script, read_end, timeout_ns=30 * MS)
            async with node(script, known_list=known(listener.getsockname()[1])) as client:
                await client.send(request())
                loop = asyncio.get_running_loop()
                accepted.append((await loop.sock_accept(listener))[0])
                assert (await loop.sock_recv(accepted[0], 65536)).startswith(b"GET /read")
                assert (await client.read()).status == 504
                assert ended == [b""]
            accepted[0].close()

    run(test())


def test_a_cancelled_attempt_closes_its_connection() -> None:
    async def test() -> None:
        upstream = await Upstream(silent).start()
        script = Script()
        sends_first(script, lambda e: [api.Cancel("1", 0)] if isinstance(e, api.TimerFired) else fails_unserved(e))
        async with node(script, upstream) as client:
            await client.send(request())
            await until(lambda: upstream.got)
            client.node.feed(api.TimerFired("now"))
            assert (await client.read()).status == 504
            await until(lambda: upstream.closed == 1)
            assert [o.result for o in script.of(api.Outcome)] == [Result.CANCELLED]

    run(test())


def test_a_balancer_that_rests_is_not_ready_but_serves() -> None:
    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        script = Script()
        sends_first(script)
        ready = b"GET /health/ready HTTP/1.1\r\n\r\n"
        async with node(script, upstream, readiness_delay_s=3600.0) as client:
            assert (await client.ask(ready)).status == 503
            assert (await client.ask(request())).status == 200
        async with node(script, upstream) as client:
            assert (await client.ask(ready)).status == 200

    run(test())


def test_one_attempt_at_a_time_and_none_after_the_answer() -> None:
    async def test() -> None:
        upstream = await Upstream(silent).start()
        script = Script()

        def react(event: api.Event) -> Iterable[api.Action]:
            if isinstance(event, api.Arrival):
                to = script.ids()[0]
                return [api.Send(event.request, to), api.Send(event.request, to)]
            if isinstance(event, api.TimerFired):
                return [api.Fail("1"), api.Fail("1"), api.Send("1", script.ids()[0])]
            return ()

        script.react = react
        async with node(script, upstream) as client:
            await client.send(request())
            await until(lambda: upstream.got)
            client.node.feed(api.TimerFired("now"))
            assert (await client.read()).status == 504
            await until(lambda: upstream.closed == 1)
            outcomes = {(o.attempt, o.result, o.complete) for o in script.of(api.Outcome)}
            assert outcomes == {(1, Result.NOT_SENT, False), (0, Result.CANCELLED, True), (0, Result.NOT_SENT, True)}
            assert len(upstream.got) == 1 and script.max_depth == 1
            assert (await client.ask(b"GET /health/ready HTTP/1.1\r\n\r\n")).status == 200  # only one response came

    run(test())


def test_a_client_that_goes_away_frees_all() -> None:
    async def test() -> None:
        upstream = await Upstream(silent).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            await client.send(request())
            await until(lambda: upstream.got)
            client.close()
            await until(lambda: upstream.closed == 1)
            assert script.of(api.ClientGone) == [api.ClientGone("1")]
            assert [(o.result, o.complete) for o in script.of(api.Outcome)] == [(Result.CANCELLED, True)]
            assert not client.node._active_requests and not client.node._by_client

    run(test())


def test_what_the_module_leaves_open_fails_at_the_deadline() -> None:
    async def test() -> None:
        script = Script()
        async with node(script) as client:
            begun = time.monotonic()
            assert (await client.ask(request(deadline_ms=80))).status == 504
            assert time.monotonic() - begun > 0.05
            assert script.of(api.ClientGone) == [api.ClientGone("1")]

    run(test())


def test_a_stall_after_the_decision_does_not_put_off_its_time_out() -> None:
    async def test() -> None:
        upstream = await Upstream(silent).start()
        script = Script()

        def react(event: api.Event) -> Iterable[api.Action]:
            if isinstance(event, api.Arrival):
                timeout = event.deadline_ns - time.monotonic_ns()
                time.sleep(0.02)  # stands for a stall of the process
                return [api.Send(event.request, script.ids()[0], timeout), api.SetTimer(timeout, "end")]
            if isinstance(event, api.Outcome) and event.result is Result.TIMEOUT:
                return [api.Refuse(event.request)]
            return ()

        script.react = react
        async with node(script, upstream) as client:
            assert (await client.ask(request(deadline_ms=150))).status == 503
            assert [o.result for o in script.of(api.Outcome)] == [Result.TIMEOUT]
            await until(lambda: script.of(api.TimerFired))
            assert not script.of(api.ClientGone)

    run(test())


def test_a_fault_of_the_module_does_not_stop_the_node() -> None:
    async def test() -> None:
        def react(event: api.Event) -> Iterable[api.Action]:
            if isinstance(event, api.Arrival) and event.request == "1":
                raise RuntimeError("bug")
            return [api.Fail(event.request)] if isinstance(event, api.Arrival) else ()

        async with node(Script(react)) as client:
            assert (await client.ask(request(deadline_ms=50))).status == 504
            assert (await client.ask(request())).status == 504

    run(test())


def hold_connections(monkeypatch: pytest.MonkeyPatch, until_set: asyncio.Event) -> None:
    """Delay new connections until the event is set."""
    loop = asyncio.get_running_loop()
    original = loop.create_connection

    async def create_connection(*args: object, **options: object) -> object:
        await until_set.wait()
        return await original(*args, **options)  # type: ignore[call-overload]

    monkeypatch.setattr(loop, "create_connection", create_connection)


async def send_held(client: Client, script: Script, monkeypatch: pytest.MonkeyPatch, up: asyncio.Event) -> None:
    """Send a request whose attempt then waits for its connection to an upstream."""
    await client.send(b"GET /health/ready HTTP/1.1\r\n\r\n")
    await client.read()
    hold_connections(monkeypatch, up)
    await client.send(request())
    await until(lambda: script.of(api.Arrival))


@pytest.mark.parametrize("health", ["draining", "removed"])
def test_a_send_that_waits_for_its_connection_is_called_off_by_a_drain(
    monkeypatch: pytest.MonkeyPatch, health: str
) -> None:
    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        script = Script()
        sends_first(script, fails_unserved)
        up = asyncio.Event()
        async with node(script, upstream) as client:
            await send_held(client, script, monkeypatch, up)
            row = {**known(upstream.port)["hosts"][0], "health": health}
            listing = read_listing(
                {"seq": 2, "whole": False, "hosts": [row]}, client.node.upstream_set.membership, now_ns()
            )
            client.node.upstream_set.apply_listing(listing)
            assert (await client.read()).status == 504
            up.set()
            assert [o.result for o in script.of(api.Outcome)] == [Result.NOT_SENT]
            assert (await client.ask(request())).status == 504  # a new request is not sent there either
            assert [o.result for o in script.of(api.Outcome)] == [Result.NOT_SENT] * 2
            assert not upstream.got

    run(test())


def test_a_send_that_waits_for_its_connection_is_called_off_when_its_upstream_moves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against sending to the old address of a host that was recreated elsewhere: another may listen there now.
    async def test() -> None:
        old, new = await Upstream(answers(200)).start(), await Upstream(answers(200)).start()
        script = Script()
        sends_first(script, fails_unserved)
        up = asyncio.Event()
        async with node(script, old) as client:
            await send_held(client, script, monkeypatch, up)
            await asyncio.sleep(0)  # its connection to the old address is being established
            moved = {"seq": 2, "whole": False, "hosts": known(new.port)["hosts"]}
            client.node.upstream_set.apply_listing(read_listing(moved, client.node.upstream_set.membership, now_ns()))
            assert (await client.read()).status == 504
            assert [o.result for o in script.of(api.Outcome)] == [Result.NOT_SENT]
            up.set()
            assert (await client.ask(request())).status == 200
            assert len(new.got) == 1 and not old.got
            new.stop()

    run(test())


def test_a_connection_whose_upstream_moved_while_a_request_was_out_is_not_used_again() -> None:
    """Found by seed 1345: the next request reused the connection to the old address, where another upstream drained."""

    async def test() -> None:
        answer = asyncio.Event()

        async def late(got: Got, writer: Writer) -> None:
            await answer.wait()
            writer.write(written(200))

        old, new = await Upstream(late).start(), await Upstream(answers(200)).start()
        script = Script()
        sends_first(script)
        async with node(script, old) as client:
            await client.send(request())
            await until(lambda: old.got)
            moved = {"seq": 2, "whole": False, "hosts": known(new.port)["hosts"]}
            client.node.upstream_set.apply_listing(read_listing(moved, client.node.upstream_set.membership, now_ns()))
            answer.set()
            assert (await client.read()).status == 200
            assert (await client.ask(request())).status == 200
            assert len(old.got) == len(new.got) == 1
            new.stop()

    run(test())


def test_a_connection_near_its_idle_limit_is_not_used_again() -> None:
    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream, conn_idle_ns=15_000 * MS) as client:
            for opened in (1, 1, 2):
                assert (await client.ask(request())).status == 200
                assert upstream.opened == opened
                if len(upstream.got) == 2:
                    pool = next(iter(client.node._pool_manager.pools.values()))
                    pool.idle[0].idle_since -= 12.5  # as if it had been idle for this long
            await until(lambda: upstream.closed == 1)

    run(test())


def test_a_connection_that_its_upstream_has_just_closed_is_not_used_again() -> None:
    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            assert (await client.ask(request())).status == 200
            pool = next(iter(client.node._pool_manager.pools.values()))
            transport = pool.idle[0]._transport
            assert transport is not None
            transport.close()  # as on EOF; the pool is told one loop iteration later
            ended: list[Result] = []
            pool.exchange(b"GET /read HTTP/1.1\r\n\r\n", None, lambda result, response: ended.append(result))
            assert not ended
            await until(lambda: ended)
            assert ended == [Result.OK] and upstream.opened == 2

    run(test())


def test_connections_to_upstreams_are_bounded() -> None:
    async def test() -> None:
        upstream = await Upstream(silent).start()
        script = Script()
        sends_first(script, fails_unserved)
        async with node(script, upstream, sockets=32 + 16) as client:  # leaves eight connections on either side
            others = [client.another() for _ in range(8)]
            for other in others[:7]:
                await other.send(request())
            await until(lambda: len(upstream.got) == 7)
            client.node._pool_manager.capacity = 7
            assert (await client.ask(request())).status == 504
            assert client.node._pool_manager.open_connections == 7
            assert [o.result for o in script.of(api.Outcome)] == [Result.CONNECT_FAILED]
            for other in others:
                other.close()
            await until(lambda: client.node._pool_manager.open_connections == 0)

    run(test())


def probed(script: Script, probes: int) -> bool:
    return len(script.of(api.ProbeResult)) == probes


def test_an_idle_connection_makes_place_for_one_elsewhere() -> None:
    async def test() -> None:
        first, second = await Upstream(answers(200)).start(), await Upstream(answers(200)).start()
        script = Script()
        async with node(script, first, second) as client:
            client.node._pool_manager.capacity = 1
            for number, upstream in enumerate((first, second)):
                script.react = partial(sends_to, script, number)
                assert (await client.ask(request())).status == 200
                assert len(upstream.got) == 1 and client.node._pool_manager.open_connections == 1
            await until(lambda: first.closed == 1)

    run(test())


def sends_to(script: Script, number: int, event: api.Event) -> Iterable[api.Action]:
    return [api.Send(event.request, script.ids()[number])] if isinstance(event, api.Arrival) else ()


def test_probes_bring_reports() -> None:
    async def test() -> None:
        bodies = [b'{"inflight": 3, "queue": 1, "bad": "x"}', b"no json", b"[1]", b'{"inflight": NaN}']
        statuses = [200, 503, 200, 200]

        async def stats(got: object, writer: asyncio.StreamWriter) -> None:
            i = len(upstream.got) - 1
            await answers(statuses[i], bodies[i])(upstream.got[-1], writer)

        upstream = await Upstream(stats).start()
        script = Script(lambda e: [api.Probe(script.ids()[0])] if isinstance(e, api.TimerFired) else ())
        async with node(script, upstream) as client:
            for i in range(4):
                client.node.feed(api.TimerFired("now"))
                await until(partial(probed, script, i + 1))
            script.react = lambda e: [api.Probe(99)] if isinstance(e, api.TimerFired) else ()
            client.node.feed(api.TimerFired("now"))
        assert upstream.got[0].first == "GET /stats HTTP/1.1" and upstream.opened == 1
        results = [(p.result, p.report) for p in script.of(api.ProbeResult)]
        assert results == [
            (Result.OK, {"inflight": 3.0, "queue": 1.0}),
            (Result.FULL, None),
            (Result.OK, None),
            (Result.OK, {}),
            (Result.CONNECT_FAILED, None),
        ]

    run(test())


def test_timers_come_back_by_name() -> None:
    async def test() -> None:
        script = Script(lambda e: [api.SetTimer(2 * MS, "next")] if e == api.TimerFired("first") else ())
        async with node(script) as client:
            client.node.feed(api.TimerFired("first"))
            await until(lambda: api.TimerFired("next") in script.events)

    run(test())


def test_balancers_hear_each_other() -> None:
    async def test() -> None:
        free = [
            await asyncio.get_running_loop().create_datagram_endpoint(asyncio.DatagramProtocol, (HOST, 0))
            for _ in range(2)
        ]
        addresses = [transport.get_extra_info("sockname") for transport, _ in free]
        for transport, _ in free:
            transport.close()
        await asyncio.sleep(0)
        scripts, nodes = [Script(), Script()], []
        for i, script in enumerate(scripts):
            config = Config(
                f"n{i}",
                (HOST, 0),
                (HOST, 1),
                i,
                1024,
                api.Settings(me=i, replicas_of_me=2),
                peer_listen=addresses[i],
                peers=addresses,
                peers_all=addresses[1],
            )
            nodes.append(Node(config, script))
            await nodes[-1].start()
        more = [api.SendToPeer(b"of nobody's kind", 1)]  # a message type that only a later version reads
        scripts[0].react = lambda e: (
            [
                api.SendToPeer(b"for one", 1),
                api.SendToPeer(b"for all"),
                api.SendToPeer(b"no word", 9),
                api.SendToPeer(b"x" * 259),
                *more,
            ]
            if isinstance(e, api.TimerFired)
            else ()
        )
        nodes[0].feed(api.TimerFired("now"))
        await until(lambda: len(scripts[1].of(api.PeerMessage)) == 2)
        assert set(scripts[1].of(api.PeerMessage)) == {api.PeerMessage(0, b"for one"), api.PeerMessage(0, b"for all")}
        for n in nodes:
            n.close()

    run(test())


def test_requests_that_wait_behind_a_standstill_at_the_end_of_a_drain_are_answered() -> None:
    """More connections than one loop iteration accepts arrived while the process stalled past its last accept."""

    async def test() -> None:
        upstream = await Upstream(answers(200, b"it")).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            draining = asyncio.create_task(client.node.drain())
            await until(lambda: not client.node.ready)
            callers = [socket.create_connection(("127.0.0.1", client.port)) for _ in range(3 * ACCEPTS_PER_TURN)]
            for caller in callers:
                caller.sendall(request())
            time.sleep(LATE_ARRIVALS_S)  # the stall: nothing else runs
            await draining
            for caller in callers:
                caller.settimeout(5)
                assert caller.recv(100).startswith(b"HTTP/1.1 200")
                caller.close()

    run(test())


def test_after_a_fault_the_module_is_told_what_is_true_and_the_whole_list(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        upstream = await Upstream(silent).start()
        script = Script()
        faults = iter([True, True])

        def react(event: api.Event) -> Iterable[api.Action]:
            if isinstance(event, api.Arrival) and event.class_name == "read":
                return [api.Send(event.request, script.ids()[0])]
            if isinstance(event, api.Arrival) and next(faults, False):
                raise ValueError("a fault in the decisions")
            if isinstance(event, api.Resync):
                return [api.Refuse(name) for name, held in event.requests.items() if not held.sends]
            return ()

        script.react = react
        async with node(script, upstream) as client:
            waiting = client.another()
            await waiting.send(request())
            await until(lambda: bool(script.of(api.Arrival)))
            for _ in range(2):
                assert (await client.ask(request("/pay", method="POST"))).status == 503
            told = script.of(api.Resync)
            assert len(told) == 2 and told[0].requests == {"1": api.HeldRequest(1, True), "2": api.HeldRequest(0)}
            last = script.of(api.ListUpdate)[-1]
            assert last.kind is api.ListKind.FULL and [u.id for u in last.upstreams] == script.ids()
            assert caplog.text.count("the module failed") == 1  # of consecutive failures only one is logged
            waiting.close()

    run(test())
