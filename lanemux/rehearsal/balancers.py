"""The balancers under rehearsal: real processes, started by a command, told what the platform tells."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from lanemux.rehearsal.addresses import Address, bound_socket

READY_S = 30.0  # a balancer that is not ready by then has failed to start
LEAVE_S = 4.5  # after SIGTERM: the longest deadline and the platform's 0.7 s
LOOK_S = 0.02
SERIES_S = 0.01  # between signals that follow one another
MEMORY_MB, SOCKETS = 192, 1024  # what a balancer is told of its limits; the kit does not enforce them


@dataclass(slots=True)
class Place:
    """Where a balancer listens and whom it knows."""

    listen: Address
    discovery: Address
    peer_listen: Address
    peers: list[Address]
    peers_all: Address
    operators: str = ""  # what its operators' file says; "": it has none


def text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def configuration(
    name: str, place: Place, seed: str, known: dict[str, object], settings: dict[str, object], sockets: int = SOCKETS
) -> dict[str, object]:
    """What a balancer finds in its configuration file (protocol page)."""
    return {
        "name": name,
        "listen": text(place.listen),
        "discovery": text(place.discovery),
        "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": sockets},
        "peer_listen": text(place.peer_listen),
        "peers": [text(a) for a in place.peers],
        "peers_all": text(place.peers_all),
        "known": known,
        "settings": settings,
    }


def free_port(host: str, datagrams: bool = False) -> Address:
    """An address of that host that is free now; the kit's hosts are its own, so it stays free."""
    if not datagrams:
        taken = bound_socket((host, 0))
    else:
        taken = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        taken.bind((host, 0))
    address: Address = taken.getsockname()
    taken.close()
    return address


class Balancer:
    """One balancer's process, over its restarts."""

    def __init__(
        self, number: int, command: Sequence[str], place: Place, folder: Path, settings: dict[str, object], seed: int
    ) -> None:
        self.number, self.place = number, place
        self._command, self._folder, self._settings, self._seed = command, folder, settings, seed
        self._starts = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.meant_down = False  # killed or ended by the kit

    @property
    def log(self) -> Path:
        return self._folder / f"balancer-{self.number}.log"

    def start(self, known: dict[str, object]) -> None:
        """Start it with the list as it was last known."""
        self._starts += 1
        self.meant_down = False
        name = f"n{self.number}"
        config = configuration(name, self.place, f"{self._seed:x}-{self.number}-{self._starts}", known, self._settings)
        path = self._folder / f"balancer-{self.number}.json"
        path.write_text(json.dumps(config))
        temporary = self._folder / f"tmp-{self.number}"
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "RELAY_NAME": name,
            "RELAY_LISTEN": config["listen"],
            "RELAY_DISCOVERY": config["discovery"],
            "RELAY_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        if self.place.operators:
            operators = self._folder / f"operators-{self.number}.toml"
            operators.write_text(self.place.operators)
            environment["LANEMUX_OPERATORS"] = str(operators)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,  # type: ignore[arg-type]
            )

    async def ready(self) -> bool:
        """Wait until it says that it is ready; False if it ends or takes too long."""
        end = asyncio.get_running_loop().time() + READY_S
        while self.process is not None and self.process.poll() is None:
            if await _says_ready(self.place.listen):
                return True
            if asyncio.get_running_loop().time() > end:
                return False
            await asyncio.sleep(LOOK_S)
        return False

    @property
    def crashed(self) -> bool:
        return not self.meant_down and self.process is not None and self.process.poll() is not None

    def kill(self) -> None:
        self.meant_down = True
        if self.process is not None and self.process.poll() is None:
            self.process.kill()

    async def end_by(self, kill_at_s: float, signals: bool) -> str:
        """SIGTERM now and SIGKILL at that time of the loop's clock, with further signals in between if told so.

        Gives what was wrong with its end, or an empty text."""
        if self.process is None or self.process.poll() is not None:
            return ""
        self.meant_down = True
        self.process.send_signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        while self.process.poll() is None and loop.time() < kill_at_s:
            await asyncio.sleep(SERIES_S)
            if signals:
                for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
                    self.process.send_signal(number)  # without effect once it has been waited for
        if self.process.poll() is None:
            self.process.kill()
            return ""  # what it had not answered shows in the books
        status = self.process.returncode
        return f"balancer {self.number} was told to end and did so with status {status}" if status else ""

    async def stop(self) -> str:
        """A planned end; gives what was wrong with it, or an empty text."""
        if self.process is None or self.process.poll() is not None:
            return ""
        self.meant_down = True
        self.process.send_signal(signal.SIGTERM)
        end = asyncio.get_running_loop().time() + LEAVE_S
        while self.process.poll() is None:
            if asyncio.get_running_loop().time() > end:
                self.process.kill()
                return f"balancer {self.number} did not end within {LEAVE_S} s of SIGTERM"
            await asyncio.sleep(LOOK_S)
        status = self.process.returncode
        return f"balancer {self.number} ended with status {status}" if status else ""


async def _says_ready(address: Address) -> bool:
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
    except (OSError, TimeoutError):
        return False


STOLEN_FIELD = 8  # of the first line of /proc/stat: cpu user nice system idle iowait irq softirq steal


def waited_ns(pid: int) -> int:
    """How long a process has waited for a processor so far (Linux, /proc/PID/schedstat); 0 if not told."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0


def spent_s(pid: int) -> float:
    """Processor time of a process so far (Linux, /proc/PID/schedstat); 0 if not told."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9
    except (OSError, ValueError, IndexError):
        return 0.0


def pressed_ns() -> int:
    """How long anything on this machine has waited for a processor (Linux, /proc/pressure/cpu); 0 if not told."""
    try:
        return int(Path("/proc/pressure/cpu").read_text().splitlines()[0].rpartition("total=")[2]) * 1000
    except (OSError, ValueError, IndexError):
        return 0


def stolen_s() -> float:
    """How long each processor of this machine was taken by its host so far, the mean in s (Linux, /proc/stat)."""
    try:
        total = int(Path("/proc/stat").read_text().splitlines()[0].split()[STOLEN_FIELD])
    except (OSError, ValueError, IndexError):
        return 0.0
    return total / os.sysconf("SC_CLK_TCK") / (os.cpu_count() or 1)


def usage(pid: int) -> tuple[int, float]:
    """Open descriptors and resident memory in MB of a process; zeros if it is gone."""
    try:
        descriptors = len(os.listdir(f"/proc/{pid}/fd"))
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0, 0.0
    return descriptors, pages * os.sysconf("SC_PAGE_SIZE") / 1e6
