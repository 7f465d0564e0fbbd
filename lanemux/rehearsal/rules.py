"""The rule checker: finds the violations that the records of boxes, callers and discovery prove. No I/O.

It uses nothing that a balancer reports, and where the records hold bounds of a time it uses the bound that favours the
balancer. Rules (BRIEF, PROTOCOL):

- `lost`: every accepted request gets one final response in time, produced for it;
- `twice`: one attempt in flight at a time, and what may have run is not repeated or refused unless its class allows it;
- `drain`: nothing new is sent to a box from some time after its drain was announced;
- `cold`: no cold box is overloaded until it falls over;
- `foreign`: boxes receive nothing but what callers sent;
- `deadline`: a box is given no more time than the client has left.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lanemux.rehearsal.plan import MS, Plan
from lanemux.rehearsal.records import NEVER, Attempt, BoxRecords, CallerRecords, StateSpan, Told, Try

LIMIT_GRACE_NS = 50 * MS  # added to each time limit on sockets (PROTOCOL)
CLIENT_LEFT_GRACE_NS = 100 * MS  # no attempt may begin this long after its client disconnected
FINAL_ANSWER_GRACE_NS = 500 * MS  # an answer up to this late earns nothing but is not lost
# A response that has begun may be given up this long after the deadline: a final answer is due 0.5 s after it, and a
# balancer may be held up for 0.15 s of that.
HANG_GRACE_NS = 350 * MS
DEADLINE_SLACK_NS = 150 * MS  # an upstream may be given this much more time than the client has left
RULES = ("lost", "twice", "drain", "cold", "foreign", "deadline")


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule: when, which request, at which box, and the events that prove it."""

    rule: str
    at_ns: int
    request: str
    box: str
    proof: str


def find_violations(plan: Plan, boxes: BoxRecords, callers: CallerRecords) -> list[Violation]:
    """All violations that the records prove, in order of time."""
    names = [box.host for box in plan.boxes]
    by_id: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in boxes.attempts:
        by_id[attempt.id].append(attempt)
    stall_ns = int(plan.scenario.hold_up_ms * MS)
    drain_grace_ns = int(plan.scenario.fleet.drain_grace_ms * MS) + LIMIT_GRACE_NS
    violations = [
        *lost_requests(callers, by_id, names, callers.tries),
        *concurrent_attempts(by_id, names),
        *disallowed_repeats(plan, by_id, callers.tries),
        *attempts_after_client_left(by_id, names, callers.tries, CLIENT_LEFT_GRACE_NS + stall_ns),
        *excessive_deadlines(by_id, names, callers.tries, DEADLINE_SLACK_NS + stall_ns),
        *sends_after_drain(
            boxes.attempts,
            callers.told,
            callers.balancers_down,
            names,
            max(drain_grace_ns, LIMIT_GRACE_NS + stall_ns),
        ),
    ]
    for anomaly in (*boxes.anomalies, *callers.anomalies):
        box = names[anomaly.box] if anomaly.box >= 0 else ""
        violations.append(Violation(anomaly.rule, anomaly.at_ns, anomaly.id, box, anomaly.what))
    return sorted(violations, key=lambda v: (v.at_ns, v.rule, v.request))


def violation_counts(violations: Iterable[Violation]) -> dict[str, int]:
    """The number of violations of each rule."""
    totals = dict.fromkeys(RULES, 0)
    for violation in violations:
        totals[violation.rule] += 1
    return totals


def _format_s(at_ns: int) -> str:
    return f"{at_ns / 1e9:.4f} s"


def lost_requests(
    callers: CallerRecords, by_id: Mapping[str, list[Attempt]], names: list[str], tries: Iterable[Try]
) -> Iterable[Violation]:
    """Tries without a response in time, or with one that no box produced for them."""
    for entry in tries:
        if not entry.sent_ns or _balancer_was_down(entry, callers.balancers_down):
            continue
        context = f"sent to balancer {entry.balancer} at {_format_s(entry.sent_ns)}"
        read_attempt = _attempt_read_before_close(entry, by_id)
        if read_attempt is not None:
            yield Violation(
                "lost",
                entry.crossed_ns,
                entry.id,
                names[read_attempt.box],
                f"{context}; it was read, since {names[read_attempt.box]} had it at "
                f"{_format_s(read_attempt.whole_ns)}, and its connection "
                f"ended at {_format_s(entry.crossed_ns)} with no answer",
            )
        if entry.how == "lost":
            yield Violation(
                "lost",
                entry.end_ns,
                entry.id,
                "",
                f"{context}; its connection ended at {_format_s(entry.end_ns)} with no whole answer",
            )
        elif entry.how == "cut" and (fault := _cut_at_fault(entry, by_id)):
            yield Violation("lost", entry.end_ns, entry.id, "", f"{context}; {fault}")
        elif entry.how == "answered" and entry.status != 200 and (given := _given_up_while_giving(entry, by_id)):
            yield Violation(
                "lost",
                given.end_ns,
                entry.id,
                names[given.box],
                f"{context}; {names[given.box]} had begun its response at {_format_s(given.begun_ns)} and was giving "
                f"it when its connection was closed by {_format_s(given.end_ns)}; due by "
                f"{_format_s(entry.deadline_ns)}, it was answered {entry.status} at {_format_s(entry.end_ns)}",
            )
        elif entry.how == "silent":
            yield Violation(
                "lost",
                entry.end_ns,
                entry.id,
                "",
                f"{context}, to be answered by {_format_s(entry.deadline_ns)}; "
                f"nothing had come at {_format_s(entry.end_ns)}",
            )
        elif entry.how == "answered" and entry.status == 200:
            produced = [a for a in by_id.get(entry.id, []) if a.digest]
            if entry.digest not in {a.digest for a in produced}:
                boxes = ", ".join(f"{names[a.box]} at {_format_s(a.end_ns)}" for a in produced) or "no box"
                yield Violation(
                    "lost",
                    entry.end_ns,
                    entry.id,
                    "",
                    f"{context}; the body served at "
                    f"{_format_s(entry.end_ns)} was made by no box for it (made for it by {boxes})",
                )


