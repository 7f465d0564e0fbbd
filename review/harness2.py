"""Stand-ins and helpers of the cases 6 to 10: balancers as processes, discovery, upstreams, clients and a record.

It imports nothing of the project. Each stand-in follows the users' protocol page, and nothing else is assumed of them.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_S = 25.0  # the platform allows 30 s
Json = dict[str, Any]


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """record.txt: a line for each thing that clients, servers or the platform saw."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:9.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        self(text)
        print(text)


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port that was free a moment ago."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def row(host: str, port: int, **more: object) -> Json:
    """A row of discovery's list."""
    return {
        "host": host,
        "dial": f"{HOST}:{port}",
        "site": "a",
        "class": "box",
        "block": 0,
        "health": "up",
        "share": 1.0,
        "born_ms": 0,
        **more,
    }


def settings(**more: object) -> Json:
    """Settings of a small deployment, in the form of the wire page."""
    base: Json = {
        "me": 0,
        "replicas_of_me": 1,
        "locality": "a",
        "zones": ["a"],
        "kinds": ["box"],
        "registry_mode": "push",
        "profiles": [profile("read")],
        "realms": [{"name": "desk", "share": 1.0, "quota_per_s": 1000.0}],
        "limits": {
            "conn_idle_ns": 15_000_000_000,
            "connect_timeout_ns": 200_000_000,
            "send_cap": 5,
            "retry_after": True,
            "may_cancel": True,
            "max_retry_after_ns": 2_000_000_000,
            "max_streams": 1,
        },
        "rules": {
            "ask_within_ns": 10_000_000_000,
            "cold_from": 0.31,
            "cold_ns": 8_700_000_000,
            "fall_multiple": 2.5,
            "grace_to_answer_ns": 5_000_000,
            "overload_for_ns": 1_500_000_000,
            "stop_sending_within_ns": 500_000_000,
        },
    }
    return {**base, **more}


def profile(name: str, repeat: str = "read_like", limit_ms: int = 661, aim_ms: int = 264) -> Json:
    """A class of requests."""
    return {
        "name": name,
        "repeat": repeat,
        "dedup_scope": "all",
        "aim_ns": aim_ms * 1_000_000,
        "hard_limit_ns": limit_ms * 1_000_000,
        "late_worth": 0.0,
        "worth": 1.0,
        "stream": False,
        "window_ns": 5_000_000_000,
    }


