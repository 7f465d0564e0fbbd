"""What a fleet gains from the words between balancers, on the model of `tests/fleet.py`: with them over without.

python -m bench.fleet [SEEDS]     8 cores: 3 s for one seed
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
COLD = 0.31


def play(day: str, seed: int, tell: bool) -> float:
    """Share of what was asked that was served in time."""
    slow = set(random.Random(seed).sample(range(1, BOXES + 1), 9))

    def known(number: int) -> Box:
        if day == "nine never in time" and number in slow:
            return Box(speed=0.15)
        if day == "half dead" and number % 2:
            return Box(dead=True)
        if day == "half cold" and number % 2:
            return Box(speed=COLD, started_ns=START - MS)
        return Box()

    fleet = Fleet(PROXIES, BOXES, seed, tell, known=known)
    fleet.run(SECONDS, RATES[day])
    return fleet.ended["served"] / fleet.ended["asked"]


def main() -> None:
    seeds = range(1, 1 + int(sys.argv[1] if len(sys.argv) > 1 else "4"))
    with ProcessPoolExecutor() as pool:
        for day in RATES:
            told = list(pool.map(play, [day] * len(seeds), seeds, [True] * len(seeds)))
            silent = list(pool.map(play, [day] * len(seeds), seeds, [False] * len(seeds)))
            ratio = statistics.mean(a / b for a, b in zip(told, silent, strict=True))
            print(
                f"{day:20} served with words {statistics.mean(told):.3f}, without {statistics.mean(silent):.3f}, "
                f"ratio {ratio:.2f}, {len(seeds)} seeds"
            )


if __name__ == "__main__":
    main()
