"""One real balancer: reads its configuration, runs the node, ends on a signal."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import sys
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any, Protocol

from lanemux.core.address import read_address
from lanemux.core.clock import now_ns
from lanemux.core.source import MakeSource
from lanemux.core.system import Machine, System
from lanemux.drill import read_settings
from lanemux.interface import Settings
from lanemux.net.config import Config
from lanemux.net.http import read_json
from lanemux.net.node import MakeDoors, Module, Node
from lanemux.net.stages import Stages
from lanemux.policy import Balancer

log = logging.getLogger(__name__)

LINES_A_SECOND = 20
MAX_CONFIG = 16 * 1024 * 1024  # bytes; a known list of 10,000 upstreams takes some 2 MiB
REST_MAX_S = 1.0  # with little of a processor, serving slowly beats not serving
STANDING_S = 1.0
STOP_LATE_S = 0.15  # a stop may come so long after the time was spent
HELD = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)  # wait during a start until there is a node to tell

ADMIN_VARIABLE, LISTEN_FD_VARIABLE = "RELAY_ADMIN_ADDR", "RELAY_LISTEN_FD"
MakeModule = Callable[[Settings, int, int], Module]  # of settings, a seed and the clock


class Beside(Protocol):
    """What stands beside the node where the platform asks for it: the operators' address, what a new version takes."""

    def start(self) -> None:
        """Before the node starts. OSError if it can't be had."""

    def close(self) -> None: ...


MakeBeside = Callable[[Node, System], Beside]  # where an operators' address or an inherited listener is told


class BadConfig(Exception):
    """The configuration is missing or can't be used."""


class RateLimit(logging.Filter):
    """Lets so many log lines a second through, and says how many it kept back."""

    def __init__(self) -> None:
        super().__init__()
        self._second = self._lines = self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(record.created)
        if second != self._second:
            if self._dropped:
                record.msg, record.args = f"{record.getMessage()} ({self._dropped} lines left out)", ()
            self._second, self._lines, self._dropped = second, 0, 0
        self._lines += 1
        self._dropped += self._lines > LINES_A_SECOND
        return self._lines <= LINES_A_SECOND


def read_config(path: str, system: System | None = None) -> Config:
    """The configuration in a file; BadConfig if it can't be read or used."""
    try:
        return _config(read_json((system or Machine()).read(path, MAX_CONFIG).decode()))
    except OSError as error:
        raise BadConfig(f"{path}: {error.strerror}") from None
    except KeyError as error:
        raise BadConfig(f"{path}: {error} is missing") from None
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise BadConfig(f"{path}: {error}") from None


def _config(raw: Any) -> Config:
    peer_listen, peers_all, admin = raw.get("peer_listen"), raw.get("peers_all"), raw.get("admin_addr")
    limits = raw.get("limits") or {}
    return Config(
        name=str(raw["name"]), listen=read_address(raw["listen"]), discovery=read_address(raw["discovery"]),
        seed=int.from_bytes(str(raw["seed"]).encode(), "big"),
        sockets=int(limits.get("sockets") or 1024),
        settings=read_settings(raw["settings"]), known=raw.get("known"),
        peer_listen=read_address(peer_listen) if peer_listen else None,
        peers=[read_address(a) for a in raw.get("peers") or ()],
        peers_all=read_address(peers_all) if peers_all else None,
        cores=float(limits.get("cores") or 0.0), admin=read_address(admin) if admin else None)


def from_environment(config: Config, told: Mapping[str, str]) -> Config:
    """What the platform tells a process beside the file: two processes of a balancer read the same one."""
    admin, descriptor = told.get(ADMIN_VARIABLE), told.get(LISTEN_FD_VARIABLE)
    try:
        if admin:
            config = replace(config, admin=read_address(admin))
        if descriptor:
            config = replace(config, listen_fd=int(descriptor))
    except ValueError as error:
        raise BadConfig(f"{ADMIN_VARIABLE} or {LISTEN_FD_VARIABLE}: {error}") from None
    return config


class Lists:
    """Where the list comes from, as the operators' file says it now."""

    def __init__(self, read: Callable[[], MakeSource | None]) -> None:
        """`read` gives the source that the file names, the same object or an equal one while it names the same; it
        raises ValueError for a file that can't be used."""
        self._read = read
        self.now = read()

    def reload(self, node: Node) -> None:
        """Take up the file as it is now; a bad one changes nothing."""
        try:
            new = self._read()
        except ValueError as error:
            log.warning("reload: %s; the old operators' file stays", error)
            return
        if new != self.now:
            log.info("reload: the list is to come from another source")
            self.now = new
            node.roster.replace_source(new)


