"""Platform discovery: parses its lists of upstreams and watches for changes."""

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
from lanemux.net.upstream import Exchange, Pool, PoolManager

log = logging.getLogger(__name__)

LIST_PATH = "/registry/instances"
# Room for 4,096 rows of 1 KiB, more than an indented row with a long name takes, or 20,000 rows as discovery writes
# them.
MAX_LIST_BYTES = 4096 * 1024
# How long a watch (long poll) may wait for a change. A longer silence means that the call is lost: its connection has
# died unnoticed, or discovery is down. A balancer counts as informed of a change some seconds later even if the call
# that would have delivered it was lost, so the loss must be detected before that. Calls to a local agent, which pushes
# changes, cost nothing; calls to a discovery that is polled do, so they wait longer.
PUSH_WAIT_MS = 2_000
PULL_WAIT_MS = 10_000
RESPONSE_MARGIN_S = 1.0  # added to that wait; also the timeout of a call that does not wait
# A discovery that answers immediately must not be polled without pause: the next call waits, and longer with each
# further immediate answer. A pause of 200 ms would count as a new watch.
MIN_PAUSE_S, MAX_PAUSE_S = 0.02, 0.15
UNPAUSED_ANSWERS = 16  # immediate answers in a row, each with changes as during a release, that cause no pause
REFETCH_DELAY_S = 1.0  # from a listing that could not be applied to fetching the full list
FIRST_RETRY_S, MAX_RETRY_S = 0.05, 1.0


def read_listing(raw: object, membership: Membership, received_ns: int, current: bool = True) -> Listing:
    """Parse a list from discovery that was received at `received_ns`; raises BadList if it is none.

    `current`: it describes the present, unlike the cached list of the configuration."""
    if not isinstance(raw, dict) or not isinstance(raw.get("hosts"), list):
        raise BadList("no object with hosts")
    version, whole = raw.get("seq"), raw.get("whole")
    if not isinstance(version, int) or not isinstance(whole, bool):
        raise BadList("no seq or whole")
    return Listing(version, whole, membership.apply(raw["hosts"], whole, received_ns, current), received_ns=received_ns)


