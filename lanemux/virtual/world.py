"""The virtual world: one clock, one network and the processes, run one step at a time in a random order."""

from __future__ import annotations

import gc
import hashlib
import random
from collections.abc import Callable

from lanemux.virtual.event_queue import NEVER, EventQueue
from lanemux.virtual.network import Label, LinkConditions, Network
from lanemux.virtual.process import Process

MAX_STEPS_PER_INSTANT = 200_000  # more indicate an endless loop


class ClockStuck(Exception):
    """Too many steps ran without the clock advancing."""


class World:
    """Runs all processes and events of one seed."""

    def __init__(self, seed: str, links: dict[str, LinkConditions]) -> None:
        self.rng = random.Random(seed)
        self.event_queue = EventQueue(self.rng)
        self.network = Network(self.event_queue, self.rng, links, self._arrived)
        self.processes: list[Process] = []
        self.max_step_ns = 0  # upper bound of the random time that each turn keeps its process busy
        self.steps = 0
        self.on_arrival: Callable[[str, str, Label, object], None] = lambda kind, what, label, about: None
        self.after_step: Callable[[], None] = lambda: None
        self.on_process_end: Callable[[Process], None] = lambda process: None
        self._history_hash = hashlib.blake2b(digest_size=16)

    def add_process(self, name: str, descriptors: int = 1024) -> Process:
        process = Process(self, name, descriptors)
        self.processes.append(process)
        return process

    def note(self, *what: object) -> None:
        """Add to the history hash: two runs of a seed are the same if their hashes are."""
        self._history_hash.update(repr((self.event_queue.now_ns, *what)).encode())

    def digest(self) -> str:
        return self._history_hash.hexdigest()

    def _arrived(self, kind: str, what: str, label: Label, about: object) -> None:
        data = about if isinstance(about, bytes) else about[1].data if isinstance(about, tuple) else b""
        self.note(kind, what, label.opener, label.target, data)
        self.on_arrival(kind, what, label, about)

    def run(self, until: Callable[[], bool], end_ns: int) -> bool:
        """Run steps until a condition holds; False if `end_ns` comes first."""
        steps_at_instant, event_queue = 0, self.event_queue
        while not until():
            now = event_queue.now_ns
            next_ns = event_queue.next_ns()
            for process in self.processes:
                due = process.next_ns()
                if due < next_ns:
                    next_ns = due
            if next_ns > now:
                if next_ns > end_ns or next_ns >= NEVER:
                    event_queue.now_ns = max(now, end_ns)
                    return False
                event_queue.now_ns, steps_at_instant = next_ns, 0
            steps_at_instant += 1
            if steps_at_instant > MAX_STEPS_PER_INSTANT:
                raise ClockStuck(f"at {event_queue.now_ns} ns")
            self._step()
        return True

    def _step(self) -> None:
        """Run one turn of a process that is due, or the next event of the queue, chosen at random."""
        now = self.event_queue.now_ns
        choices: list[Process | None] = [p for p in self.processes if p.next_ns() <= now]
        if self.event_queue.next_ns() <= now:
            choices.append(None)
        chosen = choices[self.rng.randrange(len(choices))] if len(choices) > 1 else choices[0]
        self.steps += 1
        if chosen is None:
            self.event_queue.run_next()
            return
        chosen.step()
        if self.max_step_ns and chosen.alive:
            chosen.pause_until(self.event_queue.now_ns + self.rng.randrange(self.max_step_ns))
        if chosen.check_after_step:
            self.after_step()

    def close(self) -> None:
        """Dispose of all tasks and loops."""
        for process in self.processes:
            process.dispose()
        gc.unfreeze()  # the etcd source calls gc.freeze() after its imports
