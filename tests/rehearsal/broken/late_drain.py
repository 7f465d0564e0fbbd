"""Acts on drains and removals a second and a half after it was told."""

import asyncio
import sys
from typing import Any

from lanemux import interface as api
from lanemux.net import daemon
from lanemux.net.upstream_set import UpstreamSet

LATE_S = 1.5
listed = UpstreamSet.apply_listing


def later(self: Any, listing: Any) -> None:
    ends = listing is not None and any(e.upstream.state is not api.State.READY for e in listing.entries)
    if ends:
        asyncio.get_running_loop().call_later(LATE_S, listed, self, listing)
    else:
        listed(self, listing)


UpstreamSet.apply_listing = later  # type: ignore[method-assign]
sys.exit(daemon.main())
