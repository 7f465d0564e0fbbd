"""A start during which system calls fail succeeds later; repeated signals still end a process cleanly."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from lanemux.rehearsal.injection_plan import InjectionPlan, Window
from tests.faults.program import balancer, free_port
from tests.sockets import HOST, PATIENCE_S, Registry, Upstream, answers, request, run, until
from tests.test_process import ask, config

FAILURE_S = 0.8  # a start opens its sockets after about 0.2 s


async def run_and_stop(folder: Path, plan: InjectionPlan, *upstreams: int) -> list[str]:
    """Start a balancer, send it a request and stop it; expects exit status 0 and returns its log."""
    async with balancer(folder, plan, config(*upstreams)) as program:
        port = await program.wait_until_ready()
        if upstreams:
            assert (await ask(port, request())).status == 200
        program.process.send_signal(signal.SIGTERM)
        assert await program.wait_for_exit() == 0
        return program.lines


@pytest.mark.parametrize(
    ("call", "error"),
    [
        ("socket", "ENOBUFS"),
        ("socket", "EMFILE"),
        ("socket", "ENFILE"),
        ("socket", "ENOMEM"),
        ("bind", "EADDRINUSE"),
        ("bind", "EADDRNOTAVAIL"),
        ("listen", "EADDRINUSE"),
    ],
)
def test_a_start_whose_sockets_cannot_be_opened_for_a_while_succeeds(tmp_path: Path, call: str, error: str) -> None:
    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        lines = await run_and_stop(tmp_path, InjectionPlan(windows=[Window(call, error, FAILURE_S)]), upstream.port)
        assert sum("is tried again" in line for line in lines) >= 1
        assert len(lines) < 20  # each kind of failure is logged once, not at every try
        upstream.stop()

    run(test())


def test_a_start_succeeds_when_another_socket_releases_its_address(tmp_path: Path) -> None:
    async def test() -> None:
        with socket.socket() as holder:
            holder.bind((HOST, 0))
            holder.listen()
            port = holder.getsockname()[1]
            async with balancer(tmp_path, InjectionPlan(), config(listen=f"{HOST}:{port}")) as program:
                await program.wait_for_line("is tried again")
                holder.close()
                assert await program.wait_until_ready() == port

    run(test())


@pytest.mark.parametrize("end_signal", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("call", ["socket", "bind"])
def test_a_start_that_waits_for_its_sockets_can_be_ended(tmp_path: Path, end_signal: signal.Signals, call: str) -> None:
    async def test() -> None:
        plan = InjectionPlan(windows=[Window(call, "ENOBUFS", 10 * PATIENCE_S)])
        async with balancer(tmp_path, plan, config()) as program:
            await program.wait_for_line("is tried again")
            program.process.send_signal(signal.SIGHUP)
            program.process.send_signal(end_signal)
            assert await program.wait_for_exit() == 0

    run(test())


@pytest.mark.parametrize("setting", ["peer_listen", "admin_addr"])
def test_an_optional_address_that_is_in_use_does_not_delay_service(tmp_path: Path, setting: str) -> None:
    async def test() -> None:
        upstream = await Upstream(answers(200)).start()
        kind = socket.SOCK_DGRAM if setting == "peer_listen" else socket.SOCK_STREAM
        with socket.socket(type=kind) as holder:
            holder.bind((HOST, 0))
            if kind == socket.SOCK_STREAM:
                holder.listen()
            configuration = config(upstream.port, **{setting: f"{HOST}:{holder.getsockname()[1]}"})
            async with balancer(tmp_path, InjectionPlan(), configuration) as program:
                port = await program.wait_until_ready()
                assert (await ask(port, request())).status == 200
                await program.wait_for_line("is tried again")
                holder.close()
                await program.wait_for_line("is there now")
                program.process.send_signal(signal.SIGTERM)
                assert await program.wait_for_exit() == 0
        upstream.stop()

    run(test())


@pytest.mark.parametrize("pause_s", [0.0, 0.3, 0.56])
def test_repeated_signals_end_a_process_cleanly(tmp_path: Path, pause_s: float) -> None:
    async def test() -> None:
        async with balancer(tmp_path, InjectionPlan()) as program:
            await program.wait_until_ready()
            program.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(pause_s)
            while program.process.returncode is None:
                for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
                    try:
                        # Not `send_signal`: it may reap the process, and the waiting task then reports exit status 255.
                        os.kill(program.process.pid, number)
                    except ProcessLookupError:
                        break
                await asyncio.sleep(0.001)
            assert await program.wait_for_exit() == 0

    run(test())


@pytest.mark.parametrize("error", ["EIO", "EMFILE", "EINTR"])
def test_a_configuration_that_cannot_be_read_for_a_while_is_read_later(tmp_path: Path, error: str) -> None:
    async def test() -> None:
        await run_and_stop(tmp_path, InjectionPlan(windows=[Window("read_file", error, FAILURE_S)]))

    run(test())


def test_a_partly_written_configuration_is_read_once_it_is_complete(tmp_path: Path) -> None:
    async def test() -> None:
        text, path = json.dumps(config()), tmp_path / "config.json"
        path.write_text(text[: len(text) // 2])
        async with balancer(tmp_path, InjectionPlan()) as program:
            await asyncio.sleep(FAILURE_S)
            path.write_text(text)
            await program.wait_until_ready()

    run(test())


def test_a_reload_whose_file_cannot_be_read_for_a_while_is_done_later(tmp_path: Path) -> None:
    async def test() -> None:
        registry = Registry()
        await registry.upstream.start()
        plan = InjectionPlan(windows=[Window("read_file", "EIO", from_s=FAILURE_S, until_s=3 * FAILURE_S)])
        async with balancer(tmp_path, plan) as program:
            await program.wait_until_ready()
            await asyncio.sleep(FAILURE_S)
            (tmp_path / "config.json").write_text(json.dumps(config(discovery=f"{HOST}:{registry.upstream.port}")))
            program.process.send_signal(signal.SIGHUP)
            await until(lambda: registry.calls)
        registry.upstream.stop()

    run(test())


def test_an_address_without_the_privilege_for_it_ends_a_start_with_status_2(tmp_path: Path) -> None:
    async def test() -> None:
        plan = InjectionPlan(windows=[Window("bind", "EACCES", 10 * PATIENCE_S)])
        async with balancer(tmp_path, plan, config(listen=f"{HOST}:{free_port()}")) as program:
            assert await program.wait_for_exit() == 2
            lines = [line for line in program.lines if " INFO " not in line]
            assert lines == ["lanemux: n0: listening socket: [Errno 13] EACCES\n"]

    run(test())


def test_a_sigterm_while_the_program_is_still_being_loaded_ends_it_cleanly(tmp_path: Path) -> None:
    """Loading takes 0.2 s. A signal in that time used to end the process by its default action."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config()))
    program = (
        "import builtins, os, signal\n"
        "plain = builtins.__import__\n"
        "def told(name, *more, **options):\n"
        "    if name == 'lanemux.net.daemon':\n"
        "        os.kill(os.getpid(), signal.SIGTERM)\n"
        "    return plain(name, *more, **options)\n"
        "builtins.__import__ = told\n"
        "from lanemux.__main__ import run\n"
        "run()\n"
    )
    for arguments in ([], ["serve"]):
        ended = subprocess.run(
            [sys.executable, "-c", program, *arguments],
            env={**os.environ, "RELAY_CONFIG": str(path)},
            capture_output=True,
            timeout=PATIENCE_S,
            check=False,
        )
        assert ended.returncode == 0, ended.stderr
