"""Fleet membership with several balancer processes, with network and process faults."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

from tests.cluster.rig import ADMIN_HOST, cluster

LIMIT_S = 60.0
KNOWN_S = 12.0  # until all know a crash: at most 6.6 s of suspicion, after a probe in each period


def all_say(state: str, of: int) -> object:
    return lambda views: all(v[of][0] == state for i, v in views.items() if i != of)


def test_all_detect_a_crash_and_a_restart_has_a_higher_incarnation(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 5, seed=1) as fleet:
            for link in fleet.relay.links.values():
                link.loss_rate, link.duplicate_rate, link.delay_s = 0.05, 0.1, (0.0, 0.05)
            others = [0, 1, 3, 4]
            await fleet.until(
                lambda views: all(s == "up" for v in views.values() for s, _ in v.values()), list(range(5)), 5.0
            )
            await fleet.kill(2)
            await fleet.until(all_say("gone", 2), others, KNOWN_S)  # type: ignore[arg-type]
            views = [await fleet.view(i) for i in others]
            assert all(v is not None and v[i][0] == "up" for v in views for i in others)
            was = max(v[2][1] for v in views if v is not None)
            await fleet.start(2)
            await fleet.until(all_say("up", 2), others, KNOWN_S)  # type: ignore[arg-type]
            back = await fleet.view(2)
            assert back is not None and back[2][1] > was
            shown = await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "lanemux", "fleet", "show", f"{ADMIN_HOST}:{fleet.admin[2]}"],
                capture_output=True,
                text=True,
                check=True,
            )
            assert len(shown.stdout.splitlines()) == 6 and "(asked)" in shown.stdout.splitlines()[3]

    asyncio.run(asyncio.wait_for(test(), LIMIT_S))


def test_a_process_suspended_for_a_second_is_not_gone_and_a_leave_spreads_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 5, seed=2) as fleet:
            fleet.signal(3, signal.SIGSTOP)
            await asyncio.sleep(1.0)  # the length of the suspension; not a wait for a condition
            fleet.signal(3, signal.SIGCONT)
            await fleet.until(lambda views: all(v[3][0] == "up" for v in views.values()), list(range(5)), KNOWN_S)
            assert not any("balancer 3 is gone" in (tmp_path / f"{i}.log").read_text() for i in range(5))
            fleet.signal(4, signal.SIGTERM)
            took = await fleet.until(all_say("leaving", 4), [0, 1, 2, 3], KNOWN_S)  # type: ignore[arg-type]
            assert took < 4.0

    asyncio.run(asyncio.wait_for(test(), LIMIT_S))


def test_a_partition_heals_and_delayed_messages_from_before_have_no_effect(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 5, seed=3) as fleet:
            for (a, b), link in fleet.relay.links.items():
                if (a < 2) != (b < 2):
                    link.stalled = True
            await fleet.until(
                lambda views: all(
                    (v[j][0] == "gone") is ((i < 2) != (j < 2)) for i, v in views.items() for j in range(5)
                ),
                list(range(5)),
                20.0,
            )
            fleet.relay.release()
            await fleet.until(
                lambda views: all(s == "up" for v in views.values() for s, _ in v.values()), list(range(5)), 20.0
            )

    asyncio.run(asyncio.wait_for(test(), LIMIT_S))


def test_a_balancer_without_fleet_does_not_disturb_the_others(tmp_path: Path) -> None:
    """It behaves like one of the previous version, which reads none of these messages."""

    async def test() -> None:
        async with cluster(tmp_path, 3, seed=4) as fleet:
            await fleet.kill(1)
            (tmp_path / "operators.toml").write_text("")
            start = asyncio.create_task(fleet.start(1))
            await fleet.until(all_say("gone", 1), [0, 2], KNOWN_S)  # type: ignore[arg-type]
            assert fleet.processes[1].returncode is None
            assert await fleet.call(1, "/admin/fleet") is None and await fleet.call(1, "/admin/stats") is not None
            views = [await fleet.view(i) for i in (0, 2)]
            assert all(v is not None and v[0][0] == v[2][0] == "up" for v in views)
            start.cancel()
            assert "Traceback" not in (tmp_path / "1.log").read_text()

    asyncio.run(asyncio.wait_for(test(), LIMIT_S))