class RegistryClient:
    """Calls to discovery at one address."""

    def __init__(self, address: Address, membership: Membership) -> None:
        self.address = address
        self._pool = Pool(PoolManager(2, 2.0, 0.0, MAX_LIST_BYTES), address)
        self._host = f"{address[0]}:{address[1]}".encode()
        self._membership = membership

    def get(self, query: str, wait_s: float, done: Callable[[Listing | None], None]) -> Exchange:
        """Request the list; `done` gets the parsed listing, or None if the call failed."""
        data = write_request(b"GET", (LIST_PATH + query).encode(), [(b"Host", self._host)])
        return self._pool.exchange(
            data, wait_s + RESPONSE_MARGIN_S, lambda result, response: done(self._read(result, response))
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
        except Exception:  # an internal error counts as a failed call: the watch goes on
            log.exception("discovery: a response could not be processed")
            return None

    def close(self) -> None:
        """Close its idle connections."""
        self._pool.close_idle()


class Discovery:
    """A list source on platform discovery. Pushed lists are always watched; else the module subscribes and fetches."""

    def __init__(
        self, address: Address, membership: Membership, pushed: bool, rng: random.Random, on_listing: ListingCallback
    ) -> None:
        self._membership = membership
        self._client = RegistryClient(address, membership)
        self._next_client: RegistryClient | None = None  # for a new address, until it has delivered the full list
        self._pushed = pushed
        self._rng = rng
        self._on_listing = on_listing
        self._version: int | None = None
        self._watching = False
        self._watch_call: Exchange | None = None
        self._fetch_call: Exchange | None = None
        self._switch_call: Exchange | None = None  # the call to the next client
        self._watch_retry: asyncio.TimerHandle | None = None
        self._switch_retry: asyncio.TimerHandle | None = None
        self._watch_failures = 0
        self._switch_failures = 0
        self._watch_started_s = 0.0  # loop time at which the last watch call started
        self._immediate_answers = 0  # immediate answers in a row

    def start_from(self, listing: Listing) -> None:
        self._version = listing.version

    def watch(self) -> None:
        """Start a watch call for changes after the known version, unless one is in flight."""
        self._watching = True
        if self._watch_call is not None:
            return
        self._cancel_retry()
        self._watch_started_s = asyncio.get_running_loop().time()
        wait_ms = PUSH_WAIT_MS if self._pushed else PULL_WAIT_MS
        query = "" if self._version is None else f"?after={self._version}&wait_ms={wait_ms}"
        self._watch_call = self._client.get(query, wait_ms / 1000, self._answered)

    def fetch(self) -> None:
        """Fetch the full list once."""
        if self._fetch_call is None:
            self._fetch_call = self._client.get("", 0.0, self._fetched)

    def unwatch(self) -> None:
        self._watching = False
        self._end_call()

    def _end_call(self) -> None:
        call, self._watch_call = self._watch_call, None
        if call is not None:
            call.abandon()
        self._cancel_retry()

    def _cancel_retry(self) -> None:
        if self._watch_retry is not None:
            self._watch_retry.cancel()
            self._watch_retry = None

    def move(self, address: Address) -> None:
        """Switch to another address. The watch on the old one continues until the new one has answered."""
        self._cancel_switch()  # of several moves in a row only the last takes effect
        if address != self._client.address:
            self._next_client = RegistryClient(address, self._membership)
            self._switch_failures = 0
            self._call_next_client()
        elif self._watching and self._watch_call is None:
            self.watch()  # back to the current address, whose watch had ended

    def _cancel_switch(self) -> None:
        if self._switch_call is not None:
            self._switch_call.abandon()
        if self._switch_retry is not None:
            self._switch_retry.cancel()
        if self._next_client is not None:
            self._next_client.close()
        self._next_client = self._switch_call = self._switch_retry = None

    def _call_next_client(self) -> None:
        self._switch_retry = None
        if self._next_client is not None:
            self._switch_call = self._next_client.get("", 0.0, self._next_client_answered)

    def _next_client_answered(self, listing: Listing | None) -> None:
        self._switch_call = None
        if self._next_client is None:
            return
        if listing is None or not listing.whole:
            self._switch_failures += 1
            self._switch_retry = asyncio.get_running_loop().call_later(
                self._retry_delay_s(self._switch_failures), self._call_next_client
            )
            return
        self._end_call()
        if self._fetch_call is not None:  # this full list also answers that call
            self._fetch_call.abandon()
            self._fetch_call = None
        self._client.close()
        self._client, self._next_client = self._next_client, None
        self._watch_failures, self._version = 0, listing.version
        if self._watching:
            self.watch()
        self._deliver(listing)

    def stop(self) -> None:
        self.unwatch()
        self._cancel_switch()
        if self._fetch_call is not None:
            self._fetch_call.abandon()
        self._client.close()

    async def wait_stopped(self) -> None:
        """Returns immediately: calls to discovery are not tasks."""

    def _fetched(self, listing: Listing | None) -> None:
        self._fetch_call = None
        self._deliver(listing)

    def _answered(self, listing: Listing | None) -> None:
        self._watch_call = None
        self._watch_failures = 0 if listing is not None else self._watch_failures + 1
        if listing is not None:
            pause_s = self._next_call_pause_s(bool(listing.entries) and listing.version != self._version)
            self._version = listing.version
            if pause_s:
                self._watch_later(pause_s)
            else:
                self.watch()  # before the listing is applied: a watch that pauses for 200 ms counts as a new one
        elif self._pushed and self._next_client is None:  # during a switch, the watch resumes at the new address
            self._watch_later(self._retry_delay_s(self._watch_failures))
        self._deliver(listing)

    def _next_call_pause_s(self, changed: bool) -> float:
        """How long to pause before the next watch call after an answer, with changes in it or without."""
        took_s = asyncio.get_running_loop().time() - self._watch_started_s
        self._immediate_answers = self._immediate_answers + 1 if took_s < MIN_PAUSE_S else 0
        excess = self._immediate_answers - (UNPAUSED_ANSWERS if changed else 1)
        return 0.0 if changed and excess <= 0 else min(MAX_PAUSE_S, MIN_PAUSE_S * 2.0 ** max(0, min(excess, 10)))

    def _retry_delay_s(self, failures: int) -> float:
        wait = min(MAX_RETRY_S, FIRST_RETRY_S * 2.0 ** min(failures - 1, 10))
        return wait * self._rng.uniform(0.75, 1.25)

    def _watch_later(self, wait_s: float) -> None:
        self._watch_retry = asyncio.get_running_loop().call_later(wait_s, self.watch)

    def _deliver(self, listing: Listing | None) -> None:
        if listing is None and self._pushed:
            return
        try:
            self._on_listing(listing)
        except Exception:  # an internal error: the listing is lost, so the full list is fetched again
            log.exception("discovery: a listing could not be applied")
            asyncio.get_running_loop().call_later(REFETCH_DELAY_S, self.fetch)
