"""The four rules after every step, by the kit's own checker, and what must be left at the end. No I/O.

A balancer is held only to what it could do: while its process stood still or its link was silent, its
time did not run.
"""

from __future__ import annotations

import dataclasses
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from lanemux.rehearsal.plan import MS, Plan
from lanemux.rehearsal.records import NEVER, Attempt, BoxRecords, CallerRecords, Told, Try
from lanemux.rehearsal.rules import (
    LIMIT_GRACE_NS,
    Violation,
    concurrent_attempts,
    disallowed_repeats,
    lost_requests,
    notified_at,
    sends_after_drain,
)

HERD = 20  # refusals that are looked at together
REFUSED_WITHIN_NS = 300 * MS  # their span
HERD_NS = 15 * MS  # half of them come back within less: by chance that is a matter of many more refusals


@dataclass(slots=True)
class Excuses:
    """Spans of time in which a balancer could not do something, by balancer."""

    away: dict[int, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))  # its process stood still
    full: dict[int, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))  # it could accept nobody
    crowded: dict[int, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))  # all places taken
    unheard: dict[int, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))  # no news reached it

    def late_ns(self, balancer: int, from_ns: int, to_ns: int) -> int:
        """How much of a span it could not answer in."""
        spans = [*self.away[balancer], *self.full[balancer], *self.crowded[balancer]]
        return sum(max(0, min(to_ns, end) - max(from_ns, start)) for start, end in spans)

    def crowd(self, balancer: int, full: bool, now: int) -> None:
        """From now on a balancer has no place for connections, or has one again."""
        spans = self.crowded[balancer]
        open_from = spans[-1][0] if spans and spans[-1][1] == NEVER else -1
        if full and open_from < 0:
            again = spans.pop()[0] if spans and spans[-1][1] == now else now  # a place that was taken at once was none
            spans.append((again, NEVER))
        elif not full and open_from >= 0:
            spans[-1] = (open_from, now)

    def never_taken(self, entry: Try) -> bool:
        """Its connection waited for a balancer that could accept nobody, and ended with that balancer."""
        spans = [*self.full[entry.balancer], *self.crowded[entry.balancer]]
        return any(start <= entry.end_ns and entry.sent_ns <= end for start, end in spans)

    def told_ns(self, balancer: int, at_ns: int, grace_ns: int, written: bool) -> int:
        """When news counts as told, if it was told then: it is to be acted on within the grace of that.

        News that was written to a link that is silent is heard when the link speaks again, or on another one. That the
        link is silent must be found out before news that lies with the source counts as told all the same."""
        if not 0 < at_ns < NEVER:
            return at_ns
        by = at_ns + grace_ns
        for start, end in sorted([*self.away[balancer], *(self.unheard[balancer] if written else ())]):
            if start <= by and at_ns <= end:
                by = max(by, end)
        return by - grace_ns


