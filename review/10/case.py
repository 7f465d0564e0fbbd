"""Case 10: a new discovery that takes 1.3 s for an answer is never taken up, and a drain is not heard of."""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness2 import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    TROUBLE,
    Balancer,
    Discovery,
    Message,
    NotRunError,
    Record,
    Upstream,
    answer_ok,
    ask,
    free_port,
    get,
    profile,
    row,
    run_case,
    settings,
)

COUNT = 3  # balancers
UPSTREAMS = 3
WORK_S = 0.03  # an upstream works on a request for so long
SLOW_S = 1.3 if TROUBLE else 0.0  # time that the new discovery takes for each answer
OLD_CLOSES_S = 1.5  # the old discovery closes its open connections so long after SIGHUP
SETTLE_S = 8.0  # from SIGHUP to the drain
TOLD_S = 6.0  # a change counts as told at the latest so long after discovery had it and could be reached
GRACE_S = 0.5 + 0.05  # rules.stop_sending_within_ns, and what each limit is longer on sockets
WATCHED_S = 25.0  # from the drain to the end
PAUSE_S = 0.1  # between two requests of one client; four clients a balancer


async def work(upstream: Upstream, request: Message, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(WORK_S)
    await answer_ok(upstream, request, writer)


async def client(balancer: Balancer, name: str, record: Record, statuses: dict[int, int]) -> None:
    """One request after another to one balancer."""
    for count in itertools.count():
        number = f"{balancer.name}-{name}{count}"
        try:
            status = (await ask(HOST, balancer.port, "/order/x", number, 600, "POST")).status
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            status = 0
        statuses[status] = statuses.get(status, 0) + 1
        record(f"answer {number}: {status}")
        await asyncio.sleep(PAUSE_S)


async def case(folder: Path, record: Record) -> int:
    upstreams = [await Upstream(f"u{i}", record, work).start() for i in range(UPSTREAMS)]
    rows = [row(u.name, u.port) for u in upstreams]
    old = await Discovery(record, rows).start()
    new = await Discovery(record, rows).start()
    new.delay_s = SLOW_S
    balancers = [
        Balancer(
            f"n{i}",
            folder,
            {
                "name": f"n{i}",
                "listen": f"{HOST}:{free_port()}",
                "discovery": f"{HOST}:{old.port}",
                "seed": f"9{i}{time.monotonic_ns()}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"seq": 1, "whole": True, "hosts": rows},
                "settings": settings(
                    me=i,
                    replicas_of_me=COUNT,
                    registry_mode="ask",
                    profiles=[profile("order", "non_idempotent", limit_ms=2000, aim_ms=1000)],
                ),
            },
        )
        for i in range(COUNT)
    ]
    statuses: dict[int, int] = {}
    asking: list[asyncio.Task[None]] = []
    try:
        for balancer in balancers:
            await balancer.start()
            await balancer.ready()
        asking = [asyncio.create_task(client(b, name, record, statuses)) for b in balancers for name in "abcd"]
        await asyncio.sleep(5.0)
        record.say(f"platform: a new configuration, SIGHUP; the new discovery takes {SLOW_S} s for an answer")
        for balancer in balancers:
            balancer.config["discovery"] = f"{HOST}:{new.port}"
            balancer.write_config()
            balancer.signal(signal.SIGHUP)
        old.close()
        await asyncio.sleep(OLD_CLOSES_S)
        old.drop()
        await asyncio.sleep(SETTLE_S - OLD_CLOSES_S)
        began = time.monotonic()
        answer = await get(HOST, new.port, "/registry/instances", 5.0)
        record.say(f"operators: the new discovery answers {answer.status} after {time.monotonic() - began:.1f} s")
        drained = time.monotonic()
        new.change("u0", health="draining")
        await asyncio.sleep(WATCHED_S)
        late = [(at - drained, number) for at, number in upstreams[0].began if at > drained + TOLD_S + GRACE_S]
        for after, number in late:
            record(f"LATE: {number} began at u0 {after:.3f} s after the drain")
        record.say(
            f"answers {statuses}; the new discovery got {new.calls} calls; {len(late)} requests sent to u0 later than "
            f"{TOLD_S + GRACE_S} s after it began to drain, by "
            f"{len({number.partition('-')[0] for _, number in late})} of {COUNT} balancers, the last after "
            f"{late[-1][0] if late else 0:.1f} s of {WATCHED_S}"
        )
        if not statuses.get(200):
            raise NotRunError("nothing was served")
        return BROKEN if late else HELD
    finally:
        for task in asking:
            task.cancel()
        for balancer in balancers:
            await balancer.kill()
        for discovery in (old, new):
            discovery.close()
        for upstream in upstreams:
            upstream.stop()


run_case(case, HERE)
