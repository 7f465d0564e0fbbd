"""A process's life delayed by a busy machine is not judged; faults that the machine did not cause still count."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

import pytest

from lanemux.rehearsal.balancers import cpu_steal_s
from lanemux.rehearsal.calls import life
from lanemux.rehearsal.calls.life import Life, Shortage, Starvation
from lanemux.rehearsal.loop_timing import LoopLagLog


def test_a_late_harness_is_reported_only_for_its_span(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(life, "is_runnable", lambda pid: False)

    async def test() -> tuple[Shortage, Shortage]:
        log = LoopLagLog(asyncio.get_running_loop())
        await asyncio.sleep(0.02)
        stalled = Starvation(log, os.getpid())
        time.sleep(0.2)
        during_stall = await stalled.look()
        await asyncio.sleep(0.02)
        after_stall = Starvation(log, os.getpid())
        await asyncio.sleep(0.02)
        second = await after_stall.look()
        log.stop()
        return during_stall, second

    during_stall, after_stall = asyncio.run(test())
    assert during_stall.kit_late_s > 0.1 and during_stall.explains
    assert after_stall.kit_late_s < 0.1


def test_a_wait_for_a_cpu_is_counted_once_it_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    waits_ns, runnable = iter((0, 0, 0, 0, 900_000_000, 900_000_000)), iter((True, True, True, True, False))
    monkeypatch.setattr(life, "cpu_wait_ns", lambda pid: next(waits_ns))
    monkeypatch.setattr(life, "is_runnable", lambda pid: next(runnable))

    async def test() -> Shortage:
        log = LoopLagLog(asyncio.get_running_loop())
        found = await Starvation(log, os.getpid()).look()
        log.stop()
        return found

    assert asyncio.run(test()).balancer_waited_s == 0.9


@pytest.mark.parametrize(
    ("shortage", "explains"),
    [
        (Shortage(0.04, 0.04, 0.04), False),
        (Shortage(0.06, 0.0, 0.0), True),
        (Shortage(0.0, 0.06, 0.0), True),
        (Shortage(0.0, 0.0, 0.06), True),
        (Shortage(0.4, 0.4, 0.4, span_s=10.0), False),
        (Shortage(0.6, 0.0, 0.0, span_s=10.0), True),
        (Shortage(0.0, 0.6, 0.0, span_s=10.0), True),
    ],
)
def test_a_shortage_over_the_limits_of_a_valid_run_explains_a_fault(shortage: Shortage, explains: bool) -> None:
    assert shortage.explains == explains


def test_a_fault_explained_by_a_shortage_hides_no_other_fault() -> None:
    explained, mixed = Life([]), Life([])
    explained.accuse("no answer", Shortage(0.2, 0.0, 0.0))
    assert not explained.bad and "kit late 200 ms" in explained.not_valid
    mixed.accuse("no answer", Shortage(0.2, 0.0, 0.0))
    mixed.accuse("no answer", Shortage(0.0, 0.0, 0.0))
    assert mixed.bad


def test_stolen_time_is_the_mean_of_the_processors(monkeypatch: pytest.MonkeyPatch) -> None:
    ticks_a_second = os.sysconf("SC_CLK_TCK")
    line = f"cpu  1 2 3 4 5 6 7 {40 * ticks_a_second} 9 10\n"
    monkeypatch.setattr(Path, "read_text", lambda path: line)
    monkeypatch.setattr(os, "cpu_count", lambda: 10)
    assert cpu_steal_s() == 4.0
