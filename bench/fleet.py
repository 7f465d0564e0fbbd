"""Effect of the messages between balancers on the service of a fleet, on the simulation of `tests/fleet.py`.

python -m bench.fleet [SEEDS]     on 8 cores, one seed takes 3 s
"""

from __future__ import annotations

import random
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

from tests.bench import MS, START
from tests.fleet import Box, Fleet

PROXIES, BOXES, SECONDS = 40, 60, 4.0
RATES = {"half load": 560.0, "nine never in time": 400.0, "half dead": 800.0, "half cold": 720.0}
COLD_SPEED = 0.31


def play(case: str, seed: int, with_messages: bool) -> float:
    """Share of the requests that were served in time; `with_messages`: balancers send one another messages."""
    slow = set(random.Random(seed).sample(range(1, BOXES + 1), 9))

    def make_box(number: int) -> Box:
        if case == "nine never in time" and number in slow:
            return Box(speed=0.15)
        if case == "half dead" and number % 2:
            return Box(dead=True)
        if case == "half cold" and number % 2:
            return Box(speed=COLD_SPEED, started_ns=START - MS)
        return Box()

    fleet = Fleet(PROXIES, BOXES, seed, with_messages, known=make_box)
    fleet.run(SECONDS, RATES[case])
    return fleet.ended["served"] / fleet.ended["asked"]


def main() -> None:
    seeds = range(1, 1 + int(sys.argv[1] if len(sys.argv) > 1 else "4"))
    with ProcessPoolExecutor() as pool:
        for case in RATES:
            informed = list(pool.map(play, [case] * len(seeds), seeds, [True] * len(seeds)))
            alone = list(pool.map(play, [case] * len(seeds), seeds, [False] * len(seeds)))
            ratio = statistics.mean(a / b for a, b in zip(informed, alone, strict=True))
            print(
                f"{case:20} served with words {statistics.mean(informed):.3f}, without {statistics.mean(alone):.3f}, "
                f"ratio {ratio:.2f}, {len(seeds)} seeds"
            )


if __name__ == "__main__":
    main()
