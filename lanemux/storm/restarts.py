"""Upstreams that came back before the list said so: they are cold, whatever the list says. No I/O.

A process that ended refuses connections; one that answers again afterwards has started anew. One refusal tells it: most
balancers meet a dead upstream once, leave it alone, and come back when it is there again. Until the list tells of
that start, its entry is given a start of now. The table holds the list's entries and is bounded by the list.
"""

from __future__ import annotations

from dataclasses import dataclass

from lanemux import interface as api

MS = 1_000_000
SPAN_NS = 50 * MS  # from a refusal to the answer, at the least: a connection that broke by chance is tried again sooner
COMMON, LEAST = 0.7, 3  # more of the list than this refuse at once: that is this proxy, out of descriptors, not they
SILENT = (api.Result.NOT_SENT, api.Result.CANCELLED, api.Result.TIMEOUT, api.Result.RESET)  # they say neither


@dataclass(slots=True)
class Known:
    """What is known of one upstream's starts."""

    told: api.Upstream  # the list's word
    refused_ns: int = 0  # its first connection that did not come up, and no answer since; 0: none
    start_ns: int = 0  # found out here; 0: the list's word holds


class Restarts:
    """The list as told, with the starts that were found out."""

    def __init__(self) -> None:
        self._known: dict[int, Known] = {}
        self.suspects: set[int] = set()  # that refused a connection, and have not answered since

    def listed(self, update: api.ListUpdate) -> api.ListUpdate:
        """The same news, where a start that was found out stays until the list tells of one itself."""
        if update.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            named = {entry.id for entry in update.upstreams}
            for number in [n for n in self._known if n not in named]:
                self._forget(number)
        return update._replace(upstreams=[self._entered(entry) for entry in update.upstreams])

    def _forget(self, upstream: int) -> None:
        self._known.pop(upstream, None)
        self.suspects.discard(upstream)

    def _entered(self, entry: api.Upstream) -> api.Upstream:
        if entry.state is api.State.GONE:
            self._forget(entry.id)
            return entry
        known = self._known.get(entry.id)
        if known is None:
            self._known[entry.id] = Known(entry)
            return entry
        if entry.started_ns != known.told.started_ns:  # the list knows of a start: its word is exact
            known.start_ns = known.refused_ns = 0
            self.suspects.discard(entry.id)
        known.told = entry
        return entry._replace(started_ns=known.start_ns) if known.start_ns else entry

    def met(self, upstream: int, result: api.Result, now: int) -> api.Upstream | None:
        """An attempt or a look has ended; the entry as it is now, if that shows a start the list has not told of."""
        known = self._known.get(upstream)
        if known is None or result in SILENT:
            return None
        if result is api.Result.CONNECT_FAILED:
            self._refused(upstream, known, now)
            return None
        since, known.refused_ns = known.refused_ns, 0
        self.suspects.discard(upstream)
        if not since or now - since < SPAN_NS:
            return None
        known.start_ns = now
        return known.told._replace(started_ns=now)

    def _refused(self, upstream: int, known: Known, now: int) -> None:
        known.refused_ns = known.refused_ns or now
        self.suspects.add(upstream)
        if len(self.suspects) >= max(LEAST, COMMON * len(self._known)):
            for number in self.suspects:
                self._known[number].refused_ns = 0
            self.suspects.clear()
