"""The upstreams according to a list source. No I/O and no clock: callers pass in the time.

All sources use the same row format (the protocol page's discovery rows). An invalid row leaves the last known entry of
its host in place and does not affect other rows; only a valid row or list removes an upstream.
"""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Iterable, KeysView, Mapping
from dataclasses import dataclass

from lanemux import interface as api
from lanemux.core.address import Address, read_address
from lanemux.core.starts import StartTimes

log = logging.getLogger(__name__)

STATES = {"up": api.State.READY, "draining": api.State.DRAINING, "removed": api.State.GONE}
NO_ADDRESS: Address = ("", 0)  # address of a removed upstream


class BadList(ValueError):
    """The response of a source is malformed."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One upstream: its description for the decision module, and its address."""

    upstream: api.Upstream
    address: Address
    host: str = ""  # its name, identical on every balancer


@dataclass(frozen=True, slots=True)
class Listing:
    """An update from a source: the whole list, or the entries that changed."""

    version: int  # the source's change counter
    whole: bool
    entries: list[Entry]
    origin: str = "discovery"
    received_ns: int = 0  # on the module's clock


class Membership:
    """The upstreams as last reported, and the numeric id of each host."""

    def __init__(self, unix_offset_ns: int) -> None:
        """`unix_offset_ns`: Unix time minus the module's clock, according to the wall clock."""
        self._starts = StartTimes(unix_offset_ns)
        self._ids: dict[str, int] = {}
        self._hosts: dict[int, str] = {}
        self._entries: dict[str, Entry] = {}

    @property
    def hosts(self) -> KeysView[str]:
        """Names of the known hosts."""
        return self._entries.keys()

    def last_entry(self, host: str) -> Entry | None:
        """The last known entry of a host."""
        return self._entries.get(host)

    def apply(self, rows: Iterable[object], whole: bool, now_ns: int, current: bool = True) -> list[Entry]:
        """Apply a whole list, or changes to it; returns its entries. `current`: False if the list may be stale."""
        named = [row for row in rows if isinstance(row, dict) and isinstance(row.get("host"), str)]
        named.sort(key=lambda row: row["host"])  # so that id collisions resolve alike on every balancer
        if whole:
            self._forget(set(self._ids) - {row["host"] for row in named})
            born = (row.get("born_ms") for row in named)
            self._starts.correct_clock((b for b in born if isinstance(b, int)), now_ns)
        entries = [e for e in (self.read_row(row["host"], row, now_ns) for row in named) if e is not None]
        self._forget({row["host"] for row in named if row.get("health") == "removed"})
        if current:
            self._starts.list_received(now_ns)
        return entries

    def read_row(self, host: str, row: Mapping[str, object], now_ns: int) -> Entry | None:
        """Update a host from its row and return its entry; an invalid row returns the last known entry."""
        try:
            state = STATES[str(row.get("health"))]
            born_ms, cell, weight = row.get("born_ms") or 0, row.get("block") or 0, row.get("share") or 1.0
            if not (isinstance(born_ms, int) and isinstance(cell, int) and isinstance(weight, int | float)):
                raise BadList("born_ms, block or share is not a number")
            started = self._starts.started_ns(host, born_ms, now_ns)
            address = NO_ADDRESS if state is api.State.GONE else read_address(str(row.get("dial")))
            upstream = api.Upstream(
                self.id_of(host),
                state,
                str(row.get("site") or ""),
                cell,
                float(weight),
                started,
                str(row.get("class") or ""),
            )
            self._entries[host] = Entry(upstream, address, host)
            return self._entries[host]
        except (KeyError, ValueError, OverflowError) as error:  # one invalid row must not affect the others
            log.warning("list: invalid entry for %.80s: %r", host, error)
            return self._entries.get(host)  # nor remove an existing upstream

    def remove(self, host: str) -> Entry | None:
        """Remove a host; returns an entry with state GONE, or None if the host was unknown."""
        last = self._entries.get(host)
        self._forget([host])
        return Entry(last.upstream._replace(state=api.State.GONE), NO_ADDRESS, host) if last is not None else None

    def id_of(self, host: str) -> int:
        """The id of a host: a hash below 2^32, the same in every process; on a collision, the next free number."""
        known = self._ids.get(host)
        if known is not None:
            return known
        number = int.from_bytes(hashlib.blake2b(host.encode(errors="surrogatepass"), digest_size=4).digest(), "big")
        while number in self._hosts:
            number = (number + 1) % 2**32
        self._ids[host], self._hosts[number] = number, host
        return number

    def _forget(self, hosts: Iterable[str]) -> None:
        for host in hosts:
            self._entries.pop(host, None)
            number = self._ids.pop(host, None)
            if number is not None:
                del self._hosts[number]
