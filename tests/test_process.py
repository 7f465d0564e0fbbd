"""The program as a process: configuration, signals, and a low descriptor limit."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
from asyncio.subprocess import PIPE, Process
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from lanemux.net.daemon import MAX_READINESS_DELAY_S, THROTTLE_LAG_S, readiness_delay_s
from tests.sockets import (
    HOST,
    PATIENCE_S,
    Got,
    Registry,
    Upstream,
    answers,
    known,
    read,
    request,
    run,
    until,
    written,
)

READY = b"GET /health/ready HTTP/1.1\r\n\r\n"
SETTINGS: dict[str, object] = {
    "profiles": [{"name": "read", "repeat": "read_like", "aim_ns": 3_000_000_000}],
    "limits": {"send_cap": 2, "retry_after": True},
}


def config(*upstreams: int, **changes: object) -> dict[str, object]:
    return {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": f"{HOST}:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 1024},
        "known": known(*upstreams),
        "settings": SETTINGS,
        **changes,
    }


@asynccontextmanager
async def program(
    folder: Path,
    *upstreams: int,
    descriptors: int = 1024,
    operators: Path | None = None,
    settings: Mapping[str, object] = SETTINGS,
    **limits: float,
) -> AsyncIterator[tuple[Process, int]]:
    """Run the program; yields the process and its port."""
    path = folder / "config.json"
    path.write_text(json.dumps(config(*upstreams, limits={"sockets": 1024, **limits}, settings=settings)))

    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lanemux",
        stderr=PIPE,
        preexec_fn=limit,
        env={**os.environ, "RELAY_CONFIG": str(path), "LANEMUX_OPERATORS": str(operators or "")},
    )
    assert process.stderr is not None
    try:
        line = b""
        while b"ready on port" not in line:
            line = await asyncio.wait_for(process.stderr.readline(), PATIENCE_S)
            assert line, "it ended before it was ready"
        yield process, int(line.split()[-1])
    finally:
        if process.returncode is None:
            process.kill()
        await process.communicate()


async def ask(port: int, data: bytes) -> Got:
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    got = await asyncio.wait_for(read(reader), PATIENCE_S)
    writer.close()
    return got


def test_why_it_refuses_is_told_once_a_second_at_the_level_for_it(tmp_path: Path) -> None:
    async def test() -> None:
        (tmp_path / "operators.toml").write_text('[log]\nlevel = "debug"\n')
        async with program(tmp_path, operators=tmp_path / "operators.toml") as (process, port):
            refused = await ask(port, request("/read/1", deadline_ms=100))  # no upstream is known
            assert refused.status == 503 and process.stderr is not None
            figures: dict[str, Any] = {}
            while not figures.get("refused"):
                line = await asyncio.wait_for(process.stderr.readline(), PATIENCE_S)
                if b" standing " in line:
                    figures = json.loads(line.partition(b" standing ")[2])
            assert figures["refused"] == {"waited": 1} and figures["rate"] > 0

    run(test())


def test_sigterm_answers_what_was_taken_and_what_still_comes(tmp_path: Path) -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def answer(got: Got, writer: asyncio.StreamWriter) -> None:
            if "/slow" in got.first:
                await release.wait()
            writer.write(written(200, b"done"))

        upstream, second = await Upstream(answer).start(), await Upstream(answer).start()
        async with program(tmp_path, upstream.port, second.port) as (process, port):
            assert (await ask(port, READY)).status == 200
            idle_reader, idle_writer = await asyncio.open_connection(HOST, port)
            idle_writer.write(READY)
            assert (await read(idle_reader)).status == 200
            slow = asyncio.create_task(ask(port, request("/read/slow", deadline_ms=3000)))
            await until(lambda: upstream.got or second.got)
            process.send_signal(signal.SIGTERM)
            while (await ask(port, READY)).status != 503:  # until the signal is handled
                pass
            late = await ask(port, request("/read/late"))
            assert (late.status, late.headers["connection"]) == (200, "close")
            assert await asyncio.wait_for(idle_reader.read(), PATIENCE_S) == b""
            assert not slow.done() and process.returncode is None
            release.set()
            assert (await slow).body == b"done"
            assert await asyncio.wait_for(process.wait(), PATIENCE_S) == 0
            idle_writer.close()
        upstream.stop()
        second.stop()

    run(test())


def test_ready_is_told_when_the_start_is_paid_for(tmp_path: Path) -> None:
    # Guards against clients that wait while a process which used up its processor quota by starting is throttled.
    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        async with program(tmp_path, upstream.port, cores=0.001) as (process, port):
            while (got := await ask(port, READY)).status != 200:
                assert got.status == 503
                assert (await ask(port, request())).status == 200  # it serves requests before it is ready
        upstream.stop()

    run(test())


@pytest.mark.parametrize(
    ("cores", "spent_s", "delay_s"),
    [(0.0, 0.1, 0.0), (0.5, 0.1, 0.2 + THROTTLE_LAG_S), (0.01, 0.1, MAX_READINESS_DELAY_S)],
)
def test_the_rest_pays_for_the_start(cores: float, spent_s: float, delay_s: float) -> None:
    assert readiness_delay_s(cores, spent_s) == pytest.approx(delay_s)


def test_sighup_moves_discovery_and_survives_a_bad_file(tmp_path: Path) -> None:
    async def test() -> None:
        registries = [Registry(), Registry()]
        for registry in registries:
            await registry.upstream.start()
        upstream = await Upstream(answers(200)).start()
        path = tmp_path / "config.json"
        async with program(tmp_path, upstream.port) as (process, port):
            for text in ("{", "[" * 100_000, json.dumps(config(listen=3))):
                path.write_text(text)
                process.send_signal(signal.SIGHUP)
                line = b""
                while b"the old configuration stays" not in line:
                    assert process.stderr is not None
                    line = await asyncio.wait_for(process.stderr.readline(), PATIENCE_S)
                    assert line, "it ended"
            assert (await ask(port, request())).status == 200
            for registry in registries:
                path.write_text(json.dumps(config(discovery=f"{HOST}:{registry.upstream.port}")))
                process.send_signal(signal.SIGHUP)
                await until(lambda r=registry: len(r.calls) >= 2)  # type: ignore[misc]
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)  # also while draining
            assert await asyncio.wait_for(process.wait(), PATIENCE_S) == 0
        for server in (upstream, *(r.upstream for r in registries)):
            server.stop()

    run(test())


def test_too_few_descriptors_are_survived(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        async with program(tmp_path, upstream.port, descriptors=24) as (process, port):
            idle = [await asyncio.open_connection(HOST, port) for _ in range(40)]
            assert (await ask(port, READY)).status == 200
            for _, writer in idle:
                writer.close()
            answered = [(await ask(port, request())).status for _ in range(3)]
            assert answered == [200] * 3 and process.returncode is None
        upstream.stop()

    run(test())


@pytest.mark.parametrize(
    ("text", "says"),
    [
        (None, "No such file"),
        ("{", "Expecting"),
        ("[]", ""),
        ("{}", "'name' is missing"),
        (json.dumps(config(1, listen="nowhere")), "no address"),
        (json.dumps(config(1, settings=3)), ""),
    ],
)
def test_a_bad_configuration_is_one_plain_line(tmp_path: Path, text: str | None, says: str) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "lanemux"],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
        env={**os.environ, "RELAY_CONFIG": str(path)},
    )
    assert done.returncode == 2 and says in done.stderr and done.stderr.count("\n") == 1


def test_no_configuration_is_told() -> None:
    env = {k: v for k, v in os.environ.items() if k != "RELAY_CONFIG"}
    done = subprocess.run(
        [sys.executable, "-m", "lanemux"], capture_output=True, text=True, check=False, timeout=60, env=env
    )
    assert done.returncode == 2 and done.stderr == "lanemux: RELAY_CONFIG is not set\n"
