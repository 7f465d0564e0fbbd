"""Computes the figures of a run, above all its service: worth answered in time over worth asked. No I/O.

An ask and its retries count as one, with the worth of one: it is answered if any of its tries is answered within the
aim, measured from the time at which the ask was due. Worth is per unit of work.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass, field

from lanemux.rehearsal.plan import MS, SECOND, Ask, Plan
from lanemux.rehearsal.records import Attempt, BoxRecords, CallerRecords, StateSpan, Try

WORST_WINDOW_S = 10  # length of the window for the worst service
PLOT_BIN_NS = SECOND // 2  # step of the plots
RECOVERED_SHARE, RECOVERY_WINDOW_NS, RECOVERY_STEP_NS = (
    0.95,
    2 * SECOND,
    SECOND // 4,
)  # shorter windows vary too much by chance
WARM_UP_AFTER_RETURN_NS = 3 * SECOND  # returned boxes are still cold, and the list must report them first
RETURNS_BIN_NS = SECOND // 10
HELD_QUANTILE = 0.9  # of the refusals; the other tenth includes those that waited for capacity until given up
MIN_HELD_TRY_NS = (
    100 * MS
)  # shorter tries do not count: a last try may have 1 ms, and ends of attempts are known to 20 ms
HEAVY_SHARE = 0.1  # the heaviest tenth by cost hint, since balancers do not know the actual cost


@dataclass(slots=True)
class TimePoint:
    """The counts of half a second of a run, for the plots."""

    at_s: float
    asked: dict[str, float] = field(default_factory=lambda: defaultdict(float))  # worth asked, by class
    earned: dict[str, float] = field(default_factory=lambda: defaultdict(float))  # worth answered in time, by class
    refused_before_attempt: int = 0
    refused_after_attempt: int = 0
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
    by_partner: dict[str, float] = field(default_factory=dict)  # counting what it asked within its share
    heavy: float = 0.0  # service of the asks with the largest cost hints
    asked: int = 0
    answered_in_time: int = 0
    answered_late: int = 0
    tries: int = 0
    refused: int = 0  # tries
    failed: int = 0  # tries answered with anything but 200 or a refusal, or cut off in the middle of a response
    unreached: int = 0  # tries that could not connect to a balancer
    attempts: int = 0
    attempts_per_ask: float = 0.0
    probes_per_ask: float = 0.0
    declined: int = 0  # attempts that boxes declined
    cancelled: int = 0  # attempts that balancers cancelled
    first_attempt_p50_ms: float = 0.0
    first_attempt_p99_ms: float = 0.0
    answer_p50_ms: float = 0.0
    answer_p99_ms: float = 0.0
    refusal_p50_share: float = 0.0  # share of a try's time that had passed when it was refused
    refusal_p90_share: float = 0.0
    refusal_held_share: float = 0.0  # 90th percentile: share of a try's time idle before its refusal
    blindness: float = 0.0  # attempts sent to frozen boxes, relative to random selection
    outage_service: float = 0.0  # while boxes that died together are down or have just returned
    recovery_s: float = -1.0  # from the last return until service is 95% of that before; -1: never, or no outage
    returns_peak: float = 0.0  # retries of refused callers per 100 ms of an outage: maximum over mean
    connections_most: int = 0  # most connections open at once, over all boxes
    cold_budget_most: float = 0.0  # highest share of its load budget that a cold box was sent
    descriptors_most: int = 0
    memory_most_mb: float = 0.0

    def as_dict(self) -> dict[str, object]:
        return asdict(self)


def quantile(values: Sequence[float], fraction: float) -> float:
    """The value below which this fraction of them lies; 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


@dataclass(slots=True)
class AskResult:
    """The outcome of one ask."""

    ask: Ask
    worth: float
    served_ns: int  # from its due time to its answer; -1: none
    in_time: bool


