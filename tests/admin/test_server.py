"""The admin server on loopback: calls, statistics, cordons, quiescing and silent callers."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from lanemux import interface as api
from lanemux.admin.server import MAX_CONNECTIONS, AdminServer
from lanemux.core.cordons import CordonRecord
from lanemux.core.readiness import QUIESCE_S
from lanemux.core.system import Machine
from lanemux.net.node import Node
from lanemux.policy import Balancer
from tests.sockets import HOST, Got, Script, Upstream, answers, node, read, request, run, settings, until
from tests.test_node import sends_first


@asynccontextmanager
async def admin_server(balancer: Node) -> AsyncIterator[int]:
    made = AdminServer(balancer, Machine())
    try:
        yield made.open((HOST, 0))
    finally:
        made.close()


async def call(port: int, line: str) -> Got:
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(f"{line} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    got = await asyncio.wait_for(read(reader), 1.0)  # callers wait this long
    assert await reader.read() == b""  # one call per connection
    writer.close()
    return got


@pytest.mark.parametrize(
    ("line", "status"),
    [
        ("GET /admin/health", 200),
        ("GET /admin/stats", 200),
        ("PUT /admin/cordon/s0", 200),
        ("PUT /admin/cordon/%730", 200),
        ("PUT /admin/uncordon/s0", 200),
        ("PUT /admin/cordon/none", 404),
        ("PUT /admin/uncordon/none", 404),
        ("PUT /admin/cordon/", 404),
        ("PUT /admin/cordon/%ff", 404),
        ("GET /admin/cordon/s0", 405),
        ("PUT /admin/health", 405),
        ("POST /admin/quiesce", 405),
        ("GET /admin/none", 404),
        ("GET /stats", 404),
        ("GET /admin/health/x", 404),
        ("PUT /admin/cordon/" + "x" * 2000, 404),
        ("NONSENSE", 400),
    ],
)
def test_each_call_has_its_status(line: str, status: int) -> None:
    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        async with node(Script(), upstream) as client, admin_server(client.node) as port:
            assert (await call(port, line)).status == status

    run(test())


async def stats(port: int) -> dict[str, Any]:
    reported: dict[str, Any] = json.loads((await call(port, "GET /admin/stats")).body)
    return reported


def test_statistics_match_what_clients_and_upstreams_saw() -> None:
    async def test() -> None:
        upstream = await Upstream(answers(200, b"x")).start()
        script = Script()

        def react(event: api.Event) -> Iterable[api.Action]:
            if isinstance(event, api.Arrival):
                kind = event.cost_hint_ns // 1000
                ways: list[api.Action] = [
                    api.Send(event.request, script.ids()[0]),
                    api.Refuse(event.request),
                    api.Fail(event.request),
                ]
                return [ways[kind]]
            return ()

        script.react = react
        async with node(script, upstream) as client, admin_server(client.node) as port:
            for kind in (0, 0, 0, 1, 1, 2):
                await client.ask(request("/read", f"Req-Cost: {kind}"))
            await client.another().ask(request("/none"))  # no class: the request is not accepted
            reported = await stats(port)
            assert reported["results"]["read"] == {"succeeded": 3, "declined": 2, "aborted": 1}
            assert reported["results"]["pay"] == {"succeeded": 0, "declined": 0, "aborted": 0}
            assert reported["forwards"] == len(upstream.got) == 3
            assert (reported["outstanding"], reported["discovered"], reported["ejected"]) == (0, 1, 0)
            assert reported["standing"] == {"rate": 1.0}
            await client.send(request("/pay", method="POST"))
            await until(lambda: len(upstream.got) == 4)
            assert (await call(port, "PUT /admin/cordon/s0")).status == 200
            assert (await stats(port))["ejected"] == 1

    run(test())


def test_cordon_cancels_a_request_that_waits_for_its_connection() -> None:
    """The cordon arrives in the turn that begins the attempt, before its connection is established."""

    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        script = Script()
        sends_first(script, lambda e: [api.Refuse(e.request)] if isinstance(e, api.Outcome) else ())
        async with node(script, upstream) as client:
            balancer, original = client.node, script.react

            def react(event: api.Event) -> Iterable[api.Action]:
                actions = original(event)
                if isinstance(event, api.Arrival):
                    asyncio.get_running_loop().call_soon(balancer.upstream_set.cordon, "s0", True)
                return actions

            script.react = react
            assert (await client.ask(request())).status == 503
            assert script.of(api.Outcome)[0].result is api.Result.NOT_SENT
            assert upstream.got == []
            assert script.of(api.ListUpdate)[-1].upstreams[0].state is api.State.DRAINING

    run(test())


def test_cordoned_upstream_gets_no_requests_until_uncordoned() -> None:
    async def test() -> None:
        one, two = await Upstream(answers(200)).start(), await Upstream(answers(200)).start()
        module = Balancer(settings(), 1, time.monotonic_ns())
        async with node(module, one, two) as client, admin_server(client.node) as port:
            for _ in range(2):  # the second changes nothing
                assert (await call(port, "PUT /admin/cordon/s0")).status == 200
            for _ in range(30):
                assert (await client.ask(request())).status == 200
            assert len(one.got) == 0 and len(two.got) == 30
            assert (await call(port, "PUT /admin/uncordon/s0")).status == 200
            while not one.got:
                assert (await client.ask(request())).status == 200
                assert len(two.got) < 3000, "the uncordoned upstream gets no requests"

    run(test())


def test_silent_callers_delay_nobody_and_are_closed() -> None:
    async def test() -> None:
        async with node(Script()) as client, admin_server(client.node) as port:
            silent = [await asyncio.open_connection(HOST, port) for _ in range(3 * MAX_CONNECTIONS)]
            for _, writer in silent:
                writer.write(b"GET /admin/he")
            assert (await call(port, "GET /admin/health")).status == 200
            ends = await asyncio.gather(*(r.read() for r, _ in silent), return_exceptions=True)
            assert all(e == b"" or isinstance(e, ConnectionError) for e in ends)
            for _, writer in silent:
                writer.close()

    run(test())


def test_quiesce_sends_clients_away_and_resume_takes_them_back() -> None:
    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client, admin_server(client.node) as port:
            idle = client.another()
            assert (await idle.ask(request())).status == 200
            busy = client.another()
            assert (await busy.ask(request())).status == 200
            begun = time.monotonic()
            assert (await call(port, "PUT /admin/quiesce")).status == 200
            assert (await client.another().ask(b"GET /health/ready HTTP/1.1\r\n\r\n")).status == 503
            assert (await call(port, "GET /admin/health")).status == 503
            late = await client.another().ask(request())  # it was already on its way
            assert late.status == 200 and late.headers["connection"] == "close"
            last = await busy.ask(request())
            assert last.status == 200 and last.headers["connection"] == "close" and await busy.closed()
            assert await idle.closed()
            await asyncio.sleep(max(0.0, begun + QUIESCE_S + 0.2 - time.monotonic()))
            assert (await client.another().ask(request())).status == 503
            assert (await call(port, "PUT /admin/resume")).status == 200
            assert (await call(port, "GET /admin/health")).status == 200
            back = client.another()
            assert (await back.ask(request())).status == 200 and (await back.ask(request())).status == 200

    run(test())


def test_draining_process_does_not_resume() -> None:
    async def test() -> None:
        async with node(Script()) as client, admin_server(client.node) as port:
            await call(port, "PUT /admin/quiesce")
            ending = asyncio.create_task(client.node.drain())
            await asyncio.sleep(0)
            assert (await call(port, "PUT /admin/resume")).status == 409
            assert (await call(port, "GET /admin/health")).status == 503
            await ending

    run(test())


def test_cordon_that_could_not_be_stored_is_stored_when_repeated() -> None:
    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        async with node(Script(), upstream) as client, admin_server(client.node) as port:
            results: list[bool] = [False, True]
            reported: list[CordonRecord] = []

            def keep(record: CordonRecord) -> bool:
                reported.append(record)
                return results[len(reported) - 1]

            client.node.upstream_set.persist_cordon = keep
            assert (await call(port, "PUT /admin/cordon/s0")).status == 507
            assert (await call(port, "PUT /admin/cordon/s0")).status == 200
            assert reported[0] == reported[1] and reported[0].cordoned

    run(test())
