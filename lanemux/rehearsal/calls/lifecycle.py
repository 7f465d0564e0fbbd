"""One life of a balancer, from its start to its end, among stand-ins that nothing fails."""

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

from lanemux.rehearsal.balancers import stolen_s, waited_ns
from lanemux.rehearsal.calls import tcp_table
from lanemux.rehearsal.calls.library import Counts, environment, read_counts
from lanemux.rehearsal.calls.process_state import is_runnable, state_of
from lanemux.rehearsal.calls.rules import Rule
from lanemux.rehearsal.framing import Framer, Message, Unreadable
from lanemux.rehearsal.looks import LatenessLog
from lanemux.rehearsal.plan import SECOND
from lanemux.rehearsal.validity import LATE_MOST_NS, WAITED_MOST

READY_WITHIN_S = 10.0  # of the operators' gate, for a restarted balancer
DEADLINE_MS = 800
ANSWER_WITHIN_S = DEADLINE_MS / 1000 + 0.5  # a final answer may be so late
ENDED_WITHIN_S = 4.5  # after SIGTERM; whatever is open is given up before
NEW_CONNECTIONS_S = 0.3  # after SIGTERM they go on coming for so long
LOOK_S = 0.02
WAIT_ENDS_WITHIN_S = 2.0  # a balancer's wait for a processor that goes on as a fault is noted
PORT = 3000
NO_ANSWER = "no answer"
KEPT_LINES = 40  # of the log of a balancer whose life was bad
READ_BYTES = 64 * 1024
_numbers = itertools.count(1)


@dataclass
class LifecycleResult:
    """How one life went."""

    rules: list[str]
    faults: list[str] = field(default_factory=list)  # what was wrong with it; none: it was a good one
    not_valid: str = ""  # something of the stand-ins or of this machine went wrong: it accuses nobody
    held_up: list[str] = field(default_factory=list)  # why earlier plays of it could not be judged
    status: int | None = None
    ready_s: float = 0.0
    answered: dict[int, int] = field(default_factory=dict)  # requests by the status of their answer
    counts: dict[str, Counts] = field(default_factory=dict)
    log: list[str] = field(default_factory=list)

    def record_fault(self, fault: str, shortage: HostDelays | None = None) -> None:
        """Note what was wrong. Where this machine was slow meanwhile, it accuses nobody, but nor is the life good."""
        text = f"{fault} ({shortage})" if shortage is not None else fault
        if shortage is not None and shortage.over_limit:
            self.not_valid = text
        else:
            self.faults.append(text)

    @property
    def has_faults(self) -> bool:
        """Something was wrong that this machine does not explain."""
        return bool(self.faults)

    @property
    def failed_calls(self) -> int:
        return sum(counts.failed for counts in self.counts.values())


@dataclass(frozen=True)
class HostDelays:
    """What a span lacked of this machine."""

    harness_late_s: float
    balancer_cpu_wait_s: float  # for a processor
    stolen_s: float  # by the machine's host, the mean of its processors
    span_s: float = 1.0

    @property
    def over_limit(self) -> bool:
        """So much of it that what went wrong in the span accuses nobody."""
        most_s = WAITED_MOST * max(1.0, self.span_s)
        late = self.harness_late_s > max(LATE_MOST_NS / SECOND, WAITED_MOST * self.span_s)
        return late or self.balancer_cpu_wait_s > most_s or self.stolen_s > most_s

    def __str__(self) -> str:
        return (
            f"kit late {self.harness_late_s * 1000:.0f} ms, balancer kept from a processor "
            f"{self.balancer_cpu_wait_s * 1000:.0f} ms, processors stolen {self.stolen_s * 1000:.0f} ms"
        )


class StandIns:
    """An upstream and discovery on a host of their own; both answer at once."""

    def __init__(self, host: str) -> None:
        self.host = host
        self._servers: list[asyncio.Server] = []
        self.upstream = ""

    async def start(self) -> str:
        """Listen; gives the address of discovery. OSError where that can't be had."""
        self.upstream = await self._listen(self._answer_request)
        return await self._listen(self._answer_list)

    async def _listen(self, answer: object) -> str:
        server = await asyncio.start_server(lambda r, w: self._serve(r, w, answer), self.host, 0)
        self._servers.append(server)
        return f"{self.host}:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer: object) -> None:
        framer = Framer()
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

    async def _answer_list(self, message: Message) -> bytes:
        if "wait_ms" in message.first:
            await asyncio.sleep(1.0)
            return b'{"seq":1,"whole":false,"hosts":[]}'
        return json.dumps(self.known()).encode()

    def known(self) -> dict[str, object]:
        host = {"host": "s-1", "dial": self.upstream, "site": "a", "class": "m", "block": 0, "health": "up"}
        return {"seq": 1, "whole": True, "hosts": [{**host, "share": 1.0, "born_ms": 0}]}

    def close(self) -> None:
        for server in self._servers:
            server.close()


