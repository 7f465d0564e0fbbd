"""Fault: applies drains and removals a second and a half late."""

import asyncio
import sys
from typing import Any

from lanemux import interface as api
from lanemux.net import daemon
from lanemux.net.upstream_set import UpstreamSet

DELAY_S = 1.5
apply_listing = UpstreamSet.apply_listing


def apply_listing_late(self: Any, listing: Any) -> None:
    has_drain_or_removal = listing is not None and any(e.upstream.state is not api.State.READY for e in listing.entries)
    if has_drain_or_removal:
        asyncio.get_running_loop().call_later(DELAY_S, apply_listing, self, listing)
    else:
        apply_listing(self, listing)


UpstreamSet.apply_listing = apply_listing_late  # type: ignore[method-assign]
sys.exit(daemon.main())
