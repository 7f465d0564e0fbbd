"""One run of a balancer process, from start to exit, against stub servers whose calls are not made to fail."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import subprocess
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from lanemux.rehearsal.balancers import cpu_steal_s, cpu_wait_ns
from lanemux.rehearsal.calls import tcp_table
from lanemux.rehearsal.calls.library import CallCounts, environment, read_counts
from lanemux.rehearsal.calls.process_state import describe_process, is_runnable
from lanemux.rehearsal.calls.rules import Rule
from lanemux.rehearsal.framing import Message, MessageParser, Unreadable
from lanemux.rehearsal.loop_timing import LoopLagLog
from lanemux.rehearsal.plan import SECOND
from lanemux.rehearsal.validity import MAX_LATE_NS, MAX_WAITED_SHARE

READY_TIMEOUT_S = 10.0  # the operators' acceptance limit for a restarted balancer
DEADLINE_MS = 800
ANSWER_TIMEOUT_S = DEADLINE_MS / 1000 + 0.5  # a final answer may be 0.5 s late
EXIT_TIMEOUT_S = 4.5  # after SIGTERM; the balancer abandons open requests before that
NEW_CONNECTIONS_S = 0.3  # how long clients go on connecting after SIGTERM
POLL_INTERVAL_S = 0.02
CPU_WAIT_SETTLE_S = 2.0  # how long to let a wait for a processor end that is in progress when a fault is recorded
BALANCER_PORT = 3000
NO_ANSWER = "no answer"
MAX_LOG_LINES = 40  # last log lines kept of a run that failed or could not be judged
READ_BYTES = 64 * 1024
_request_ids = itertools.count(1)


@dataclass
class LifecycleResult:
    """The result of one run."""

    rules: list[str]
    faults: list[str] = field(default_factory=list)  # what went wrong; empty for a run that passed
    not_valid: str = ""  # why the run can't be judged: a stub server or this machine failed
    held_up: list[str] = field(default_factory=list)  # why earlier tries of the same run could not be judged
    status: int | None = None
    ready_s: float = 0.0
    answered: dict[int, int] = field(default_factory=dict)  # number of answers by status
    counts: dict[str, CallCounts] = field(default_factory=dict)
    log: list[str] = field(default_factory=list)

    def record_fault(self, fault: str, delays: HostDelays | None = None) -> None:
        """Record a failure, or mark the run as not valid if the host's delays may have caused it."""
        text = f"{fault} ({delays})" if delays is not None else fault
        if delays is not None and delays.over_limit:
            self.not_valid = text
        else:
            self.faults.append(text)

    @property
    def has_faults(self) -> bool:
        """Whether something went wrong that the host's delays don't explain."""
        return bool(self.faults)

    @property
    def failed_calls(self) -> int:
        return sum(counts.failed for counts in self.counts.values())


@dataclass(frozen=True)
class HostDelays:
    """How long this machine delayed the harness and the balancer in a span of time."""

    harness_late_s: float
    balancer_cpu_wait_s: float  # runnable, but without a processor
    stolen_s: float  # steal time taken by the hypervisor, the mean of the processors
    span_s: float = 1.0

    @property
    def over_limit(self) -> bool:
        """Whether a failure in the span can't be attributed to the balancer. The limits are those of rehearsals."""
        limit_s = MAX_WAITED_SHARE * max(1.0, self.span_s)
        late = self.harness_late_s > max(MAX_LATE_NS / SECOND, MAX_WAITED_SHARE * self.span_s)
        return late or self.balancer_cpu_wait_s > limit_s or self.stolen_s > limit_s

    def __str__(self) -> str:
        return (
            f"kit late {self.harness_late_s * 1000:.0f} ms, balancer kept from a processor "
            f"{self.balancer_cpu_wait_s * 1000:.0f} ms, processors stolen {self.stolen_s * 1000:.0f} ms"
        )


