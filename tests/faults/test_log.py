"""A log that nobody reads does not block the balancer."""

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

RELOADS = 150  # one log line each: more than fits into the pipe
SET_PIPE_SIZE = 1031  # F_SETPIPE_SZ of fcntl(2)
SMALLEST_PIPE_BYTES = 4096


async def wait_until_ready(port: int) -> None:
    """Poll the readiness endpoint: the log is not read here, and its ready line is dropped if the pipe is full."""
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
        read_end, log = os.pipe()
        fcntl.fcntl(log, SET_PIPE_SIZE, SMALLEST_PIPE_BYTES)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lanemux", stderr=log, env={**os.environ, "RELAY_CONFIG": str(path)}
        )
        try:
            await wait_until_ready(port)
            for _ in range(RELOADS):
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.02)
            assert (await ask(port, request())).status == 200
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), PATIENCE_S) == 0
        finally:
            if process.returncode is None:
                process.kill()
            os.close(read_end)
            os.close(log)
        upstream.stop()

    run(test())