class Message:
    """A received HTTP message."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self) -> int:
        return int(self.first.split()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line and the headers, names in lower case."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.lower(): value.strip() for name, _, value in pairs}


async def read_message(reader: asyncio.StreamReader) -> Message:
    """A message with a Content-Length, or with none and no body."""
    first, headers = await read_head(reader)
    return Message(first, headers, await reader.readexactly(int(headers.get("content-length", 0))))


class Balancer:
    """One balancer, started by `run` of the deploy file from the repository's root."""

    def __init__(
        self,
        name: str,
        folder: Path,
        config: Json,
        operators: str = "",
        variables: dict[str, str] | None = None,
        descriptors: tuple[int, ...] = (),
    ) -> None:
        """`descriptors`: those that the process inherits."""
        self.name, self.folder, self.config, self.operators = name, folder, config, operators
        self.variables, self.descriptors = variables or {}, descriptors
        self.process: asyncio.subprocess.Process | None = None
        self.config_path = folder / f"{name}.json"
        self.host, port = config["listen"].split(":")
        self.port = int(port)

    def write_config(self) -> None:
        """Replace the configuration as a whole."""
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(self.config_path)

    async def start(self) -> None:
        """Start the process; it is not ready yet."""
        self.write_config()
        temporary = self.variables.get("TMPDIR") or tempfile.mkdtemp(dir=self.folder)
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": self.config["discovery"],
            "RELAY_CONFIG": str(self.config_path),
            "TMPDIR": temporary,
            **self.variables,
        }
        if self.operators:
            path = self.folder / f"{self.name}.toml"
            path.write_text(self.operators)
            env["LANEMUX_OPERATORS"] = str(path)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            pass_fds=self.descriptors,
            start_new_session=True,
        )
        log.close()

    async def ready(self, url: str = "/health/ready", port: int = 0) -> None:
        """Wait until it says that it is ready."""
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            if self.process is None or self.process.returncode is not None:
                raise NotRunError(f"{self.name} ended during its start; see {self.log_text()[-400:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError, TimeoutError):
                answer = await get(self.host, port or self.port, url, 1.0)
                if answer.status == 200:
                    return
            await asyncio.sleep(0.05)
        raise NotRunError(f"{self.name} was not ready within {START_S} s")

    def log_text(self) -> str:
        """What it has written to its log so far."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def signal(self, number: int) -> None:
        """Send the program that `run` started a signal."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def terminate(self, kill_after_s: float = 4.0) -> None:
        """A planned restart's end: SIGTERM, and SIGKILL after the longest deadline and 0.7 s."""
        assert self.process is not None
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), kill_after_s)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def kill(self) -> None:
        """End it at once."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


async def get(host: str, port: int, path: str, patience_s: float) -> Message:
    """One call on a connection of its own."""
    async with asyncio.timeout(patience_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            return await read_message(reader)
        finally:
            writer.close()


Answer = Callable[["Upstream", Message, asyncio.StreamWriter], Awaitable[None]]


async def answer_ok(upstream: Upstream, request: Message, writer: asyncio.StreamWriter) -> None:
    """A 200 that names its request."""
    body = f"answer of {upstream.name} to {request.headers['req-id']}".encode()
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class Upstream:
    """A stand-in upstream: it runs each request whose last byte has come, and records the time of its first byte."""

    def __init__(self, name: str, record: Record, answer: Answer = answer_ok) -> None:
        self.name, self.record, self.answer = name, record, answer
        self.port = 0
        self.began: list[tuple[float, str]] = []  # first byte's time and id of each request
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Upstream:
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while first := await reader.read(1):
                began = time.monotonic()
                head, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                request = Message((first + head.encode()).decode(), headers, body)
                path = request.first.split()[1]
                if path.startswith("/health/") or path.startswith("/stats"):
                    writer.write(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
                    continue
                if "req-id" not in headers:
                    writer.write(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.began.append((began, headers["req-id"]))
                self.record(f"run {headers['req-id']} at {self.name}")
                await self.answer(self, request, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()


class Discovery:
    """A stand-in discovery, or an agent of a pushing one: the whole list, and watches that tell changes at once."""

    def __init__(self, record: Record, rows: list[Json], seq: int = 1) -> None:
        self.record = record
        self.rows = {str(entry["host"]): entry for entry in rows}
        self.seq = seq
        self.delay_s = 0.0  # time that an answer takes once there is something to tell
        self.port = 0
        self.calls = self.whole_answers = 0
        self._changed_at: dict[str, int] = {}  # host -> the version that changed it
        self._oldest = seq  # changes before this version are not known any more
        self._up = True
        self._wake = asyncio.Event()  # set, and replaced, at each change
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Discovery:
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def change(self, host: str, **more: object) -> None:
        """Change one row; open watches are told at once."""
        self.seq += 1
        self.rows[host] = {**self.rows[host], **more}
        self._changed_at[host] = self.seq
        self.record(f"discovery: {host} is now {more}, version {self.seq}")
        self._wake_all()

    def _wake_all(self) -> None:
        woken, self._wake = self._wake, asyncio.Event()
        woken.set()

    def go_down(self) -> None:
        """From now on it is silent: calls are not answered, and open ones neither."""
        self._up = False

    def come_back(self) -> None:
        """Calls that still wait are answered at once."""
        self._up = True
        self._wake_all()

    def close(self) -> None:
        """Take no new connection."""
        if self._server is not None:
            self._server.close()

    def drop(self) -> None:
        """Close the open connections."""
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                call = await read_message(reader)
                self.calls += 1
                answer = asyncio.ensure_future(self._answer(call.first.split()[1]))
                gone = asyncio.ensure_future(reader.read(1))  # a caller that closes its connection has given up
                await asyncio.wait((answer, gone), return_when=asyncio.FIRST_COMPLETED)
                if not answer.done() or gone.done():
                    answer.cancel()
                    gone.cancel()
                    return
                gone.cancel()
                await asyncio.wait((gone,))
                body = answer.result()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, target: str) -> bytes:
        query = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&"))
        after = int(query["after"]) if "after" in query else None
        end = time.monotonic() + min(60_000, int(query.get("wait_ms", 0))) / 1000
        while not self._up or (after == self.seq and time.monotonic() < end):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, end - time.monotonic()) if self._up else None):
                    await self._wake.wait()
        await asyncio.sleep(self.delay_s)
        whole = after is None or after < self._oldest or after > self.seq
        rows = [r for h, r in self.rows.items() if whole or self._changed_at.get(h, 0) > (after or 0)]
        if whole:
            self.whole_answers += 1
            rows = [r for r in rows if r["health"] != "removed"]
        return json.dumps({"seq": self.seq, "whole": whole, "hosts": rows}).encode()


async def ask(
    host: str, port: int, path: str, number: str, deadline_ms: int, method: str = "GET", extra: str = ""
) -> Message:
    """One request of a client on a new connection; it waits for the answer until its time is up and a little more."""
    async with asyncio.timeout(deadline_ms / 1000 + 1.0):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            length = "" if method == "GET" else "Content-Length: 0\r\n"
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: service\r\nReq-Id: {number}\r\nReq-Owner: desk\r\n"
                f"Req-Deadline-Ms: {deadline_ms}\r\n{length}{extra}\r\n".encode()
            )
            return await read_message(reader)
        finally:
            writer.close()


def run_case(case: Callable[[Path, Record], Awaitable[int]], folder: Path, limit_s: float = 115.0) -> None:
    """Run a case in a temporary folder and exit with its verdict; all processes that it started are ended."""
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))

    async def whole() -> int:
        loop = asyncio.get_running_loop()
        task = asyncio.ensure_future(case(temporary, record))
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(task, limit_s)

    try:
        verdict = asyncio.run(whole())
    except NotRunError as error:
        record.say(f"could not run: {error}")
        verdict = NOT_RUN
    except (Exception, asyncio.CancelledError) as error:  # whatever fails in the test itself accuses nobody
        record.say(f"could not run: {error!r}")
        verdict = NOT_RUN
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    record.say({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "not run"}[verdict])
    sys.exit(verdict)