def herded(tries: Iterable[Try]) -> Iterable[Violation]:
    """Many who were refused within a moment, by one balancer, and told to come back within a much shorter one."""
    refused: dict[int, list[tuple[int, int]]] = defaultdict(list)
    for entry in tries:
        if entry.status in (429, 503) and entry.retry_after:
            refused[entry.balancer].append((entry.end_ns, entry.end_ns + int(float(entry.retry_after) * 1e9)))
    for balancer, pairs in refused.items():
        for first in range(0, len(pairs) - HERD + 1, HERD // 2):
            herd = sorted(pairs[first : first + HERD])
            if herd[-1][0] - herd[0][0] > REFUSED_WITHIN_NS:
                continue
            back = sorted(at for _, at in herd)
            width = min(back[i + HERD // 2] - back[i] for i in range(HERD // 2))
            if width < HERD_NS:
                yield Violation(
                    "herd",
                    herd[0][0],
                    "",
                    "",
                    f"balancer {balancer} refused {HERD} within "
                    f"{(herd[-1][0] - herd[0][0]) / MS:.0f} ms and called half of them back within "
                    f"{width / MS:.1f} ms",
                )
                break


class RuleChecker:
    """Looks at the books after each step; `violations` grows."""

    def __init__(
        self,
        plan: Plan,
        boxes: BoxRecords,
        callers: CallerRecords,
        excuses: Excuses,
        closed: Callable[[int, int], list[list[int]]] = lambda balancer, box: [],
        placed: Callable[[int, int], bool] = lambda balancer, box: True,
    ) -> None:
        """`closed`: the spans in which a balancer had read that a box drains or is gone; `placed`: has it read where
        the box is?"""
        self._closed, self._placed = closed, placed
        self._plan, self._boxes, self._callers, self._excuses = plan, boxes, callers, excuses
        self._names = [box.host for box in plan.boxes]
        self._grace_ns = int(plan.scenario.fleet.drain_grace_ms * MS)
        self._attempts = self._tries = self._odd_boxes = self._odd_callers = 0  # looked at so far
        self._open_attempts: dict[int, Attempt] = {}
        self._open_tries: dict[int, Try] = {}
        self._by_id: dict[str, list[Attempt]] = defaultdict(list)
        self._try_of: dict[str, Try] = {}
        self._found: dict[tuple[str, str, str], Violation] = {}

    @property
    def violations(self) -> list[Violation]:
        return list(self._found.values())

    def look(self) -> None:
        """What is new since the last look."""
        if len(self._names) != len(self._plan.boxes):
            self._names = [box.host for box in self._plan.boxes]
        new = self._boxes.attempts[self._attempts :]
        self._attempts += len(new)
        for number, attempt in enumerate(new, self._attempts - len(new)):
            self._by_id[attempt.id].append(attempt)
            self._open_attempts[number] = attempt
            self._hold(self._drain(attempt))
            self._hold(self._at_once(attempt))
        for number, attempt in [(n, a) for n, a in self._open_attempts.items() if a.how]:
            del self._open_attempts[number]
            self._judge_request(attempt.id)
        fresh = self._callers.tries[self._tries :]
        for number, entry in enumerate(fresh, self._tries):
            self._try_of[entry.id] = entry
            self._open_tries[number] = entry
        self._tries += len(fresh)
        for number, entry in [(n, t) for n, t in self._open_tries.items() if t.how]:
            del self._open_tries[number]
            self._hold(self._lost(entry))
            self._judge_request(entry.id)
        self._odd()

    def _judge_request(self, name: str) -> None:
        attempts = {name: self._by_id[name]}
        self._hold(concurrent_attempts(attempts, self._names))
        if name in self._try_of:
            self._hold(disallowed_repeats(self._plan, attempts, [self._try_of[name]]))

    def _lost(self, entry: Try) -> Iterable[Violation]:
        """As the kit's rule, and late answers too: here the caller waits on for what may be excused."""
        if entry.how == "lost" and self._excuses.never_taken(entry):
            return
        yield from lost_requests(self._callers, self._by_id, self._names, [entry])
        if entry.how != "answered":
            return
        by = entry.deadline_ns + LIMIT_GRACE_NS
        by += self._excuses.late_ns(entry.balancer, entry.sent_ns, entry.end_ns)
        if entry.end_ns > by:
            yield Violation(
                "lost",
                entry.end_ns,
                entry.id,
                "",
                f"answered {(entry.end_ns - by) / MS:.3f} ms too late "
                f"by balancer {entry.balancer}, with {entry.status}",
            )

    def _drain(self, attempt: Attempt) -> Iterable[Violation]:
        if not self._placed(attempt.balancer, attempt.box):
            return ()  # it was sent to another, which the balancer still believes where this one came up
        # What was told to an earlier process of the balancer is in the list that this one was given.
        began = max(
            (
                life.to_ns
                for life in self._callers.balancers_down
                if life.who == attempt.balancer and life.to_ns <= attempt.first_lo_ns
            ),
            default=-NEVER,
        )
        rows = [
            t
            for t in self._callers.told
            if (t.balancer, t.box) == (attempt.balancer, attempt.box) and notified_at(t) >= began
        ]
        return sends_after_drain(
            [attempt], self._counted(rows), self._callers.balancers_down, self._names, self._grace_ns + LIMIT_GRACE_NS
        )

    def _at_once(self, attempt: Attempt) -> Iterable[Violation]:
        """Drains are acted on the moment they are read: no first byte in a later instant."""
        for start, end in self._closed(attempt.balancer, attempt.box):
            if start < attempt.first_lo_ns < end:
                yield Violation(
                    "drain",
                    attempt.first_lo_ns,
                    attempt.id,
                    self._names[attempt.box],
                    (
                        f"balancer {attempt.balancer} sent this {(attempt.first_lo_ns - start) / MS:.3f} ms after it "
                        "had read that the box drains or is gone"
                    ),
                )

    @staticmethod
    def close(spans: list[list[int]], now: int) -> None:
        """News says that nothing new may go there."""
        if not spans or spans[-1][1] < NEVER:
            spans.append([now, NEVER])

    @staticmethod
    def reopen(spans: list[list[int]], now: int) -> None:
        if spans and spans[-1][1] == NEVER:
            spans[-1][1] = now

    def _counted(self, rows: list[Told]) -> Iterator[Told]:
        """The rows as of when they count as told; one overtaken by any later `up` counts for nothing.

        The next `up` may never have been written, where a later row of the box went out in its place."""
        next_up = NEVER
        for row in reversed(rows):
            if row.health == "up":
                next_up = min(next_up, notified_at(row))
                yield row
                continue
            counted = dataclasses.replace(
                row,
                written_ns=self._excuses.told_ns(row.balancer, row.written_ns, self._grace_ns, True),
                due_ns=self._excuses.told_ns(row.balancer, row.due_ns, self._grace_ns, False),
            )
            if notified_at(counted) < next_up:
                yield counted

    def _odd(self) -> None:
        for oddity in (*self._boxes.anomalies[self._odd_boxes :], *self._callers.anomalies[self._odd_callers :]):
            box = self._names[oddity.box] if oddity.box >= 0 else ""
            self._hold([Violation(oddity.rule, oddity.at_ns, oddity.id, box, oddity.what)])
        self._odd_boxes, self._odd_callers = len(self._boxes.anomalies), len(self._callers.anomalies)

    def _hold(self, found: Iterable[Violation]) -> None:
        for violation in found:
            self._found.setdefault((violation.rule, violation.request, violation.box), violation)

    def accuse(self, rule: str, at_ns: int, what: str) -> None:
        """Something else that must not be: it is told like a broken rule."""
        self._found.setdefault((rule, "", what), Violation(rule, at_ns, "", "", what))

    def finish(self, herds: bool = False) -> None:
        """At the end nothing is open: every request has had its one outcome. `herds`: nor are clients to come back in
        one instant."""
        self.look()
        self._hold(herded(self._callers.tries) if herds else ())
        for entry in self._open_tries.values():
            self.accuse("outcome", entry.sent_ns, f"request {entry.id} never had an end")
