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

HERD_SIZE = 20  # refusals that are looked at together
HERD_REFUSAL_WINDOW_NS = 300 * MS  # their span
HERD_RETRY_WINDOW_NS = 15 * MS  # half of them come back within less: by chance that is a matter of many more refusals


@dataclass(slots=True)
class Exemptions:
    """Spans of time in which a balancer could not do something, by balancer."""

    stopped: dict[int, list[tuple[int, int]]] = field(
        default_factory=lambda: defaultdict(list)
    )  # its process stood still
    cannot_accept: dict[int, list[tuple[int, int]]] = field(
        default_factory=lambda: defaultdict(list)
    )  # it could accept nobody
    at_connection_limit: dict[int, list[tuple[int, int]]] = field(
        default_factory=lambda: defaultdict(list)
    )  # all places taken
    discovery_silent: dict[int, list[tuple[int, int]]] = field(
        default_factory=lambda: defaultdict(list)
    )  # no news reached it

    def exempt_ns(self, balancer: int, from_ns: int, to_ns: int) -> int:
        """How much of a span it could not answer in."""
        spans = [*self.stopped[balancer], *self.cannot_accept[balancer], *self.at_connection_limit[balancer]]
        return sum(max(0, min(to_ns, end) - max(from_ns, start)) for start, end in spans)

    def set_at_connection_limit(self, balancer: int, cannot_accept: bool, now: int) -> None:
        """From now on a balancer has no place for connections, or has one again."""
        spans = self.at_connection_limit[balancer]
        open_from = spans[-1][0] if spans and spans[-1][1] == NEVER else -1
        if cannot_accept and open_from < 0:
            started = (
                spans.pop()[0] if spans and spans[-1][1] == now else now
            )  # a place that was taken at once was none
            spans.append((started, NEVER))
        elif not cannot_accept and open_from >= 0:
            spans[-1] = (open_from, now)

    def never_accepted(self, entry: Try) -> bool:
        """Its connection waited for a balancer that could accept nobody, and ended with that balancer."""
        spans = [*self.cannot_accept[entry.balancer], *self.at_connection_limit[entry.balancer]]
        return any(start <= entry.end_ns and entry.sent_ns <= end for start, end in spans)

    def effective_notice_ns(self, balancer: int, at_ns: int, grace_ns: int, written: bool) -> int:
        """When news counts as told, if it was told then: it is to be acted on within the grace of that.

        News that was written to a link that is silent is heard when the link speaks again, or on another one. That the
        link is silent must be found out before news that lies with the source counts as told all the same."""
        if not 0 < at_ns < NEVER:
            return at_ns
        by = at_ns + grace_ns
        for start, end in sorted([*self.stopped[balancer], *(self.discovery_silent[balancer] if written else ())]):
            if start <= by and at_ns <= end:
                by = max(by, end)
        return by - grace_ns


