"""Detects upstreams that restarted before the upstream list reports it: they are cold. No I/O.

An ended process refuses connections; one that answers afterwards has restarted. One refusal is enough evidence, since
most balancers meet a dead upstream once, then avoid it and return when it is up again. Until the list reports the
restart, the upstream's entry gets the time of detection as its start. The table is bounded by the list's size.
"""

from __future__ import annotations

from dataclasses import dataclass

from lanemux import interface as api

MS = 1_000_000
MIN_DOWNTIME_NS = 50 * MS  # least time from refusal to answer; a connection that failed by chance is retried sooner
# If this share of the list, and at least so many, refuse at once, the cause is local: no descriptors are left here.
LOCAL_FAULT_SHARE, LOCAL_FAULT_MIN = 0.7, 3
# Show neither a stop nor a start.
INCONCLUSIVE = (api.Result.NOT_SENT, api.Result.CANCELLED, api.Result.TIMEOUT, api.Result.RESET)


@dataclass(slots=True)
class UpstreamRecord:
    """The latest list entry of one upstream and the signs of a restart."""

    entry: api.Upstream  # as last listed
    refused_ns: int = 0  # first failed connection since its last answer; 0: none
    detected_start_ns: int = 0  # detected here; 0: the list's start time applies


class RestartDetector:
    """Adds the detected restarts to the updates of the upstream list."""

    def __init__(self) -> None:
        self._records: dict[int, UpstreamRecord] = {}
        self.suspects: set[int] = set()  # refused a connection and have not answered since

    def amend_update(self, update: api.ListUpdate) -> api.ListUpdate:
        """Return the update with detected starts, each kept until the list itself reports a new start."""
        if update.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            named = {entry.id for entry in update.upstreams}
            for number in [n for n in self._records if n not in named]:
                self._forget(number)
        return update._replace(upstreams=[self._amend_entry(entry) for entry in update.upstreams])

    def _forget(self, upstream: int) -> None:
        self._records.pop(upstream, None)
        self.suspects.discard(upstream)

    def _amend_entry(self, entry: api.Upstream) -> api.Upstream:
        if entry.state is api.State.GONE:
            self._forget(entry.id)
            return entry
        record = self._records.get(entry.id)
        if record is None:
            self._records[entry.id] = UpstreamRecord(entry)
            return entry
        if entry.started_ns != record.entry.started_ns:  # the list reports a start; its time is exact
            record.detected_start_ns = record.refused_ns = 0
            self.suspects.discard(entry.id)
        record.entry = entry
        return entry._replace(started_ns=record.detected_start_ns) if record.detected_start_ns else entry

    def observe(self, upstream: int, result: api.Result, now: int) -> api.Upstream | None:
        """Record the end of an attempt or probe; return the changed entry if it reveals a restart not yet listed."""
        record = self._records.get(upstream)
        if record is None or result in INCONCLUSIVE:
            return None
        if result is api.Result.CONNECT_FAILED:
            self._record_refusal(upstream, record, now)
            return None
        refused_ns, record.refused_ns = record.refused_ns, 0
        self.suspects.discard(upstream)
        if not refused_ns or now - refused_ns < MIN_DOWNTIME_NS:
            return None
        record.detected_start_ns = now
        return record.entry._replace(started_ns=now)

    def _record_refusal(self, upstream: int, record: UpstreamRecord, now: int) -> None:
        record.refused_ns = record.refused_ns or now
        self.suspects.add(upstream)
        if len(self.suspects) >= max(LOCAL_FAULT_MIN, LOCAL_FAULT_SHARE * len(self._records)):
            for number in self.suspects:
                self._records[number].refused_ns = 0
            self.suspects.clear()
