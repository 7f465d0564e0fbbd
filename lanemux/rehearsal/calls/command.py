"""`lanemux soak --every-call`: lives of one balancer, each with other calls of the C library failing."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import shutil
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import asdict
from pathlib import Path

from lanemux.rehearsal.calls.library import Counts, NoCompiler, build
from lanemux.rehearsal.calls.lifecycle import LifecycleResult, play
from lanemux.rehearsal.calls.rules import BadRules, Rule, combination, one_by_one, read, written
from lanemux.rehearsal.looks import LatenessLog

ALL_GOOD, SOME_BAD, BAD_USE, NOT_VALID = 0, 1, 2, 3
PLACES = 60  # of one kind of call that fail, a life each
AT_ONCE = 12  # lives
TRIES = 3  # of a life that can't be judged, since a stand-in or this machine failed it
REST_S = 1.0  # before it is played again
PROGRESS_EVERY = 200  # lives
HOSTS = 250  # in one of the loopback networks 127.x.y.0
FIRST_NETWORK, NETWORKS = 192, 62  # of 127.x.0.0: one a process, so that two of them meet hardly ever
SHOWN = 40  # bad lives that are printed


def main(argv: Sequence[str]) -> int:
    """Play the lives. 0: none was bad; 1: some were; 2: bad use; 3: nothing could be judged."""
    options = _options(argv)
    began = time.monotonic()
    command = options.command or [sys.executable, "-m", "lanemux"]
    with tempfile.TemporaryDirectory(prefix="calls-") as folder:
        try:
            library = build(Path(folder))
            plain = asyncio.run(play_all(command, [[]], library, Path(folder), 1))[0]
            if plain.faults or plain.not_valid:
                print(f"lanemux: a life in which nothing fails: {plain.faults or plain.not_valid}", file=sys.stderr)
                return NOT_VALID
            lives = _drawn(options, plain.counts)
        except (NoCompiler, BadRules, ValueError) as error:
            print(f"lanemux: {error}", file=sys.stderr)
            return BAD_USE
        played = asyncio.run(play_all(command, lives, library, Path(folder), options.at_once, not options.quiet))
    if options.json:
        Path(options.json).write_text(json.dumps({"lives": [asdict(life) for life in played]}, indent=1) + "\n")
    _report(lives, played, plain.counts, time.monotonic() - began)
    if any(life.has_faults for life in played):
        return SOME_BAD
    return NOT_VALID if all(life.not_valid for life in played) else ALL_GOOD


def _drawn(options: argparse.Namespace, counts: dict[str, Counts]) -> list[list[Rule]]:
    """The lives that are asked for."""
    calls = {kind: count.since for kind, count in counts.items()}
    if options.replay is not None:
        return [read(options.replay)] * options.times
    if options.combinations:
        first, _, last = options.combinations.partition("-")
        return [combination(seed, calls) for seed in range(int(first), int(last or first) + 1)]
    lives = one_by_one(calls, options.places)
    if options.kinds:
        lives = [rules for rules in lives if rules[0].kind in options.kinds]
    if options.sample is not None:
        lives = random.Random(f"sample/{options.seed}").sample(lives, min(options.sample, len(lives)))
    return lives


async def play_all(
    command: Sequence[str],
    lives: Sequence[Sequence[Rule]],
    library: Path,
    folder: Path,
    at_once: int,
    progress: bool = False,
) -> list[LifecycleResult]:
    """Each life, so many at once; in the order of `lives`."""
    played: dict[int, LifecycleResult] = {}
    waiting = iter(enumerate(lives))
    lateness = LatenessLog(asyncio.get_running_loop())

    async def play_once(number: int, rules: Sequence[Rule]) -> LifecycleResult:
        place = folder / f"life-{number}"
        place.mkdir(exist_ok=True)
        try:
            return await play(command, rules, library, place, _host(number), lateness, number)
        finally:
            shutil.rmtree(place, ignore_errors=True)

    async def play_until_valid(number: int, rules: Sequence[Rule]) -> LifecycleResult:
        held_up: list[str] = []
        for _ in range(TRIES):
            life = await play_once(number, rules)
            life.held_up = held_up
            if life.has_faults or not life.not_valid:
                break
            held_up.append(life.not_valid)
            await asyncio.sleep(REST_S)
        return life

    async def work() -> None:
        for number, rules in waiting:
            played[number] = await play_until_valid(number, rules)
            if progress and len(played) % PROGRESS_EVERY == 0:
                bad = sum(life.has_faults for life in played.values())
                print(f"{len(played)} of {len(lives)} lives played, {bad} bad", flush=True)

    async with asyncio.TaskGroup() as group:
        for _ in range(at_once):
            group.create_task(work())
    lateness.stop()
    return [played[number] for number in range(len(lives))]


def _host(number: int) -> str:
    """The loopback host of a life's own."""
    return f"127.{FIRST_NETWORK + os.getpid() % NETWORKS}.{number // HOSTS % HOSTS}.{1 + number % HOSTS}"