def _cut_at_fault(entry: Try, by_id: Mapping[str, list[Attempt]]) -> str:
    """How a balancer is at fault for a response that was cut off, or "": only what its box never gave may be missing,
    and the client has to learn that in time."""
    if not any(attempt.interrupted for attempt in by_id.get(entry.id, ())):
        return f"its response was cut off at {_format_s(entry.end_ns)}, and no box had interrupted it"
    if entry.end_ns > entry.deadline_ns + FINAL_ANSWER_GRACE_NS + LIMIT_GRACE_NS:
        return f"due by {_format_s(entry.deadline_ns)}, its response was cut off only at {_format_s(entry.end_ns)}"
    return ""


def _given_up_while_giving(entry: Try, by_id: Mapping[str, list[Attempt]]) -> Attempt | None:
    """An attempt that the balancer gave up although its box had begun the response in time and nothing held it back."""
    for attempt in by_id.get(entry.id, ()):
        if not 0 < attempt.begun_ns < entry.deadline_ns or attempt.how != "cancelled" or attempt.interrupted:
            continue
        # The head may still have been on its way.
        if attempt.begun_ns + LIMIT_GRACE_NS < attempt.end_ns < entry.deadline_ns + HANG_GRACE_NS:
            return attempt
    return None


def _attempt_read_before_close(entry: Try, by_id: Mapping[str, list[Attempt]]) -> Attempt | None:
    """The attempt that proves that the balancer had read this request before it closed the idle connection."""
    if not entry.crossed_ns:
        return None
    own_attempts = (a for a in by_id.get(entry.id, ()) if a.balancer == entry.balancer)
    return next((a for a in own_attempts if a.whole_ns <= entry.crossed_ns), None)


def _balancer_was_down(entry: Try, down: list[StateSpan]) -> bool:
    """Whether its balancer was killed while handling the request; retrying is then up to the caller."""
    return any(
        span.who == entry.balancer
        and span.state == "down"
        and span.from_ns <= entry.end_ns
        and entry.sent_ns <= span.to_ns
        for span in down
    )


def attempts_after_client_left(
    by_id: Mapping[str, list[Attempt]], names: list[str], tries: Iterable[Try], grace_ns: int
) -> Iterable[Violation]:
    """Attempts that began more than the grace period after their client had disconnected."""
    for entry in tries:
        if entry.how != "left":
            continue
        for attempt in by_id.get(entry.id, ()):
            if attempt.first_lo_ns > entry.end_ns + grace_ns:
                yield Violation(
                    "lost",
                    attempt.first_lo_ns,
                    entry.id,
                    names[attempt.box],
                    (
                        f"its client left at {_format_s(entry.end_ns)}; balancer {entry.balancer} began this "
                        f"no sooner than {_format_s(attempt.first_lo_ns)}"
                    ),
                )


def excessive_deadlines(
    by_id: Mapping[str, list[Attempt]], names: list[str], tries: Iterable[Try], slack_ns: int
) -> Iterable[Violation]:
    """Attempts that gave their upstream more time than their client had left."""
    for entry in tries:
        for attempt in by_id.get(entry.id, ()):
            if attempt.told_ms and attempt.first_lo_ns + attempt.told_ms * MS > entry.deadline_ns + slack_ns:
                yield Violation(
                    "deadline",
                    attempt.first_lo_ns,
                    entry.id,
                    names[attempt.box],
                    (
                        f"told {attempt.told_ms} ms no sooner than {_format_s(attempt.first_lo_ns)}; "
                        f"its client waits until {_format_s(entry.deadline_ns)}"
                    ),
                )


