"""Starts: signals during the start, and outdated, unusable or large lists."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tomllib
from asyncio.subprocess import PIPE, Process
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from lanemux.net.discovery import MAX_LIST_BYTES
from tests.sockets import HOST, PATIENCE_S, Registry, Upstream, answers, entry, known, request, run, until
from tests.test_process import READY, ask, config

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
MANY = 1024


async def signalled_during_read(
    folder: Path, number: int, second: dict[str, object], then: Callable[[Process], Awaitable[None]]
) -> None:
    """Start it with the deploy file's command; signal it while it reads the configuration, which `second` replaces."""
    path, text = folder / "config.json", json.dumps(config())
    os.mkfifo(path)
    command = DEPLOY["run"].replace(".venv/bin/python", sys.executable)
    process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", command, cwd=ROOT, stderr=PIPE, env={"PATH": "/usr/bin:/bin", "RELAY_CONFIG": str(path)}
    )
    try:
        writing = await asyncio.to_thread(os.open, path, os.O_WRONLY)  # blocks until the process opens it
        process.send_signal(number)
        (folder / "second").write_text(json.dumps(second))
        os.replace(folder / "second", path)
        os.write(writing, text.encode())
        os.close(writing)
        await then(process)
    finally:
        if process.returncode is None:
            process.kill()
        await process.communicate()


async def line_with(process: Process, words: bytes) -> bytes:
    """Read its log up to the next line that contains these words."""
    assert process.stderr is not None
    line = b""
    while words not in line:
        line = await asyncio.wait_for(process.stderr.readline(), PATIENCE_S)
        assert line, "it ended"
    return line


def test_a_sighup_during_the_start_moves_discovery_once_it_has_started(tmp_path: Path) -> None:
    async def test() -> None:
        registry = Registry()
        await registry.upstream.start()

        async def then(process: Process) -> None:
            await line_with(process, b"ready on port")
            await until(lambda: len(registry.calls) >= 2)

        await signalled_during_read(tmp_path, signal.SIGHUP, config(discovery=f"{HOST}:{registry.upstream.port}"), then)
        registry.upstream.stop()

    run(test())


def test_a_sigterm_during_the_start_ends_it_in_order(tmp_path: Path) -> None:
    async def test() -> None:
        async def then(process: Process) -> None:
            assert b"of processor" in await line_with(process, b"ended: ")
            assert await asyncio.wait_for(process.wait(), PATIENCE_S) == 0

        await signalled_during_read(tmp_path, signal.SIGTERM, config(), then)

    run(test())


async def started(folder: Path, settings: dict[str, object], then: Callable[[Process, int], Awaitable[None]]) -> None:
    path = folder / "config.json"
    path.write_text(json.dumps(settings))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "lanemux", stderr=PIPE, env={**os.environ, "RELAY_CONFIG": str(path)}
    )
    try:
        await then(process, int((await line_with(process, b"ready on port")).split()[-1]))
    finally:
        process.kill()
        await process.communicate()


@pytest.mark.parametrize(
    "old",
    [
        {"hosts": 3},
        {},
        [],
        7,
        "x",
        {"seq": 1, "whole": 1, "hosts": []},
        {"seq": 4, "whole": True, "hosts": []},
        {"seq": 4, "whole": True, "hosts": [7, None, {"host": "s", "dial": 3}]},
    ],
)
def test_a_known_list_that_is_no_use_costs_the_list_and_not_the_start(tmp_path: Path, old: object) -> None:
    async def test() -> None:
        upstream, registry = await Upstream(answers(200)).start(), Registry()
        await registry.upstream.start()
        registry.rows["s0"] = entry("s0", upstream.port)

        async def then(process: Process, port: int) -> None:
            await until(lambda: len(registry.calls) >= 1)
            registry.version = 5
            registry.change("s0")
            while (await ask(port, request())).status != 200:
                await asyncio.sleep(0)

        await started(tmp_path, config(known=old, discovery=f"{HOST}:{registry.upstream.port}"), then)
        registry.upstream.stop()
        upstream.stop()

    run(test())


def test_a_thousand_peers_and_known_upstreams_and_lists_up_to_the_bound_and_beyond(tmp_path: Path) -> None:
    async def test() -> None:
        upstream, registry = await Upstream(answers(200)).start(), Registry()
        others: list[Upstream] = []
        await registry.upstream.start()
        peers = [f"127.0.{4 + i // 250}.{1 + i % 250}:7946" for i in range(MANY)]
        settings = {**config()["settings"], "replicas_of_me": MANY}  # type: ignore[dict-item]

        async def then(process: Process, port: int) -> None:
            assert process.stderr is not None
            assert (await ask(port, READY)).status in (200, 503)
            assert (await ask(port, request())).status == 200
            for rows in (MANY, 2000, 4096):
                index = len(others)
                others.append(await Upstream(answers(200)).start())
                hosts = [entry(f"s{i}-{'x' * 500}", others[index].port, site="y" * 100) for i in range(rows)]
                text = json.dumps({"seq": rows, "whole": True, "hosts": hosts}, indent=4).encode()
                assert len(text) < MAX_LIST_BYTES
                registry.broken = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text)
                registry.change("any")
                while not others[index].got:  # until the listed address is used
                    assert (await ask(port, request())).status in (200, 503)
            registry.broken = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_LIST_BYTES + 1) + b" " * (
                MAX_LIST_BYTES + 1
            )
            assert b"call failed" in await line_with(process, b"discovery")
            requests_before = len(others[-1].got)
            assert (await ask(port, request())).status == 200  # the last usable list stays in effect
            assert len(others[-1].got) == requests_before + 1

        configuration = config(
            known=known(*[upstream.port] * MANY),
            peers=peers,
            peer_listen=f"{HOST}:0",
            settings=settings,
            discovery=f"{HOST}:{registry.upstream.port}",
        )
        await started(tmp_path, configuration, then)
        for server in (registry.upstream, upstream, *others):
            server.stop()

    run(test())


def test_the_log_tells_the_memory_of_the_process_and_not_that_of_its_parent(tmp_path: Path) -> None:
    """Guards against: "138.6 MiB at most" right after a start, which was what the parent had (report 730780)."""
    (tmp_path / "config.json").write_text(json.dumps(config()))
    start = "import os, sys; large = b'x' * 150_000_000; os.execv(sys.executable, [sys.executable, '-m', 'lanemux'])"
    process = subprocess.Popen(
        [sys.executable, "-c", start],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "RELAY_CONFIG": str(tmp_path / "config.json")},
    )
    assert process.stderr is not None
    line = next(line for line in process.stderr if " started: " in line)
    process.kill()
    process.communicate()
    assert float(line.partition(" MiB at most")[0].split()[-1]) < 60
