"""Upstreams that came back before the list said so: they are cold, whatever the list says. No I/O.

A process that ended refuses connections; one that answers again afterwards has started anew. Until the list tells of
that start, its entry is given a start of now. The table holds the list's entries and is bounded by the list.
"""

from __future__ import annotations

from dataclasses import dataclass

from lanemux import interface as api

MS = 1_000_000
REFUSALS = 2  # connections in a row that did not come up: one may be chance, or this proxy out of descriptors
SPAN_NS = 50 * MS  # and over so long at the least: several of one turn are one
SILENT = (api.Result.MOOT, api.Result.CANCELLED, api.Result.TIMEOUT, api.Result.RESET)  # they say neither


@dataclass(slots=True)
class Known:
    """What is known of one upstream's starts."""

    told: api.Upstream  # the list's word
    refused: int = 0  # connections in a row
    since_ns: int = 0  # the first of them
    start_ns: int = 0  # found out here; 0: the list's word holds


class Restarts:
    """The list as told, with the starts that were found out."""

    def __init__(self) -> None:
        self._known: dict[int, Known] = {}
        self._suspects: set[int] = set()  # that refused a connection, and have not answered since

    @property
    def suspects(self) -> bool:
        """Has any refused a connection, and not answered since?"""
        return bool(self._suspects)

    def listed(self, update: api.ListUpdate) -> api.ListUpdate:
        """The same news, where a start that was found out stays until the list tells of one itself."""
        if update.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            named = {entry.id for entry in update.upstreams}
            for number in [n for n in self._known if n not in named]:
                self._forget(number)
        return update._replace(upstreams=[self._entered(entry) for entry in update.upstreams])

    def _forget(self, upstream: int) -> None:
        self._known.pop(upstream, None)
        self._suspects.discard(upstream)

    def _entered(self, entry: api.Upstream) -> api.Upstream:
        if entry.state is api.State.GONE:
            self._forget(entry.id)
            return entry
        known = self._known.get(entry.id)
        if known is None:
            self._known[entry.id] = Known(entry)
            return entry
        if entry.started_ns != known.told.started_ns:  # the list knows of a start: its word is exact
            known.start_ns = known.refused = 0
            self._suspects.discard(entry.id)
        known.told = entry
        return entry._replace(started_ns=known.start_ns) if known.start_ns else entry

    def met(self, upstream: int, result: api.Result, now: int) -> api.Upstream | None:
        """An attempt or a look has ended; the entry as it is now, if that shows a start the list has not told of."""
        known = self._known.get(upstream)
        if known is None or result in SILENT or (result is not api.Result.CONNECT_FAILED and not known.refused):
            return None
        if result is api.Result.CONNECT_FAILED:
            known.since_ns = known.since_ns if known.refused else now
            known.refused += 1
            self._suspects.add(upstream)
            return None
        back = known.refused >= REFUSALS and now - known.since_ns >= SPAN_NS
        known.refused = 0
        self._suspects.discard(upstream)
        if not back:
            return None
        known.start_ns = now
        return known.told._replace(started_ns=now)
