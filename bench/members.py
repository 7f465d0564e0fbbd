"""Failure detection among balancers: detection time, false positives, cost; on the virtual clock of `tests/peers.py`.

    python -m bench.members [SEEDS] [COUNT ...]     counts 12 40 200 by default; 1000 takes minutes

One in twenty messages is lost, and one member in six is short of CPU time: each of its actions is, once in a hundred
times, delayed by half a second. After 20 s without a failure one member is killed. Printed are the times until the
first and the last of the others see it as gone; false positives (a member sees a live one as gone) per hour over the
whole fleet; and the messages and bytes per second that one balancer sends before the kill.
"""

from __future__ import annotations

import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from lanemux.fleet.wire import Status
from tests.peers import SECOND, Peers

WARM_UP_S, OBSERVATION_S, LOSS, SLOW_EVERY, PAUSE_SHARE = 20.0, 25.0, 0.05, 6, 0.1


class Result(NamedTuple):
    """Results of one seed."""

    first_s: float
    last_s: float
    false_per_hour: float
    messages: float  # per second and balancer
    bytes: float


def play(count: int, seed: int) -> Result:
    """Simulate one seed."""
    peers = Peers(count, seed, LOSS)
    peers.slow = dict.fromkeys(range(0, count, SLOW_EVERY), PAUSE_SHARE)
    peers.run(WARM_UP_S)
    messages, size = peers.sent / WARM_UP_S / count, peers.sent_bytes / WARM_UP_S / count
    killed, at = 1, peers.now
    peers.kill(killed)
    peers.run(OBSERVATION_S)
    detected = {who: when for when, who, of, what in peers.seen if of == killed and when >= at and what is Status.GONE}
    times = sorted((when - at) / SECOND for when in detected.values())
    false = sum(what is Status.GONE and (of != killed or when < at) for when, _, of, what in peers.seen)
    last = times[-1] if len(times) == count - 1 else OBSERVATION_S
    return Result(
        times[0] if times else OBSERVATION_S, last, false * 3600 / (WARM_UP_S + OBSERVATION_S), messages, size
    )


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 16
    with ProcessPoolExecutor() as pool:
        for count in [int(c) for c in sys.argv[2:]] or [12, 40, 200]:
            results = list(pool.map(play, [count] * seeds, range(1, seeds + 1)))
            last = sorted(p.last_s for p in results)
            first = statistics.median(p.first_s for p in results)
            false, messages, size = (statistics.mean(of) for of in zip(*(p[2:] for p in results), strict=True))
            print(
                f"{count:5} members: first knows after {first:.2f} s, all after {statistics.median(last):.2f} s "
                f"(most {last[-1]:.2f}); false alarms an hour {false:.1f}; {messages:.1f} messages, {size:.0f} bytes "
                f"a second; {seeds} seeds",
                flush=True,
            )


if __name__ == "__main__":
    main()