def _report(
    lives: Sequence[Sequence[Rule]], played: Sequence[LifecycleResult], counts: dict[str, Counts], took_s: float
) -> None:
    bad = [(rules, life) for rules, life in zip(lives, played, strict=True) if life.has_faults]
    for rules, life in bad[:SHOWN]:
        print(f"BAD {'; '.join(life.rules)}: {'; '.join(dict.fromkeys(life.faults))}")
        print(f"    replay: {written(rules)}")
        for line in life.log[-3:]:
            print(f"    | {line}")
    singles = [(rules[0], life) for rules, life in zip(lives, played, strict=True) if len(rules) == 1]
    if len(singles) == len(lives):
        _table(singles, counts)
    not_valid = Counter(life.not_valid for life in played if life.not_valid and not life.has_faults)
    for reason, number in not_valid.items():
        print(f"{number} not valid: {reason}")
    again = [reason for life in played if not life.not_valid for reason in life.held_up]
    for reason in again[:SHOWN]:
        print(f"played again: {reason}")
    unmet = sum(not life.failed_calls and not life.not_valid for life in played)
    print(
        f"{len(played)} lives, {sum(not_valid.values())} not valid, {len(bad)} bad, "
        f"{len(again)} played again; "
        f"in {unmet} no call failed, since none of its kind came in its span; {took_s:.0f} s"
    )


def _table(singles: Iterable[tuple[Rule, LifecycleResult]], counts: dict[str, Counts]) -> None:
    """A line for each (call, error) pair."""
    rows: dict[tuple[str, str], list[int]] = {}
    for rule, life in singles:
        row = rows.setdefault((rule.kind, rule.error), [0, 0])
        row[0] += 1
        row[1] += life.has_faults
    for (kind, error), (number, bad) in rows.items():
        count = counts[kind]
        print(f"{kind:12} {error:14} calls {count.before:4} + {count.since:4}  lives {number:3}  bad {bad}")


def _options(argv: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        "lanemux soak --every-call",
        allow_abbrev=False,
        description="Play lives of one balancer in each of which other calls of the C library fail.",
    )
    parser.add_argument("--every-call", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--kinds", type=lambda text: text.split(","), metavar="A,B", help="only calls of these kinds")
    parser.add_argument("--places", type=int, default=PLACES, metavar="N", help="of each kind that fail, a life each")
    parser.add_argument("--sample", type=int, metavar="N", help="only so many of the lives, drawn by --seed")
    parser.add_argument("--seed", type=int, default=1, metavar="N")
    parser.add_argument("--combinations", metavar="A-B", help="two or three failures a life, drawn from these seeds")
    parser.add_argument("--replay", metavar="RULES", help="one life, by the text that a bad one was printed with")
    parser.add_argument("--times", type=int, default=1, metavar="N", help="play the life of --replay so often")
    parser.add_argument("--at-once", type=int, default=AT_ONCE, metavar="N", help="lives beside each other")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--quiet", action="store_true", help="no progress")
    parser.add_argument("--command", nargs=argparse.REMAINDER, metavar="WORD", help="what starts one balancer")
    return parser.parse_args(argv)
