"""What a run comes to: the table that people read and the JSON that scripts read. No I/O."""

from __future__ import annotations

from lanemux.rehearsal.rules import violation_counts
from lanemux.rehearsal.run import Run

SHOWN = 5  # violations in the table; the JSON has more
MAX_LISTED = 200  # violations in the JSON: a broken build has thousands, all alike


def as_json(run: Run, name: str) -> dict[str, object]:
    """The report as an object; the names in it are fixed."""
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
            for v in run.violations[:MAX_LISTED]
        ],
        "wall_s": run.wall_s,
    }


def summary_rows(run: Run) -> list[tuple[str, str]]:
    """What people read at the end of a run: labels and what stands beside them."""
    f, rules = run.figures, violation_counts(run.violations)
    return [
        ("service", f"{f.service:.3f}   worst 10 s {f.worst_10_s:.3f}   heaviest tenth {f.heavy:.3f}"),
        ("by class", "   ".join(f"{c} {v:.3f}" for c, v in f.by_class.items())),
        (
            "by partner",
            f"worst {min(f.by_partner.values(), default=0.0):.3f} "
            f"({min(f.by_partner, key=lambda p: f.by_partner[p], default='-')})",
        ),
        (
            "frozen",
            f"blindness {f.blindness:.2f} (1: as by chance)   connections {f.connections_most}   "
            f"refusals at {f.refusal_p50_share:.2f} of their time, held for {f.refusal_held_share:.2f}",
        ),
        ("asks", f"{f.asked}   in time {f.answered_in_time}   late {f.answered_late}   tries {f.tries}"),
        ("tries", f"refused {f.refused}   failed {f.failed}   no balancer {f.unreached}"),
        (
            "attempts",
            f"{f.attempts_per_ask:.2f} an ask   turned away {f.declined}   given up {f.cancelled}   "
            f"probes {f.probes_per_ask:.2f} an ask",
        ),
        (
            "times, ms",
            f"first attempt p50 {f.first_attempt_p50_ms:.1f} p99 {f.first_attempt_p99_ms:.1f}   "
            f"answer p50 {f.answer_p50_ms:.0f} p99 {f.answer_p99_ms:.0f}",
        ),
        ("rules", "   ".join(f"{rule} {n}" for rule, n in rules.items())),
        ("expected", "; ".join(run.missed_expectations) or "met"),
        ("valid", "yes" if run.validity.valid else "NO: " + "; ".join(run.validity.reasons)),
        ("plan", f"seed {run.plan.seed}   digest {run.digest}"),
    ]


def failure_lines(run: Run) -> list[str]:
    """The first broken rules with their proofs, and the crashes."""
    lines = [
        f"{v.rule} at {v.at_ns / 1e9:.3f} s, request {v.request or '-'}, box {v.box or '-'}: {v.proof}"
        for v in run.violations[:SHOWN]
    ]
    if len(run.violations) > SHOWN:
        lines.append(f"and {len(run.violations) - SHOWN} more")
    return lines + run.crashes


def as_text(run: Run, name: str) -> str:
    """The table in plain lines."""
    return "\n".join(
        [
            f"{name}: {run.plan.scenario.title}",
            *(f"  {label:<11}{text}" for label, text in summary_rows(run)),
            *(f"  {line}" for line in failure_lines(run)),
        ]
    )