def _configuration(host: str, stand_ins: StandIns, discovery: str) -> dict[str, object]:
    return {
        "name": "n0",
        "listen": f"{host}:{PORT}",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peer_listen": f"{host}:{PORT + 1}",
        "peers": [f"{host}:{PORT + 1}"],
        "known": stand_ins.known(),
        "settings": {
            "registry_mode": "push",
            "profiles": [{"name": "read", "repeat": "read_like", "aim_ns": 500_000_000}],
            "limits": {"send_cap": 2, "retry_after": True},
        },
    }


class HostDelayMonitor:
    """Whether this machine, and not the balancer, was slow in a span: the kit's loop was late, the balancer waited for
    a processor, or the machine's host took its processors. The bounds are those of the rehearsals."""

    def __init__(self, lateness: LatenessLog, pid: int) -> None:
        self._lateness, self.pid = lateness, pid
        self._begun_s = asyncio.get_running_loop().time()
        self._waited_ns, self._stolen_s = waited_ns(pid), stolen_s()

    async def measure(self) -> HostDelays:
        """What the span lacked so far. The kernel counts a wait for a processor once it is over: the end of one that
        goes on is waited for, a while."""
        loop = asyncio.get_running_loop()
        span_s, late_s = loop.time() - self._begun_s, self._lateness.most_s(self._begun_s)
        first_ns, end_s = waited_ns(self.pid), loop.time() + WAIT_ENDS_WITHIN_S
        while is_runnable(self.pid) and waited_ns(self.pid) == first_ns and loop.time() < end_s:
            await asyncio.sleep(LOOK_S)
        return HostDelays(
            harness_late_s=late_s,
            balancer_cpu_wait_s=(waited_ns(self.pid) - self._waited_ns) / SECOND,
            stolen_s=stolen_s() - self._stolen_s,
            span_s=span_s,
        )


class Client:
    """One connection of a client."""

    def __init__(self, name: str, host: str, life: LifecycleResult, starvation: Callable[[], HostDelayMonitor]) -> None:
        """`name`: which of a life's clients, for who reads of its faults."""
        self.name = name
        self._host, self._life, self._starvation = host, life, starvation
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    @property
    def open(self) -> bool:
        return self._streams is not None

    async def ask(self, may_cross: bool = False) -> bool:
        """One request; what was wrong with its answer is noted. False if there was nobody to ask.

        `may_cross`: it is nobody's fault if a kept connection ends just then."""
        kept = self._streams is not None
        starvation = self._starvation()
        if not kept:
            try:
                opening = asyncio.open_connection(self._host, PORT)
                self._streams = await asyncio.wait_for(opening, ANSWER_WITHIN_S)
            except (OSError, TimeoutError):
                return False
        problem = await self._exchange()
        if problem and kept and may_cross and problem != NO_ANSWER:
            self.close()
        elif problem:
            where = f"request of {self.name} on a {'kept' if kept else 'new'} connection"
            evidence = f"{self._connection()}; {state_of(starvation.pid)}"
            self._life.record_fault(f"{where}: {problem} [{evidence}]", await starvation.measure())
            self.close()
        return True

    async def _exchange(self) -> str:
        assert self._streams is not None
        reader, writer = self._streams
        number = next(_numbers)
        head = f"GET /read/x HTTP/1.1\r\nHost: a\r\nReq-Id: {number:x}\r\nReq-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
        framer = Framer(answers=True)
        try:
            writer.write(head.encode())
            async with asyncio.timeout(ANSWER_WITHIN_S):
                while not (messages := framer.feed(await self._some(reader))):
                    pass
        except TimeoutError:
            return NO_ANSWER
        except (OSError, EOFError, Unreadable) as error:
            return f"connection ended, no whole answer ({type(error).__name__})"
        answer = messages[0]
        self._life.answered[answer.status] = self._life.answered.get(answer.status, 0) + 1
        if not answer.keeps:
            self.close()
        if answer.status == 200 and answer.body != f"{number:x}".encode():
            return "an answer that its upstream did not make"
        return ""

    def _connection(self) -> str:
        """What the kernel knows of the connection."""
        if self._streams is None:
            return "no connection"
        client = self._streams[1].get_extra_info("sockname")
        return tcp_table.told_of(client, (self._host, PORT)) if client else "no connection"

    async def _some(self, reader: asyncio.StreamReader) -> bytes:
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
    command: Sequence[str], settings: dict[str, object], folder: Path, told: dict[str, str]
) -> AsyncIterator[subprocess.Popen[bytes]]:
    (folder / "config.json").write_text(json.dumps(settings))
    (folder / "tmp").mkdir(exist_ok=True)
    told = {**told, "RELAY_CONFIG": str(folder / "config.json"), "RELAY_NAME": "n0", "TMPDIR": str(folder / "tmp")}
    with (folder / "log").open("wb") as log:
        process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=told)
    try:
        yield process
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()


