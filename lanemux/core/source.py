"""The seam for list sources: what tells the balancer which upstreams there are."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from lanemux.core.membership import Listing, Membership

ListingCallback = Callable[
    [Listing | None], None
]  # a listing, or None for a call that failed where lists are asked for


class ListSource(Protocol):
    """One source. It tells what it hears through the `ListingCallback` it was made with, in the loop's own turns."""

    def start_from(self, listing: Listing) -> None:
        """The list as it was known before the start has been taken up."""

    def watch(self) -> None:
        """Tell every change from now on; harmless when that is so already."""

    def unwatch(self) -> None:
        """Stop until the next `watch`."""

    def fetch(self) -> None:
        """Tell the whole list once."""

    def stop(self) -> None:
        """The end of all its connections and tasks begins."""

    async def wait_stopped(self) -> None:
        """Behind `stop`: nothing of it runs any more."""


SourceFactory = Callable[[Membership, random.Random, ListingCallback], ListSource]
