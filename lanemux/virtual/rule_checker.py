"""Checks the rehearsal kit's four rules after every step, and that nothing is open at the end. No I/O.

A balancer is held only to what it could do: time in which its process was paused or its discovery link was silent does
not count.
"""

from __future__ import annotations

import dataclasses
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from lanemux.rehearsal.plan import MS, Plan
from lanemux.rehearsal.records import NEVER, Attempt, BoxRecords, CallerRecords, Told, Try
from lanemux.rehearsal.rules import (
    FINAL_ANSWER_GRACE_NS,
    LIMIT_GRACE_NS,
    Violation,
    concurrent_attempts,
    disallowed_repeats,
    lost_requests,
    notified_at,
    sends_after_drain,
)

UNREAD_GRACE_NS = 60 * MS  # for the way of an answer through a balancer
HERD_SIZE = 20  # refusals examined together
HERD_REFUSAL_WINDOW_NS = 300 * MS  # within which all of them were sent
HERD_RETRY_WINDOW_NS = 15 * MS  # violation if half of them retry within less: chance alone needs many more refusals


@dataclass(slots=True)
class Exemptions:
    """Spans of time in which a balancer was unable to act, by balancer."""

    # The process was paused.
    stopped: dict[int, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))
    # It could not accept connections, for want of descriptors or kernel memory.
    cannot_accept: dict[int, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))
    # Client connections were at their limit.
    at_connection_limit: dict[int, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))
    # No news from discovery reached it.
    discovery_silent: dict[int, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))

    def exempt_ns(self, balancer: int, from_ns: int, to_ns: int) -> int:
        """The part of a span in which the balancer could not answer."""
        spans = [*self.stopped[balancer], *self.cannot_accept[balancer], *self.at_connection_limit[balancer]]
        return sum(max(0, min(to_ns, end) - max(from_ns, start)) for start, end in spans)

    def set_at_connection_limit(self, balancer: int, at_limit: bool, now: int) -> None:
        """Record whether a balancer is at its limit of client connections from now on."""
        spans = self.at_connection_limit[balancer]
        open_from = spans[-1][0] if spans and spans[-1][1] == NEVER else -1
        if at_limit and open_from < 0:
            # A connection that was replaced in the same instant left no room: the last span goes on.
            started = spans.pop()[0] if spans and spans[-1][1] == now else now
            spans.append((started, NEVER))
        elif not at_limit and open_from >= 0:
            spans[-1] = (open_from, now)

    def never_accepted(self, entry: Try) -> bool:
        """Whether the connection may have waited in vain for a balancer that could not accept it."""
        spans = [*self.cannot_accept[entry.balancer], *self.at_connection_limit[entry.balancer]]
        return any(start <= entry.end_ns and entry.sent_ns <= end for start, end in spans)

    def effective_notice_ns(self, balancer: int, at_ns: int, grace_ns: int, written: bool) -> int:
        """From when the grace period counts for news that was sent at `at_ns`: the balancer must act on it within that.

        News written to a silent link (`written`) is received only when the link works again, or on another one. News
        that is due at the source counts regardless: by then the balancer must have found out that the link is silent.
        """
        if not 0 < at_ns < NEVER:
            return at_ns
        latest_ns = at_ns + grace_ns
        for start, end in sorted([*self.stopped[balancer], *(self.discovery_silent[balancer] if written else ())]):
            if start <= latest_ns and at_ns <= end:
                latest_ns = max(latest_ns, end)
        return latest_ns - grace_ns


