"""A keyed request is sent again only while its key is remembered: the window limits the write, too."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from typing import Any

import pytest

from lanemux import interface as api
from lanemux.interface import Result
from lanemux.policy import Balancer
from tests.bench import ANY, MS, READ, START, arrival, settings, upstreams
from tests.sockets import Got, Script, Upstream, Writer, answers, node, request, run, silent, until

WINDOW_NS = 150 * MS
LATE_S = 0.3  # a connection comes up this late


def sends_within(script: Script) -> None:
    def react(event: api.Event) -> Iterable[api.Action]:
        if isinstance(event, api.Arrival):
            return [api.Send(event.request, script.ids()[0], 0, WINDOW_NS)]
        if isinstance(event, api.Outcome) and not event.complete:
            return [api.Fail(event.request)]
        return ()

    script.react = react


def test_a_request_whose_connection_comes_up_after_its_window_is_not_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: a keyed request takes effect twice after a late connection (review/2)."""

    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        script = Script()
        sends_within(script)
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def late(*args: Any, **kwargs: Any) -> Any:
            await asyncio.sleep(LATE_S)
            return await connect(*args, **kwargs)

        async with node(script, upstream) as client:
            await client.send(request())
            with monkeypatch.context() as patched:
                patched.setattr(loop, "create_connection", late)
                began = time.monotonic()
                await until(lambda: script.of(api.Outcome))
                assert time.monotonic() - began < LATE_S
                await asyncio.sleep(LATE_S)
            assert (await client.read()).status == 504
        (outcome,) = script.of(api.Outcome)
        assert outcome.result is Result.NOT_SENT and not upstream.got

    run(test())


def test_a_request_is_not_written_if_the_process_is_held_up_past_its_window(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: the same where the connection and the end of the window are noticed in one turn of the loop."""

    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        script = Script()
        sends_within(script)
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def held_up(*args: Any, **kwargs: Any) -> Any:
            connected = await connect(*args, **kwargs)
            time.sleep(2 * WINDOW_NS / 1e9)
            return connected

        async with node(script, upstream) as client:
            await client.send(request())
            with monkeypatch.context() as patched:
                patched.setattr(loop, "create_connection", held_up)
                assert (await client.read()).status == 504
            await asyncio.sleep(0.05)
        assert [outcome.result for outcome in script.of(api.Outcome)] == [Result.NOT_SENT] and not upstream.got

    run(test())


def test_a_request_that_is_not_written_whole_within_its_window_has_not_run() -> None:
    """Guards against: the last byte of a large request is written after the window."""

    async def test() -> None:
        upstream = await Upstream(silent).start()
        script = Script()
        sends_within(script)
        async with node(script, upstream) as client:
            await client.send(request())
            await until(lambda: upstream.got)
            (active,) = client.node._active_requests.values()
            assert active.exchange is not None and active.exchange._connection is not None
            active.exchange._connection._written = False  # as if the kernel had not taken the last byte
            assert (await client.read()).status == 504
        assert [outcome.result for outcome in script.of(api.Outcome)] == [Result.NOT_SENT]

    run(test())


def test_a_request_that_was_written_in_its_window_is_answered_later() -> None:
    async def test() -> None:
        async def answer(got: Got, writer: Writer) -> None:
            await asyncio.sleep(LATE_S)
            await answers(200)(got, writer)

        upstream = await Upstream(answer).start()
        script = Script()
        sends_within(script)
        async with node(script, upstream) as client:
            assert (await client.ask(request())).status == 200

    run(test())


@pytest.mark.parametrize("cls", [ANY, READ])
def test_the_module_tells_how_long_a_request_that_may_have_run_may_be_written(cls: api.RequestClass) -> None:
    module = Balancer(settings(), 1, START)
    module.handle(START, [api.ListUpdate(api.ListKind.FULL, upstreams(6))])
    now = START + 10 * MS
    (first,) = (a for a in module.handle(now, [arrival(1, now, cls)]) if isinstance(a, api.Send))
    assert first.write_within_ns == 0
    later = now + 40 * MS
    outcome = api.Outcome("r1", 0, first.upstream, Result.RESET, 40 * MS, False)
    (second,) = (a for a in module.handle(later, [outcome]) if isinstance(a, api.Send))
    assert second.write_within_ns == (0 if cls is READ else cls.window_ns - 40 * MS)
