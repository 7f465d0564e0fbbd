"""Starts: told signals at any moment."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tomllib
from asyncio.subprocess import PIPE, Process
from collections.abc import Awaitable, Callable
from pathlib import Path

from tests.sockets import HOST, PATIENCE_S, Registry, run, until
from tests.test_process import config

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


async def told_while_it_reads(folder: Path, told: int, second: dict[str, object],
                              then: Callable[[Process], Awaitable[None]]) -> None:
    """Start it as the deploy file says, tell it a signal while it reads its configuration, then lay `second` there."""
    path, text = folder / "config.json", json.dumps(config())
    os.mkfifo(path)
    command = DEPLOY["run"].replace(".venv/bin/python", sys.executable)
    process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", command, cwd=ROOT, stderr=PIPE, env={"PATH": "/usr/bin:/bin", "RELAY_CONFIG": str(path)})
    try:
        writing = await asyncio.to_thread(os.open, path, os.O_WRONLY)  # it has opened the other end
        process.send_signal(told)
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
    """The next line of its log that holds these words."""
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
        await told_while_it_reads(tmp_path, signal.SIGHUP, config(discovery=f"{HOST}:{registry.upstream.port}"), then)
        registry.upstream.stop()
    run(test())


def test_a_sigterm_during_the_start_ends_it_in_order(tmp_path: Path) -> None:
    async def test() -> None:
        async def then(process: Process) -> None:
            await line_with(process, b"stopping")
            assert await asyncio.wait_for(process.wait(), PATIENCE_S) == 0
        await told_while_it_reads(tmp_path, signal.SIGTERM, config(), then)
    run(test())
