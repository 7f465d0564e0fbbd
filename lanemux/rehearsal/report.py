"""Formats the results of a run: a table for people and JSON for scripts. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from lanemux.rehearsal.rules import Violation, violation_counts
from lanemux.rehearsal.run import Run

MAX_SHOWN = 5  # violations in the table; the JSON has more
MAX_LISTED = 200  # violations in the JSON: a broken build can produce thousands of similar ones


def as_json(run: Run, name: str) -> dict[str, object]:
    """The report as a JSON object; its keys are a stable interface."""
    return {
        "scenario": name,
        "title": run.plan.scenario.title,
        "seed": run.plan.seed,
        "digest": run.digest,
        "valid": run.validity.valid,
        "rules": violation_counts(run.violations),
        "crashes": run.crashes,
        "expectations_missed": run.missed_expectations,
        **run.figures.as_dict(),
        "validity": {k: getattr(run.validity, k) for k in run.validity.__dataclass_fields__},
        "violations": [
            {"rule": v.rule, "at_s": v.at_ns / 1e9, "request": v.request, "box": v.box, "proof": v.proof}
            for v in _listed(run.violations)
        ],
        "wall_s": run.wall_s,
    }


def _listed(violations: Sequence[Violation]) -> list[Violation]:
    """The first violations, among them the first of each rule that was broken, in order of time."""
    first_of_rule: dict[str, int] = {}
    for index, violation in enumerate(violations):
        first_of_rule.setdefault(violation.rule, index)
    indices = dict.fromkeys((*first_of_rule.values(), *range(len(violations))))
    return [violations[index] for index in sorted(list(indices)[:MAX_LISTED])]


def summary_rows(run: Run) -> list[tuple[str, str]]:
    """The rows of the table printed at the end of a run: label and text."""
    figures, rules = run.figures, violation_counts(run.violations)
    return [
        (
            "service",
            f"{figures.service:.3f}   worst 10 s {figures.worst_10_s:.3f}   heaviest tenth {figures.heavy:.3f}",
        ),
        ("by class", "   ".join(f"{c} {v:.3f}" for c, v in figures.by_class.items())),
        (
            "by partner",
            f"worst {min(figures.by_partner.values(), default=0.0):.3f} "
            f"({min(figures.by_partner, key=lambda p: figures.by_partner[p], default='-')})",
        ),
        (
            "frozen",
            f"blindness {figures.blindness:.2f} (1: as by chance)   connections {figures.connections_most}   "
            f"refusals at {figures.refusal_p50_share:.2f} of their time, held for {figures.refusal_held_share:.2f}",
        ),
        (
            "asks",
            f"{figures.asked}   in time {figures.answered_in_time}   late {figures.answered_late}   "
            f"tries {figures.tries}",
        ),
        ("tries", f"refused {figures.refused}   failed {figures.failed}   no balancer {figures.unreached}"),
        (
            "attempts",
            f"{figures.attempts_per_ask:.2f} an ask   turned away {figures.declined}   given up {figures.cancelled}   "
            f"probes {figures.probes_per_ask:.2f} an ask",
        ),
        (
            "times, ms",
            f"first attempt p50 {figures.first_attempt_p50_ms:.1f} p99 {figures.first_attempt_p99_ms:.1f}   "
            f"answer p50 {figures.answer_p50_ms:.0f} p99 {figures.answer_p99_ms:.0f}",
        ),
        ("rules", "   ".join(f"{rule} {n}" for rule, n in rules.items())),
        ("expected", "; ".join(run.missed_expectations) or "met"),
        ("valid", "yes" if run.validity.valid else "NO: " + "; ".join(run.validity.reasons)),
        ("plan", f"seed {run.plan.seed}   digest {run.digest}"),
    ]


def failure_lines(run: Run) -> list[str]:
    """The first violations with their proofs, and the crashes."""
    lines = [
        f"{v.rule} at {v.at_ns / 1e9:.3f} s, request {v.request or '-'}, box {v.box or '-'}: {v.proof}"
        for v in run.violations[:MAX_SHOWN]
    ]
    if len(run.violations) > MAX_SHOWN:
        lines.append(f"and {len(run.violations) - MAX_SHOWN} more")
    return lines + run.crashes


def as_text(run: Run, name: str) -> str:
    """The table as plain text."""
    return "\n".join(
        [
            f"{name}: {run.plan.scenario.title}",
            *(f"  {label:<11}{text}" for label, text in summary_rows(run)),
            *(f"  {line}" for line in failure_lines(run)),
        ]
    )
