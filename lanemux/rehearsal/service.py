"""The figures of a run: service is worth answered in time over worth asked. No I/O.

An ask and its retries are one: one worth, however many tries, answered if any of them is answered within the
aim, counted from the time at which the ask was due. Worth counts for each unit of work.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass, field

from lanemux.rehearsal.plan import MS, SECOND, Ask, Plan
from lanemux.rehearsal.records import Attempt, BoxRecords, CallerRecords, StateSpan, Try

WORST_S = 10  # length of the worst stretch
BIN_NS = SECOND // 2  # of the plots
RECOVERED, RECOVERED_NS, RECOVERY_STEP_NS = 0.95, 2 * SECOND, SECOND // 4  # shorter stretches are chance
AFTER_RETURN_NS = 3 * SECOND  # boxes that are back are cold, and the list has to tell of them
RETURNS_BIN_NS = SECOND // 10
HELD_PART = 0.9  # of the refusals: what waited for room until it was given up is among the rest
HELD_FROM_NS = 100 * MS  # a last try may have 1 ms; and when an attempt ended is known to 20 ms
HEAVY_PART = 0.1  # the heaviest tenth by the cost hint, which is all that a balancer knows


@dataclass(slots=True)
class Point:
    """Half a second of a run, for the plots."""

    at_s: float
    asked: dict[str, float] = field(default_factory=lambda: defaultdict(float))  # worth by class
    earned: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    untried: int = 0  # refused before any attempt
    tried: int = 0  # refused after one
    failed: int = 0
    unanswered: int = 0
    attempts: int = 0
    tries: int = 0
    asks: int = 0


@dataclass(slots=True)
class Figures:
    """All figures of a run; shares lie in [0, 1], times are milliseconds."""

    service: float = 0.0
    worst_10_s: float = 0.0
    by_class: dict[str, float] = field(default_factory=dict)
    by_partner: dict[str, float] = field(default_factory=dict)  # within its share
    heavy: float = 0.0  # of the asks with the largest cost hints
    asked: int = 0
    answered_in_time: int = 0
    answered_late: int = 0
    tries: int = 0
    refused: int = 0  # tries
    failed: int = 0  # tries answered with anything else but 200
    unreached: int = 0  # tries that found no balancer
    attempts: int = 0
    attempts_per_ask: float = 0.0
    probes_per_ask: float = 0.0
    declined: int = 0  # attempts that boxes turned away
    cancelled: int = 0  # and that the balancer gave up
    first_attempt_p50_ms: float = 0.0
    first_attempt_p99_ms: float = 0.0
    answer_p50_ms: float = 0.0
    answer_p99_ms: float = 0.0
    refusal_p50_share: float = 0.0  # of a try's time that had gone by when it was refused
    refusal_p90_share: float = 0.0
    refusal_held_share: float = 0.0  # of its time, what went by at nine in ten refusals with no attempt out before them
    blindness: float = 0.0  # attempts that met a frozen box, over what chance would send there
    outage_service: float = 0.0  # while boxes that died together are away or have just come back
    recovery_s: float = -1.0  # from the last one's return until service is 95% of that before; -1: never, or no outage
    returns_peak: float = 0.0  # refused callers that come back in 100 ms of an outage: most over mean
    connections_most: int = 0  # open at all boxes at once
    cold_budget_most: float = 0.0  # of what a cold box bears, the most that it was sent
    descriptors_most: int = 0
    memory_most_mb: float = 0.0

    def as_dict(self) -> dict[str, object]:
        return asdict(self)


def quantile(values: Sequence[float], part: float) -> float:
    """The value below which this part of them lies; 0 of nothing."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


@dataclass(slots=True)
class Result:
    """What became of one ask."""

    ask: Ask
    worth: float
    served_ns: int  # from the time it was due to its answer; -1: none
    in_time: bool


def ask_results(plan: Plan, tries: Iterable[Try]) -> list[Result]:
    """Every ask that counts, with its first answer, whichever try and balancer it came by."""
    served: dict[int, int] = {}
    for entry in tries:
        if entry.how == "answered" and entry.status == 200:
            served[entry.ask] = min(served.get(entry.ask, entry.end_ns), entry.end_ns)
    classes = {c.name: c for c in plan.scenario.classes}
    found = []
    for ask in plan.asks:
        if ask.at_ns < plan.scenario.warm_up_s * SECOND:
            continue
        cls = classes[ask.class_name]
        took = served[ask.number] - ask.at_ns if ask.number in served else -1
        found.append(Result(ask, cls.worth * ask.work_ns, took, 0 <= took <= cls.aim_ms * MS))
    return found


def _share(rows: Iterable[Result]) -> float:
    asked = earned = 0.0
    for r in rows:
        asked += r.worth
        earned += r.worth * r.in_time
    return earned / asked if asked else 0.0