def synchronized_retries(tries: Iterable[Try]) -> Iterable[Violation]:
    """Many who were refused within a moment, by one balancer, and told to come back within a much shorter one."""
    refused: dict[int, list[tuple[int, int]]] = defaultdict(list)
    for entry in tries:
        if entry.status in (429, 503) and entry.retry_after:
            refused[entry.balancer].append((entry.end_ns, entry.end_ns + int(float(entry.retry_after) * 1e9)))
    for balancer, pairs in refused.items():
        for first in range(0, len(pairs) - HERD_SIZE + 1, HERD_SIZE // 2):
            herd = sorted(pairs[first : first + HERD_SIZE])
            if herd[-1][0] - herd[0][0] > HERD_REFUSAL_WINDOW_NS:
                continue
            back = sorted(at for _, at in herd)
            width = min(back[i + HERD_SIZE // 2] - back[i] for i in range(HERD_SIZE // 2))
            if width < HERD_RETRY_WINDOW_NS:
                yield Violation(
                    "herd",
                    herd[0][0],
                    "",
                    "",
                    f"balancer {balancer} refused {HERD_SIZE} within "
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
        exemptions: Exemptions,
        closed_spans: Callable[[int, int], list[list[int]]] = lambda balancer, box: [],
        location_known: Callable[[int, int], bool] = lambda balancer, box: True,
    ) -> None:
        """`closed`: the spans in which a balancer had read that a box drains or is gone; `placed`: has it read where
        the box is?"""
        self._closed_spans, self._location_known = closed_spans, location_known
        self._plan, self._boxes, self._callers, self._excuses = plan, boxes, callers, exemptions
        self._hosts = [box.host for box in plan.boxes]
        self._grace_ns = int(plan.scenario.fleet.drain_grace_ms * MS)
        self._attempts_checked = self._tries_checked = self._box_oddities_checked = self._caller_oddities_checked = (
            0  # looked at so far
        )
        self._open_attempts: dict[int, Attempt] = {}
        self._open_tries: dict[int, Try] = {}
        self._by_id: dict[str, list[Attempt]] = defaultdict(list)
        self._try_by_id: dict[str, Try] = {}
        self._violations: dict[tuple[str, str, str], Violation] = {}

    @property
    def violations(self) -> list[Violation]:
        return list(self._violations.values())

    def check(self) -> None:
        """What is new since the last look."""
        if len(self._hosts) != len(self._plan.boxes):
            self._hosts = [box.host for box in self._plan.boxes]
        new = self._boxes.attempts[self._attempts_checked :]
        self._attempts_checked += len(new)
        for number, attempt in enumerate(new, self._attempts_checked - len(new)):
            self._by_id[attempt.id].append(attempt)
            self._open_attempts[number] = attempt
            self._record(self._check_drain(attempt))
            self._record(self._check_sent_after_drain_read(attempt))
        for number, attempt in [(n, a) for n, a in self._open_attempts.items() if a.how]:
            del self._open_attempts[number]
            self._check_request(attempt.id)
        fresh = self._callers.tries[self._tries_checked :]
        for number, entry in enumerate(fresh, self._tries_checked):
            self._try_by_id[entry.id] = entry
            self._open_tries[number] = entry
        self._tries_checked += len(fresh)
        for number, entry in [(n, t) for n, t in self._open_tries.items() if t.how]:
            del self._open_tries[number]
            self._record(self._check_lost(entry))
            self._check_request(entry.id)
        self._record_oddities()

    def _check_request(self, name: str) -> None:
        attempts = {name: self._by_id[name]}
        self._record(concurrent_attempts(attempts, self._hosts))
        if name in self._try_by_id:
            self._record(disallowed_repeats(self._plan, attempts, [self._try_by_id[name]]))

    def _check_lost(self, entry: Try) -> Iterable[Violation]:
        """As the kit's rule, and late answers too: here the caller waits on for what may be excused."""
        if entry.how == "lost" and self._excuses.never_accepted(entry):
            return
        yield from lost_requests(self._callers, self._by_id, self._hosts, [entry])
        if entry.how != "answered":
            return
        by = entry.deadline_ns + LIMIT_GRACE_NS
        by += self._excuses.exempt_ns(entry.balancer, entry.sent_ns, entry.end_ns)
        if entry.end_ns > by:
            yield Violation(
                "lost",
                entry.end_ns,
                entry.id,
                "",
                f"answered {(entry.end_ns - by) / MS:.3f} ms too late "
                f"by balancer {entry.balancer}, with {entry.status}",
            )

    def _check_drain(self, attempt: Attempt) -> Iterable[Violation]:
        if not self._location_known(attempt.balancer, attempt.box):
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
            [attempt],
            self._effective_notices(rows),
            self._callers.balancers_down,
            self._hosts,
            self._grace_ns + LIMIT_GRACE_NS,
        )

    def _check_sent_after_drain_read(self, attempt: Attempt) -> Iterable[Violation]:
        """Drains are acted on the moment they are read: no first byte in a later instant."""
        for start, end in self._closed_spans(attempt.balancer, attempt.box):
            if start < attempt.first_lo_ns < end:
                yield Violation(
                    "drain",
                    attempt.first_lo_ns,
                    attempt.id,
                    self._hosts[attempt.box],
                    (
                        f"balancer {attempt.balancer} sent this {(attempt.first_lo_ns - start) / MS:.3f} ms after it "
                        "had read that the box drains or is gone"
                    ),
                )

    @staticmethod
    def close_span(spans: list[list[int]], now: int) -> None:
        """News says that nothing new may go there."""
        if not spans or spans[-1][1] < NEVER:
            spans.append([now, NEVER])

    @staticmethod
    def reopen_span(spans: list[list[int]], now: int) -> None:
        if spans and spans[-1][1] == NEVER:
            spans[-1][1] = now

    def _effective_notices(self, rows: list[Told]) -> Iterator[Told]:
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
                written_ns=self._excuses.effective_notice_ns(row.balancer, row.written_ns, self._grace_ns, True),
                due_ns=self._excuses.effective_notice_ns(row.balancer, row.due_ns, self._grace_ns, False),
            )
            if notified_at(counted) < next_up:
                yield counted

    def _record_oddities(self) -> None:
        for oddity in (
            *self._boxes.anomalies[self._box_oddities_checked :],
            *self._callers.anomalies[self._caller_oddities_checked :],
        ):
            box = self._hosts[oddity.box] if oddity.box >= 0 else ""
            self._record([Violation(oddity.rule, oddity.at_ns, oddity.id, box, oddity.what)])
        self._box_oddities_checked, self._caller_oddities_checked = (
            len(self._boxes.anomalies),
            len(self._callers.anomalies),
        )

    def _record(self, found: Iterable[Violation]) -> None:
        for violation in found:
            self._violations.setdefault((violation.rule, violation.request, violation.box), violation)

    def report_violation(self, rule: str, at_ns: int, what: str) -> None:
        """Something else that must not be: it is told like a broken rule."""
        self._violations.setdefault((rule, "", what), Violation(rule, at_ns, "", "", what))

    def finish(self, check_retry_herds: bool = False) -> None:
        """At the end nothing is open: every request has had its one outcome. `herds`: nor are clients to come back in
        one instant."""
        self.check()
        self._record(synchronized_retries(self._callers.tries) if check_retry_herds else ())
        for entry in self._open_tries.values():
            self.report_violation("outcome", entry.sent_ns, f"request {entry.id} never had an end")