def ask_results(plan: Plan, tries: Iterable[Try]) -> list[AskResult]:
    """Every ask after the warm-up, with its first answer from any try and any balancer."""
    served: dict[int, int] = {}
    for entry in tries:
        if entry.how == "answered" and entry.status == 200:
            served[entry.ask] = min(served.get(entry.ask, entry.end_ns), entry.end_ns)
    classes = {c.name: c for c in plan.scenario.classes}
    results = []
    for ask in plan.asks:
        if ask.at_ns < plan.scenario.warm_up_s * SECOND:
            continue
        request_class = classes[ask.class_name]
        answer_ns = served[ask.number] - ask.at_ns if ask.number in served else -1
        results.append(
            AskResult(ask, request_class.worth * ask.work_ns, answer_ns, 0 <= answer_ns <= request_class.aim_ms * MS)
        )
    return results


def _service_share(results: Iterable[AskResult]) -> float:
    asked = earned = 0.0
    for result in results:
        asked += result.worth
        earned += result.worth * result.in_time
    return earned / asked if asked else 0.0


def _group_by(results: Iterable[AskResult], key: Callable[[AskResult], str]) -> dict[str, list[AskResult]]:
    groups: dict[str, list[AskResult]] = defaultdict(list)
    for result in results:
        groups[key(result)].append(result)
    return groups