def _grouped(rows: Iterable[Result], key: Callable[[Result], str]) -> dict[str, list[Result]]:
    groups: dict[str, list[Result]] = defaultdict(list)
    for r in rows:
        groups[key(r)].append(r)
    return groups


def _worst(plan: Plan, rows: list[Result]) -> float:
    """The lowest share of any ten seconds (the whole run, if it is shorter)."""
    first, last = int(plan.scenario.warm_up_s), int(plan.scenario.seconds)
    seconds = _grouped(rows, lambda r: str(r.ask.at_ns // SECOND))
    shares = [
        _share(r for s in range(at, at + WORST_S) for r in seconds.get(str(s), ()))
        for at in range(first, max(first, last - WORST_S) + 1)
    ]
    return min(shares, default=0.0)


def _partners(plan: Plan, rows: list[Result]) -> dict[str, float]:
    """Each partner's share of worth answered in time, of what it asked within its share of all that was asked."""
    whole = sum(p.share for p in plan.scenario.partners)
    asked_in_all = sum(r.worth for r in rows)
    service_by_partner = {}
    for name, own in _grouped(rows, lambda r: r.ask.partner).items():
        share = next(p.share for p in plan.scenario.partners if p.name == name) / whole
        asked, earned = sum(r.worth for r in own), sum(r.worth * r.in_time for r in own)
        within = min(asked, share * asked_in_all)
        service_by_partner[name] = min(1.0, earned / within) if within else 0.0
    return service_by_partner


def _blindness(plan: Plan, boxes: BoxRecords, attempts: list[Attempt]) -> float:
    """How far attempts went to boxes that stood still: 0 never, 1 as often as blind chance would."""
    end = int(plan.scenario.seconds * SECOND)
    frozen = [life for life in boxes.state_spans if life.state == "frozen"]
    spans: dict[int, list[StateSpan]] = defaultdict(list)
    for life in frozen:
        spans[life.who].append(life)
    met = sum(
        any(s.from_ns <= a.first_lo_ns and a.first_lo_ns < s.to_ns <= a.whole_ns for s in spans[a.box])
        for a in attempts
    )
    chance = sum(min(s.to_ns, end) - s.from_ns for s in frozen) / (end * plan.scenario.fleet.boxes)
    return met / len(attempts) / chance if attempts and chance > 0 else 0.0


def outage(plan: Plan) -> tuple[int, int] | None:
    """From the first box that died to come back to the last one that is back; None where none did."""
    died = {h.who: h.at_ns for h in plan.happenings if h.what == "die"}
    back = {h.who: h.at_ns for h in plan.happenings if h.what == "start" and h.who in died}
    return (min(died[who] for who in back), max(back.values())) if back else None


def _recovery_s(plan: Plan, rows: list[Result], span: tuple[int, int]) -> float:
    """The first moment from which RECOVERED_NS are served as well as before the outage, nearly."""
    before = _share(r for r in rows if r.ask.at_ns < span[0])
    for at in range(span[1], int(plan.scenario.seconds * SECOND) - RECOVERED_NS, RECOVERY_STEP_NS):
        if _share(r for r in rows if at <= r.ask.at_ns < at + RECOVERED_NS) >= RECOVERED * before:
            return (at - span[1]) / SECOND
    return -1.0


def _returns_peak(tries: Sequence[Try], span: tuple[int, int]) -> float:
    """How unevenly refused callers come back: the fullest 100 ms over the mean one."""
    refused = {(t.ask, t.number) for t in tries if t.how == "answered" and t.status in (429, 503)}
    counts = [0] * max(1, (span[1] - span[0]) // RETURNS_BIN_NS)
    for t in tries:
        bin_of = (t.sent_ns - span[0]) // RETURNS_BIN_NS
        if t.number and (t.ask, t.number - 1) in refused and 0 <= bin_of < len(counts):
            counts[bin_of] += 1
    return max(counts) * len(counts) / sum(counts) if sum(counts) else 0.0


def compute_figures(plan: Plan, boxes: BoxRecords, callers: CallerRecords) -> Figures:
    """The figures of a run, from the books alone."""
    rows = ask_results(plan, callers.tries)
    counted = {r.ask.number for r in rows}
    tries = [t for t in callers.tries if t.ask in counted]
    by_id = {t.id: t for t in tries}
    attempts = [a for a in boxes.attempts if a.id in by_id]
    refused = [t for t in tries if t.how == "answered" and t.status in (429, 503)]
    first: dict[str, int] = {}
    for a in attempts:
        first[a.id] = min(first.get(a.id, a.whole_ns), a.whole_ns)
    waits = [(at - by_id[name].sent_ns) / MS for name, at in first.items() if by_id[name].sent_ns]
    took = [r.served_ns / MS for r in rows if r.served_ns >= 0]
    hints = quantile([r.ask.hint_us for r in rows], 1 - HEAVY_PART)
    how = Counter(a.how for a in attempts)
    waited = [(t.end_ns - t.sent_ns) / max(1, t.deadline_ns - t.sent_ns) for t in refused]
    ended: dict[str, int] = {}
    for a in attempts:
        ended[a.id] = max(ended.get(a.id, 0), a.open_ns)
    held = [
        (t.end_ns - max(t.sent_ns, ended.get(t.id, 0))) / (t.deadline_ns - t.sent_ns)
        for t in refused
        if t.deadline_ns - t.sent_ns >= HELD_FROM_NS
    ]
    asks = max(1, len(rows))
    span = outage(plan)
    away = (span[0], span[1] + AFTER_RETURN_NS) if span is not None else (0, 0)
    return Figures(
        outage_service=_share(r for r in rows if away[0] <= r.ask.at_ns < away[1]),
        recovery_s=_recovery_s(plan, rows, span) if span is not None else -1.0,
        returns_peak=_returns_peak(tries, span) if span is not None else 0.0,
        service=_share(rows),
        worst_10_s=_worst(plan, rows),
        by_class={c: _share(own) for c, own in sorted(_grouped(rows, lambda r: r.ask.class_name).items())},
        by_partner=dict(sorted(_partners(plan, rows).items())),
        heavy=_share(r for r in rows if r.ask.hint_us >= hints),
        asked=len(rows),
        answered_in_time=sum(r.in_time for r in rows),
        answered_late=sum(r.served_ns >= 0 and not r.in_time for r in rows),
        tries=len(tries),
        refused=len(refused),
        failed=sum(t.how == "answered" and t.status not in (200, 429, 503) for t in tries),
        unreached=sum(t.how == "refused" for t in tries),
        attempts=len(attempts),
        attempts_per_ask=len(attempts) / asks,
        probes_per_ask=boxes.probes / asks,
        declined=how["declined"],
        cancelled=how["cancelled"],
        first_attempt_p50_ms=quantile(waits, 0.5),
        first_attempt_p99_ms=quantile(waits, 0.99),
        answer_p50_ms=quantile(took, 0.5),
        answer_p99_ms=quantile(took, 0.99),
        refusal_p50_share=quantile(waited, 0.5),
        refusal_p90_share=quantile(waited, 0.9),
        refusal_held_share=quantile(held, HELD_PART),
        blindness=_blindness(plan, boxes, attempts),
        connections_most=boxes.open_most,
        cold_budget_most=boxes.pushed_most,
        descriptors_most=callers.descriptors_most,
        memory_most_mb=callers.memory_most_mb,
    )


def missed_expectations(plan: Plan, found: Figures) -> list[str]:
    """The scenario's expectations that the figures do not meet, each in one line."""
    expect, boxes = plan.scenario.expect, plan.scenario.fleet.boxes
    least = [("service", found.service, expect.service_least), ("heavy", found.heavy, expect.heavy_least)]
    most = [
        ("refusal_held_share", found.refusal_held_share, expect.refusal_held_share_most),
        ("blindness", found.blindness, expect.blindness_most),
        ("given_up_share", found.cancelled / max(1, found.attempts), expect.given_up_share_most),
        ("connections_per_box", found.connections_most / boxes, expect.connections_per_box_most),
    ]
    return [
        *(f"{name} {value:.3f} is under {bound:g}" for name, value, bound in least if value < bound),
        *(f"{name} {value:.3f} is over {bound:g}" for name, value, bound in most if value > bound),
    ]


def time_series(plan: Plan, boxes: BoxRecords, callers: CallerRecords) -> list[Point]:
    """The run in steps, for the plots: worth by when it was asked, the rest by when it happened."""
    points = [Point(i * BIN_NS / SECOND) for i in range(int(plan.scenario.seconds * SECOND // BIN_NS) + 1)]

    def point(at_ns: int) -> Point:
        return points[min(len(points) - 1, max(0, at_ns // BIN_NS))]

    for r in ask_results(plan, callers.tries):
        point(r.ask.at_ns).asked[r.ask.class_name] += r.worth
        point(r.ask.at_ns).asks += 1
        point(r.ask.at_ns).earned[r.ask.class_name] += r.worth * r.in_time
    attempted = {a.id for a in boxes.attempts}
    for t in callers.tries:
        p = point(t.end_ns)
        p.tries += 1
        refused = t.how == "answered" and t.status in (429, 503)
        p.untried += refused and t.id not in attempted
        p.tried += refused and t.id in attempted
        p.failed += t.how == "answered" and t.status not in (200, 429, 503)
        p.unanswered += t.how in ("lost", "silent", "refused")
    for a in boxes.attempts:
        point(a.whole_ns).attempts += 1
    return points
