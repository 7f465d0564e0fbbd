"""Which requests are a client's retry, where clients do not mark them. Constant work and memory. No I/O.

What was refused or given up is remembered as a few bits of its marks (tenant, class, key, cost hint: alike in a retry)
in two Bloom filters (Bloom, 1970) that take turns: the older one is emptied when it is too old to be a retry's. A
filter that grows too full says yes to too much: it then says nothing until it is emptied.
"""

from __future__ import annotations

from hashlib import blake2b

SECOND = 1_000_000_000
TURN_NS = 4 * SECOND  # a retry comes within one to two of these of its refusal
BITS = 1 << 15  # 4 KiB each; with 1,500 marks one foreign request in 2,000 is taken for a retry
HASHES = 4
FULLEST = 0.35  # of the bits set: one foreign request in 70


class Filter:
    """A set that may say yes of what was never put in, and never no of what was."""

    def __init__(self) -> None:
        self._bits = bytearray(BITS // 8)
        self._set = 0

    def __contains__(self, places: list[int]) -> bool:
        return all(self._bits[p >> 3] >> (p & 7) & 1 for p in places)

    @property
    def full(self) -> bool:
        return self._set > FULLEST * BITS

    def put(self, places: list[int]) -> None:
        for p in places:
            self._set += not self._bits[p >> 3] >> (p & 7) & 1
            self._bits[p >> 3] |= 1 << (p & 7)


class Echoes:
    """What was turned away of late."""

    def __init__(self, salt: int) -> None:
        """`salt`: of this process, so that nobody outside can choose marks that fall together."""
        self._salt = salt.to_bytes(8, "big", signed=False)
        self._now, self._before = Filter(), Filter()
        self._turned_ns = 0

    def lost(self, tenant: str, class_name: str, key: str, hint: int, now: int) -> None:
        """A request was not served: its like may come again."""
        if key or hint:  # without either all requests of a class look alike
            self._turn(now)
            self._now.put(self._places(tenant, class_name, key, hint))

    def known(self, tenant: str, class_name: str, key: str, hint: int, now: int) -> bool:
        """Was one like it lost of late? False where that can't be told."""
        if not (key or hint):
            return False
        self._turn(now)
        places = self._places(tenant, class_name, key, hint)
        return any(places in f for f in (self._now, self._before) if not f.full)

    def _turn(self, now: int) -> None:
        if now - self._turned_ns >= TURN_NS:
            old = now - self._turned_ns >= 2 * TURN_NS
            self._before, self._now = Filter() if old else self._now, Filter()
            self._turned_ns = now

    def _places(self, *marks: object) -> list[int]:
        digest = blake2b("\0".join(map(str, marks)).encode(), digest_size=4 * HASHES, key=self._salt).digest()
        return [int.from_bytes(digest[i:i + 4], "big") % BITS for i in range(0, len(digest), 4)]
