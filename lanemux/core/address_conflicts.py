"""Two upstreams at one address: the one that started later is there. No I/O and no clock.

Addresses are used again, and a source may be slow or silent between its words of the new upstream and of the old one.
Until it tells, what is sent to the old one's entry meets the new one, which may be draining or cold. So an entry whose
address another upstream has come up at later gets nothing new: it is handed on as draining until the source says
better. Where nothing tells which is later, both stand.
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
    """Who is where. Its tables hold what is listed, and no more; a change costs what is at its addresses."""

    def __init__(self) -> None:
        self._entries: dict[int, Entry] = {}  # as told
        self._started: dict[int, int] = {}  # the latest start that each was told with at its address
        self._at: dict[Address, tuple[int, ...]] = {}
        self._displaced: set[int] = set()

    def update(self, entries: Iterable[Entry], whole: bool) -> list[Entry]:
        """The entries to go by: those told, and those of whom the news decides."""
        told = {e.upstream.id: e for e in entries}
        touched = {e.address for e in told.values()}
        for number in self._entries.keys() - told.keys() if whole else ():
            touched.add(self._leave(number))
        for number, entry in told.items():
            known = self._entries.get(number)
            if known is not None and known.address != entry.address:
                touched.add(self._leave(number))
            if entry.upstream.state is not api.State.GONE:
                self._come(number, entry)
        changed = dict(told)
        for address in touched:
            here = self._at.get(address, ())
            if len(here) > 1 or not self._displaced.isdisjoint(here):  # nearly all are alone
                changed.update((number, self._entries[number]) for number in self._judge(address, here))
        return [self._handed_on(entry) for entry in changed.values()]

    def entries(self) -> list[Entry]:
        """All that are listed, as they were handed on."""
        return [self._handed_on(entry) for entry in self._entries.values()]

    def _leave(self, number: int) -> Address:
        """Forget one; where it was."""
        was = self._entries.pop(number).address
        del self._started[number]
        self._displaced.discard(number)
        others = tuple(n for n in self._at.pop(was) if n != number)
        if others:
            self._at[was] = others
        return was

    def _come(self, number: int, entry: Entry) -> None:
        if number not in self._entries:
            self._at[entry.address] = (*self._at.get(entry.address, ()), number)
        self._entries[number] = entry
        # A row that drains may tell no start: what was told before holds.
        self._started[number] = max(self._started.get(number, 0), entry.upstream.started_ns)

    def _judge(self, address: Address, here: tuple[int, ...]) -> list[int]:
        """Those at an address of whom something else holds now."""
        latest = max(self._started[n] for n in here)
        changed = [n for n in here if (self._started[n] < latest) != (n in self._displaced)]
        self._displaced.symmetric_difference_update(changed)
        for number in self._displaced.intersection(changed):  # said once, until the list says better
            log.warning("list: upstream %d gets nothing new: another came up later at %s:%d", number, *address)
        return changed

    def _handed_on(self, entry: Entry) -> Entry:
        if entry.upstream.id not in self._displaced or entry.upstream.state is not api.State.READY:
            return entry
        return replace(entry, upstream=entry.upstream._replace(state=api.State.DRAINING))
