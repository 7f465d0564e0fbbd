"""Upstreams that operators have cordoned. No I/O and no clock: callers pass in the time.

A cordon lasts until it is lifted, whatever the list says: it is stored by host name, so it survives the host's removal
from the list, address changes and restarts. The decision module sees a cordoned upstream as draining. After an uncordon
it sees it as freshly started, because operators usually restart what they cordon.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from lanemux import interface as api
from lanemux.core.membership import Entry

MAX_CORDONS = 4096  # hosts with a record; far more than anybody cordons manually


@dataclass(frozen=True, slots=True)
class CordonRecord:
    """The latest cordon or uncordon of one host by an operator."""

    host: str
    cordoned: bool
    at_ns: int  # Unix time of the operation: the later of two records wins


class Cordons:
    """The cordon records of all hosts. Uncordon records are discarded once they have no effect."""

    def __init__(self, offset_ns: int, cold_ns: int) -> None:
        """`offset_ns`: Unix time minus the module's clock; `cold_ns`: how long a host is cold after an uncordon."""
        self._offset_ns = offset_ns
        self._cold_ns = cold_ns
        self._records: dict[str, CordonRecord] = {}

    def is_cordoned(self, host: str) -> bool:
        """Whether a host is cordoned now."""
        record = self._records.get(host)
        return record is not None and record.cordoned

    def record(self, host: str) -> CordonRecord | None:
        """The record of a host, if there is one."""
        return self._records.get(host)

    @property
    def cordoned_hosts(self) -> list[str]:
        """Hosts that are cordoned now."""
        return [r.host for r in self._records.values() if r.cordoned]

    def has_room(self, host: str) -> bool:
        """Whether a record for this host fits into the table."""
        return host in self._records or len(self._records) < MAX_CORDONS

    def new_record(self, host: str, cordoned: bool, now_unix_ns: int) -> CordonRecord:
        """A record as of now, timestamped later than the host's current record even if the wall clock was set back."""
        known = self._records.get(host)
        return CordonRecord(host, cordoned, max(now_unix_ns, known.at_ns + 1 if known is not None else 1))

    def apply(self, record: CordonRecord) -> bool:
        """Store a record, possibly from another process of this balancer; returns whether the host's state changed."""
        known = self._records.get(record.host)
        if (known is not None and known.at_ns >= record.at_ns) or not self.has_room(record.host):
            return False
        self._records[record.host] = record
        return known is None or known.cordoned is not record.cordoned

    def discard_expired(self, now_ns: int) -> None:
        """Discard uncordon records whose cold period is over."""
        before = now_ns + self._offset_ns - self._cold_ns
        for record in [r for r in self._records.values() if not r.cordoned and r.at_ns < before]:
            del self._records[record.host]

    def effective_entries(self, entries: Iterable[Entry], now_ns: int) -> list[Entry]:
        """The entries with the operators' cordons applied."""
        if not self._records:
            return list(entries)
        return [self._effective_entry(e, now_ns) for e in entries]

    def _effective_entry(self, entry: Entry, now_ns: int) -> Entry:
        record, upstream = self._records.get(entry.host), entry.upstream
        if record is None or upstream.state is api.State.GONE:
            return entry
        if record.cordoned:
            return replace(entry, upstream=upstream._replace(state=api.State.DRAINING))
        uncordoned_ns = record.at_ns - self._offset_ns
        if uncordoned_ns <= upstream.started_ns or now_ns - uncordoned_ns >= self._cold_ns:
            return entry
        return replace(entry, upstream=upstream._replace(started_ns=max(1, min(uncordoned_ns, now_ns))))
