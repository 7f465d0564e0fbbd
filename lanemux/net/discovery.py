"""The list of upstreams: reading it, and keeping a watch on it."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from lanemux import interface as api
from lanemux.core.address import Address
from lanemux.core.clock import now_ns
from lanemux.core.membership import BadList, Listing, Membership
from lanemux.core.source import ListingCallback
from lanemux.net.http import Message, read_json, write_request
from lanemux.net.upstream import Exchange, Hub, Pool

log = logging.getLogger(__name__)

LIST_PATH = "/registry/instances"
# Of a list: 4,096 rows of 1 KiB, which no row takes, indented and with a long name; 20,000 as discovery writes them.
MAX_LIST = 4096 * 1024  # bytes
# How long a watch call may wait. Silence for longer shows that it is lost, on a connection that has died
# unseen or at a discovery that is down. What a lost call would have told counts as told some seconds
# later all the same, so it must be found out before. An agent on this machine answers at no cost, an
# asked one does not.
AGENT_WAIT_MS = 2_000
ASKED_WAIT_MS = 10_000
OVERDUE_S = 1.0  # beyond that, and for an answer that waits for nothing
# A discovery that answers at once must not be asked without pause, whatever it answers: the next call waits so long,
# longer each time that comes at once again. 200 ms are a new watch.
BREATH_S, LONGEST_BREATH_S = 0.02, 0.15
AT_ONCE = 16  # answers in a row with news each, as a release brings them, before that
REPAIR_S = 1.0  # after a list that could not be taken up
FIRST_RETRY_S, LAST_RETRY_S = 0.05, 1.0


def read_listing(raw: object, membership: Membership, heard_ns: int, current: bool = True) -> Listing:
    """Discovery's answer (protocol page), heard at that time; BadList if it is none. `current`: it holds now."""
    if not isinstance(raw, dict) or not isinstance(raw.get("hosts"), list):
        raise BadList("no object with hosts")
    version, whole = raw.get("seq"), raw.get("whole")
    if not isinstance(version, int) or not isinstance(whole, bool):
        raise BadList("no seq or whole")
    return Listing(version, whole, membership.apply(raw["hosts"], whole, heard_ns, current), received_ns=heard_ns)


class Source:
    """One address of discovery, and the calls to it."""

    def __init__(self, address: Address, membership: Membership) -> None:
        self.address = address
        self._pool = Pool(Hub(2, 2.0, 0.0, MAX_LIST), address)
        self._host = f"{address[0]}:{address[1]}".encode()
        self._membership = membership

    def get(self, query: str, wait_s: float, done: Callable[[Listing | None], None]) -> Exchange:
        data = write_request(b"GET", (LIST_PATH + query).encode(), [(b"Host", self._host)])
        return self._pool.exchange(
            data, wait_s + OVERDUE_S, lambda result, response: done(self._read(result, response))
        )

    def _read(self, result: api.Result, response: Message | None) -> Listing | None:
        if result is not api.Result.OK or response is None or response.status != 200:
            log.info("discovery: call failed: %s %s", result.value, response.status if response else "")
            return None
        try:
            return read_listing(read_json(response.body), self._membership, now_ns())
        except ValueError as error:
            log.warning("discovery: %.120s", error)
            return None
        except Exception:  # a fault of ours is a failed call: the watch goes on
            log.exception("discovery: an answer could not be taken up")
            return None

    def close(self) -> None:
        self._pool.close_idle()


