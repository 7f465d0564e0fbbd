"""The virtual world: one clock, one network, its processes; it runs one small step at a time, in a drawn order."""

from __future__ import annotations

import gc
import hashlib
import random
from collections.abc import Callable

from lanemux.virtual.event_queue import NEVER, EventQueue
from lanemux.virtual.network import Label, LinkConditions, Network
from lanemux.virtual.process import Process

SPIN = 200_000  # steps in one instant: more is a loop without end


class Spinning(Exception):
    """The clock stands still while steps go on."""


class World:
    """Everything that happens, from one seed."""

    def __init__(self, seed: str, weather: dict[str, LinkConditions]) -> None:
        self.rng = random.Random(seed)
        self.agenda = EventQueue(self.rng)
        self.network = Network(self.agenda, self.rng, weather, self._seen)
        self.processes: list[Process] = []
        self.busy_ns = 0  # a turn of a loop keeps its process busy for up to so long
        self.steps = 0
        self.told: Callable[[str, str, Label, object], None] = lambda kind, what, label, about: None
        self.after_step: Callable[[], None] = lambda: None
        self.ended: Callable[[Process], None] = lambda process: None
        self._history = hashlib.blake2b(digest_size=16)

    def process(self, name: str, descriptors: int = 1024) -> Process:
        made = Process(self, name, descriptors)
        self.processes.append(made)
        return made

    def note(self, *what: object) -> None:
        """Part of the history: runs of a seed are alike if their histories are."""
        self._history.update(repr((self.agenda.now_ns, *what)).encode())

    def digest(self) -> str:
        return self._history.hexdigest()

    def _seen(self, kind: str, what: str, label: Label, about: object) -> None:
        data = about if isinstance(about, bytes) else about[1].data if isinstance(about, tuple) else b""
        self.note(kind, what, label.opener, label.to, data)
        self.told(kind, what, label, about)

    def run(self, until: Callable[[], bool], end_ns: int) -> bool:
        """Step on until that is so; False if the time is up first."""
        spun, agenda = 0, self.agenda
        while not until():
            now = agenda.now_ns
            next_ns = agenda.next_ns()
            for process in self.processes:
                due = process.next_ns()
                if due < next_ns:
                    next_ns = due
            if next_ns > now:
                if next_ns > end_ns or next_ns >= NEVER:
                    agenda.now_ns = max(now, end_ns)
                    return False
                agenda.now_ns, spun = next_ns, 0
            spun += 1
            if spun > SPIN:
                raise Spinning(f"at {agenda.now_ns} ns")
            self._step()
        return True

    def _step(self) -> None:
        now = self.agenda.now_ns
        choices: list[Process | None] = [p for p in self.processes if p.next_ns() <= now]
        if self.agenda.next_ns() <= now:
            choices.append(None)
        chosen = choices[self.rng.randrange(len(choices))] if len(choices) > 1 else choices[0]
        self.steps += 1
        if chosen is None:
            self.agenda.run_one()
            return
        chosen.step()
        if self.busy_ns and chosen.alive:
            chosen.stay_still(self.agenda.now_ns + self.rng.randrange(self.busy_ns))
        if chosen.judged:
            self.after_step()

    def close(self) -> None:
        """The end: tasks and loops are cleared away."""
        for process in self.processes:
            process.clear_away()
        gc.unfreeze()  # etcd's source freezes what it has imported
