"""Two upstreams at one address: who gets something new."""

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


def test_the_one_that_started_later_is_there_and_the_other_gets_nothing_new() -> None:
    addresses = AddressConflicts()
    assert states(addresses.update([entry(1, 80), entry(2, 81)], True)) == {1: READY, 2: READY}
    assert states(addresses.update([entry(2, 80, 5)], False)) == {2: READY, 1: DRAINING}
    # It drains, and the row tells no start: what was told before holds.
    assert states(addresses.update([entry(2, 80, 0, DRAINING)], False)) == {2: DRAINING}
    # The old one is told again where it no longer is, and then where it is.
    assert states(addresses.update([entry(1, 80)], False)) == {1: DRAINING}
    assert states(addresses.update([entry(1, 81)], False)) == {1: READY}


def test_where_the_other_goes_the_lists_word_holds_again() -> None:
    addresses = AddressConflicts()
    addresses.update([entry(1, 80), entry(2, 80, 5)], True)
    assert states(addresses.update([entry(2, 80, state=GONE)], False)) == {2: GONE, 1: READY}
    addresses.update([entry(2, 80, 5)], False)
    assert states(addresses.update([entry(2, 82, 5)], False)) == {2: READY, 1: READY}
    addresses.update([entry(2, 80, 5)], False)
    assert states(addresses.update([entry(1, 80)], True)) == {1: READY}  # a whole list without the other


def test_where_nothing_tells_which_is_later_both_stand() -> None:
    addresses = AddressConflicts()
    assert states(addresses.update([entry(1, 80), entry(2, 80)], True)) == {1: READY, 2: READY}
    assert states(addresses.update([entry(1, 80, 7), entry(2, 80, 7)], False)) == {1: READY, 2: READY}


def test_after_any_history_it_is_as_if_all_were_told_at_once() -> None:
    rng = random.Random(1)
    for _ in range(300):
        addresses, told, claims, seen = AddressConflicts(), dict[int, Entry](), dict[int, int](), dict[int, api.State]()
        for _ in range(30):
            news = {
                n: entry(n, rng.randrange(4), rng.randrange(4), rng.choice((READY, READY, DRAINING, GONE)))
                for n in rng.sample(range(6), rng.randint(0, 3))
            }
            whole = rng.random() < 0.2
            if whole:
                told, seen = {n: told[n] for n in told if n in news}, {}
            for n, e in news.items():
                if e.upstream.state is GONE:
                    told.pop(n, None)
                    continue
                stays = n in told and told[n].address == e.address
                claims[n] = max(claims[n] if stays else 0, e.upstream.started_ns)
                told[n] = e
            seen.update(states(addresses.update(news.values(), whole)))
            seen = {n: s for n, s in seen.items() if s is not GONE}
            assert seen == {
                n: DRAINING
                if any(told[o].address == e.address and claims[o] > claims[n] for o in told)
                else e.upstream.state
                for n, e in told.items()
            }
