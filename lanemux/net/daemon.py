"""One real balancer: reads its configuration, runs the node, ends on a signal."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import sys
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Protocol

from lanemux.core.clock import now_ns
from lanemux.core.failures import Backoff, UnrecoverableError
from lanemux.core.system import Machine, System
from lanemux.eventloop.log_handler import NonBlockingHandler
from lanemux.eventloop.loop import EventLoop
from lanemux.interface import Settings
from lanemux.net.config import BadConfig, Config, from_environment, read_config
from lanemux.net.decisions import Module
from lanemux.net.log_limit import LogRateLimit
from lanemux.net.node import MakeConnectionAdmission, Node
from lanemux.net.reload import Lists, Reloader
from lanemux.net.stages import Stages
from lanemux.net.startup import Interrupted, wait_for
from lanemux.policy import Balancer

log = logging.getLogger(__name__)

REST_MAX_S = 1.0  # with little of a processor, serving slowly beats not serving
STANDING_S = 1.0
STOP_LATE_S = 0.15  # a stop may come so long after the time was spent
END_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*END_SIGNALS, signal.SIGHUP)  # blocked while there is nothing that could handle them

STARTS = 5  # of one process, where what ends one is a fault of the program
FAILED_STATUS = 1
UNUSABLE_STATUS = 2

MakeModule = Callable[[Settings, int, int], Module]  # of settings, a seed and the clock


class Extension(Protocol):
    """What is added to a node where the platform asks for it: the operators' address, what a new version takes."""

    def start(self) -> None:
        """Before the node starts. What can't be had yet is tried again later."""

    def close(self) -> None: ...


MakeExtension = Callable[[Node, System], Extension]  # where an operators' address or an inherited listener is told


@dataclass
class EndRequest:
    """Whether a signal has asked the process to end."""

    made: bool = False


def rest_s(cores: float, spent_s: float) -> float:
    """How long until the processor time that the start has cost is paid for out of the share of it.

    Guards against saying ready on credit: a process that has overspent is stopped until it is even, and the
    first clients would wait out that stop. Harm: a restarted balancer is back some tenths of a second later;
    clients that come all the same are served."""
    return min(REST_MAX_S, spent_s / cores + STOP_LATE_S) if cores > 0 else 0.0


def hold_signals() -> None:
    """From now on signals wait until something handles them; none is lost, and none ends the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


async def serve(
    config: Config,
    path: str,
    lists: Lists | None = None,
    system: System | None = None,
    module: MakeModule = Balancer,
    made: Callable[[Node], None] = lambda node: None,
    admission: MakeConnectionAdmission | None = None,
    extend: MakeExtension | None = None,
    stages: Stages | None = None,
    end_request: EndRequest | None = None,
) -> None:
    """One balancer on the running loop, until SIGTERM or SIGINT has ended it; `made` is told of its node before it
    starts. `stages`: what the start has cost so far; `end_request` notes such a signal. Raises UnrecoverableError where
    its address can't be had at all."""
    system = system or Machine()
    stages = stages or Stages(system)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    request = end_request or EndRequest()

    def end() -> None:
        request.made = True
        stop.set()

    for number in END_SIGNALS:
        loop.add_signal_handler(number, end)
    source = lists.now if lists is not None else None
    node = Node(config, module(config.settings, config.seed, now_ns()), source, system, admission)
    if isinstance(loop, EventLoop):
        loop.counter = node.tally
    made(node)
    reloader = Reloader(path, config, node, lists, system)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    reporting: asyncio.Task[None] | None = None
    asked = config.admin is not None or config.listen_fd is not None
    extension = extend(node, system) if extend is not None and asked else None
    try:
        if extension is not None:
            extension.start()
        if await _start(node, rest_s(config.cores, system.cpu_time_s()), stop):
            stages.passed("list and sockets")
            log.info(
                "%s: started: %s; %d balancers, %d upstreams",
                config.name,
                stages.told(),
                len(config.peers),
                node.discovered,
            )
            log.info("%s: ready on port %d", config.name, node.port)
            if log.isEnabledFor(logging.DEBUG):
                reporting = loop.create_task(_report_standing(config.name, node))
            await stop.wait()
        log.info("%s: stopping", config.name)
        await _end(node)
    except Exception:
        node.close()
        raise
    finally:
        reloader.stop()
        if reporting is not None:
            reporting.cancel()
        if extension is not None:
            extension.close()
        log.info("%s: ended: %s; %d requests open", config.name, stages.told_at_end(), node.outstanding)


