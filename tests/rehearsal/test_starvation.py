"""A life that this machine held up accuses nobody; a fault that it did not cause stays one."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

import pytest

from lanemux.rehearsal.balancers import stolen_s
from lanemux.rehearsal.calls import lifecycle
from lanemux.rehearsal.calls.lifecycle import HostDelayMonitor, HostDelays, LifecycleResult
from lanemux.rehearsal.looks import LatenessLog


def test_a_kit_that_was_late_is_told_and_only_for_its_span(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lifecycle, "is_runnable", lambda pid: False)

    async def test() -> tuple[HostDelays, HostDelays]:
        log = LatenessLog(asyncio.get_running_loop())
        await asyncio.sleep(0.02)
        held_up = HostDelayMonitor(log, os.getpid())
        time.sleep(0.2)
        first = await held_up.measure()
        await asyncio.sleep(0.02)
        after = HostDelayMonitor(log, os.getpid())
        await asyncio.sleep(0.02)
        second = await after.measure()
        log.stop()
        return first, second

    first, after = asyncio.run(test())
    assert first.harness_late_s > 0.1 and first.over_limit
    assert after.harness_late_s < 0.1


def test_a_wait_for_a_processor_that_goes_on_is_counted_once_it_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    waits_ns, runnable = iter((0, 0, 0, 0, 900_000_000, 900_000_000)), iter((True, True, True, True, False))
    monkeypatch.setattr(lifecycle, "waited_ns", lambda pid: next(waits_ns))
    monkeypatch.setattr(lifecycle, "is_runnable", lambda pid: next(runnable))

    async def test() -> HostDelays:
        log = LatenessLog(asyncio.get_running_loop())
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
def test_a_shortage_over_the_bounds_of_a_rehearsal_explains_a_fault(shortage: HostDelays, explains: bool) -> None:
    assert shortage.over_limit == explains


def test_a_fault_that_a_shortage_explains_hides_no_other() -> None:
    short, both = LifecycleResult([]), LifecycleResult([])
    short.record_fault("no answer", HostDelays(0.2, 0.0, 0.0))
    assert not short.has_faults and "kit late 200 ms" in short.not_valid
    both.record_fault("no answer", HostDelays(0.2, 0.0, 0.0))
    both.record_fault("no answer", HostDelays(0.0, 0.0, 0.0))
    assert both.has_faults


def test_stolen_time_is_the_mean_of_the_processors(monkeypatch: pytest.MonkeyPatch) -> None:
    ticks_a_second = os.sysconf("SC_CLK_TCK")
    line = f"cpu  1 2 3 4 5 6 7 {40 * ticks_a_second} 9 10\n"
    monkeypatch.setattr(Path, "read_text", lambda path: line)
    monkeypatch.setattr(os, "cpu_count", lambda: 10)
    assert stolen_s() == 4.0
