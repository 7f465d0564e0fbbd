"""The rules' checker: what the books of boxes, callers and discovery prove against the balancers. No I/O.

It never takes a balancer's word, and where a book holds two ends of an instant it accuses only on the end that
excuses. Rules (BRIEF, PROTOCOL): `lost` every request taken has one final answer in time, made for it; `twice`
one attempt out at a time, and no repeat or refusal of what may have run unless its class allows it; `drain`
nothing new to a box some time after its drain is told; `cold` no cold box is pushed over. Beside them `foreign`:
boxes are sent nothing but what callers sent.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lanemux.rehearsal.plan import MS, Plan
from lanemux.rehearsal.records import NEVER, Attempt, BoxRecords, CallerRecords, StateSpan, Told, Try

LIMIT_GRACE_NS = 50 * MS  # each time limit is so much longer on sockets (PROTOCOL)
LEFT_GRACE_NS = 100 * MS  # no attempt begins so long after its client has closed
DEADLINE_SLACK_NS = 150 * MS  # an upstream may be told so much more time than the client has left
RULES = ("lost", "twice", "drain", "cold", "foreign", "deadline")


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule: when, whose request, at which box, and the events that prove it."""

    rule: str
    at_ns: int
    request: str
    box: str
    proof: str


def find_violations(plan: Plan, boxes: BoxRecords, callers: CallerRecords) -> list[Violation]:
    """All that the books prove, in order of time."""
    names = [box.host for box in plan.boxes]
    by_id: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in boxes.attempts:
        by_id[attempt.id].append(attempt)
    held_up_ns = int(plan.scenario.hold_up_ms * MS)
    drain_grace_ns = int(plan.scenario.fleet.drain_grace_ms * MS) + LIMIT_GRACE_NS
    found = [
        *lost_requests(callers, by_id, names, callers.tries),
        *concurrent_attempts(by_id, names),
        *disallowed_repeats(plan, by_id, callers.tries),
        *begun_for_nobody(by_id, names, callers.tries, LEFT_GRACE_NS + held_up_ns),
        *deadlines(by_id, names, callers.tries, DEADLINE_SLACK_NS + held_up_ns),
        *sends_after_drain(
            boxes.attempts,
            callers.told,
            callers.balancers_down,
            names,
            max(drain_grace_ns, LIMIT_GRACE_NS + held_up_ns),
        ),
    ]
    for oddity in (*boxes.anomalies, *callers.anomalies):
        box = names[oddity.box] if oddity.box >= 0 else ""
        found.append(Violation(oddity.rule, oddity.at_ns, oddity.id, box, oddity.what))
    return sorted(found, key=lambda v: (v.at_ns, v.rule, v.request))


def violation_counts(violations: Iterable[Violation]) -> dict[str, int]:
    """How often each rule was broken."""
    sums = dict.fromkeys(RULES, 0)
    for violation in violations:
        sums[violation.rule] += 1
    return sums


def _s(at_ns: int) -> str:
    return f"{at_ns / 1e9:.4f} s"


def lost_requests(
    callers: CallerRecords, by_id: Mapping[str, list[Attempt]], names: list[str], tries: Iterable[Try]
) -> Iterable[Violation]:
    """These tries, where they had no answer in time, or one that no box made for them."""
    for entry in tries:
        if not entry.sent_ns or _was_down(entry, callers.balancers_down):
            continue
        where = f"sent to balancer {entry.balancer} at {_s(entry.sent_ns)}"
        read = _read_before_crossing(entry, by_id)
        if read is not None:
            yield Violation(
                "lost",
                entry.crossed_ns,
                entry.id,
                names[read.box],
                f"{where}; it was read, since {names[read.box]} had it at {_s(read.whole_ns)}, and its connection "
                f"ended at {_s(entry.crossed_ns)} with no answer",
            )
        if entry.how == "lost":
            yield Violation(
                "lost",
                entry.end_ns,
                entry.id,
                "",
                f"{where}; its connection ended at {_s(entry.end_ns)} with no whole answer",
            )
        elif entry.how == "silent":
            yield Violation(
                "lost",
                entry.end_ns,
                entry.id,
                "",
                f"{where}, to be answered by {_s(entry.deadline_ns)}; nothing had come at {_s(entry.end_ns)}",
            )
        elif entry.how == "answered" and entry.status == 200:
            made = [a for a in by_id.get(entry.id, []) if a.digest]
            if entry.digest not in {a.digest for a in made}:
                boxes = ", ".join(f"{names[a.box]} at {_s(a.end_ns)}" for a in made) or "no box"
                yield Violation(
                    "lost",
                    entry.end_ns,
                    entry.id,
                    "",
                    f"{where}; the body served at "
                    f"{_s(entry.end_ns)} was made by no box for it (made for it by {boxes})",
                )


def _read_before_crossing(entry: Try, by_id: Mapping[str, list[Attempt]]) -> Attempt | None:
    """What proves that a balancer had read this request when it ended the connection between two requests."""
    if not entry.crossed_ns:
        return None
    ours = (a for a in by_id.get(entry.id, ()) if a.balancer == entry.balancer)
    return next((a for a in ours if a.whole_ns <= entry.crossed_ns), None)


def _was_down(entry: Try, down: list[StateSpan]) -> bool:
    """Its balancer was killed while it held the request: that is the caller's to retry."""
    return any(
        life.who == entry.balancer
        and life.state == "down"
        and life.from_ns <= entry.end_ns
        and entry.sent_ns <= life.to_ns
        for life in down
    )


