"""The list: where it comes from, what of it counts, and the connections that follow it."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from lanemux import interface as api
from lanemux.core.address import Address
from lanemux.core.address_conflicts import AddressConflicts
from lanemux.core.clock import now_ns
from lanemux.core.cordons import CordonRecord, Cordons
from lanemux.core.membership import BadList, Entry, Listing, Membership
from lanemux.core.source import ListingCallback, ListSource, SourceFactory
from lanemux.core.system import System
from lanemux.net.config import Config
from lanemux.net.discovery import Discovery, read_listing
from lanemux.net.upstream import Hub, Pool

log = logging.getLogger(__name__)


class UpstreamSet:
    """The upstreams as a source lists them, less those that are displaced or out by hand.

    `told` takes each news for the decisions, `strayed` is called when attempts may wait for a connection to an upstream
    that is not to get them any more."""

    def __init__(
        self,
        config: Config,
        hub: Hub,
        system: System,
        source: SourceFactory | None,
        told: Callable[[api.ListUpdate], None],
        strayed: Callable[[], None],
    ) -> None:
        self._config, self._hub, self._wall_ns = config, hub, system.wall_ns
        self._told, self._strayed = told, strayed
        offset_ns = system.wall_ns() - now_ns()
        self.membership = Membership(offset_ns)  # as last told
        self._addresses = AddressConflicts()
        self._cordons = Cordons(offset_ns, config.settings.rules.cold_ns)
        self.keep_word: Callable[[CordonRecord], bool] = lambda word: (
            True
        )  # for a process beside this one; could it be kept?
        self.source = (source or self._platform)(self.membership, random.Random(config.seed + 1), self.listed)
        self.successor: ListSource | None = None  # is to replace it, and has not told a whole list yet

    def _platform(self, membership: Membership, rng: random.Random, heard: ListingCallback) -> ListSource:
        return Discovery(self._config.discovery, membership, self._config.settings.discovery_push, rng, heard)

    def start(self) -> None:
        """Take up the list that was known before the start, and watch where changes are pushed."""
        entries = []
        if self._config.known is not None:
            try:
                listing = read_listing(self._config.known, self.membership, now_ns(), current=False)
            except BadList as error:  # it may be old anyway: one that can't be read is as none
                log.warning("list: the known one is left out: %.120s", error)
            else:
                self.source.start_from(listing)
                entries = [e.upstream for e in self._settle(listing)]
        self._told(api.ListUpdate(api.ListKind.CACHED, entries))

    def sweep(self) -> None:
        """Once in a while: nothing is kept that nobody needs."""
        self._cordons.discard_expired(now_ns())

    # -- where it comes from --

    def move_discovery(self, address: Address) -> None:
        """The configuration names another address for discovery; without effect where the list comes from elsewhere."""
        if isinstance(self.source, Discovery):
            self.source.move(address)

    def replace_source(self, make: SourceFactory | None) -> None:
        """Take the list from another source (None: platform discovery) from its first whole list on.

        Until then the old one counts: what it tells is acted on, and a new one that never answers costs nothing."""
        if self.successor is not None:
            self.successor.stop()  # of several in a row the last one counts

        def heard(listing: Listing | None) -> None:
            if listing is not None and successor is self.successor:
                self.source.stop()
                self.source, self.successor = successor, None
            if successor is self.source:
                self.listed(listing)

        successor = (make or self._platform)(self.membership, random.Random(self._config.seed + 2), heard)
        self.successor = successor
        successor.watch()

    def stop(self) -> None:
        """The end of its sources begins."""
        self.source.stop()
        if self.successor is not None:
            self.successor.stop()

    # -- by hand --

    @property
    def cordoned(self) -> int:
        """Listed upstreams that are out by hand."""
        return sum(h in self.membership.hosts for h in self._cordons.cordoned_hosts)

    def knows(self, host: str) -> bool:
        """Is this upstream in the list, or out by hand?"""
        return host in self.membership.hosts or self._cordons.is_cordoned(host)

    def cordon(self, host: str, out: bool) -> bool:
        """Leave an upstream out, or use it again, from now on; False where that can't be kept."""
        if self._cordons.is_cordoned(host) is out:
            known = self._cordons.record(host)
            return known is None or self.keep_word(known)  # it may not have been kept the first time
        word = self._cordons.new_record(host, out, self._wall_ns())
        if not self._cordons.has_room(host):
            return False
        self.hear_word(word)
        return self.keep_word(word)

    def hear_word(self, word: CordonRecord) -> None:
        """An operator's word, said here or to a process beside this one."""
        if self._cordons.apply(word):
            log.info("by hand: %.80s is %s", word.host, "left out" if word.cordoned else "used again")
            entries = self._connect([e for e in self._addresses.entries() if e.host == word.host])
            if entries:
                self._told(api.ListUpdate(api.ListKind.DELTA, [e.upstream for e in entries]))

    # -- what counts --

    def listed(self, listing: Listing | None) -> None:
        """What a source tells; None: a call of it failed."""
        if listing is None:
            self._told(api.ListUpdate(api.ListKind.FAILED))
            return
        entries = self._settle(listing)
        if listing.whole or entries:
            kind = api.ListKind.FULL if listing.whole else api.ListKind.DELTA
            self._told(api.ListUpdate(kind, [e.upstream for e in entries]))

    def whole(self, now: int) -> api.ListUpdate:
        """All that counts now."""
        listed = [e.upstream for e in self._cordons.effective_entries(self._addresses.entries(), now)]
        return api.ListUpdate(api.ListKind.FULL, listed)

    def _settle(self, listing: Listing) -> list[Entry]:
        """Connections follow the list; the entries that the decisions are to know."""
        return self._connect(self._addresses.update(listing.entries, listing.whole), listing.whole)

    def _connect(self, told: list[Entry], whole: bool = False) -> list[Entry]:
        """Connections follow these entries, as operators want them to be known."""
        pools, entries = self._hub.pools, self._cordons.effective_entries(told, now_ns())
        left_out = set(pools) - {e.upstream.id for e in entries} if whole else set()
        for entry in entries:
            if entry.upstream.state is api.State.GONE:
                left_out.add(entry.upstream.id)
                continue
            pool = pools.setdefault(entry.upstream.id, Pool(self._hub, entry.address))
            pool.move(entry.address)
            pool.ready = entry.upstream.state is api.State.READY
            if not pool.ready:
                pool.close_idle()
        for number in left_out & set(pools):
            pool = pools.pop(number)
            pool.ready = False
            pool.close_idle()
        self._strayed()
        return entries
