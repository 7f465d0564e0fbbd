"""Parts shared by the cases: the balancer as a process, a stand-in discovery, and small HTTP helpers.

Everything runs on 127.0.0.1 and needs the standard library only. The stand-ins are written from the protocol page.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
MS = 1_000_000
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0
MAX_HEAD_BYTES = 64 * 1024
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case

Headers = dict[str, str]


def trouble() -> bool:
    """Whether the disruption is to happen (TROUBLE=0 switches it off)."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run: the exit status is 2."""


class Record:
    """The lines of record.txt, each with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._started_s

    def line(self, text: str) -> None:
        self._file.write(f"{self.now_s():9.4f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self.line(text)
        print(text, flush=True)


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


# -- settings and the balancer --------------------------------------------------------------------------


def request_class(name: str, repeat: str = "read_like", **others: Any) -> dict[str, Any]:
    """One class of requests, in the form of the settings."""
    return {
        "name": name,
        "repeat": repeat,
        "dedup_scope": "all",
        "window_ns": 5_000 * MS,
        "aim_ns": 264 * MS,
        "hard_limit_ns": 661 * MS,
        "late_worth": 0.0,
        "stream": False,
        "worth": 1.0,
    } | others


def settings(classes: list[dict[str, Any]], replicas: int = 1, **limits: Any) -> dict[str, Any]:
    """The settings of a small deployment: one zone, one tenant, pushed lists, probes."""
    return {
        "me": 0,
        "replicas_of_me": replicas,
        "tier": 0,
        "stages": ["servers"],
        "locality": "a",
        "zones": ["a"],
        "kinds": ["box"],
        "family": "proxy",
        "family_info": {"warm_keys": False},
        "clients": {"marks_retry": False},
        "counted_by": "request",
        "weight_source": "none",
        "registry_mode": "push",
        "load_report": {"columns": ["inflight", "queue"], "how": "probe"},
        "over_share_worth": 0.05,
        "tick_ns": MS,
        "goal": {"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.1},
        "limits": {
            "conn_idle_ns": 15_000 * MS,
            "connect_timeout_ns": 200 * MS,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 1_000_000,
            "max_open": 100_000,
            "max_retry_after_ns": 2_000 * MS,
            "max_streams": 100,
            "may_cancel": True,
            "peers": True,
            "probes": True,
            "retry_after": True,
            "second_copies": False,
            "send_cap": 5,
        }
        | limits,
        "prices": {
            "connection": 0.0,
            "cross_zone": 0.005,
            "handshake": 0.0,
            "late_fail": 0.08,
            "peer": 0.01,
            "probe": 0.002,
            "registry_mode": 0.0,
            "waste": 0.02,
        },
        "rules": {
            "ask_within_ns": 10_000 * MS,
            "cold_from": 0.3,
            "cold_ns": 8_000 * MS,
            "fall_multiple": 2.5,
            "grace_to_answer_ns": 5 * MS,
            "overload_for_ns": 1_500 * MS,
            "stop_sending_within_ns": 500 * MS,
        },
        "profiles": classes,
        "realms": [{"name": "desk", "share": 1.0, "quota_per_s": 1000.0}],
    }


def run_command() -> str:
    """The command named `run` in the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        command: str = tomllib.load(file)["run"]
        return command