def begun_for_nobody(
    by_id: Mapping[str, list[Attempt]], names: list[str], tries: Iterable[Try], grace_ns: int
) -> Iterable[Violation]:
    """Attempts that began so long after their client had closed its connection."""
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
                        f"its client left at {_s(entry.end_ns)}; balancer {entry.balancer} began this no sooner than "
                        f"{_s(attempt.first_lo_ns)}"
                    ),
                )


def deadlines(
    by_id: Mapping[str, list[Attempt]], names: list[str], tries: Iterable[Try], slack_ns: int
) -> Iterable[Violation]:
    """Attempts that told their upstream of more time than their client had left."""
    for entry in tries:
        for attempt in by_id.get(entry.id, ()):
            if attempt.told_ms and attempt.first_lo_ns + attempt.told_ms * MS > entry.deadline_ns + slack_ns:
                yield Violation(
                    "deadline",
                    attempt.first_lo_ns,
                    entry.id,
                    names[attempt.box],
                    (
                        f"told {attempt.told_ms} ms no sooner than {_s(attempt.first_lo_ns)}; its client waits until "
                        f"{_s(entry.deadline_ns)}"
                    ),
                )


def concurrent_attempts(by_id: Mapping[str, list[Attempt]], names: list[str]) -> Iterable[Violation]:
    """Attempts of one request that were out at once."""
    for name, attempts in by_id.items():
        ordered = sorted(attempts, key=lambda a: a.whole_ns)
        for i, first in enumerate(ordered):
            for second in ordered[i + 1 :]:
                # The first was still open when the second had come whole.
                if first.open_ns > second.whole_ns and second.open_ns >= second.whole_ns:
                    yield Violation(
                        "twice",
                        second.whole_ns,
                        name,
                        names[second.box],
                        (
                            f"out at {names[first.box]} from {_s(first.whole_ns)} until after {_s(first.open_ns)} "
                            f"({first.how}), and at {names[second.box]} from {_s(second.whole_ns)} ({second.how})"
                        ),
                    )
                    break


def disallowed_repeats(plan: Plan, by_id: Mapping[str, list[Attempt]], tries: Iterable[Try]) -> Iterable[Violation]:
    """Requests that are not safe to repeat: sent again, or refused, though an attempt of theirs may have run."""
    classes = {c.name: c for c in plan.scenario.classes}
    for entry in tries:
        cls = classes[plan.asks[entry.ask].class_name]
        if cls.effect == "safe":
            continue
        attempts = sorted(by_id.get(entry.id, ()), key=lambda a: a.whole_ns)
        ran = next((a for a in attempts if a.how != "declined"), None)
        if ran is None:
            continue
        where = f"taken by {plan.boxes[ran.box].host} at {_s(ran.whole_ns)} ({ran.how})"
        refusable = cls.effect == "keyed" and cls.scope == "all"
        if entry.how == "answered" and entry.status in (429, 503) and not refusable:
            yield Violation(
                "twice",
                entry.end_ns,
                entry.id,
                plan.boxes[ran.box].host,
                f"{cls.effect}: {where}, and refused at {_s(entry.end_ns)}, as if it had not run",
            )
        for later in attempts[attempts.index(ran) + 1 :]:
            allowed = (
                cls.effect == "keyed"
                and _same_group(plan, cls.scope, ran, later)
                and later.first_lo_ns - ran.whole_ns <= cls.window_ms * MS + LIMIT_GRACE_NS
            )
            if not allowed:
                yield Violation(
                    "twice",
                    later.whole_ns,
                    entry.id,
                    plan.boxes[later.box].host,
                    (
                        f"{cls.effect}, scope {cls.scope}: {where}, and sent again to {plan.boxes[later.box].host} at "
                        f"{_s(later.whole_ns)}"
                    ),
                )


def _same_group(plan: Plan, scope: str, first: Attempt, second: Attempt) -> bool:
    """The second box drops what the first has done."""
    a, b = plan.boxes[first.box], plan.boxes[second.box]
    return scope == "all" or (a.room == b.room and (scope == "zone" or a.cell == b.cell))


def sends_after_drain(
    attempts: list[Attempt], told: Iterable[Told], down: list[StateSpan], names: list[str], grace_ns: int
) -> Iterable[Violation]:
    """Attempts that began so long after their box was told to drain or to be gone, surely before it was up again."""
    closed: dict[tuple[int, int], list[tuple[int, int, str]]] = defaultdict(list)
    for entry in sorted(told, key=lambda t: notified_at(t)):
        spans, at = closed[entry.balancer, entry.box], notified_at(entry)
        if entry.health == "up":
            if spans and spans[-1][1] == NEVER:
                spans[-1] = (spans[-1][0], at, spans[-1][2])
        elif at < NEVER and (not spans or spans[-1][1] < NEVER):
            spans.append((at, NEVER, entry.health))
    for attempt in attempts:
        for from_ns, to_ns, health in closed.get((attempt.balancer, attempt.box), ()):
            # A balancer that was started again since begins with the list that it was given then.
            new = any(life.who == attempt.balancer and from_ns < life.to_ns <= attempt.first_lo_ns for life in down)
            if from_ns + grace_ns < attempt.first_lo_ns and attempt.whole_ns < to_ns and not new:
                yield Violation(
                    "drain",
                    attempt.first_lo_ns,
                    attempt.id,
                    names[attempt.box],
                    (
                        f"balancer {attempt.balancer} was told {health!r} at {_s(from_ns)} and sent this no sooner "
                        f"than {_s(attempt.first_lo_ns)}, {(attempt.first_lo_ns - from_ns) / 1e6:.0f} ms later"
                    ),
                )


def notified_at(told: Told) -> int:
    """When it counts as told: written to the balancer, or some seconds after the agent had it."""
    if told.written_ns < 0:
        return -1
    return min(told.written_ns or NEVER, told.due_ns or NEVER)