class StubServers:
    """A stub upstream and a stub discovery service on one loopback address; both answer immediately."""

    def __init__(self, host: str) -> None:
        self.host = host
        self._servers: list[asyncio.Server] = []
        self.upstream = ""

    async def start(self) -> str:
        """Listen and return the address of discovery. Raises OSError if a socket can't be opened."""
        self.upstream = await self._listen(self._answer_request)
        return await self._listen(self._answer_discovery)

    async def _listen(self, answer: object) -> str:
        server = await asyncio.start_server(lambda r, w: self._serve(r, w, answer), self.host, 0)
        self._servers.append(server)
        return f"{self.host}:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer: object) -> None:
        framer = MessageParser()
        try:
            while data := await reader.read(READ_BYTES):
                for message in framer.feed(data):
                    body = await answer(message)  # type: ignore[operator]
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (OSError, Unreadable, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def _answer_request(self, message: Message) -> bytes:
        return message.headers.get("req-id", "").encode()

    async def _answer_discovery(self, message: Message) -> bytes:
        if "wait_ms" in message.start_line:
            await asyncio.sleep(1.0)
            return b'{"seq":1,"whole":false,"hosts":[]}'
        return json.dumps(self.host_list()).encode()

    def host_list(self) -> dict[str, object]:
        host = {"host": "s-1", "dial": self.upstream, "site": "a", "class": "m", "block": 0, "health": "up"}
        return {"seq": 1, "whole": True, "hosts": [{**host, "share": 1.0, "born_ms": 0}]}

    def close(self) -> None:
        for server in self._servers:
            server.close()


def _configuration(host: str, stubs: StubServers, discovery: str) -> dict[str, object]:
    return {
        "name": "n0",
        "listen": f"{host}:{BALANCER_PORT}",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peer_listen": f"{host}:{BALANCER_PORT + 1}",
        "peers": [f"{host}:{BALANCER_PORT + 1}"],
        "known": stubs.host_list(),
        "settings": {
            "registry_mode": "push",
            "profiles": [{"name": "read", "repeat": "read_like", "aim_ns": 500_000_000}],
            "limits": {"send_cap": 2, "retry_after": True},
        },
    }


class HostDelayMonitor:
    """Measures how far this machine, and not the balancer, was slow since the monitor was made: the harness's event
    loop ran late, the balancer waited for a processor, or the hypervisor took processor time."""

    def __init__(self, lateness: LoopLagLog, pid: int) -> None:
        self._lateness, self.pid = lateness, pid
        self._started_s = asyncio.get_running_loop().time()
        self._waited_ns, self._stolen_s = cpu_wait_ns(pid), cpu_steal_s()

    async def measure(self) -> HostDelays:
        """The delays so far. The kernel adds a wait for a processor to its count only when it is over, so this gives
        a wait in progress up to CPU_WAIT_SETTLE_S to end."""
        loop = asyncio.get_running_loop()
        span_s, late_s = loop.time() - self._started_s, self._lateness.max_since_s(self._started_s)
        initial_ns, end_s = cpu_wait_ns(self.pid), loop.time() + CPU_WAIT_SETTLE_S
        while is_runnable(self.pid) and cpu_wait_ns(self.pid) == initial_ns and loop.time() < end_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        return HostDelays(
            harness_late_s=late_s,
            balancer_cpu_wait_s=(cpu_wait_ns(self.pid) - self._waited_ns) / SECOND,
            stolen_s=cpu_steal_s() - self._stolen_s,
            span_s=span_s,
        )


class Client:
    """A client with at most one open connection."""

    def __init__(
        self, name: str, host: str, result: LifecycleResult, start_monitor: Callable[[], HostDelayMonitor]
    ) -> None:
        """`name` identifies the client in recorded faults."""
        self.name = name
        self._host, self._result, self._start_monitor = host, result, start_monitor
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    @property
    def open(self) -> bool:
        return self._streams is not None

    async def send_request(self, may_be_closed: bool = False) -> bool:
        """Send one request and record what is wrong with its answer. False if the client could not connect.

        `may_be_closed`: it is not a fault if the balancer closes a reused connection at the same moment."""
        reused = self._streams is not None
        monitor = self._start_monitor()
        if not reused:
            try:
                opening = asyncio.open_connection(self._host, BALANCER_PORT)
                self._streams = await asyncio.wait_for(opening, ANSWER_TIMEOUT_S)
            except (OSError, TimeoutError):
                return False
        problem = await self._exchange()
        if problem and reused and may_be_closed and problem != NO_ANSWER:
            self.close()
        elif problem:
            where = f"request of {self.name} on a {'kept' if reused else 'new'} connection"
            evidence = f"{self._describe_connection()}; {describe_process(monitor.pid)}"
            self._result.record_fault(f"{where}: {problem} [{evidence}]", await monitor.measure())
            self.close()
        return True

    async def _exchange(self) -> str:
        """Send a request and read its answer; returns what went wrong, or an empty string."""
        assert self._streams is not None
        reader, writer = self._streams
        number = next(_request_ids)
        head = f"GET /read/x HTTP/1.1\r\nHost: a\r\nReq-Id: {number:x}\r\nReq-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
        framer = MessageParser(responses=True)
        try:
            writer.write(head.encode())
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while not (messages := framer.feed(await self._read_chunk(reader))):
                    pass
        except TimeoutError:
            return NO_ANSWER
        except (OSError, EOFError, Unreadable) as error:
            return f"connection ended, no whole answer ({type(error).__name__})"
        answer = messages[0]
        self._result.answered[answer.status] = self._result.answered.get(answer.status, 0) + 1
        if not answer.keep_alive:
            self.close()
        if answer.status == 200 and answer.body != f"{number:x}".encode():
            return "an answer that its upstream did not make"
        return ""

    def _describe_connection(self) -> str:
        """The kernel's state of the connection."""
        if self._streams is None:
            return "no connection"
        client = self._streams[1].get_extra_info("sockname")
        return tcp_table.describe_connection(client, (self._host, BALANCER_PORT)) if client else "no connection"

    async def _read_chunk(self, reader: asyncio.StreamReader) -> bytes:
        data = await reader.read(READ_BYTES)
        if not data:
            raise EOFError
        return data

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


@contextlib.asynccontextmanager
async def _process(
    command: Sequence[str], configuration: dict[str, object], folder: Path, environ: dict[str, str]
) -> AsyncIterator[subprocess.Popen[bytes]]:
    """The balancer process; killed on exit if it still runs."""
    (folder / "config.json").write_text(json.dumps(configuration))
    (folder / "tmp").mkdir(exist_ok=True)
    environ = {
        **environ,
        "RELAY_CONFIG": str(folder / "config.json"),
        "RELAY_NAME": "n0",
        "TMPDIR": str(folder / "tmp"),
    }
    with (folder / "log").open("wb") as log:
        process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environ)
    try:
        yield process
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()