def _worst_window(plan: Plan, results: list[AskResult]) -> float:
    """The lowest service of any ten seconds (of the whole run, if it is shorter)."""
    first_s, last_s = int(plan.scenario.warm_up_s), int(plan.scenario.seconds)
    by_second = _group_by(results, lambda result: str(result.ask.at_ns // SECOND))
    shares = [
        _service_share(result for second in range(at, at + WORST_WINDOW_S) for result in by_second.get(str(second), ()))
        for at in range(first_s, max(first_s, last_s - WORST_WINDOW_S) + 1)
    ]
    return min(shares, default=0.0)


def _service_by_partner(plan: Plan, results: list[AskResult]) -> dict[str, float]:
    """Each partner's worth answered in time, over what it asked within its share of the total."""
    total_share = sum(partner.share for partner in plan.scenario.partners)
    total_asked = sum(result.worth for result in results)
    service_by_partner = {}
    for name, group in _group_by(results, lambda result: result.ask.partner).items():
        share = next(partner.share for partner in plan.scenario.partners if partner.name == name) / total_share
        asked, earned = sum(result.worth for result in group), sum(result.worth * result.in_time for result in group)
        entitled = min(asked, share * total_asked)
        service_by_partner[name] = min(1.0, earned / entitled) if entitled else 0.0
    return service_by_partner


def _blindness(plan: Plan, boxes: BoxRecords, attempts: list[Attempt]) -> float:
    """How often attempts went to frozen boxes: 0 never, 1 as often as by random selection."""
    end = int(plan.scenario.seconds * SECOND)
    frozen = [life for life in boxes.state_spans if life.state == "frozen"]
    spans: dict[int, list[StateSpan]] = defaultdict(list)
    for life in frozen:
        spans[life.who].append(life)
    frozen_attempts = sum(
        any(
            span.from_ns <= attempt.first_lo_ns and attempt.first_lo_ns < span.to_ns <= attempt.whole_ns
            for span in spans[attempt.box]
        )
        for attempt in attempts
    )
    chance = sum(min(span.to_ns, end) - span.from_ns for span in frozen) / (end * plan.scenario.fleet.boxes)
    return frozen_attempts / len(attempts) / chance if attempts and chance > 0 else 0.0


def outage_span(plan: Plan) -> tuple[int, int] | None:
    """From the first death of a box that returns later to the last such return; None if none returns."""
    died = {event.who: event.at_ns for event in plan.happenings if event.what == "die"}
    returned = {event.who: event.at_ns for event in plan.happenings if event.what == "start" and event.who in died}
    return (min(died[who] for who in returned), max(returned.values())) if returned else None


def _recovery_s(plan: Plan, results: list[AskResult], span: tuple[int, int]) -> float:
    """Seconds until a window of RECOVERY_WINDOW_NS has RECOVERED_SHARE of the service before the outage."""
    before = _service_share(result for result in results if result.ask.at_ns < span[0])
    for at in range(span[1], int(plan.scenario.seconds * SECOND) - RECOVERY_WINDOW_NS, RECOVERY_STEP_NS):
        if (
            _service_share(result for result in results if at <= result.ask.at_ns < at + RECOVERY_WINDOW_NS)
            >= RECOVERED_SHARE * before
        ):
            return (at - span[1]) / SECOND
    return -1.0


def _returns_peak(tries: Sequence[Try], span: tuple[int, int]) -> float:
    """How unevenly refused callers retry: the busiest 100 ms over the mean."""
    refused = {(entry.ask, entry.number) for entry in tries if entry.how == "answered" and entry.status in (429, 503)}
    returns = [0] * max(1, (span[1] - span[0]) // RETURNS_BIN_NS)
    for entry in tries:
        bin_index = (entry.sent_ns - span[0]) // RETURNS_BIN_NS
        if entry.number and (entry.ask, entry.number - 1) in refused and 0 <= bin_index < len(returns):
            returns[bin_index] += 1
    return max(returns) * len(returns) / sum(returns) if sum(returns) else 0.0


def compute_figures(plan: Plan, boxes: BoxRecords, callers: CallerRecords) -> Figures:
    """The figures of a run, computed from the records alone."""
    results = ask_results(plan, callers.tries)
    counted = {result.ask.number for result in results}
    tries = [entry for entry in callers.tries if entry.ask in counted]
    by_id = {entry.id: entry for entry in tries}
    attempts = [attempt for attempt in boxes.attempts if attempt.id in by_id]
    refused = [entry for entry in tries if entry.how == "answered" and entry.status in (429, 503)]
    first_attempt_ns: dict[str, int] = {}
    for attempt in attempts:
        first_attempt_ns[attempt.id] = min(first_attempt_ns.get(attempt.id, attempt.whole_ns), attempt.whole_ns)
    first_attempt_waits_ms = [
        (at - by_id[name].sent_ns) / MS for name, at in first_attempt_ns.items() if by_id[name].sent_ns
    ]
    answers_ms = [result.served_ns / MS for result in results if result.served_ns >= 0]
    heavy_hint_us = quantile([result.ask.hint_us for result in results], 1 - HEAVY_SHARE)
    outcomes = Counter(attempt.how for attempt in attempts)
    waited_shares = [(entry.end_ns - entry.sent_ns) / max(1, entry.deadline_ns - entry.sent_ns) for entry in refused]
    last_attempt_end_ns: dict[str, int] = {}
    for attempt in attempts:
        last_attempt_end_ns[attempt.id] = max(last_attempt_end_ns.get(attempt.id, 0), attempt.open_ns)
    held_shares = [
        (entry.end_ns - max(entry.sent_ns, last_attempt_end_ns.get(entry.id, 0))) / (entry.deadline_ns - entry.sent_ns)
        for entry in refused
        if entry.deadline_ns - entry.sent_ns >= MIN_HELD_TRY_NS
    ]
    ask_count = max(1, len(results))
    span = outage_span(plan)
    outage_window = (span[0], span[1] + WARM_UP_AFTER_RETURN_NS) if span is not None else (0, 0)
    return Figures(
        outage_service=_service_share(
            result for result in results if outage_window[0] <= result.ask.at_ns < outage_window[1]
        ),
        recovery_s=_recovery_s(plan, results, span) if span is not None else -1.0,
        returns_peak=_returns_peak(tries, span) if span is not None else 0.0,
        service=_service_share(results),
        worst_10_s=_worst_window(plan, results),
        by_class={
            c: _service_share(group)
            for c, group in sorted(_group_by(results, lambda result: result.ask.class_name).items())
        },
        by_partner=dict(sorted(_service_by_partner(plan, results).items())),
        heavy=_service_share(result for result in results if result.ask.hint_us >= heavy_hint_us),
        asked=len(results),
        answered_in_time=sum(result.in_time for result in results),
        answered_late=sum(result.served_ns >= 0 and not result.in_time for result in results),
        tries=len(tries),
        refused=len(refused),
        failed=sum(
            entry.how == "cut" or (entry.how == "answered" and entry.status not in (200, 429, 503)) for entry in tries
        ),
        unreached=sum(entry.how == "refused" for entry in tries),
        attempts=len(attempts),
        attempts_per_ask=len(attempts) / ask_count,
        probes_per_ask=boxes.probes / ask_count,
        declined=outcomes["declined"],
        cancelled=outcomes["cancelled"],
        first_attempt_p50_ms=quantile(first_attempt_waits_ms, 0.5),
        first_attempt_p99_ms=quantile(first_attempt_waits_ms, 0.99),
        answer_p50_ms=quantile(answers_ms, 0.5),
        answer_p99_ms=quantile(answers_ms, 0.99),
        refusal_p50_share=quantile(waited_shares, 0.5),
        refusal_p90_share=quantile(waited_shares, 0.9),
        refusal_held_share=quantile(held_shares, HELD_QUANTILE),
        blindness=_blindness(plan, boxes, attempts),
        connections_most=boxes.open_most,
        cold_budget_most=boxes.pushed_most,
        descriptors_most=callers.descriptors_most,
        memory_most_mb=callers.memory_most_mb,
    )


def missed_expectations(plan: Plan, figures: Figures) -> list[str]:
    """The scenario's expectations that the figures do not meet, one line each."""
    expect, boxes = plan.scenario.expect, plan.scenario.fleet.boxes
    minimums = [("service", figures.service, expect.service_least), ("heavy", figures.heavy, expect.heavy_least)]
    maximums = [
        ("refusal_held_share", figures.refusal_held_share, expect.refusal_held_share_most),
        ("blindness", figures.blindness, expect.blindness_most),
        ("given_up_share", figures.cancelled / max(1, figures.attempts), expect.given_up_share_most),
        ("connections_per_box", figures.connections_most / boxes, expect.connections_per_box_most),
    ]
    return [
        *(f"{name} {value:.3f} is under {bound:g}" for name, value, bound in minimums if value < bound),
        *(f"{name} {value:.3f} is over {bound:g}" for name, value, bound in maximums if value > bound),
    ]


def time_series(plan: Plan, boxes: BoxRecords, callers: CallerRecords) -> list[TimePoint]:
    """The run in steps for the plots; worth is counted when it was asked, the rest when it happened."""
    points = [
        TimePoint(i * PLOT_BIN_NS / SECOND) for i in range(int(plan.scenario.seconds * SECOND // PLOT_BIN_NS) + 1)
    ]

    def point_at(at_ns: int) -> TimePoint:
        return points[min(len(points) - 1, max(0, at_ns // PLOT_BIN_NS))]

    for result in ask_results(plan, callers.tries):
        point_at(result.ask.at_ns).asked[result.ask.class_name] += result.worth
        point_at(result.ask.at_ns).asks += 1
        point_at(result.ask.at_ns).earned[result.ask.class_name] += result.worth * result.in_time
    attempted = {attempt.id for attempt in boxes.attempts}
    for entry in callers.tries:
        point = point_at(entry.end_ns)
        point.tries += 1
        refused = entry.how == "answered" and entry.status in (429, 503)
        point.refused_before_attempt += refused and entry.id not in attempted
        point.refused_after_attempt += refused and entry.id in attempted
        point.failed += entry.how == "cut" or (entry.how == "answered" and entry.status not in (200, 429, 503))
        point.unanswered += entry.how in ("lost", "silent", "refused")
    for attempt in boxes.attempts:
        point_at(attempt.whole_ns).attempts += 1
    return points
