"""What is believed of the upstreams that a list source tells of. No I/O and no clock: times are handed in.

Every source tells rows of one form (the protocol page's discovery rows). A row that can't be read leaves what was
known of its host, and never hides the other rows; only a word that is understood ends an upstream.
"""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Iterable, KeysView, Mapping
from dataclasses import dataclass

from lanemux import interface as api
from lanemux.core.address import Address, read_address
from lanemux.core.starts import Starts

log = logging.getLogger(__name__)

STATES = {"up": api.State.READY, "draining": api.State.DRAINING, "removed": api.State.GONE}
NO_ADDRESS: Address = ("", 0)  # of what is gone


class BadList(ValueError):
    """What a source said can't be read."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One upstream: as the module knows it, and where it is."""

    upstream: api.Upstream
    address: Address
    host: str = ""  # its name, the same at every balancer


@dataclass(frozen=True, slots=True)
class Listing:
    """What a source tells: the whole list or the entries that changed."""

    version: int  # the source's own count of its changes
    whole: bool
    entries: list[Entry]
    origin: str = "discovery"
    received_ns: int = 0  # when it was heard, on the module's clock


class Membership:
    """The upstreams as last told, and the number of each host."""

    def __init__(self, unix_offset_ns: int) -> None:
        """`unix_offset_ns`: from the module's clock to Unix time, as the wall clock has it."""
        self._starts = Starts(unix_offset_ns)
        self._ids: dict[str, int] = {}
        self._hosts: dict[int, str] = {}
        self._last: dict[str, Entry] = {}

    @property
    def hosts(self) -> KeysView[str]:
        """Those that are known."""
        return self._last.keys()

    def last_entry(self, host: str) -> Entry | None:
        return self._last.get(host)

    def apply(self, rows: Iterable[object], whole: bool, now_ns: int, current: bool = True) -> list[Entry]:
        """The entries of a list, or of changes to it; `current`: it tells what holds now, and not long ago."""
        named = [row for row in rows if isinstance(row, dict) and isinstance(row.get("host"), str)]
        named.sort(key=lambda row: row["host"])  # so that numbers that collide go alike everywhere
        if whole:
            self._forget(set(self._ids) - {row["host"] for row in named})
            born = (row.get("born_ms") for row in named)
            self._starts.compare_clocks((b for b in born if isinstance(b, int)), now_ns)
        entries = [e for e in (self.read_row(row["host"], row, now_ns) for row in named) if e is not None]
        self._forget({row["host"] for row in named if row.get("health") == "removed"})
        if current:
            self._starts.listed(now_ns)
        return entries

    def read_row(self, host: str, row: Mapping[str, object], now_ns: int) -> Entry | None:
        """What a row makes of a host; what was known of it, if the row can't be read."""
        try:
            state = STATES[str(row.get("health"))]
            born_ms, cell, weight = row.get("born_ms") or 0, row.get("block") or 0, row.get("share") or 1.0
            if not (isinstance(born_ms, int) and isinstance(cell, int) and isinstance(weight, int | float)):
                raise BadList("an entry's figures are no numbers")
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
            self._last[host] = Entry(upstream, address, host)
            return self._last[host]
        except (KeyError, ValueError, OverflowError) as error:  # one bad row must not hide the others
            log.warning("list: entry %.80s can't be read: %r", host, error)
            return self._last.get(host)  # nor end an upstream that is there

    def remove(self, host: str) -> Entry | None:
        """A host that is gone: the entry that says so, or None if it was not known."""
        last = self._last.get(host)
        self._forget([host])
        return Entry(last.upstream._replace(state=api.State.GONE), NO_ADDRESS, host) if last is not None else None

    def id_of(self, host: str) -> int:
        """A number below 2^32, the same in every process; the next free one where two hosts collide."""
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
            self._last.pop(host, None)
            number = self._ids.pop(host, None)
            if number is not None:
                del self._hosts[number]
