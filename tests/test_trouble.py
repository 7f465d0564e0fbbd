"""The policy and the node together, over loopback sockets, with failing upstreams."""

from __future__ import annotations

import time

import pytest

from lanemux.policy import SECOND, Balancer
from tests.sockets import (
    Answer,
    Got,
    Upstream,
    Writer,
    answers,
    breaks,
    node,
    request,
    run,
    settings,
    silent,
    until,
    written,
)

UPSTREAMS = 4


def breaks_every(nth: int) -> Answer:
    """Resets the connection of the second request and of every `nth` one after it."""
    count = 0

    async def answer(got: Got, writer: Writer) -> None:
        nonlocal count
        count += 1
        if count % nth == 2 % nth:
            writer.transport.abort()
        else:
            writer.write(written(200))

    return answer


def in_backoff(balancer: Balancer) -> int:
    return sum(s.backoff_until_ns > time.monotonic_ns() for s in balancer.fleet.servers.values())


def test_resets_at_all_upstreams_cause_no_backoff() -> None:
    # Guards against a bad network, whose resets hit all upstreams, taking most of a healthy fleet out of use.
    async def test() -> None:
        upstreams = [await Upstream(breaks_every(4)).start() for _ in range(UPSTREAMS)]
        balancer = Balancer(settings(), 1, time.monotonic_ns())
        most = 0
        async with node(balancer, *upstreams) as client:
            for _ in range(60):
                assert (await client.ask(request())).status == 200  # safe to repeat: sent again at once
                most = max(most, in_backoff(balancer))
        assert sum(len(u.got) for u in upstreams) >= 70  # 10 or more were reset
        assert most <= 1  # the very first reset has no others to be compared with

    run(test())


def test_one_upstream_that_resets_everything_is_backed_off_from_at_once() -> None:
    async def test() -> None:
        sound = [await Upstream(answers(200)).start() for _ in range(UPSTREAMS - 1)]
        upstreams = [await Upstream(breaks).start(), *sound]
        async with node(Balancer(settings(), 1, time.monotonic_ns()), *upstreams) as client:
            for _ in range(30):
                assert (await client.ask(request())).status == 200
        assert len(upstreams[0].got) <= 2

    run(test())


def test_a_reset_probe_is_repeated_once(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against each reset probe costing a request the whole probe timeout.
    async def test() -> None:
        looks = 0

        async def answer(got: Got, writer: Writer) -> None:
            nonlocal looks
            looks += got.first.startswith("GET /stats")
            broken = got.first.startswith("GET /stats") and looks % 2 == 1
            await (breaks if broken else answers(200, b'{"inflight":0}'))(got, writer)

        monkeypatch.setattr("lanemux.policy.PROBE_WAIT_NS", 4 * SECOND)
        monkeypatch.setattr("lanemux.net.probes.PROBE_TIMEOUT_S", 4.0)
        upstream = await Upstream(answer).start()
        async with node(Balancer(settings(probes=True), 1, time.monotonic_ns()), upstream) as client:
            begun = time.monotonic_ns()
            assert (await client.ask(request())).status == 200
            assert looks == 2 and time.monotonic_ns() - begun < 2 * SECOND

    run(test())


def test_a_far_too_heavy_request_does_not_block_its_upstream(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a few very heavy requests causing a long backoff from upstream after upstream.
    async def test() -> None:
        monkeypatch.setattr("lanemux.policy.STALL_NS", 60 * SECOND)  # so that a slow test machine makes no difference
        upstream = await Upstream(silent).start()
        balancer = Balancer(settings(), 1, time.monotonic_ns())
        async with node(balancer, upstream) as client:
            got = await client.ask(request("/read", "Req-Cost: 60000000", deadline_ms=500))  # a minute
            assert got.status in (503, 504) and len(upstream.got) == 1
            server = next(iter(balancer.fleet.servers.values()))
            await until(lambda: server.failure_streak)
            assert server.backoff_until_ns - time.monotonic_ns() < 1.25 * balancer.shortest_aim_ns

    run(test())


def test_a_stall_of_the_balancer_is_not_blamed_on_upstreams() -> None:
    # Guards against a process that was stopped, for example with its CPU quota used up, taking all upstreams for
    # dead when it continues.
    async def test() -> None:
        upstreams = [await Upstream(silent).start() for _ in range(UPSTREAMS)]
        balancer = Balancer(settings(), 1, time.monotonic_ns())
        async with node(balancer, *upstreams) as client:
            clients = [client.another() for _ in range(UPSTREAMS)]
            for c in clients:
                await c.send(request(deadline_ms=500))
            await until(lambda: sum(len(u.got) for u in upstreams) == UPSTREAMS)
            each = balancer.load_model.per_request_ns
            time.sleep(0.7)  # stalls the whole event loop
            for c in clients:
                assert (await c.read()).status in (503, 504)
                c.close()
            assert in_backoff(balancer) == 0 and not sum(balancer.rate.failures.values())
            assert balancer.load_model.per_request_ns == each

    run(test())