def synchronized_retries(tries: Iterable[Try]) -> Iterable[Violation]:
    """Finds balancers whose Retry-After makes many clients, refused over a span, retry within a much shorter one."""
    refused: dict[int, list[tuple[int, int]]] = defaultdict(list)
    for entry in tries:
        if entry.status in (429, 503) and entry.retry_after:
            refused[entry.balancer].append((entry.end_ns, entry.end_ns + int(float(entry.retry_after) * 1e9)))
    for balancer, pairs in refused.items():
        for first in range(0, len(pairs) - HERD_SIZE + 1, HERD_SIZE // 2):
            herd = sorted(pairs[first : first + HERD_SIZE])
            if herd[-1][0] - herd[0][0] > HERD_REFUSAL_WINDOW_NS:
                continue
            retry_times = sorted(at for _, at in herd)
            narrowest = min(retry_times[i + HERD_SIZE // 2] - retry_times[i] for i in range(HERD_SIZE // 2))
            if narrowest < HERD_RETRY_WINDOW_NS:
                yield Violation(
                    "herd",
                    herd[0][0],
                    "",
                    "",
                    f"balancer {balancer} refused {HERD_SIZE} within "
                    f"{(herd[-1][0] - herd[0][0]) / MS:.0f} ms and called half of them back within "
                    f"{narrowest / MS:.1f} ms",
                )
                break


class RuleChecker:
    """Checks new records after each step and collects the violations."""

    def __init__(
        self,
        plan: Plan,
        boxes: BoxRecords,
        callers: CallerRecords,
        exemptions: Exemptions,
        closed_spans: Callable[[int, int], list[list[int]]] = lambda balancer, box: [],
        location_known: Callable[[int, int], bool] = lambda balancer, box: True,
        answers_arrive: bool = True,
    ) -> None:
        """`closed_spans`: when a balancer (by number) had read that a box (by number) drains or is gone;
        `location_known`: whether it has read the box's current address; `answers_arrive`: the network loses and holds
        back nothing that a box sends."""
        self._closed_spans, self._location_known = closed_spans, location_known
        self._answers_arrive = answers_arrive
        self._plan, self._boxes, self._callers, self._exemptions = plan, boxes, callers, exemptions
        self._hosts = [box.host for box in plan.boxes]
        self._grace_ns = int(plan.scenario.fleet.drain_grace_ms * MS)
        # How many records of each kind have been checked.
        self._attempts_checked = self._tries_checked = self._box_oddities_checked = self._caller_oddities_checked = 0
        self._open_attempts: dict[int, Attempt] = {}
        self._open_tries: dict[int, Try] = {}
        self._by_id: dict[str, list[Attempt]] = defaultdict(list)
        self._try_by_id: dict[str, Try] = {}
        self._violations: dict[tuple[str, str, str], Violation] = {}

    @property
    def violations(self) -> list[Violation]:
        return list(self._violations.values())

    def check(self) -> None:
        """Check the records added since the last call."""
        if len(self._hosts) != len(self._plan.boxes):
            self._hosts = [box.host for box in self._plan.boxes]
        new_attempts = self._boxes.attempts[self._attempts_checked :]
        self._attempts_checked += len(new_attempts)
        for number, attempt in enumerate(new_attempts, self._attempts_checked - len(new_attempts)):
            self._by_id[attempt.id].append(attempt)
            self._open_attempts[number] = attempt
            self._record(self._check_drain(attempt))
            self._record(self._check_sent_after_drain_read(attempt))
        for number, attempt in [(n, a) for n, a in self._open_attempts.items() if a.how]:
            del self._open_attempts[number]
            self._check_request(attempt.id)
        new_tries = self._callers.tries[self._tries_checked :]
        for number, entry in enumerate(new_tries, self._tries_checked):
            self._try_by_id[entry.id] = entry
            self._open_tries[number] = entry
        self._tries_checked += len(new_tries)
        for number, entry in [(n, t) for n, t in self._open_tries.items() if t.how]:
            del self._open_tries[number]
            self._record(self._check_lost(entry))
            self._check_request(entry.id)
        self._record_oddities()

    def _check_request(self, request_id: str) -> None:
        attempts = {request_id: self._by_id[request_id]}
        self._record(concurrent_attempts(attempts, self._hosts))
        if request_id in self._try_by_id:
            self._record(disallowed_repeats(self._plan, attempts, [self._try_by_id[request_id]]))

    def _check_lost(self, entry: Try) -> Iterable[Violation]:
        """The kit's rule for lost requests, extended to late answers: here callers wait past the deadline, since a late
        answer may be exempt."""
        if entry.how == "lost" and self._exemptions.never_accepted(entry):
            return
        if entry.how == "cut":
            exempt_ns = self._exemptions.exempt_ns(entry.balancer, entry.sent_ns, entry.end_ns)
            entry = dataclasses.replace(entry, deadline_ns=entry.deadline_ns + exempt_ns)
        yield from lost_requests(self._callers, self._by_id, self._hosts, [entry])
        yield from self._check_unread(entry)
        if entry.how != "answered":
            return
        exempt_ns = self._exemptions.exempt_ns(entry.balancer, entry.sent_ns, entry.end_ns)
        latest_ns = self._due_ns(entry, exempt_ns) + LIMIT_GRACE_NS
        if entry.end_ns > latest_ns:
            yield Violation(
                "lost",
                entry.end_ns,
                entry.id,
                "",
                f"answered {(entry.end_ns - latest_ns) / MS:.3f} ms too late "
                f"by balancer {entry.balancer}, with {entry.status}",
            )

    def _check_unread(self, entry: Try) -> Iterable[Violation]:
        """A box had answered, and the balancer did not take the answer."""
        if not self._answers_arrive or entry.how != "answered" or entry.status == 200:
            return
        exempt_ns = self._exemptions.exempt_ns(entry.balancer, entry.sent_ns, entry.end_ns)
        for attempt in self._by_id[entry.id]:
            if attempt.how == "answered" and attempt.end_ns + exempt_ns + UNREAD_GRACE_NS < entry.end_ns:
                host, earlier_ms = self._hosts[attempt.box], (entry.end_ns - attempt.end_ns) / MS
                yield Violation(
                    "unread",
                    entry.end_ns,
                    entry.id,
                    host,
                    f"answered {entry.status} by balancer {entry.balancer}; {host} had answered {earlier_ms:.1f} ms "
                    "before",
                )

    def _due_ns(self, entry: Try, exempt_ns: int) -> int:
        """When an answer is due: one that its box began in time and was still giving may end after the deadline."""
        deadline_ns = entry.deadline_ns + exempt_ns
        late_ends_ns = (a.end_ns for a in self._by_id[entry.id] if 0 < a.begun_ns < deadline_ns and a.digest)
        return max(deadline_ns, *(end_ns + FINAL_ANSWER_GRACE_NS + exempt_ns for end_ns in late_ends_ns), 0)

    def _check_drain(self, attempt: Attempt) -> Iterable[Violation]:
        if not self._location_known(attempt.balancer, attempt.box):
            return ()  # meant for the box that the balancer still believes at this address
        # News sent to an earlier process of the balancer is part of the list that the current one started with.
        began = max(
            (
                life.to_ns
                for life in self._callers.balancers_down
                if life.who == attempt.balancer and life.to_ns <= attempt.first_lo_ns
            ),
            default=-NEVER,
        )
        notices = [
            t
            for t in self._callers.told
            if (t.balancer, t.box) == (attempt.balancer, attempt.box) and notified_at(t) >= began
        ]
        return sends_after_drain(
            [attempt],
            self._effective_notices(notices),
            self._callers.balancers_down,
            self._hosts,
            self._grace_ns + LIMIT_GRACE_NS,
        )

    def _check_sent_after_drain_read(self, attempt: Attempt) -> Iterable[Violation]:
        """A drain takes effect once it has been read: no request may start in a later instant."""
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
        """From now on nothing new may be sent to the upstream."""
        if not spans or spans[-1][1] < NEVER:
            spans.append([now, NEVER])

    @staticmethod
    def reopen_span(spans: list[list[int]], now: int) -> None:
        """The upstream may be sent to again."""
        if spans and spans[-1][1] == NEVER:
            spans[-1][1] = now

    def _effective_notices(self, notices: list[Told]) -> Iterator[Told]:
        """The notices with their effective times, without those that any later `up` overtakes.

        The next `up` alone is not enough: it may never have been written, if a later notice replaced it."""
        next_up = NEVER
        for notice in reversed(notices):
            if notice.health == "up":
                next_up = min(next_up, notified_at(notice))
                yield notice
                continue
            effective = dataclasses.replace(
                notice,
                written_ns=self._exemptions.effective_notice_ns(
                    notice.balancer, notice.written_ns, self._grace_ns, True
                ),
                due_ns=self._exemptions.effective_notice_ns(notice.balancer, notice.due_ns, self._grace_ns, False),
            )
            if notified_at(effective) < next_up:
                yield effective

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
        """Record a violation that is found elsewhere."""
        self._violations.setdefault((rule, "", what), Violation(rule, at_ns, "", "", what))

    def finish(self, check_retry_herds: bool = False) -> None:
        """Final check: every request has had its outcome. `check_retry_herds`: also look for synchronized retries."""
        self.check()
        self._record(synchronized_retries(self._callers.tries) if check_retry_herds else ())
        for entry in self._open_tries.values():
            self.report_violation("outcome", entry.sent_ns, f"request {entry.id} never had an end")