class Balancer:
    """One balancer, started with the deploy file's command. Its log is kept in the temporary folder."""

    def __init__(self, folder: Path, discovery_port: int, wanted: dict[str, Any], sockets: int = 1024) -> None:
        self.port = free_port()
        self._folder = folder
        self._log = (folder / "balancer.log").open("wb")
        own, others = free_port(socket.SOCK_DGRAM), free_port(socket.SOCK_DGRAM)
        self.config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery_port}",
            "seed": "8d2f6b01c4e97a35",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "peer_listen": f"{HOST}:{own}",
            "peers": [f"{HOST}:{own}"],
            "peers_all": f"{HOST}:{others}",
            "settings": wanted,
        }
        self.path = folder / "config.json"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        temporary = self._folder / "tmp"
        temporary.mkdir(exist_ok=True)
        self.path.write_text(json.dumps(self.config))
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(temporary),
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": self.config["discovery"],
            "RELAY_CONFIG": str(self.path),
        }
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def log_tail(self) -> str:
        return (self._folder / "balancer.log").read_text(errors="replace")[-2000:]

    async def wait_ready(self) -> None:
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s and self.alive:
            with suppress(OSError, asyncio.IncompleteReadError, ValueError):
                status, _, _ = await get(self.port, "/health/ready")
                if status == 200:
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"the balancer was not ready in time: {self.log_tail()}")

    async def stop(self) -> None:
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGTERM)
            try:
                await asyncio.to_thread(self.process.wait, STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self._log.close()


# -- HTTP ------------------------------------------------------------------------------------------------


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """The first line and the headers of a message, names in lower case."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """The whole body; raises IncompleteReadError if the connection ends before its end."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    """A whole response with a length."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def request_bytes(class_name: str, request_id: str, deadline_ms: int, key: str = "", body: bytes = b"") -> bytes:
    """A client's request; with a key it is a POST."""
    method = "POST" if key or body else "GET"
    lines = [
        f"{method} /{class_name} HTTP/1.1",
        "Host: service.internal",
        f"Req-Id: {request_id}",
        "Req-Owner: desk",
        f"Req-Deadline-Ms: {deadline_ms}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def get(port: int, path: str) -> tuple[int, Headers, bytes]:
    """One request on a connection of its own."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        first, headers = await asyncio.wait_for(read_head(reader), 2.0)
        return int(first.split()[1]), headers, await read_body(reader, headers)
    finally:
        writer.close()


# -- discovery -------------------------------------------------------------------------------------------


class Discovery:
    """The list of upstreams, as the agent on the balancer's machine tells it (pushed lists)."""

    def __init__(self) -> None:
        self._rows: dict[str, tuple[int, dict[str, Any]]] = {}
        self._version = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, host: str, port: int, health: str = "up", born_ms: int = 0) -> None:
        self._version += 1
        row = {
            "host": host,
            "dial": f"{HOST}:{port}",
            "site": "a",
            "class": "box",
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }
        self._rows[host] = (self._version, row)
        self._changed.set()
        self._changed = asyncio.Event()

    def _listing(self, after: int | None) -> bytes:
        whole = after is None or after > self._version
        rows = [row for version, row in self._rows.values() if whole or version > (after or 0)]
        return json.dumps({"seq": self._version, "whole": whole, "hosts": rows}).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                first, _ = await read_head(reader)
                query = dict(p.partition("=")[::2] for p in first.split()[1].partition("?")[2].split("&") if p)
                after = int(query["after"]) if "after" in query else None
                if after is not None and after >= self._version:
                    with suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), int(query.get("wait_ms", "0")) / 1000)
                writer.write(answer(200, self._listing(after)))
                await writer.drain()
        writer.close()

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()


# -- running a case --------------------------------------------------------------------------------------


def run_case(folder: Path, case: Callable[[Record, Path], Any], limit_s: float = 110.0) -> None:
    """Run a case's coroutine with a temporary folder; it returns whether the rule held. Ends the process."""
    record = Record(folder / "record.txt")
    status = NOT_RUN

    async def bounded(temporary: Path) -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # whoever stops the case: its processes are ended first
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit_s):
            return bool(await case(record, temporary))

    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            status = HELD if asyncio.run(bounded(Path(temporary))) else BROKEN
        except (CannotRun, TimeoutError, OSError, asyncio.CancelledError, KeyboardInterrupt) as error:
            record.say(f"the case could not run: {type(error).__name__}: {error}")
        except Exception:
            record.say(f"the case could not run: {traceback.format_exc()}")
    result = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[status]
    record.say(f"result: {result} (exit status {status}; trouble {'on' if trouble() else 'off'})")
    sys.exit(status)
