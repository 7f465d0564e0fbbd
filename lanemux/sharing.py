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

from lanemux.core.words import FORM, MESSAGE, Word

MOST_TOLD = 16  # most that one word goes to: work on a request must not grow with the fleet
CLAIM = 1  # requests that a peer may claim to hold beyond what any other does
WORDS = 2  # an attempt: at its start and at its end


def price(peers: float, price_a_message: float) -> float:
    """What the words of one attempt cost, told to so many, by the price of a full message a request."""
    return price_a_message * WORDS * peers * FORM.size / MESSAGE


def sharers(place: int, upstreams: int, home: int, proxies: int, me: int) -> tuple[int, ...]:
    """The balancers, but for `me`, whose homes hold the upstream at that place of the ring.

    A balancer's home begins at `number * upstreams // proxies` and has `home` upstreams. With more than MOST_TOLD
    of them, those that follow `me`: each then knows of some of the others what they hold."""
    if home >= upstreams:
        first, last = me + 1, me + proxies - 1
    else:
        first = -(-(place - home + 1) * proxies // upstreams)
        last = -(-(place + 1) * proxies // upstreams) - 1
    count = last - first + 1
    if count > MOST_TOLD:
        first, count = me + 1, min(MOST_TOLD, proxies - 1)
    return tuple(p for p in ((first + i) % proxies for i in range(count)) if p != me)


def believed(claims: Sequence[int]) -> int:
    """Requests that peers hold at an upstream, of what they claim: each at most CLAIM more than the next one.

    Guards against one that claims many everywhere and so makes its neighbours refuse what their upstreams could
    serve. All hold little there and choose the lightest, so that one alone seldom has many. Harm: where it does,
    as long as nobody else has any, it is taken to have less."""
    if not claims:
        return 0
    first, second = (sorted(claims, reverse=True) + [0])[:2]
    return sum(claims) - max(0, first - second - CLAIM)


@dataclass(slots=True)
class Told:
    """The last word of one peer on one upstream."""

    number: int
    held: int
    heard_ns: int


@dataclass(slots=True)
class Elsewhere:
    """What peers hold at one upstream, as far as their words have come."""

    kept_ns: int  # after this, all that a word told of has ended
    told: dict[int, Told] = field(default_factory=dict)
    sum: int = 0
    due_ns: int = 0  # when the first of the words that make up the sum is to be forgotten

    def hear(self, peer: int, word: Word, now: int) -> bool:
        """Take a peer's word; False for one that a later one has overtaken."""
        last = self.told.get(peer)
        if last is not None and now - last.heard_ns < self.kept_ns and (word.number - last.number) % 256 >= 128:
            return False
        if last is None and len(self.told) >= 2 * MOST_TOLD:
            self._forget(now)
            if len(self.told) >= 2 * MOST_TOLD:
                return False
        self.told[peer] = Told(word.number, word.held, now)
        self.due_ns = 0
        return True

    def held(self, now: int) -> int:
        """Requests that peers have there."""
        if now >= self.due_ns:
            self._forget(now)
            self.sum = believed([t.held for t in self.told.values()])
            self.due_ns = min((t.heard_ns for t in self.told.values()), default=now) + self.kept_ns
        return self.sum

    def _forget(self, now: int) -> None:
        for peer in [p for p, t in self.told.items() if now - t.heard_ns >= self.kept_ns]:
            del self.told[peer]
