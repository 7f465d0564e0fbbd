"""How soon all know that a balancer is gone, false alarms, and what it costs, on the virtual clock of `tests/peers.py`.

    python -m bench.members [SEEDS] [COUNT ...]     counts 12 40 200 by default; 1000 takes minutes

One in twenty messages is lost, and one member in six is short of processor: before each thing that it does it may, once
in a hundred times, stand still for half a second. After 20 quiet seconds one is killed. Told are the times until the
first and the last of all others take it to be gone; views that took one to be gone that was not, in an hour over the
whole fleet; and messages and bytes a second that one balancer sends, before the kill.
"""

from __future__ import annotations

import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from lanemux.fleet.wire import Status
from tests.peers import SECOND, Peers

QUIET_S, WATCHED_S, LOST, SHORT, SHORT_PART = 20.0, 25.0, 0.05, 6, 0.1


class Played(NamedTuple):
    """What one seed showed."""

    first_s: float
    last_s: float
    false_hour: float
    messages: float  # a second and balancer
    bytes: float


def play(count: int, seed: int) -> Played:
    peers = Peers(count, seed, LOST)
    peers.slow = dict.fromkeys(range(0, count, SHORT), SHORT_PART)
    peers.run(QUIET_S)
    messages, size = peers.sent / QUIET_S / count, peers.sent_bytes / QUIET_S / count
    killed, at = 1, peers.now
    peers.kill(killed)
    peers.run(WATCHED_S)
    knew = {who: when for when, who, of, what in peers.seen if of == killed and when >= at and what is Status.GONE}
    times = sorted((when - at) / SECOND for when in knew.values())
    false = sum(what is Status.GONE and (of != killed or when < at) for when, _, of, what in peers.seen)
    last = times[-1] if len(times) == count - 1 else WATCHED_S
    return Played(times[0] if times else WATCHED_S, last, false * 3600 / (QUIET_S + WATCHED_S), messages, size)


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 16
    with ProcessPoolExecutor() as pool:
        for count in [int(c) for c in sys.argv[2:]] or [12, 40, 200]:
            played = list(pool.map(play, [count] * seeds, range(1, seeds + 1)))
            last = sorted(p.last_s for p in played)
            first = statistics.median(p.first_s for p in played)
            false, messages, size = (statistics.mean(of) for of in zip(*(p[2:] for p in played), strict=True))
            print(
                f"{count:5} members: first knows after {first:.2f} s, all after {statistics.median(last):.2f} s "
                f"(most {last[-1]:.2f}); false alarms an hour {false:.1f}; {messages:.1f} messages, {size:.0f} bytes "
                f"a second; {seeds} seeds",
                flush=True,
            )


if __name__ == "__main__":
    main()