async def run_lifecycle(
    command: Sequence[str],
    rules: Sequence[Rule],
    library: Path,
    folder: Path,
    host: str,
    lateness: LoopLagLog,
    seed: int = 0,
) -> LifecycleResult:
    """Start `command` on a loopback address, send requests, reload it and stop it, while calls fail by the rules."""
    result = LifecycleResult([str(rule) for rule in rules])
    stubs = StubServers(host)
    counts = folder / "counts"
    try:
        discovery = await stubs.start()
        environ = environment(library, rules, counts, seed)
        environ["RELAY_ADMIN_ADDR"] = f"{host}:{BALANCER_PORT + 2}"
        async with _process(command, _configuration(host, stubs, discovery), folder, environ) as process:
            await _exercise(process, result, host, lambda: HostDelayMonitor(lateness, process.pid))
    except OSError as error:
        result.not_valid = f"a stand-in: {error!r}; {result.faults}"
        result.faults.clear()
    finally:
        stubs.close()
    result.counts = read_counts(counts)
    if result.faults or result.not_valid:
        result.log = (folder / "log").read_text(errors="replace").splitlines()[-MAX_LOG_LINES:]
    return result


async def _exercise(
    process: subprocess.Popen[bytes],
    result: LifecycleResult,
    host: str,
    start_monitor: Callable[[], HostDelayMonitor],
) -> None:
    """Take the process through start, service, reload and shutdown, and record what goes wrong."""
    startup = start_monitor()
    if not await _wait_until_ready(process, result, host):
        result.status = process.poll()
        if result.status is None:
            result.record_fault(f"not ready [{describe_process(process.pid)}]", await startup.measure())
        else:
            result.record_fault(f"ended with status {result.status} before it was ready")
        return
    active, idle = (
        Client("the second client", host, result, start_monitor),
        Client("the first client", host, result, start_monitor),
    )
    await idle.send_request()
    for _ in range(4):
        if not await active.send_request():
            result.faults.append("could not connect")
    _send_stray_datagrams(host)
    process.send_signal(signal.SIGHUP)
    for _ in range(2):
        fresh = Client("a client after SIGHUP", host, result, start_monitor)
        if not await fresh.send_request():
            result.faults.append("could not connect")
        fresh.close()
    if process.poll() is not None:
        result.faults.append(f"ended with status {process.poll()} in service")
        return
    await _shut_down(process, result, host, active, start_monitor)
    idle.close()
    active.close()


