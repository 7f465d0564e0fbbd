"""The balancer process: reads the configuration, runs the node, and ends on a signal."""

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
from lanemux.net.reload import ListSourceSetting, Reloader
from lanemux.net.stages import Stages
from lanemux.net.startup import Interrupted, wait_for
from lanemux.policy import Balancer

log = logging.getLogger(__name__)

MAX_READINESS_DELAY_S = 1.0  # with a small processor quota, serving slowly is better than not serving
STATUS_INTERVAL_S = 1.0
THROTTLE_LAG_S = 0.15  # throttling may begin this long after the quota was exceeded
END_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*END_SIGNALS, signal.SIGHUP)  # blocked while no handlers are installed

MAX_STARTS = 5  # within one process, when unexpected exceptions end the balancer
FAILED_STATUS = 1
UNUSABLE_STATUS = 2

MakeModule = Callable[[Settings, int, int], Module]  # arguments: settings, seed, time in ns


class Extension(Protocol):
    """Optional parts of a node that the platform's configuration enables: the admin interface, the takeover."""

    def start(self) -> None:
        """Called before the node starts; resources that are not available yet are retried in the background."""

    def close(self) -> None:
        """Release everything."""


MakeExtension = Callable[[Node, System], Extension]  # called if an admin address or an inherited listener is configured


@dataclass
class StopRequest:
    """Records whether a signal has asked the process to end."""

    received: bool = False


def readiness_delay_s(cores: float, spent_s: float) -> float:
    """How long to delay readiness until the processor quota covers the processor time that the start has used.

    A process that has exceeded its quota is throttled until it is within it again, and without the delay the first
    clients would wait that long. The cost: a restarted balancer is ready some tenths of a second later. Clients that
    connect before that are served."""
    return min(MAX_READINESS_DELAY_S, spent_s / cores + THROTTLE_LAG_S) if cores > 0 else 0.0


def block_signals() -> None:
    """Block the handled signals: they stay pending until handlers are installed, and do not end the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


async def serve(
    config: Config,
    path: str,
    list_source: ListSourceSetting | None = None,
    system: System | None = None,
    module: MakeModule = Balancer,
    on_node_created: Callable[[Node], None] = lambda node: None,
    admission: MakeConnectionAdmission | None = None,
    extend: MakeExtension | None = None,
    stages: Stages | None = None,
    stop_request: StopRequest | None = None,
) -> None:
    """Run one balancer on the running loop until SIGTERM or SIGINT has ended it.

    `on_node_created` is called with the node before it starts. `stages` holds the start's stages so far, and
    `stop_request` records those signals. Raises UnrecoverableError if the listening address can never be bound."""
    system = system or Machine()
    stages = stages or Stages(system)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    request = stop_request or StopRequest()

    def on_end_signal() -> None:
        request.received = True
        stop.set()

    for number in END_SIGNALS:
        loop.add_signal_handler(number, on_end_signal)
    source = list_source.current if list_source is not None else None
    node = Node(config, module(config.settings, config.seed, now_ns()), source, system, admission)
    if isinstance(loop, EventLoop):
        loop.counter = node.tally
    on_node_created(node)
    reloader = Reloader(path, config, node, list_source, system)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    status_task: asyncio.Task[None] | None = None
    extensible = config.admin is not None or config.listen_fd is not None
    extension = extend(node, system) if extend is not None and extensible else None
    try:
        if extension is not None:
            extension.start()
        if await _start(node, readiness_delay_s(config.cores, system.cpu_time_s()), stop):
            stages.complete("list and sockets")
            log.info(
                "%s: started: %s; %d balancers, %d upstreams",
                config.name,
                stages.summary(),
                len(config.peers),
                node.discovered,
            )
            log.info("%s: ready on port %d", config.name, node.port)
            if log.isEnabledFor(logging.DEBUG):
                status_task = loop.create_task(_log_status(config.name, node))
            await stop.wait()
        log.info("%s: stopping", config.name)
        await _end(node)
    except Exception:
        node.close()
        raise
    finally:
        reloader.stop()
        if status_task is not None:
            status_task.cancel()
        if extension is not None:
            extension.close()
        log.info("%s: ended: %s; %d requests open", config.name, stages.final_summary(), node.outstanding)


async def _end(node: Node) -> None:
    """Drain the node. If that fails, the remaining requests are answered at once."""
    try:
        await node.drain()
    except Exception:
        log.exception("%s: draining failed; open requests are answered now", node.config.name)
        node.close()


async def _start(node: Node, ready_after_s: float, stop: asyncio.Event) -> bool:
    """Start the node; returns False if the process is asked to end before the node serves."""
    starting = asyncio.create_task(node.start(ready_after_s))
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


async def _log_status(name: str, node: Node) -> None:
    """Log the module's internal figures once a second."""
    while True:
        await asyncio.sleep(STATUS_INTERVAL_S)
        log.debug("%s: standing %s", name, json.dumps(node.standing(), separators=(",", ":")))


