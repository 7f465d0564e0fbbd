"""A process's life delayed by a busy machine is not judged; faults that the machine did not cause still count."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

import pytest

from lanemux.rehearsal.balancers import cpu_steal_s
from lanemux.rehearsal.calls import lifecycle
from lanemux.rehearsal.calls.lifecycle import HostDelayMonitor, HostDelays, LifecycleResult
from lanemux.rehearsal.loop_timing import LoopLagLog


def test_a_late_harness_is_reported_only_for_its_span(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lifecycle, "is_runnable", lambda pid: False)

    async def test() -> tuple[HostDelays, HostDelays]:
        log = LoopLagLog(asyncio.get_running_loop())
        await asyncio.sleep(0.02)
        stalled = HostDelayMonitor(log, os.getpid())
        time.sleep(0.2)
        during_stall = await stalled.measure()
        await asyncio.sleep(0.02)
        after_stall = HostDelayMonitor(log, os.getpid())
        await asyncio.sleep(0.02)
        second = await after_stall.measure()
        log.stop()
        return during_stall, second

    during_stall, after_stall = asyncio.run(test())
    assert during_stall.harness_late_s > 0.1 and during_stall.over_limit
    assert after_stall.harness_late_s < 0.1


def test_a_wait_for_a_cpu_is_counted_once_it_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    waits_ns, runnable = iter((0, 0, 0, 0, 900_000_000, 900_000_000)), iter((True, True, True, True, False))
    monkeypatch.setattr(lifecycle, "cpu_wait_ns", lambda pid: next(waits_ns))
    monkeypatch.setattr(lifecycle, "is_runnable", lambda pid: next(runnable))

    async def test() -> HostDelays:
        log = LoopLagLog(asyncio.get_running_loop())
        found = await HostDelayMonitor(log, os.getpid()).measure()
        log.stop()
        return found

    assert asyncio.run(test()).balancer_cpu_wait_s == 0.9


@pytest.mark.parametrize(
    ("shortage", "explains"),
    [
        (HostDelays(0.04, 0.04, 0.04), False),
        (HostDelays(0.06, 0.0, 0.0), True),
        (HostDelays(0.0, 0.06, 0.0), True),
        (HostDelays(0.0, 0.0, 0.06), True),
        (HostDelays(0.4, 0.4, 0.4, span_s=10.0), False),
        (HostDelays(0.6, 0.0, 0.0, span_s=10.0), True),
        (HostDelays(0.0, 0.6, 0.0, span_s=10.0), True),
    ],
)
def test_a_shortage_over_the_limits_of_a_valid_run_explains_a_fault(shortage: HostDelays, explains: bool) -> None:
    assert shortage.over_limit == explains


def test_a_fault_explained_by_a_shortage_hides_no_other_fault() -> None:
    explained, mixed = LifecycleResult([]), LifecycleResult([])
    explained.record_fault("no answer", HostDelays(0.2, 0.0, 0.0))
    assert not explained.has_faults and "kit late 200 ms" in explained.not_valid
    mixed.record_fault("no answer", HostDelays(0.2, 0.0, 0.0))
    mixed.record_fault("no answer", HostDelays(0.0, 0.0, 0.0))
    assert mixed.has_faults


def test_stolen_time_is_the_mean_of_the_processors(monkeypatch: pytest.MonkeyPatch) -> None:
    ticks_a_second = os.sysconf("SC_CLK_TCK")
    line = f"cpu  1 2 3 4 5 6 7 {40 * ticks_a_second} 9 10\n"
    monkeypatch.setattr(Path, "read_text", lambda path: line)
    monkeypatch.setattr(os, "cpu_count", lambda: 10)
    assert cpu_steal_s() == 4.0
