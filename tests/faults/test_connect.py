"""Failures of local calls in service are not attributed to upstreams and cost no client its answer."""

from __future__ import annotations

import asyncio
import errno
import signal
import socket
import time
from pathlib import Path
from typing import Any

import pytest

from lanemux import interface as api
from lanemux.rehearsal.injection_plan import InjectionPlan, Window
from tests.faults.modules import sends_once
from tests.faults.program import balancer
from tests.sockets import MS, Upstream, answers, node, request, run, until
from tests.test_process import ask, config

FAILURE_S = 0.3
LOCAL_ERRORS = ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EADDRNOTAVAIL"]


def connect_fails(monkeypatch: pytest.MonkeyPatch, port: int, error: str, for_s: float) -> list[float]:
    """Make connects to `port` fail immediately for `for_s` seconds; returns the times of the failures."""
    number, original_connect, end_s, failed = (
        getattr(errno, error),
        socket.socket.connect,
        time.monotonic() + for_s,
        list[float](),
    )

    def connect(self: socket.socket, address: Any) -> None:
        if address[1] == port and time.monotonic() < end_s:
            failed.append(time.monotonic())
            raise OSError(number, error)
        original_connect(self, address)

    monkeypatch.setattr(socket.socket, "connect", connect)
    return failed


@pytest.mark.parametrize("error", [*LOCAL_ERRORS, "ENETUNREACH"])
def test_a_connect_that_fails_locally_for_a_moment_is_not_a_failure_of_the_upstream(
    monkeypatch: pytest.MonkeyPatch, error: str
) -> None:
    async def test() -> None:
        upstream, script = await Upstream(answers(200)).start(), sends_once()
        async with node(script, upstream) as client:
            failed = connect_fails(monkeypatch, upstream.port, error, FAILURE_S)
            assert (await client.ask(request())).status == 200
            assert [outcome.result for outcome in script.of(api.Outcome)] == [api.Result.OK]
            assert 1 <= len(failed) < 60  # it pauses between tries
            assert sum(client.node.tally.failed_calls["connection to an upstream"].values()) == len(failed)

    run(test())


@pytest.mark.parametrize("error", LOCAL_ERRORS)
def test_an_attempt_that_never_left_this_machine_is_reported_as_not_sent(
    monkeypatch: pytest.MonkeyPatch, error: str
) -> None:
    async def test() -> None:
        upstream, script = await Upstream(answers(200)).start(), sends_once(100 * MS)
        async with node(script, upstream, connect_timeout_ns=50 * MS) as client:
            connect_fails(monkeypatch, upstream.port, error, FAILURE_S)
            assert (await client.ask(request())).status == 503
            assert [outcome.result for outcome in script.of(api.Outcome)] == [api.Result.NOT_SENT]

    run(test())


def test_service_resumes_after_three_seconds_without_free_descriptors(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        no_descriptors = [Window(call, "EMFILE", from_s=1.0, until_s=4.0) for call in ("socket", "accept")]
        async with balancer(tmp_path, InjectionPlan(windows=no_descriptors), config(upstream.port)) as program:
            port = await program.wait_until_ready()
            started = time.monotonic()
            statuses = []
            while time.monotonic() < started + 4.0:
                statuses.append((await ask(port, request(deadline_ms=3000))).status)
                await asyncio.sleep(0.02)
            assert statuses[-1] == 200 and set(statuses) <= {200, 503}
            program.process.send_signal(signal.SIGTERM)
            assert await program.wait_for_exit() == 0
        upstream.stop()

    run(test())


def test_short_reads_and_writes_and_delays_change_no_request(tmp_path: Path) -> None:
    async def test() -> None:
        body = bytes(range(256)) * 40
        upstream = await Upstream(answers(200, body)).start()
        plan = InjectionPlan(seed=7, short_share=0.5, hold_up_share=0.02, accept_share=0.3, connect_share=0.3)
        async with balancer(tmp_path, plan, config(upstream.port)) as program:
            port = await program.wait_until_ready()
            for i in range(12):
                got = await ask(port, request(f"/read/{i}?q=1", "Req-Owner: acme", name=f"{i:016x}"))
                assert got.status == 200 and got.body == body
            assert sorted(got.headers["req-id"] for got in upstream.got) == [f"{i:016x}" for i in range(12)]
            await until(lambda: upstream.got)
        upstream.stop()

    run(test())
