"""A log that nobody reads holds nothing up."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import os
import signal
import sys
from pathlib import Path

from tests.faults.program import free_port
from tests.sockets import HOST, PATIENCE_S, Upstream, answers, request, run
from tests.test_process import READY, ask, config

RELOADS = 150  # a line each, more than the pipe holds
SET_PIPE_SIZE = 1031  # F_SETPIPE_SZ of fcntl(2)
SMALLEST_PIPE_BYTES = 4096


async def until_ready(port: int) -> None:
    """Ask the balancer itself: its log is not read, and where the pipe is full the line that says so is left out."""
    async with asyncio.timeout(PATIENCE_S):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if (await ask(port, READY)).status == 200:
                    return
            await asyncio.sleep(0.02)


def test_a_balancer_whose_log_nobody_reads_serves_and_ends(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        port, path = free_port(), tmp_path / "config.json"
        path.write_text(json.dumps(config(upstream.port, listen=f"{HOST}:{port}")))
        unread, log = os.pipe()
        fcntl.fcntl(log, SET_PIPE_SIZE, SMALLEST_PIPE_BYTES)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lanemux", stderr=log, env={**os.environ, "RELAY_CONFIG": str(path)}
        )
        try:
            await until_ready(port)
            for _ in range(RELOADS):
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.02)
            assert (await ask(port, request())).status == 200
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), PATIENCE_S) == 0
        finally:
            if process.returncode is None:
                process.kill()
            os.close(unread)
            os.close(log)
        upstream.stop()

    run(test())
