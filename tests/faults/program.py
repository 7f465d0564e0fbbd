"""The balancer as a process of its own, with failures injected into its system calls."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from asyncio.subprocess import PIPE, Process
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from lanemux.rehearsal.injection_plan import InjectionPlan
from tests.sockets import HOST, PATIENCE_S
from tests.test_process import config


def free_port() -> int:
    """A port of HOST that is free now."""
    import socket

    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Program:
    """A running balancer; its log is read as it comes, so that it never waits for a reader."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.lines: list[str] = []
        self._reading = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.lines.append(line.decode())

    def said(self, words: str) -> list[str]:
        return [line for line in self.lines if words in line]

    async def until_said(self, words: str) -> str:
        async with asyncio.timeout(PATIENCE_S):
            while not self.said(words):
                assert not self._reading.done(), f"it ended and never said {words!r}: {self.lines}"
                await asyncio.sleep(0.005)
        return self.said(words)[0]

    async def ready(self) -> int:
        """Its port, once it serves."""
        return int((await self.until_said("ready on port")).split()[-1])

    async def ended(self) -> int:
        """Its exit status."""
        status = await asyncio.wait_for(self.process.wait(), PATIENCE_S)
        await asyncio.wait_for(self._reading, PATIENCE_S)
        return status


@asynccontextmanager
async def balancer(
    folder: Path, plan: InjectionPlan, configuration: dict[str, object] | None = None, **environment: str
) -> AsyncIterator[Program]:
    """Started, not ready yet; killed at the end unless it has ended."""
    path, injected = folder / "config.json", folder / "plan.json"
    if not path.exists():
        path.write_text(json.dumps(configuration or config()))
    injected.write_text(plan.to_json())
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lanemux.rehearsal.injection",
        str(injected),
        "lanemux",
        stderr=PIPE,
        env={**os.environ, "RELAY_CONFIG": str(path), **environment},
    )
    program = Program(process)
    try:
        yield program
    finally:
        if process.returncode is None:
            process.kill()
        await program.ended()
