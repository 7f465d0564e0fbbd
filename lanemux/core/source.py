"""The interface of list sources, from which a balancer gets its upstreams."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from lanemux.core.membership import Listing, Membership

# Called with a listing, or with None when a poll for the list failed.
ListingCallback = Callable[[Listing | None], None]


class ListSource(Protocol):
    """A source of upstream lists. It reports through the `ListingCallback` passed at creation, on the event loop."""

    def start_from(self, listing: Listing) -> None:
        """The list known from before the start is in use: continue from its version, if that is this source's."""

    def watch(self) -> None:
        """Report every change from now on; no effect if already watching."""

    def unwatch(self) -> None:
        """Stop reporting changes until the next `watch`."""

    def fetch(self) -> None:
        """Report the whole list once."""

    def stop(self) -> None:
        """Begin to close all connections and tasks."""

    async def wait_stopped(self) -> None:
        """After `stop`: wait until all connections and tasks have ended."""


SourceFactory = Callable[[Membership, random.Random, ListingCallback], ListSource]
