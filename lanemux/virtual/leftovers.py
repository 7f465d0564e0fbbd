"""Leak checks: requests that an idle balancer still holds, and resources left by a process that has ended."""

from __future__ import annotations

import asyncio
from typing import Any

from lanemux import interface as api
from lanemux.net.node import Node
from lanemux.policy import Balancer
from lanemux.storm.module import StormModule
from lanemux.virtual.module_monitor import ModuleMonitor
from lanemux.virtual.process import Process

HEALTH = {api.State.READY: "up", api.State.DRAINING: "draining"}


def requests_held_by(node: Node, monitor: ModuleMonitor) -> dict[str, int]:
    """Counts of the request state that a balancer holds, by kind; empty once all requests have ended."""
    held = {**node.held(), **_requests_held_by_module(monitor.balancer_module), "sends": len(monitor.open_attempts)}
    if isinstance(monitor.module, StormModule):
        held["storm's"] = monitor.module.open_requests
    return {name: count for name, count in held.items() if count}


def paused_idle_connections(node: Node) -> int:
    """Connections to boxes that wait for their next request and are not read."""
    return sum(connection.paused for connection in node.idle_connections())


def _requests_held_by_module(balancer_module: Balancer) -> dict[str, int]:
    return {
        "requests": len(balancer_module.requests),
        "held back": sum(len(t.held) for t in balancer_module.throttles.values()),
        "in line": sum(len(p.queue) for p in balancer_module.fleet.pools.values()),
    }


def health_believed_by(node: Node) -> dict[str, str]:
    """Each host's health according to the balancer's membership."""
    membership = node.upstream_set.membership
    return {
        host: HEALTH.get(last.upstream.state, "?")
        for host in sorted(membership.hosts)
        if (last := membership.last_entry(host)) is not None
    }


def resources_left_by(process: Process) -> str:
    """Describes the tasks, timers and descriptors left by a process that has ended; empty if there are none."""
    tasks = [task for task in asyncio.all_tasks(process.loop) if task is not process.main]
    timers = process.loop.pending_timers()
    if not (tasks or timers or process.sockets):
        return ""
    return (
        f"{process.name} ended with {len(tasks)} tasks {[_name(task) for task in tasks]}, "
        f"{len(timers)} timers {sorted({_callback(timer) for timer in timers})}, "
        f"{len(process.sockets)} descriptors"
    )


def _name(task: asyncio.Task[Any]) -> str:
    return str(getattr(task.get_coro(), "__qualname__", "?"))


def _callback(handle: asyncio.TimerHandle) -> str:
    return str(getattr(handle, "_callback", "?")).partition(" at 0x")[0]