def _log_to_standard_error(level: str) -> None:
    handler = NonBlockingHandler()
    handler.addFilter(LogRateLimit())
    logging.basicConfig(level=level.upper(), handlers=[handler], format="%(asctime)s %(levelname)s %(message)s")
    logging.raiseExceptions = False  # a failure to write the log must not cause more output


def _read_configuration(path: str | None, system: System) -> Config:
    if not path:
        raise BadConfig("RELAY_CONFIG is not set")
    config = wait_for("configuration", lambda: read_config(path, system), system)
    return from_environment(config, os.environ)


def main(
    list_source: ListSourceSetting | None = None,
    module: MakeModule = Balancer,
    admission: MakeConnectionAdmission | None = None,
    extend: MakeExtension | None = None,
    level: str = "info",
    on_node_created: Callable[[Node], None] = lambda node: None,
) -> int:
    """Run one balancer until a signal ends it; returns the exit status.

    Upstreams come from platform discovery unless `list_source` names another source."""
    _log_to_standard_error(level)
    block_signals()
    system = Machine()
    stages = Stages(system)
    stages.complete("imports")
    path = os.environ.get("RELAY_CONFIG")

    stop_request = StopRequest()

    async def run(config: Config) -> None:
        try:
            await serve(
                config,
                path or "",
                list_source,
                module=module,
                on_node_created=on_node_created,
                admission=admission,
                extend=extend,
                stages=stages,
                stop_request=stop_request,
            )
        finally:
            block_signals()  # the loop's handlers go with the loop; later signals stay pending

    try:
        config = _read_configuration(path, system)
        stages.complete("configuration")
        return _run_until_ended(lambda: run(config), config.name, system, stop_request)
    except Interrupted:
        log.info("ended by a signal during the start")
        return 0
    except (BadConfig, UnrecoverableError) as error:
        print(f"lanemux: {error}", file=sys.stderr)
        return UNUSABLE_STATUS


def _run_on(loop: EventLoop, work: Coroutine[None, None, None]) -> None:
    """Run `work`, then end the tasks that it left. (`asyncio.run` installs its own SIGINT handler, which may fail.)"""
    try:
        loop.run_until_complete(work)
    finally:
        loop.run_until_complete(_end_tasks())
        loop.close()


async def _end_tasks() -> None:
    """Cancel the other tasks of this loop, and wait for them."""
    remaining = asyncio.all_tasks() - {asyncio.current_task()}
    for task in remaining:
        if task is not None:
            task.cancel()
    await asyncio.gather(*remaining, return_exceptions=True)


def _run_until_ended(
    run: Callable[[], Coroutine[None, None, None]], name: str, system: System, stop_request: StopRequest
) -> int:
    """Run one balancer, and restart it if an unexpected exception ends it; returns the exit status."""
    backoff = Backoff()
    for _ in range(MAX_STARTS):
        loop = wait_for("event loop", EventLoop, system)
        try:
            _run_on(loop, run())
            return 0
        except UnrecoverableError as error:
            raise UnrecoverableError(f"{name}: {error}") from error
        except Exception:
            log.exception("%s: failed", name)
        if stop_request.received or system.termination_pending():
            return 0
        log.warning("%s: restarting", name)
        system.sleep(backoff.next_s())
    log.error("%s: failed %d times; exiting", name, MAX_STARTS)
    return FAILED_STATUS
