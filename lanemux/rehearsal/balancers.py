"""Starts, stops and inspects the balancers under test: real processes with the platform's configuration."""

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

READY_TIMEOUT_S = 30.0  # a balancer that is not ready by then has failed to start
STOP_TIMEOUT_S = 4.5  # after SIGTERM: the longest request deadline plus the platform's 0.7 s
POLL_INTERVAL_S = 0.02
SIGNAL_INTERVAL_S = 0.01  # between repeated signals


@dataclass(slots=True)
class BalancerEndpoints:
    """The addresses that a balancer listens on and connects to, and its operators' file."""

    listen: Address
    discovery: Address
    peer_listen: Address
    peers: list[Address]
    peers_all: Address
    operators: str = ""  # content of its operators' file (TOML); "": it has none


@dataclass(frozen=True)
class BalancerLimits:
    """The limits given in a balancer's configuration."""

    memory_mb: float  # 10^6 bytes
    sockets: int  # descriptors


USUAL_LIMITS = BalancerLimits(80.0, 1024)


def host_port(address: Address) -> str:
    """The address as `host:port`."""
    return f"{address[0]}:{address[1]}"


def configuration(
    name: str,
    endpoints: BalancerEndpoints,
    seed: str,
    known: dict[str, object],
    settings: dict[str, object],
    limits: BalancerLimits = USUAL_LIMITS,
) -> dict[str, object]:
    """The content of a balancer's configuration file, as the protocol page defines it."""
    return {
        "name": name,
        "listen": host_port(endpoints.listen),
        "discovery": host_port(endpoints.discovery),
        "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
        "peer_listen": host_port(endpoints.peer_listen),
        "peers": [host_port(a) for a in endpoints.peers],
        "peers_all": host_port(endpoints.peers_all),
        "known": known,
        "settings": settings,
    }


def free_address(host: str, datagrams: bool = False) -> Address:
    """A free address on that host. It stays free: only the rehearsal uses these loopback hosts."""
    if not datagrams:
        sock = bound_socket((host, 0))
    else:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((host, 0))
    address: Address = sock.getsockname()
    sock.close()
    return address


class BalancerProcess:
    """One balancer across restarts; each start runs a new process."""

    def __init__(
        self,
        number: int,
        command: Sequence[str],
        endpoints: BalancerEndpoints,
        folder: Path,
        settings: dict[str, object],
        seed: int,
        limits: BalancerLimits,
    ) -> None:
        self.number, self.endpoints = number, endpoints
        self._command, self._folder, self._settings, self._seed = command, folder, settings, seed
        self._limits = limits
        self._starts = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.expected_down = False  # killed or terminated by the rehearsal

    @property
    def log(self) -> Path:
        """The file that receives the process's standard output and error."""
        return self._folder / f"balancer-{self.number}.log"

    def start(self, known: dict[str, object]) -> None:
        """Start the process; `known` is the upstream list that its configuration holds."""
        self._starts += 1
        self.expected_down = False
        name = f"n{self.number}"
        config = configuration(
            name, self.endpoints, f"{self._seed:x}-{self.number}-{self._starts}", known, self._settings, self._limits
        )
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
        if self.endpoints.operators:
            operators = self._folder / f"operators-{self.number}.toml"
            operators.write_text(self.endpoints.operators)
            environment["LANEMUX_OPERATORS"] = str(operators)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,  # type: ignore[arg-type]
            )

    async def wait_until_ready(self) -> bool:
        """Wait until its readiness endpoint returns 200; False if the process exits or the wait times out."""
        end = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while self.process is not None and self.process.poll() is None:
            if await _is_ready(self.endpoints.listen):
                return True
            if asyncio.get_running_loop().time() > end:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    @property
    def crashed(self) -> bool:
        """Whether the process exited although the rehearsal did not stop it."""
        return not self.expected_down and self.process is not None and self.process.poll() is not None

    def kill(self) -> None:
        """Send SIGKILL."""
        self.expected_down = True
        if self.process is not None and self.process.poll() is None:
            self.process.kill()

    async def terminate(self, kill_at_s: float, signals: bool) -> str:
        """Send SIGTERM now and SIGKILL at `kill_at_s` on the loop's clock; `signals`: keep sending signals in between.

        Returns what was wrong with the exit, or an empty string."""
        if self.process is None or self.process.poll() is not None:
            return ""
        self.expected_down = True
        self.process.send_signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        while self.process.poll() is None and loop.time() < kill_at_s:
            await asyncio.sleep(SIGNAL_INTERVAL_S)
            if signals:
                for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
                    self.process.send_signal(number)  # no effect once Popen has reaped the process
        if self.process.poll() is None:
            self.process.kill()
            return ""  # requests without an answer show in the records
        status = self.process.returncode
        return f"balancer {self.number} exited with status {status} after SIGTERM" if status else ""

    async def stop(self) -> str:
        """A graceful shutdown; returns what was wrong with it, or an empty string."""
        if self.process is None or self.process.poll() is not None:
            return ""
        self.expected_down = True
        self.process.send_signal(signal.SIGTERM)
        end = asyncio.get_running_loop().time() + STOP_TIMEOUT_S
        while self.process.poll() is None:
            if asyncio.get_running_loop().time() > end:
                self.process.kill()
                return f"balancer {self.number} did not exit within {STOP_TIMEOUT_S} s of SIGTERM"
            await asyncio.sleep(POLL_INTERVAL_S)
        status = self.process.returncode
        return f"balancer {self.number} exited with status {status} after SIGTERM" if status else ""


async def _is_ready(address: Address) -> bool:
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
    except (OSError, TimeoutError):
        return False


STEAL_FIELD = 8  # of the first line of /proc/stat: cpu user nice system idle iowait irq softirq steal


def cpu_wait_ns(pid: int) -> int:
    """Total time that a process has waited for a CPU (Linux, /proc/PID/schedstat); 0 if unavailable."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0


def cpu_time_s(pid: int) -> float:
    """CPU time that a process has used (Linux, /proc/PID/schedstat); 0 if unavailable."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9
    except (OSError, ValueError, IndexError):
        return 0.0


def cpu_pressure_ns() -> int:
    """Total time that any task on this machine has waited for a CPU (Linux, /proc/pressure/cpu); 0 if unavailable."""
    try:
        return int(Path("/proc/pressure/cpu").read_text().splitlines()[0].rpartition("total=")[2]) * 1000
    except (OSError, ValueError, IndexError):
        return 0


def cpu_steal_s() -> float:
    """Total steal time (taken by the hypervisor), in s: the mean over the CPUs of this machine (Linux, /proc/stat)."""
    try:
        total = int(Path("/proc/stat").read_text().splitlines()[0].split()[STEAL_FIELD])
    except (OSError, ValueError, IndexError):
        return 0.0
    return total / os.sysconf("SC_CLK_TCK") / (os.cpu_count() or 1)


def descriptors_and_memory_mb(pid: int) -> tuple[int, float]:
    """Number of open descriptors of a process, and the most memory that it has had resident, in MB; zeros if it has
    exited."""
    try:
        descriptors = len(os.listdir(f"/proc/{pid}/fd"))
        peak_kib = int(Path(f"/proc/{pid}/status").read_text().partition("VmHWM:")[2].split()[0])
    except (OSError, ValueError, IndexError):
        return 0, 0.0
    return descriptors, peak_kib * 1024 / 1e6
