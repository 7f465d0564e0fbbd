"""Memory of a whole process, in the strictest count, while crowds of clients make it hold what they can."""

from __future__ import annotations

import asyncio

from tests.memory.measure import MB, measure, plans

MIB = 1024 * 1024
CLIENTS = 341  # a third of 1,024 descriptors
GIVEN_BACK_MB = 3 * MIB / MB


def test_clients_that_change_their_way_do_not_take_a_process_over_its_limit() -> None:
    """Guards against: 34 to 40 MiB of 32, kept after all had left (report 730780)."""
    measured = asyncio.run(measure(plans("turn"), CLIENTS, 32.0, seconds=21.0))
    assert measured.after is not None, measured.log
    assert measured.most_resident <= 32.0, measured.line()
    assert measured.after.resident <= measured.start.resident + GIVEN_BACK_MB, measured.line()
    assert not measured.unanswered, measured.line()
