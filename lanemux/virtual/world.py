"""The virtual world: one clock, one network, its processes; it runs one small step at a time, in a drawn order."""

from __future__ import annotations

import gc
import hashlib
import random
from collections.abc import Callable

from lanemux.virtual.agenda import NEVER, Agenda
from lanemux.virtual.network import Label, Network, Weather
from lanemux.virtual.process import Process

SPIN = 200_000  # steps in one instant: more is a loop without end


class Spinning(Exception):
    """The clock stands still while steps go on."""


class World:
    """Everything that happens, from one seed."""

    def __init__(self, seed: str, weather: dict[str, Weather]) -> None:
        self.rng = random.Random(seed)
        self.agenda = Agenda(self.rng)
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
        spun = 0
        while not until():
            now = self.agenda.now_ns
            due = [(p.next_ns(), p) for p in self.processes if p.alive]
            next_ns = min([self.agenda.next_ns(), *(at for at, _ in due)])
            if next_ns > now:
                if next_ns > end_ns or next_ns >= NEVER:
                    self.agenda.now_ns = max(now, end_ns)
                    return False
                self.agenda.now_ns, spun = next_ns, 0
            spun += 1
            if spun > SPIN:
                raise Spinning(f"at {self.agenda.now_ns} ns")
            self._step([p for at, p in due if at <= self.agenda.now_ns])
        return True

    def _step(self, ready: list[Process]) -> None:
        choices: list[Process | None] = [*ready]
        if self.agenda.next_ns() <= self.agenda.now_ns:
            choices.append(None)
        chosen = choices[self.rng.randrange(len(choices))] if len(choices) > 1 else choices[0]
        self.steps += 1
        if chosen is None:
            self.agenda.run_one()
            return
        chosen.step()
        if self.busy_ns and chosen.alive:
            busy = self.agenda.now_ns + self.rng.randrange(self.busy_ns)
            chosen.still_until_ns = max(chosen.still_until_ns, busy)
        self.after_step()

    def close(self) -> None:
        """The end: tasks and loops are cleared away."""
        for process in self.processes:
            process.clear_away()
        gc.unfreeze()  # etcd's source freezes what it has imported
