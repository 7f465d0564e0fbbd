"""Two upstreams at one address: the one that started later is there. No I/O and no clock.

Addresses are used again, and a source may be slow or silent between its words of the new upstream and of the old one.
Until it tells, what is sent to the old one's entry meets the new one, which may be draining or cold. So an entry whose
address another upstream has come up at later gets nothing new: it is handed on as draining until the source says
better. Where nothing tells which is later, both stand.
"""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from lanemux import interface as api
from lanemux.core.address import Address
from lanemux.core.membership import Entry

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Claim:
    """An upstream's entry as told, and the latest start that it was ever told with at that address."""

    entry: Entry
    started_ns: int


class Addresses:
    """Who is where. Its tables hold what is listed, and no more; a change costs what is at its addresses."""

    def __init__(self) -> None:
        self._claims: dict[int, Claim] = {}
        self._at: defaultdict[Address, set[int]] = defaultdict(set)
        self._displaced: set[int] = set()

    def settle(self, entries: Iterable[Entry], whole: bool) -> list[Entry]:
        """The entries to go by: those told, and those of whom the news decides."""
        told = {e.upstream.id: e for e in entries}
        touched = {e.address for e in told.values()}
        for number in set(self._claims) - set(told) if whole else ():
            touched.add(self._leave(number))
        for number, entry in told.items():
            touched.add(self._leave(number, entry.address))
            if entry.upstream.state is not api.State.GONE:
                self._come(number, entry)
        changed = dict(told)
        for address in touched:
            for number in self._judge(address):
                changed.setdefault(number, self._claims[number].entry)
        return [self._handed_on(entry) for entry in changed.values()]

    def _leave(self, number: int, unless: Address | None = None) -> Address:
        """Where it was. Its claim goes, unless it is told at the same address again."""
        claim = self._claims.get(number)
        if claim is None:
            return unless or ("", 0)
        was = claim.entry.address
        if was != unless:
            del self._claims[number]
            self._displaced.discard(number)
            self._at[was].discard(number)
            if not self._at[was]:
                del self._at[was]
        return was

    def _come(self, number: int, entry: Entry) -> None:
        known = self._claims.get(number)
        # A row that drains may tell no start: what was told before holds.
        started = max(known.started_ns if known is not None else 0, entry.upstream.started_ns)
        self._claims[number] = Claim(entry, started)
        self._at[entry.address].add(number)

    def _judge(self, address: Address) -> list[int]:
        """Those at an address of whom something else holds now."""
        here = self._at.get(address, set())
        latest = max((self._claims[n].started_ns for n in here), default=0)
        changed = []
        for number in sorted(here):
            displaced = self._claims[number].started_ns < latest
            if displaced != (number in self._displaced):
                changed.append(number)
                (self._displaced.add if displaced else self._displaced.discard)(number)
                if displaced:  # once, until the list says better
                    log.warning("list: upstream %d gets nothing new: another came up later at %s:%d", number, *address)
        return changed

    def _handed_on(self, entry: Entry) -> Entry:
        if entry.upstream.id not in self._displaced or entry.upstream.state is not api.State.READY:
            return entry
        return replace(entry, upstream=entry.upstream._replace(state=api.State.DRAINING))
