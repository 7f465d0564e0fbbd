"""Upstreams that operators take out by hand. No I/O and no clock: times are handed in.

A ban lasts until it is called back, whatever the list says: it is known by the host's name, so it outlives the host's
leaving the list, its moves and its restarts. The decisions see a cordoned upstream as one that drains, and after the
call back as one that has just started, since operators restart what they take out.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from lanemux import interface as api
from lanemux.core.membership import Entry

MAX_CORDONS = 4096  # hosts with a word of the operators; far more than anybody takes out by hand


@dataclass(frozen=True, slots=True)
class CordonRecord:
    """The operators' last word on one host."""

    host: str
    cordoned: bool
    at_ns: int  # Unix time at which it was said: of two words the later one holds


class Cordons:
    """What operators said of hosts. Its table holds the bans, and the calls back until nobody needs them."""

    def __init__(self, offset_ns: int, cold_ns: int) -> None:
        """`offset_ns`: from the module's clock to Unix time; `cold_ns`: for how long a call back means cold."""
        self._offset_ns = offset_ns
        self._cold_ns = cold_ns
        self._words: dict[str, CordonRecord] = {}

    def is_cordoned(self, host: str) -> bool:
        word = self._words.get(host)
        return word is not None and word.cordoned

    def record(self, host: str) -> CordonRecord | None:
        """The last word on a host, while it counts."""
        return self._words.get(host)

    @property
    def cordoned_hosts(self) -> list[str]:
        """Those that are out."""
        return [w.host for w in self._words.values() if w.cordoned]

    def has_room(self, host: str) -> bool:
        """May one more word be kept?"""
        return host in self._words or len(self._words) < MAX_CORDONS

    def new_record(self, host: str, out: bool, now_unix_ns: int) -> CordonRecord:
        """What an operator says now: later than all that was said of the host, whatever the wall clock did since."""
        known = self._words.get(host)
        return CordonRecord(host, out, max(now_unix_ns, known.at_ns + 1 if known is not None else 1))

    def apply(self, word: CordonRecord) -> bool:
        """Take a word, also one told to another process of this balancer; does it change what holds?"""
        known = self._words.get(word.host)
        if (known is not None and known.at_ns >= word.at_ns) or not self.has_room(word.host):
            return False
        self._words[word.host] = word
        return known is None or known.cordoned is not word.cordoned

    def discard_expired(self, now_ns: int) -> None:
        """Nothing is kept of calls back that are long over."""
        before = now_ns + self._offset_ns - self._cold_ns
        for word in [w for w in self._words.values() if not w.cordoned and w.at_ns < before]:
            del self._words[word.host]

    def effective_entries(self, entries: Iterable[Entry], now_ns: int) -> list[Entry]:
        """The entries as the operators want them to be known."""
        if not self._words:
            return list(entries)
        return [self._entry(e, now_ns) for e in entries]

    def _entry(self, entry: Entry, now_ns: int) -> Entry:
        word, upstream = self._words.get(entry.host), entry.upstream
        if word is None or upstream.state is api.State.GONE:
            return entry
        if word.cordoned:
            return replace(entry, upstream=upstream._replace(state=api.State.DRAINING))
        back_ns = word.at_ns - self._offset_ns
        if back_ns <= upstream.started_ns or now_ns - back_ns >= self._cold_ns:
            return entry
        return replace(entry, upstream=upstream._replace(started_ns=max(1, min(back_ns, now_ns))))