def concurrent_attempts(by_id: Mapping[str, list[Attempt]], names: list[str]) -> Iterable[Violation]:
    """Attempts of one request that were in flight at the same time."""
    for request, attempts in by_id.items():
        ordered = sorted(attempts, key=lambda a: a.whole_ns)
        for i, first in enumerate(ordered):
            for second in ordered[i + 1 :]:
                # The first was still open when the second had been received in full.
                if first.open_ns > second.whole_ns and second.open_ns >= second.whole_ns:
                    yield Violation(
                        "twice",
                        second.whole_ns,
                        request,
                        names[second.box],
                        (
                            f"out at {names[first.box]} from {_format_s(first.whole_ns)} "
                            f"until after {_format_s(first.open_ns)} ({first.how}), "
                            f"and at {names[second.box]} from {_format_s(second.whole_ns)} ({second.how})"
                        ),
                    )
                    break


def disallowed_repeats(plan: Plan, by_id: Mapping[str, list[Attempt]], tries: Iterable[Try]) -> Iterable[Violation]:
    """Requests not safe to repeat that were sent again or refused although an attempt may have run."""
    classes = {c.name: c for c in plan.scenario.classes}
    for entry in tries:
        request_class = classes[plan.asks[entry.ask].class_name]
        if request_class.effect == "safe":
            continue
        attempts = sorted(by_id.get(entry.id, ()), key=lambda a: a.whole_ns)
        executed = next((a for a in attempts if a.how != "declined"), None)
        if executed is None:
            continue
        context = f"taken by {plan.boxes[executed.box].host} at {_format_s(executed.whole_ns)} ({executed.how})"
        may_refuse = request_class.effect == "keyed" and request_class.scope == "all"
        if entry.how == "answered" and entry.status in (429, 503) and not may_refuse:
            yield Violation(
                "twice",
                entry.end_ns,
                entry.id,
                plan.boxes[executed.box].host,
                f"{request_class.effect}: {context}, and refused at {_format_s(entry.end_ns)}, as if it had not run",
            )
        for later in attempts[attempts.index(executed) + 1 :]:
            allowed = (
                request_class.effect == "keyed"
                and _in_dedup_scope(plan, request_class.scope, executed, later)
                and later.first_lo_ns - executed.whole_ns <= request_class.window_ms * MS + LIMIT_GRACE_NS
            )
            if not allowed:
                yield Violation(
                    "twice",
                    later.whole_ns,
                    entry.id,
                    plan.boxes[later.box].host,
                    (
                        f"{request_class.effect}, scope {request_class.scope}: {context}, "
                        f"and sent again to {plan.boxes[later.box].host} at {_format_s(later.whole_ns)}"
                    ),
                )


def _in_dedup_scope(plan: Plan, scope: str, first: Attempt, second: Attempt) -> bool:
    """Whether the second box deduplicates what the first has executed."""
    a, b = plan.boxes[first.box], plan.boxes[second.box]
    return scope == "all" or (a.room == b.room and (scope == "zone" or a.cell == b.cell))


def sends_after_drain(
    attempts: list[Attempt], updates: Iterable[Told], down: list[StateSpan], names: list[str], grace_ns: int
) -> Iterable[Violation]:
    """Attempts that began later than the grace period after their box was reported draining or removed.

    An attempt that may have begun after the box was reported up again does not count."""
    closed_spans: dict[tuple[int, int], list[tuple[int, int, str]]] = defaultdict(list)
    for update in sorted(updates, key=lambda update: notified_at(update)):
        spans, at_ns = closed_spans[update.balancer, update.box], notified_at(update)
        if update.health == "up":
            if spans and spans[-1][1] == NEVER:
                spans[-1] = (spans[-1][0], at_ns, spans[-1][2])
        elif at_ns < NEVER and (not spans or spans[-1][1] < NEVER):
            spans.append((at_ns, NEVER, update.health))
    for attempt in attempts:
        for from_ns, to_ns, health in closed_spans.get((attempt.balancer, attempt.box), ()):
            # A balancer restarted since then has started with a newer list.
            restarted_since = any(
                span.who == attempt.balancer and from_ns < span.to_ns <= attempt.first_lo_ns for span in down
            )
            if from_ns + grace_ns < attempt.first_lo_ns and attempt.whole_ns < to_ns and not restarted_since:
                yield Violation(
                    "drain",
                    attempt.first_lo_ns,
                    attempt.id,
                    names[attempt.box],
                    (
                        f"balancer {attempt.balancer} was told {health!r} at {_format_s(from_ns)} and sent this "
                        f"no sooner than {_format_s(attempt.first_lo_ns)}, "
                        f"{(attempt.first_lo_ns - from_ns) / 1e6:.0f} ms later"
                    ),
                )


def notified_at(update: Told) -> int:
    """When an update counts as delivered: written to the balancer, or some seconds after the agent received it."""
    if update.written_ns < 0:
        return -1
    return min(update.written_ns or NEVER, update.due_ns or NEVER)