async def play(
    command: Sequence[str],
    rules: Sequence[Rule],
    library: Path,
    folder: Path,
    host: str,
    lateness: LatenessLog,
    seed: int = 0,
) -> LifecycleResult:
    """Start `command` on that loopback host, ask it, reload it, end it, while calls fail as the rules say."""
    life = LifecycleResult([str(rule) for rule in rules])
    stand_ins = StandIns(host)
    counts = folder / "counts"
    try:
        discovery = await stand_ins.start()
        told = environment(library, rules, counts, seed)
        told["RELAY_ADMIN_ADDR"] = f"{host}:{PORT + 2}"
        async with _process(command, _configuration(host, stand_ins, discovery), folder, told) as process:
            await _live(process, life, host, lambda: HostDelayMonitor(lateness, process.pid))
    except OSError as error:
        life.not_valid = f"a stand-in: {error!r}; {life.faults}"
        life.faults.clear()
    finally:
        stand_ins.close()
    life.counts = read_counts(counts)
    if life.faults or life.not_valid:
        life.log = (folder / "log").read_text(errors="replace").splitlines()[-KEPT_LINES:]
    return life


async def _live(
    process: subprocess.Popen[bytes], life: LifecycleResult, host: str, starvation: Callable[[], HostDelayMonitor]
) -> None:
    starting = starvation()
    if not await _ready(process, life, host):
        life.status = process.poll()
        if life.status is None:
            life.record_fault(f"not ready [{state_of(process.pid)}]", await starting.measure())
        else:
            life.record_fault(f"ended with status {life.status} before it was ready")
        return
    kept, resting = (
        Client("the second client", host, life, starvation),
        Client("the first client", host, life, starvation),
    )
    await resting.ask()
    for _ in range(4):
        if not await kept.ask():
            life.faults.append("could not connect")
    _send_datagrams(host)
    process.send_signal(signal.SIGHUP)
    for _ in range(2):
        fresh = Client("a client after SIGHUP", host, life, starvation)
        if not await fresh.ask():
            life.faults.append("could not connect")
        fresh.close()
    if process.poll() is not None:
        life.faults.append(f"ended with status {process.poll()} in service")
        return
    await _end(process, life, host, kept, starvation)
    resting.close()
    kept.close()


def _send_datagrams(host: str) -> None:
    """Some of nobody's, to where the balancer hears its peers."""
    with socket.socket(type=socket.SOCK_DGRAM) as peer:
        for _ in range(3):
            peer.sendto(b"x", (host, PORT + 1))


async def _ready(process: subprocess.Popen[bytes], life: LifecycleResult, host: str) -> bool:
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    while process.poll() is None and loop.time() < begun_s + READY_WITHIN_S:
        with contextlib.suppress(OSError, TimeoutError, EOFError):
            if await asyncio.wait_for(_says_ready(host), ANSWER_WITHIN_S):
                life.ready_s = loop.time() - begun_s
                return True
        await asyncio.sleep(LOOK_S)
    return False


async def _says_ready(host: str) -> bool:
    reader, writer = await asyncio.open_connection(host, PORT)
    try:
        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        return (await reader.read(READ_BYTES)).startswith(b"HTTP/1.1 200")
    finally:
        writer.transport.abort()


async def _end(
    process: subprocess.Popen[bytes],
    life: LifecycleResult,
    host: str,
    kept: Client,
    starvation: Callable[[], HostDelayMonitor],
) -> None:
    """SIGTERM, further signals behind it, and requests on the open connection for as long as it stays."""
    loop = asyncio.get_running_loop()
    kept.name = "the second client after SIGTERM"
    ending = starvation()
    process.send_signal(signal.SIGTERM)
    told_s = loop.time()
    while process.poll() is None and loop.time() < told_s + ENDED_WITHIN_S:
        if kept.open or loop.time() < told_s + NEW_CONNECTIONS_S:
            await kept.ask(may_cross=True)
        await asyncio.sleep(LOOK_S)
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, signal.SIGHUP)
    life.status = process.poll()
    if life.status is None:
        life.record_fault(
            f"still there {ENDED_WITHIN_S} s after SIGTERM [{state_of(process.pid)}]", await ending.measure()
        )
    elif life.status:
        life.faults.append(f"ended with status {life.status} after SIGTERM")