class Discovery:
    """Watches the list. Where it is pushed, the watch never ends; where it is asked, the module says when."""

    def __init__(
        self, address: Address, membership: Membership, pushed: bool, rng: random.Random, heard: ListingCallback
    ) -> None:
        self._membership = membership
        self._source = Source(address, membership)
        self._successor: Source | None = None  # the new address, until it has told the whole list
        self._pushed = pushed
        self._rng = rng
        self._heard = heard
        self._version: int | None = None
        self._watching = False
        self._call: Exchange | None = None
        self._fetch: Exchange | None = None
        self._handover: Exchange | None = None  # the call to the successor
        self._retry: asyncio.TimerHandle | None = None
        self._handover_retry: asyncio.TimerHandle | None = None
        self._failures = 0
        self._handover_failures = 0
        self._asked_s = 0.0  # when the watch was last asked, by the loop's clock
        self._at_once = 0  # answers in a row that came at once

    def start_from(self, listing: Listing) -> None:
        self._version = listing.version

    def watch(self) -> None:
        """Ask for what is newer than what is known; a call that is out already serves."""
        self._watching = True
        if self._call is not None:
            return
        self._cancel_retry()
        self._asked_s = asyncio.get_running_loop().time()
        wait_ms = AGENT_WAIT_MS if self._pushed else ASKED_WAIT_MS
        query = "" if self._version is None else f"?after={self._version}&wait_ms={wait_ms}"
        self._call = self._source.get(query, wait_ms / 1000, self._answered)

    def fetch(self) -> None:
        """Ask for the whole list once."""
        if self._fetch is None:
            self._fetch = self._source.get("", 0.0, self._fetched)

    def unwatch(self) -> None:
        self._watching = False
        self._end_call()

    def _end_call(self) -> None:
        call, self._call = self._call, None
        if call is not None:
            call.abandon()
        self._cancel_retry()

    def _cancel_retry(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    def move(self, address: Address) -> None:
        """Go over to another address. The watch on the old one stays until the new one has answered."""
        self._forget_successor()  # of several moves in a row the last one counts
        if address != self._source.address:
            self._successor = Source(address, self._membership)
            self._handover_failures = 0
            self._ask_successor()
        elif self._watching and self._call is None:
            self.watch()  # back to an address whose watch had ended

    def _forget_successor(self) -> None:
        if self._handover is not None:
            self._handover.abandon()
        if self._handover_retry is not None:
            self._handover_retry.cancel()
        if self._successor is not None:
            self._successor.close()
        self._successor = self._handover = self._handover_retry = None

    def _ask_successor(self) -> None:
        self._handover_retry = None
        if self._successor is not None:
            self._handover = self._successor.get("", 0.0, self._succeeded)

    def _succeeded(self, listing: Listing | None) -> None:
        self._handover = None
        if self._successor is None:
            return
        if listing is None or not listing.whole:
            self._handover_failures += 1
            self._handover_retry = asyncio.get_running_loop().call_later(
                self._pause_s(self._handover_failures), self._ask_successor
            )
            return
        self._end_call()
        if self._fetch is not None:  # what the whole list was asked for, this one answers
            self._fetch.abandon()
            self._fetch = None
        self._source.close()
        self._source, self._successor = self._successor, None
        self._failures, self._version = 0, listing.version
        if self._watching:
            self.watch()
        self._tell(listing)

    def stop(self) -> None:
        self.unwatch()
        self._forget_successor()
        if self._fetch is not None:
            self._fetch.abandon()
        self._source.close()

    async def wait_stopped(self) -> None:
        """At once: its calls are no tasks."""

    def _fetched(self, listing: Listing | None) -> None:
        self._fetch = None
        self._tell(listing)

    def _answered(self, listing: Listing | None) -> None:
        self._call = None
        self._failures = 0 if listing is not None else self._failures + 1
        if listing is not None:
            breath_s = self._breath_s(bool(listing.entries) and listing.version != self._version)
            self._version = listing.version
            if breath_s:
                self._watch_later(breath_s)
            else:
                self.watch()  # first of all: a watch that pauses for 200 ms is a new one
        elif self._pushed and self._successor is None:  # else the watch goes on there
            self._watch_later(self._pause_s(self._failures))
        self._tell(listing)

    def _breath_s(self, news: bool) -> float:
        """How long the next call of the watch waits behind an answer, with news in it or without."""
        took_s = asyncio.get_running_loop().time() - self._asked_s
        self._at_once = self._at_once + 1 if took_s < BREATH_S else 0
        over = self._at_once - (AT_ONCE if news else 1)
        return 0.0 if news and over <= 0 else min(LONGEST_BREATH_S, BREATH_S * 2.0 ** max(0, min(over, 10)))

    def _pause_s(self, failures: int) -> float:
        wait = min(LAST_RETRY_S, FIRST_RETRY_S * 2.0 ** min(failures - 1, 10))
        return wait * self._rng.uniform(0.75, 1.25)

    def _watch_later(self, wait_s: float) -> None:
        self._retry = asyncio.get_running_loop().call_later(wait_s, self.watch)

    def _tell(self, listing: Listing | None) -> None:
        if listing is None and self._pushed:
            return
        try:
            self._heard(listing)
        except Exception:  # a fault of ours: what was told is lost, so the whole list is asked for again
            log.exception("discovery: a list could not be taken up")
            asyncio.get_running_loop().call_later(REPAIR_S, self.fetch)