def reload(path: str, old: Config, node: Node, lists: Lists | None = None, system: System | None = None) -> None:
    """Take up a new configuration as far as that goes without a start; a bad one changes nothing."""
    if lists is not None:
        lists.reload(node)
    try:
        new = read_config(path, system)
    except BadConfig as error:
        log.warning("%s: reload: %s; the old configuration stays", old.name, error)
        node.tally.reloads_refused += 1
        return
    node.tally.reloads += 1
    log.info("%s: reload: discovery at %s:%d", old.name, *new.discovery)
    for name in ("name", "listen", "sockets", "cores", "settings", "peer_listen", "peers", "peers_all"):
        if getattr(new, name) != getattr(old, name):
            log.warning("%s: reload: another %s needs a restart", old.name, name)
    node.roster.move_discovery(new.discovery)


def rest_s(cores: float, spent_s: float) -> float:
    """How long until the processor time that the start has cost is paid for out of the share of it.

    Guards against saying ready on credit: a process that has overspent is stopped until it is even, and the
    first clients would wait out that stop. Harm: a restarted balancer is back some tenths of a second later;
    clients that come all the same are served."""
    return min(REST_MAX_S, spent_s / cores + STOP_LATE_S) if cores > 0 else 0.0


async def serve(config: Config, path: str, lists: Lists | None = None, system: System | None = None,
                module: MakeModule = Balancer, made: Callable[[Node], None] = lambda node: None,
                doors: MakeDoors | None = None, beside: MakeBeside | None = None, stages: Stages | None = None) -> None:
    """One balancer on the running loop, until SIGTERM or SIGINT has ended it; `made` is told of its node before it
    starts. `stages`: what the start has cost so far."""
    system = system or Machine()
    stages = stages or Stages(system)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    source = lists.now if lists is not None else None
    node = Node(config, module(config.settings, config.seed, now_ns()), source, system, doors)
    made(node)
    loop.add_signal_handler(signal.SIGHUP, reload, path, config, node, lists, system)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD)  # what has come since the start counts now
    telling: asyncio.Task[None] | None = None
    asked = config.admin is not None or config.listen_fd is not None
    aside = beside(node, system) if beside is not None and asked else None
    try:
        if aside is not None:
            aside.start()
        port = await node.start(rest_s(config.cores, system.spent_s()))
        stages.passed("list and sockets")
        log.info("%s: started: %s; %d balancers, %d upstreams", config.name, stages.told(), len(config.peers),
                 node.discovered)
        log.info("%s: ready on port %d", config.name, port)
        if log.isEnabledFor(logging.DEBUG):
            telling = loop.create_task(_tell_standing(config.name, node))
        await stop.wait()
        log.info("%s: stopping", config.name)
        await node.drain()
    finally:
        if telling is not None:
            telling.cancel()
        if aside is not None:
            aside.close()
        log.info("%s: ended: %s; %d requests open", config.name, stages.told_at_end(), node.outstanding)


async def _tell_standing(name: str, node: Node) -> None:
    """Once a second, why the decisions do what they do."""
    while True:
        await asyncio.sleep(STANDING_S)
        log.debug("%s: standing %s", name, json.dumps(node.standing(), separators=(",", ":")))


def main(lists: Lists | None = None, module: MakeModule = Balancer, doors: MakeDoors | None = None,
         beside: MakeBeside | None = None, level: str = "info",
         made: Callable[[Node], None] = lambda node: None) -> int:
    """One balancer until a signal ends it; its list is platform discovery's unless the operators say otherwise."""
    handler = logging.StreamHandler()
    handler.addFilter(RateLimit())
    logging.basicConfig(level=level.upper(), handlers=[handler],
                        format="%(asctime)s %(levelname)s %(message)s")
    path = os.environ.get("RELAY_CONFIG")
    # Until there is a node. A SIGHUP must neither end the process nor be lost: the file may have been read before it.
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD)
    stages = Stages(Machine())
    stages.passed("imports")
    try:
        if not path:
            raise BadConfig("RELAY_CONFIG is not set")
        config = from_environment(read_config(path), os.environ)
        stages.passed("configuration")
    except BadConfig as error:
        print(f"lanemux: {error}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(config, path, lists, module=module, made=made, doors=doors, beside=beside,
                          stages=stages))
    except OSError as error:
        print(f"lanemux: {config.name}: {error}", file=sys.stderr)
        return 1
    return 0
