"""Resolves two upstreams listed at one address: the one that started later is there. No I/O and no clock.

Addresses are reused, and a source may be slow or silent between its update of the new upstream and that of the old one.
Until the old entry is updated, requests sent to it reach the new upstream, which may be draining or cold. So an entry
gets no new requests once another upstream has started later at its address: it is passed on as draining until the
source updates it. Where it is unknown which upstream started later, both entries are left as they are.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import replace

from lanemux import interface as api
from lanemux.core.address import Address
from lanemux.core.membership import Entry

log = logging.getLogger(__name__)


class AddressConflicts:
    """The listed entries by address.

    Memory is proportional to the list; an update costs time for the entries at its addresses only."""

    def __init__(self) -> None:
        self._entries: dict[int, Entry] = {}  # as received from the source
        self._started: dict[int, int] = {}  # latest start time that was reported for each entry at its address
        self._at: dict[Address, tuple[int, ...]] = {}
        self._displaced: set[int] = set()

    def update(self, entries: Iterable[Entry], whole: bool) -> list[Entry]:
        """Apply a list update; returns its entries and those that it affects, with the state to use."""
        received = {e.upstream.id: e for e in entries}
        touched = {e.address for e in received.values()}
        for number in self._entries.keys() - received.keys() if whole else ():
            touched.add(self._remove(number))
        for number, entry in received.items():
            known = self._entries.get(number)
            if known is not None and known.address != entry.address:
                touched.add(self._remove(number))
            if entry.upstream.state is not api.State.GONE:
                self._add(number, entry)
        changed = dict(received)
        for address in touched:
            here = self._at.get(address, ())
            if len(here) > 1 or not self._displaced.isdisjoint(here):  # nearly all addresses have a single entry
                changed.update((number, self._entries[number]) for number in self._update_displaced(address, here))
        return [self._effective(entry) for entry in changed.values()]

    def entries(self) -> list[Entry]:
        """All listed entries, with the state to use."""
        return [self._effective(entry) for entry in self._entries.values()]

    def _remove(self, number: int) -> Address:
        """Remove an entry; returns its address."""
        old_address = self._entries.pop(number).address
        del self._started[number]
        self._displaced.discard(number)
        others = tuple(n for n in self._at.pop(old_address) if n != number)
        if others:
            self._at[old_address] = others
        return old_address

    def _add(self, number: int, entry: Entry) -> None:
        if number not in self._entries:
            self._at[entry.address] = (*self._at.get(entry.address, ()), number)
        self._entries[number] = entry
        # The row of a draining upstream may lack the start time; the time reported earlier still holds.
        self._started[number] = max(self._started.get(number, 0), entry.upstream.started_ns)

    def _update_displaced(self, address: Address, here: tuple[int, ...]) -> list[int]:
        """Recompute which entries at an address are displaced; returns those for which that changed."""
        latest = max(self._started[n] for n in here)
        changed = [n for n in here if (self._started[n] < latest) != (n in self._displaced)]
        self._displaced.symmetric_difference_update(changed)
        for number in self._displaced.intersection(changed):  # logged once, until the list corrects the entry
            log.warning("list: upstream %d gets no new requests: another started later at %s:%d", number, *address)
        return changed

    def _effective(self, entry: Entry) -> Entry:
        if entry.upstream.id not in self._displaced or entry.upstream.state is not api.State.READY:
            return entry
        return replace(entry, upstream=entry.upstream._replace(state=api.State.DRAINING))
