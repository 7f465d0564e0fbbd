"""How much of a cold upstream's budget, and of what the fleet bears, is this balancer's. No I/O.

N balancers have 1/N each: their careful part, which needs no word from anybody. One that is asked for less than others
lends them of its own: it hears a want, and answers with a grant that names the want's token. It does without what it
has granted for PROMISE_NS from then on; the one that asked uses it for USE_NS from when it asked, which is sooner over.
So all parts together never come to more than the whole, whatever messages are lost, late, doubled or out of order, and
without any common clock (as with leases: Gray and Cheriton, 1989). One that is cut off is granted nothing and has its
careful part; one that has just started may have promised that away in its life before, and waits.

Messages, big-endian: magic, version, kind (1 want, 2 grant), token (4 bytes), a float (want: fresh requests a second;
grant: part of the whole).
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass

MS = 1_000_000
SECOND = 1000 * MS
MAGIC, VERSION, WANT, GRANT = 0xA7, 1, 1, 2
FORM = struct.Struct("!BBBIf")
USE_NS = SECOND
PROMISE_NS = 3 * SECOND // 2  # longer than USE_NS by more than clocks run apart in that time
ASK_NS = SECOND // 4  # three of four wants or grants may be lost
HEARD_NS = SECOND  # a want counts as one that still stands
SPARE = 1.25  # of its own share of the demand, a balancer keeps so many times as much
LEAST = 0.02  # of the careful part: less is not worth a message
MOST_DEMAND = 1e6  # requests a second; more is no figure


@dataclass(slots=True)
class Lent:
    part: float
    until_ns: int


class Shares:
    """One balancer's part, and what it owes to others and has of them. At most N - 1 of each."""

    def __init__(self, me: int, count: int, now: int, restarted: bool = True) -> None:
        self.careful = 1 / max(1, count)
        self._me, self._count = me, max(1, count)
        self._promised: dict[int, Lent] = {}
        self._granted: dict[int, Lent] = {}
        self._wants: dict[int, tuple[float, int]] = {}  # peer -> its demand, heard when
        self._asked: dict[int, int] = {}  # token -> when it was asked, of those that still count
        self._token = 0
        self._asked_ns = now - ASK_NS
        self._free_ns = now + PROMISE_NS if restarted and count > 1 else now
        self.demand = 0.0  # own fresh requests a second

    def part(self, now: int) -> float:
        """Of the whole, what this balancer may use now."""
        if now < self._free_ns:
            return 0.0
        own = self.careful - sum(lent.part for lent in self._promised.values() if lent.until_ns > now)
        return max(0.0, own) + sum(lent.part for lent in self._granted.values() if lent.until_ns > now)

    def want(self, now: int) -> bytes | None:
        """A message for all others, when it is time for one."""
        if self._count == 1 or now - self._asked_ns < ASK_NS:
            return None
        self._asked_ns = now
        self._token = (self._token + 1) % (1 << 32)
        self._asked = {t: at for t, at in self._asked.items() if now - at < USE_NS}
        self._asked[self._token] = now
        return FORM.pack(MAGIC, VERSION, WANT, self._token, min(self.demand, MOST_DEMAND))

    def heard(self, sender: int, data: bytes, now: int) -> bytes | None:
        """Take a peer's message; what it is to be answered. Anything that is no message of these is left alone."""
        if len(data) != FORM.size or not 0 <= sender < self._count or sender == self._me:
            return None
        magic, version, kind, token, figure = FORM.unpack(data)
        if (magic, version) != (MAGIC, VERSION) or not math.isfinite(figure) or figure < 0:
            return None
        if kind == GRANT and figure <= self.careful:
            self._take(sender, token, figure, now)
        elif kind == WANT and figure <= MOST_DEMAND:
            return self._lend(sender, token, figure, now)
        return None

    def _take(self, sender: int, token: int, part: float, now: int) -> None:
        asked = self._asked.get(token)
        if asked is None or now - asked >= USE_NS:
            return  # it comes too late: its lender may have taken it back
        held = self._granted.get(sender)
        if held is None or held.until_ns <= asked + USE_NS:  # an older one must not take a newer one's place
            self._granted[sender] = Lent(part, asked + USE_NS)

    def _lend(self, sender: int, token: int, demand: float, now: int) -> bytes | None:
        self._wants[sender] = (demand, now)
        standing = [d for d, at in self._wants.values() if now - at < HEARD_NS and d > self.demand]
        if now < self._free_ns or demand <= self.demand:
            return None
        self._promised = {n: lent for n, lent in self._promised.items() if lent.until_ns > now}
        keep = self.careful * min(1.0, SPARE * self.demand / max(standing))
        old = self._promised.get(sender, Lent(0.0, 0)).part
        others = sum(lent.part for lent in self._promised.values()) - old
        part = min((self.careful - keep) / len(standing), self.careful - keep - others)
        if part < LEAST * self.careful:
            return None
        # What an earlier grant gave may still be used: the larger of both is done without.
        self._promised[sender] = Lent(max(part, old), now + PROMISE_NS)
        return FORM.pack(MAGIC, VERSION, GRANT, token, part)
