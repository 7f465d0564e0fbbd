"""What the balancers that draw from the same upstreams tell one another of them. No I/O and no clock.

Where many balancers carry little each, none sees much of any upstream: its own requests in flight say nothing of
what the upstream holds, and each finds out for itself, at the price of a request, that one stands still. A word
says of one upstream what its sender has in flight there and for how long it leaves it alone. It goes to the few
balancers that have that upstream in their homes, which all compute alike, so neither its price nor the work on it
grows with the fleet. Words may be lost, late or out of order: each tells the whole of what its sender has there,
and is forgotten once all of that must have ended.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from lanemux.core.peer_report import MAX_DATAGRAM, REPORT_FORMAT, PeerReport

MAX_RECIPIENTS = 16  # most that one word goes to: work on a request must not grow with the fleet
CLAIM = 1  # requests that a peer may claim to hold beyond what any other does
WORDS = 2  # an attempt: at its start and at its end


def message_cost(peers: float, price_a_message: float) -> float:
    """What the words of one attempt cost, told to so many, by the price of a full message a request."""
    return price_a_message * WORDS * peers * REPORT_FORMAT.size / MAX_DATAGRAM


def peers_sharing(place: int, upstreams: int, home: int, proxies: int, me: int) -> tuple[int, ...]:
    """The balancers, but for `me`, whose homes hold the upstream at that place of the ring.

    A balancer's home begins at `number * upstreams // proxies` and has `home` upstreams. With more than MAX_RECIPIENTS
    of them, those that follow `me`: each then knows of some of the others what they hold."""
    if home >= upstreams:
        first, last = me + 1, me + proxies - 1
    else:
        first = -(-(place - home + 1) * proxies // upstreams)
        last = -(-(place + 1) * proxies // upstreams) - 1
    count = last - first + 1
    if count > MAX_RECIPIENTS:
        first, count = me + 1, min(MAX_RECIPIENTS, proxies - 1)
    return tuple(p for p in ((first + i) % proxies for i in range(count)) if p != me)


def credible_load(claims: Sequence[int]) -> int:
    """Requests that peers hold at an upstream, of what they claim: each at most CLAIM more than the next one.

    Guards against one that claims many everywhere and so makes its neighbours refuse what their upstreams could
    serve. All hold little there and choose the lightest, so that one alone seldom has many. Harm: where it does,
    as long as nobody else has any, it is taken to have less."""
    if not claims:
        return 0
    first, second = (sorted(claims, reverse=True) + [0])[:2]
    return sum(claims) - max(0, first - second - CLAIM)


@dataclass(slots=True)
class ReceivedReport:
    """The last word of one peer on one upstream."""

    number: int
    held: int
    heard_ns: int


@dataclass(slots=True)
class PeerLoad:
    """What peers hold at one upstream, as far as their words have come."""

    expiry_ns: int  # after this, all that a word told of has ended
    reports: dict[int, ReceivedReport] = field(default_factory=dict)
    sum: int = 0
    due_ns: int = 0  # when the first of the words that make up the sum is to be forgotten

    def update(self, peer: int, word: PeerReport, now: int) -> bool:
        """Take a peer's word; False for one that a later one has overtaken."""
        last = self.reports.get(peer)
        if last is not None and now - last.heard_ns < self.expiry_ns and (word.sequence - last.number) % 256 >= 128:
            return False
        if last is None and len(self.reports) >= 2 * MAX_RECIPIENTS:
            self._forget(now)
            if len(self.reports) >= 2 * MAX_RECIPIENTS:
                return False
        self.reports[peer] = ReceivedReport(word.sequence, word.in_flight, now)
        self.due_ns = 0
        return True

    def in_flight(self, now: int) -> int:
        """Requests that peers have there."""
        if now >= self.due_ns:
            self._forget(now)
            self.sum = credible_load([t.held for t in self.reports.values()])
            self.due_ns = min((t.heard_ns for t in self.reports.values()), default=now) + self.expiry_ns
        return self.sum

    def _forget(self, now: int) -> None:
        for peer in [p for p, t in self.reports.items() if now - t.heard_ns >= self.expiry_ns]:
            del self.reports[peer]