async def _end(node: Node) -> None:
    """A planned end. What fails in it leaves no request without its answer."""
    try:
        await node.drain()
    except Exception:
        log.exception("%s: the end failed; what is open is answered now", node.config.name)
        node.close()


async def _start(node: Node, for_s: float, stop: asyncio.Event) -> bool:
    """Start the node; False if the process is told to end before the node serves."""
    starting = asyncio.create_task(node.start(for_s))
    stopped = asyncio.create_task(stop.wait())
    await asyncio.wait((starting, stopped), return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    if starting.done():
        try:
            await starting
        except UnrecoverableError:
            node.close()
            raise
        return True
    starting.cancel()
    await asyncio.wait((starting,))
    return False


async def _report_standing(name: str, node: Node) -> None:
    """Once a second, why the decisions do what they do."""
    while True:
        await asyncio.sleep(STANDING_S)
        log.debug("%s: standing %s", name, json.dumps(node.standing(), separators=(",", ":")))


def _log_to_standard_error(level: str) -> None:
    handler = NonBlockingHandler()
    handler.addFilter(LogRateLimit())
    logging.basicConfig(level=level.upper(), handlers=[handler], format="%(asctime)s %(levelname)s %(message)s")
    logging.raiseExceptions = False  # a log that can't be written must not be answered with more output


def _read_configuration(path: str | None, system: System) -> Config:
    if not path:
        raise BadConfig("RELAY_CONFIG is not set")
    config = wait_for("configuration", lambda: read_config(path, system), system)
    return from_environment(config, os.environ)


def main(
    lists: Lists | None = None,
    module: MakeModule = Balancer,
    admission: MakeConnectionAdmission | None = None,
    extend: MakeExtension | None = None,
    level: str = "info",
    made: Callable[[Node], None] = lambda node: None,
) -> int:
    """One balancer until a signal ends it; its list is platform discovery's unless the operators say otherwise."""
    _log_to_standard_error(level)
    hold_signals()
    system = Machine()
    stages = Stages(system)
    stages.passed("imports")
    path = os.environ.get("RELAY_CONFIG")

    end_request = EndRequest()

    async def run(config: Config) -> None:
        try:
            await serve(
                config,
                path or "",
                lists,
                module=module,
                made=made,
                admission=admission,
                extend=extend,
                stages=stages,
                end_request=end_request,
            )
        finally:
            hold_signals()  # what comes while the process ends waits for nobody

    try:
        config = _read_configuration(path, system)
        stages.passed("configuration")
        return _run_until_ended(lambda: run(config), config.name, system, end_request)
    except Interrupted:
        log.info("ended before it had started")
        return 0
    except (BadConfig, UnrecoverableError) as error:
        print(f"lanemux: {error}", file=sys.stderr)
        return UNUSABLE_STATUS


def _run_on(loop: EventLoop, work: Coroutine[None, None, None]) -> None:
    """Run to its end, then what it left behind. (`asyncio.run` handles SIGINT itself, which may fail.)"""
    try:
        loop.run_until_complete(work)
    finally:
        loop.run_until_complete(_end_tasks())
        loop.close()


async def _end_tasks() -> None:
    """Cancel the other tasks of this loop, and wait for their ends."""
    left = asyncio.all_tasks() - {asyncio.current_task()}
    for task in left:
        if task is not None:
            task.cancel()
    await asyncio.gather(*left, return_exceptions=True)


def _run_until_ended(
    run: Callable[[], Coroutine[None, None, None]], name: str, system: System, end_request: EndRequest
) -> int:
    """Run one balancer, and again where a fault of the program ended it without being told to; gives the status."""
    backoff = Backoff()
    for _ in range(STARTS):
        loop = wait_for("event loop", EventLoop, system)
        try:
            _run_on(loop, run())
            return 0
        except UnrecoverableError as error:
            raise UnrecoverableError(f"{name}: {error}") from error
        except Exception:
            log.exception("%s: failed", name)
        if end_request.made or system.termination_pending():
            return 0
        log.warning("%s: starts anew", name)
        system.sleep(backoff.next_s())
    log.error("%s: failed %d times; it ends", name, STARTS)
    return FAILED_STATUS