def _send_stray_datagrams(host: str) -> None:
    """Send datagrams from an unknown sender to the balancer's peer port."""
    with socket.socket(type=socket.SOCK_DGRAM) as sender:
        for _ in range(3):
            sender.sendto(b"x", (host, BALANCER_PORT + 1))


async def _wait_until_ready(process: subprocess.Popen[bytes], result: LifecycleResult, host: str) -> bool:
    """Whether the balancer reports ready before READY_TIMEOUT_S."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while process.poll() is None and loop.time() < started_s + READY_TIMEOUT_S:
        with contextlib.suppress(OSError, TimeoutError, EOFError):
            if await asyncio.wait_for(_is_ready(host), ANSWER_TIMEOUT_S):
                result.ready_s = loop.time() - started_s
                return True
        await asyncio.sleep(POLL_INTERVAL_S)
    return False


async def _is_ready(host: str) -> bool:
    reader, writer = await asyncio.open_connection(host, BALANCER_PORT)
    try:
        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        return (await reader.read(READ_BYTES)).startswith(b"HTTP/1.1 200")
    finally:
        writer.transport.abort()


async def _shut_down(
    process: subprocess.Popen[bytes],
    result: LifecycleResult,
    host: str,
    client: Client,
    start_monitor: Callable[[], HostDelayMonitor],
) -> None:
    """Send SIGTERM and then repeated SIGHUPs, with requests on the client's connection for as long as it is open."""
    loop = asyncio.get_running_loop()
    client.name = "the second client after SIGTERM"
    shutdown = start_monitor()
    process.send_signal(signal.SIGTERM)
    signalled_s = loop.time()
    while process.poll() is None and loop.time() < signalled_s + EXIT_TIMEOUT_S:
        if client.open or loop.time() < signalled_s + NEW_CONNECTIONS_S:
            await client.send_request(may_be_closed=True)
        await asyncio.sleep(POLL_INTERVAL_S)
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, signal.SIGHUP)
    result.status = process.poll()
    if result.status is None:
        result.record_fault(
            f"still there {EXIT_TIMEOUT_S} s after SIGTERM [{describe_process(process.pid)}]",
            await shutdown.measure(),
        )
    elif result.status:
        result.faults.append(f"ended with status {result.status} after SIGTERM")
