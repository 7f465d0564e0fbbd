"""Known failures: the tests listed in KNOWN-RED.txt are skipped, and printed at the end of the run.

`pytest --run-known-red` runs them as well."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY_FIELDS = 4  # test | command and seed | observed failure | issue


def known_failures(text: str) -> dict[str, str]:
    """Map test ID to its entry; raise ValueError for a line that is not an entry."""
    entries = [line.strip() for line in text.splitlines() if line.strip() and not line.startswith("#")]
    for entry in entries:
        if entry.count("|") != ENTRY_FIELDS - 1:
            raise ValueError(f"KNOWN-RED.txt: no entry of {ENTRY_FIELDS} fields: {entry}")
    return {entry.split("|")[0].strip(): entry for entry in entries}


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--run-known-red", action="store_true", help="run the tests that KNOWN-RED.txt names")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    if config.getoption("--run-known-red") or not KNOWN_RED.exists():
        return
    known = known_failures(KNOWN_RED.read_text())
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.skip(reason=f"known failure: {known[item.nodeid]}"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for report in terminalreporter.getreports("skipped"):
        if isinstance(report.longrepr, tuple) and "known failure: " in report.longrepr[2]:
            terminalreporter.write_line(f"KNOWN RED: {report.longrepr[2].partition('known failure: ')[2]}")
