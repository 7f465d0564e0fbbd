"""Coloured terminal output with a progress bar. Needs rich (extra `rehearsal`); without it plain lines are printed."""

from __future__ import annotations

from types import TracebackType

from rich.console import Console
from rich.progress import BarColumn, Progress, TaskID, TextColumn
from rich.table import Table
from rich.text import Text

from lanemux.rehearsal import report
from lanemux.rehearsal.callers import Callers
from lanemux.rehearsal.rules import violation_counts
from lanemux.rehearsal.run import Run


def print_summary(run: Run, name: str, console: Console) -> None:
    """Print the results table; failed rows are red."""
    row_failed = {
        "rules": any(violation_counts(run.violations).values()),
        "expected": bool(run.missed_expectations),
        "valid": not run.validity.valid,
    }
    table = Table(title=f"{name}: {run.plan.scenario.title}", title_justify="left", show_header=False, box=None)
    for label, text in report.summary_rows(run):
        style = "" if label not in row_failed else "bold red" if row_failed[label] else "green"
        table.add_row(label, Text(text, style=style))
    console.print(table)
    for line in report.failure_lines(run):
        console.print(Text(line, style="red"))


class ProgressBar:
    """Progress of a run, updated once a second."""

    def __init__(self, console: Console) -> None:
        self._bar = Progress(
            TextColumn("{task.completed:.0f} of {task.total:.0f} s"),
            BarColumn(),
            TextColumn("{task.description}"),
            console=console,
            auto_refresh=False,
        )
        self._task: TaskID | None = None

    def __enter__(self) -> ProgressBar:
        self._bar.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._bar.stop()

    def update(self, at_s: float, callers: Callers) -> None:
        total_s = callers.plan.scenario.seconds
        description = f"{callers.asked} asks, {len(callers.records.tries)} tries"
        if self._task is None:
            self._task = self._bar.add_task(description, total=total_s)
        self._bar.update(self._task, completed=min(at_s, total_s), description=description, refresh=True)
