"""Two upstreams listed at one address: which of them gets new requests."""

from __future__ import annotations

import random

from lanemux import interface as api
from lanemux.core.address_conflicts import AddressConflicts
from lanemux.core.membership import NO_ADDRESS, Entry

READY, DRAINING, GONE = api.State.READY, api.State.DRAINING, api.State.GONE


def entry(number: int, at: int, started_ns: int = 0, state: api.State = READY) -> Entry:
    return Entry(api.Upstream(number, state, started_ns=started_ns), NO_ADDRESS if state is GONE else ("127.0.0.1", at))


def states(entries: list[Entry]) -> dict[int, api.State]:
    return {e.upstream.id: e.upstream.state for e in entries}


def test_the_upstream_that_started_later_displaces_the_other() -> None:
    conflicts = AddressConflicts()
    assert states(conflicts.update([entry(1, 80), entry(2, 81)], True)) == {1: READY, 2: READY}
    assert states(conflicts.update([entry(2, 80, 5)], False)) == {2: READY, 1: DRAINING}
    # The row of a draining upstream lacks the start time; the time reported earlier still holds.
    assert states(conflicts.update([entry(2, 80, 0, DRAINING)], False)) == {2: DRAINING}
    # The old upstream is reported at its former address again, and then at its new one.
    assert states(conflicts.update([entry(1, 80)], False)) == {1: DRAINING}
    assert states(conflicts.update([entry(1, 81)], False)) == {1: READY}


def test_an_upstream_is_restored_once_the_other_leaves_its_address() -> None:
    conflicts = AddressConflicts()
    conflicts.update([entry(1, 80), entry(2, 80, 5)], True)
    assert states(conflicts.update([entry(2, 80, state=GONE)], False)) == {2: GONE, 1: READY}
    conflicts.update([entry(2, 80, 5)], False)
    assert states(conflicts.update([entry(2, 82, 5)], False)) == {2: READY, 1: READY}
    conflicts.update([entry(2, 80, 5)], False)
    assert states(conflicts.update([entry(1, 80)], True)) == {1: READY}  # a whole list without the other


def test_both_stay_where_start_times_do_not_decide() -> None:
    conflicts = AddressConflicts()
    assert states(conflicts.update([entry(1, 80), entry(2, 80)], True)) == {1: READY, 2: READY}
    assert states(conflicts.update([entry(1, 80, 7), entry(2, 80, 7)], False)) == {1: READY, 2: READY}


def test_any_history_gives_the_same_result_as_one_full_list() -> None:
    rng = random.Random(1)
    for _ in range(300):
        conflicts, listed, started, actual = (
            AddressConflicts(),
            dict[int, Entry](),
            dict[int, int](),
            dict[int, api.State](),
        )
        for _ in range(30):
            changes = {
                n: entry(n, rng.randrange(4), rng.randrange(4), rng.choice((READY, READY, DRAINING, GONE)))
                for n in rng.sample(range(6), rng.randint(0, 3))
            }
            whole = rng.random() < 0.2
            if whole:
                listed, actual = {n: listed[n] for n in listed if n in changes}, {}
            for n, e in changes.items():
                if e.upstream.state is GONE:
                    listed.pop(n, None)
                    continue
                stays = n in listed and listed[n].address == e.address
                started[n] = max(started[n] if stays else 0, e.upstream.started_ns)
                listed[n] = e
            actual.update(states(conflicts.update(changes.values(), whole)))
            actual = {n: s for n, s in actual.items() if s is not GONE}
            assert actual == {
                n: DRAINING
                if any(listed[o].address == e.address and started[o] > started[n] for o in listed)
                else e.upstream.state
                for n, e in listed.items()
            }
