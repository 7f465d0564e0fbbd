"""The list of upstreams: its source, the entries in effect, and the connection pools that follow it."""

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
from lanemux.net.upstream import Pool, PoolManager

log = logging.getLogger(__name__)


class UpstreamSet:
    """The upstreams that a source lists, without displaced ones and with the operators' cordons applied.

    An upstream is displaced if a newer one has its address. `on_update` receives each change for the decision module.
    `on_targets_changed` is called when attempts may be waiting for a connection to an upstream that must not get them
    any more."""

    def __init__(
        self,
        config: Config,
        pool_manager: PoolManager,
        system: System,
        source: SourceFactory | None,
        on_update: Callable[[api.ListUpdate], None],
        on_targets_changed: Callable[[], None],
    ) -> None:
        self._config, self._pool_manager, self._wall_ns = config, pool_manager, system.wall_ns
        self._on_update, self._on_targets_changed = on_update, on_targets_changed
        offset_ns = system.wall_ns() - now_ns()
        self.membership = Membership(offset_ns)  # the rows as last received
        self._addresses = AddressConflicts()
        self._cordons = Cordons(offset_ns, config.settings.rules.cold_ns)
        self.persist_cordon: Callable[[CordonRecord], bool] = lambda record: True  # True: stored for the other process
        self.source = (source or self._make_discovery)(
            self.membership, random.Random(config.seed + 1), self.apply_listing
        )
        self.pending_source: ListSource | None = None  # replaces `source` with its first full list

    def _make_discovery(self, membership: Membership, rng: random.Random, on_listing: ListingCallback) -> ListSource:
        return Discovery(self._config.discovery, membership, self._config.settings.discovery_push, rng, on_listing)

    def start(self) -> None:
        """Apply the cached list from the configuration, if it has one."""
        entries = []
        if self._config.known is not None:
            try:
                listing = read_listing(self._config.known, self.membership, now_ns(), current=False)
            except BadList as error:  # the cached list may be outdated anyway: an unreadable one is ignored
                log.warning("list: the cached list is ignored: %.120s", error)
            else:
                self.source.start_from(listing)
                entries = [e.upstream for e in self._apply(listing)]
        self._on_update(api.ListUpdate(api.ListKind.CACHED, entries))

    def expire_cordons(self) -> None:
        """Forget cordons that were lifted so long ago that they have no effect any more; called periodically."""
        self._cordons.discard_expired(now_ns())

    # -- the source --

    def move_discovery(self, address: Address) -> None:
        """Switch platform discovery to another address; no effect if the list comes from another source."""
        if isinstance(self.source, Discovery):
            self.source.move(address)

    def replace_source(self, make: SourceFactory | None) -> None:
        """Switch to another source (None: platform discovery) once it has delivered its first full list.

        Until then the old source stays in effect, so a new one that never answers changes nothing."""
        if self.pending_source is not None:
            self.pending_source.stop()  # of several replacements in a row only the last takes effect

        def on_listing(listing: Listing | None) -> None:
            if listing is not None and new_source is self.pending_source:
                self.source.stop()
                self.source, self.pending_source = new_source, None
            if new_source is self.source:
                self.apply_listing(listing)

        new_source = (make or self._make_discovery)(self.membership, random.Random(self._config.seed + 2), on_listing)
        self.pending_source = new_source
        new_source.watch()

    def stop(self) -> None:
        """Begin to stop the sources."""
        self.source.stop()
        if self.pending_source is not None:
            self.pending_source.stop()

    # -- cordons --

    @property
    def cordoned(self) -> int:
        """Number of listed upstreams that are cordoned."""
        return sum(host in self.membership.hosts for host in self._cordons.cordoned_hosts)

    def knows(self, host: str) -> bool:
        """Whether this upstream is listed or cordoned."""
        return host in self.membership.hosts or self._cordons.is_cordoned(host)

    def cordon(self, host: str, cordoned: bool) -> bool:
        """Cordon an upstream (`cordoned`) or lift its cordon; returns False if that can't be stored."""
        if self._cordons.is_cordoned(host) is cordoned:
            known = self._cordons.record(host)
            return known is None or self.persist_cordon(known)  # storing it may have failed the first time
        record = self._cordons.new_record(host, cordoned, self._wall_ns())
        if not self._cordons.has_room(host):
            return False
        self.apply_cordon(record)
        return self.persist_cordon(record)

    def apply_cordon(self, record: CordonRecord) -> None:
        """Apply an operator's cordon or uncordon, given to this process or to the other process of this balancer."""
        if self._cordons.apply(record):
            log.info("operators: %.80s is %s", record.host, "cordoned" if record.cordoned else "uncordoned")
            entries = self._update_pools([e for e in self._addresses.entries() if e.host == record.host])
            if entries:
                self._on_update(api.ListUpdate(api.ListKind.DELTA, [e.upstream for e in entries]))

    # -- the entries in effect --

    def apply_listing(self, listing: Listing | None) -> None:
        """Apply a listing from the source; None: a call to it failed."""
        if listing is None:
            self._on_update(api.ListUpdate(api.ListKind.FAILED))
            return
        entries = self._apply(listing)
        if listing.whole or entries:
            kind = api.ListKind.FULL if listing.whole else api.ListKind.DELTA
            self._on_update(api.ListUpdate(kind, [e.upstream for e in entries]))

    def full_update(self, now: int) -> api.ListUpdate:
        """The full list now in effect."""
        listed = [e.upstream for e in self._cordons.effective_entries(self._addresses.entries(), now)]
        return api.ListUpdate(api.ListKind.FULL, listed)

    def _apply(self, listing: Listing) -> list[Entry]:
        """Resolve address conflicts and update the pools; returns the entries to pass to the module."""
        return self._update_pools(self._addresses.update(listing.entries, listing.whole), listing.whole)

    def _update_pools(self, listed: list[Entry], whole: bool = False) -> list[Entry]:
        """Update the connection pools to these entries; returns the entries with cordons applied."""
        pools, entries = self._pool_manager.pools, self._cordons.effective_entries(listed, now_ns())
        removed = set(pools) - {e.upstream.id for e in entries} if whole else set()
        for entry in entries:
            if entry.upstream.state is api.State.GONE:
                removed.add(entry.upstream.id)
                continue
            pool = pools.setdefault(entry.upstream.id, Pool(self._pool_manager, entry.address))
            pool.move(entry.address)
            pool.ready = entry.upstream.state is api.State.READY
            if not pool.ready:
                pool.close_idle()
        for upstream_id in removed & set(pools):
            pool = pools.pop(upstream_id)
            pool.ready = False
            pool.close_idle()
        self._on_targets_changed()
        return entries
