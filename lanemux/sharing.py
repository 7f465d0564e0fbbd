"""Load information that balancers with common upstreams exchange. No I/O and no clock.

Where many balancers carry little traffic each, none sees much of any upstream: its own requests in flight say little
about the upstream's load, and each balancer must lose a request to find out that an upstream has stalled. A peer report
(`core/peer_report.py`) states, for one upstream, how many requests its sender has in flight there and for how long the
sender avoids it. It is sent only to the few balancers whose subset contains that upstream; all balancers compute the
same subsets, so neither the cost of reports nor the work on them grows with the fleet. Reports may be lost, late or out
of order: each contains the complete state of its sender for that upstream, and expires once every request that it
counts must have ended.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from lanemux.core.peer_report import MAX_DATAGRAM, REPORT_FORMAT, PeerReport

MAX_RECIPIENTS = 16  # recipients of one report: the work per request must not grow with the fleet
MAX_CLAIM_LEAD = 1  # requests in flight that a peer may claim beyond the next highest claim
REPORTS_PER_ATTEMPT = 2  # one when the attempt starts and one when it ends


def message_cost(peers: float, price_a_message: float) -> float:
    """Cost of the reports on one attempt to `peers` balancers; `price_a_message`: of one full message a request."""
    return price_a_message * REPORTS_PER_ATTEMPT * peers * REPORT_FORMAT.size / MAX_DATAGRAM


def peers_sharing(position: int, upstreams: int, subset_size: int, proxies: int, me: int) -> tuple[int, ...]:
    """The balancers other than `me` whose subset contains the upstream at that position of the ring.

    The subset of a balancer starts at `number * upstreams // proxies` and has `subset_size` upstreams. If more than
    MAX_RECIPIENTS balancers qualify, only those that follow `me` are returned, so that each balancer knows the load of
    some of the others."""
    if subset_size >= upstreams:
        first, last = me + 1, me + proxies - 1
    else:
        first = -(-(position - subset_size + 1) * proxies // upstreams)
        last = -(-(position + 1) * proxies // upstreams) - 1
    count = last - first + 1
    if count > MAX_RECIPIENTS:
        first, count = me + 1, min(MAX_RECIPIENTS, proxies - 1)
    return tuple(p for p in ((first + i) % proxies for i in range(count)) if p != me)


def credible_load(claims: Sequence[int]) -> int:
    """Requests of peers in flight at an upstream: the sum of their claims, with the highest claim capped.

    The highest claim counts for at most MAX_CLAIM_LEAD more than the second highest. This guards against a peer that
    claims many requests everywhere and so makes its neighbours refuse work that their upstreams could serve. Balancers
    send to the least loaded upstream, so a single peer rarely has many requests at one. The drawback: where a peer
    really has, and no other peer has any, its load is underestimated."""
    if not claims:
        return 0
    first, second = (sorted(claims, reverse=True) + [0])[:2]
    return sum(claims) - max(0, first - second - MAX_CLAIM_LEAD)


@dataclass(slots=True)
class ReceivedReport:
    """The latest report of one peer on one upstream."""

    sequence: int
    in_flight: int
    received_ns: int


@dataclass(slots=True)
class PeerLoad:
    """Requests that peers have in flight at one upstream, according to the reports received."""

    expiry_ns: int  # lifetime of a report: by then all the requests that it counts have ended
    reports: dict[int, ReceivedReport] = field(default_factory=dict)
    cached_sum: int = 0
    recompute_ns: int = 0  # when the first of the reports in `cached_sum` expires

    def update(self, peer: int, report: PeerReport, now: int) -> bool:
        """Store a peer's report. False if it is stale (a later one has arrived) or the table is full."""
        last = self.reports.get(peer)
        if (
            last is not None
            and now - last.received_ns < self.expiry_ns
            and (report.sequence - last.sequence) % 256 >= 128
        ):
            return False
        if last is None and len(self.reports) >= 2 * MAX_RECIPIENTS:
            self._discard_expired(now)
            if len(self.reports) >= 2 * MAX_RECIPIENTS:
                return False
        self.reports[peer] = ReceivedReport(report.sequence, report.in_flight, now)
        self.recompute_ns = 0
        return True

    def in_flight(self, now: int) -> int:
        """Requests that peers have in flight at the upstream."""
        if now >= self.recompute_ns:
            self._discard_expired(now)
            self.cached_sum = credible_load([r.in_flight for r in self.reports.values()])
            self.recompute_ns = min((r.received_ns for r in self.reports.values()), default=now) + self.expiry_ns
        return self.cached_sum

    def _discard_expired(self, now: int) -> None:
        for peer in [p for p, r in self.reports.items() if now - r.received_ns >= self.expiry_ns]:
            del self.reports[peer]
