"""The load-balancing policy: every decision of lanemux. Its events and actions are in `lanemux/interface.py`.

A request passes its tenant's Throttle, may wait in a queue, and goes to the least loaded of a few upstreams."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from lanemux import interface as api
from lanemux.core.index import Index
from lanemux.core.peer_report import MAX_ID, PeerReport, datagrams, read_reports
from lanemux.core.removable_queue import RemovableQueue
from lanemux.core.timers import Timer, Timers
from lanemux.sharing import PeerLoad, message_cost, peers_sharing

SECOND = 1_000_000_000
STALL_NS = SECOND // 50  # a timer this late means that this process was stalled
DRAWS = 2  # random candidates besides the previous pick
HOME_SIZES, OVERLAP = (4, 10), 6  # home size: least, and enough to tolerate pauses; homes that an upstream may be in
MIN_HOME = 1  # smallest home where open connections have a price: connections are scarce or cost work there
GOLDEN_RATIO = 0.618033988749895  # its fractional part
MAX_SCAN = 16  # most upstreams examined for one send: work for a request must not grow with the fleet
REPORT_FRESH_NS = 3 * SECOND  # older load reports are ignored
BUCKET_S = 0.5  # C_T, the token bucket capacity, in seconds of the rate
HOLD_SHARE = 0.2  # C_J, the capacity for held requests, as a share of C_T
INITIAL_RATE = 10_000.0  # of the admission rate R: more than any proxy carries
FEEDBACK_INTERVAL_NS = SECOND // 2
TOLERATED_FAILURES = 0.1  # share of failures that does not lower R
MAX_RATE_CUT = 0.3  # largest share that R is lowered by in one feedback interval
RATE_GROWTH, RATE_RECOVERY = 1.1, 1.5  # growth of R per interval: normally, and well below the rate that failed last
RECOVERY_BELOW = 0.8  # "well below" means less than this share of it
SPARE_PART = 0.5  # upstreams with spare capacity answer one more request in this share of the aim
RATE_HEADROOM = 1.3  # R over the demand where upstreams have spare capacity, so that retries find tokens too
LOADED = 1.0  # mean requests in flight at an upstream below which less traffic would not help
IGNORED_UPSTREAM_SHARE = 0.5  # the upstreams with most failures, up to this share of all, do not lower R
LIMIT_MAX, LOAD_MAX = 64, 1e6
LATENCY_DECAY = 0.98  # of latency samples, per outcome
CONCURRENCY_DECAY = 0.95  # of throughput by concurrency, per feedback interval
MIN_GAIN = 1.05  # factor by which one more request in flight must raise the throughput of an upstream
PROBES = 3  # upstreams probed for their load before a send, where probes are cheap
MAX_PROBE_PRICE = 0.01  # most that the probes for one request may cost
PROBE_WAIT_NS = SECOND // 100  # longest wait for the answers to probes
PROBE_REUSE_NS = PROBE_WAIT_NS // 2  # no new probe in this time: a busy proxy would probe faster than loads change
MAX_PEER_PRICE = 0.01  # most that the peer messages for one request may cost
PICK_JITTER = 0.25  # random weight increase: proxies that see the same idle upstreams must not all pick the same one
RETRY_AIM_LEFT = 0.35  # share of the aim assumed to be left for a client's retry that would have to wait
QUEUE_SHARE = 0.5  # share of a request's spare time that it may spend in the queue
COLD_BUDGET_SHARE = 0.7  # share of a cold upstream's request budget that is used
MAX_BACKOFF_NS = 3 * SECOND  # longest backoff from a failing upstream
MAX_CHANCE_OF_RESETS = 1e-3  # resets in a row less likely than this by chance are the upstream's fault
MAX_COMMON_RESET_SHARE = 0.3  # cap on the reset rate attributed to the network
RESET_DECAY = 0.8  # of reset counts, per feedback interval
MIN_SAMPLES = 8  # outcomes needed before an estimate is used
OVERLOAD_RESULTS = (api.Result.FULL, api.Result.TIMEOUT, api.Result.CONNECT_FAILED)  # failures that may lower R
UNINFORMATIVE = (api.Result.CANCELLED, api.Result.NOT_SENT)  # say nothing about the connection


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt: a request sent to one upstream."""

    server: Server
    sent_ns: int
    expected_ns: float
    load: float  # estimated requests at the upstream after the send, including this one
    result: api.Result | None = None
    may_have_run: bool = True  # until the outcome proves that it did not
    overdue_timer: Timer[Due] | None = None  # checks on it when the answer is overdue

    def record_result(self, result: api.Result, rules: api.Rules) -> None:
        """Record the outcome. "Full" proves nothing where upstreams also drop requests that they had started."""
        self.result = result
        self.may_have_run = result not in api.NEVER_RAN or (result is api.Result.FULL and rules.full_unproven)


@dataclass(slots=True, eq=False)
class Request:
    """An open request; checks that each send and refusal is allowed (rules 1 to 3 and placement)."""

    id: str
    cls: api.RequestClass
    pool: Pool  # the upstreams that its class may use
    throttle: Throttle
    deadline_ns: int
    aim_ns: int  # an answer by then earns the full worth
    cost_hint_ns: int
    prior_wait_ns: float = 0.0  # part of its aim assumed to have passed before it arrived, for a client's retry
    attempts: list[Attempt] = field(default_factory=list)
    ended: bool = False
    answer_begun_ns: int = 0  # its answer has been streaming to the client since then
    delayed: bool = False  # half its time passed in its throttle: a late end says nothing about the upstreams
    stalled: bool = False  # this process stalled while it was open: its latencies say nothing either
    waiting_in: str = ""  # "held" by its throttle, in the queue ("line"), or ""
    give_up_ns: int = 0  # latest time at which sending it is still useful
    give_up_timer: Timer[Due] | None = None  # fires at `give_up_ns`
    probed: list[Server] = field(default_factory=list)  # upstreams probed for it
    probed_ns: int = 0

    @property
    def in_flight(self) -> int:
        return sum(a.result is None for a in self.attempts)

    def may_send(self, server: Server, now: int, limits: api.Limits) -> bool:
        if self.ended or self.answer_begun_ns or now >= self.deadline_ns or len(self.attempts) >= limits.max_attempts:
            return False
        if not self.pool.admits(server.entry):
            return False
        if server.entry.state is not api.State.READY or self.in_flight >= (2 if limits.second_copies else 1):
            return False
        risky = [a for a in self.attempts if a.may_have_run]
        if not risky or self.cls.effect is api.Effect.SAFE:
            return True
        fresh = self.cls.effect is api.Effect.KEYED and now - risky[0].sent_ns < self.cls.window_ns
        return fresh and all(self._same_group(a.server, server) for a in risky)

    def write_within_ns(self, now: int) -> int:
        """For how long another attempt may still be written, while upstreams remember the key; 0: no limit."""
        first = next((a for a in self.attempts[:-1] if a.may_have_run), None)
        return 0 if first is None or self.cls.effect is api.Effect.SAFE else first.sent_ns + self.cls.window_ns - now

    def may_refuse(self) -> bool:
        deduplicated = self.cls.effect is api.Effect.KEYED and self.cls.scope is api.Scope.ALL
        return self.cls.effect is api.Effect.SAFE or deduplicated or not any(a.may_have_run for a in self.attempts)

    def _same_group(self, x: Server, y: Server) -> bool:
        if self.cls.scope is api.Scope.ALL:
            return True
        a, b = x.entry, y.entry
        return a.zone == b.zone and (self.cls.scope is api.Scope.ZONE or a.cell == b.cell)


class Throttle:
    """A tenant's token bucket and held requests: the paper's counter U = T - J + C_J in [0, C_J + C_T] (2.1), (2.8)."""

    def __init__(self, weight: float, rng: random.Random, now: int) -> None:
        self.weight = weight
        self.bucket_capacity = round(INITIAL_RATE * BUCKET_S)  # C_T
        self.hold_capacity = round(self.bucket_capacity * HOLD_SHARE)  # C_J
        self.counter = self.bucket_capacity + self.hold_capacity  # U, with T tokens and J held requests; starts full
        self.rate = INITIAL_RATE
        self.partial_token = rng.random()  # random, so that proxies do not release held requests in step
        self.updated_ns = now
        self.held: RemovableQueue[Request] = RemovableQueue()
        self.arrivals = 0
        self.demand = 0.0  # smoothed requests per second
        self.timer_set = False  # whether the timer for the next token is set
        self.ran_out = False  # a request found no token since R was last set

    def set_rate(self, rate: float, now: int) -> None:
        """Change the rate and with it the capacities; tokens in the bucket and held requests stay."""
        self.accrue(now)
        balance = self.counter - self.hold_capacity  # T - J
        self.rate = rate
        self.bucket_capacity = max(4, round(rate * BUCKET_S))
        self.hold_capacity = max(1, round(self.bucket_capacity * HOLD_SHARE), len(self.held))
        self.counter = max(0, min(self.bucket_capacity + self.hold_capacity, balance + self.hold_capacity))

    def accrue(self, now: int) -> None:
        self.partial_token += self.rate * (now - self.updated_ns) / SECOND
        tokens = int(self.partial_token)
        self.updated_ns, self.partial_token = now, self.partial_token - tokens
        self.counter = min(self.bucket_capacity + self.hold_capacity, self.counter + tokens)

    def offer(self, request: Request, now: int) -> bool | None:
        """Admit a request. True: send; None: held; False: overflow."""
        self.accrue(now)
        self.arrivals += 1
        if self.counter <= self.hold_capacity:
            self.ran_out = True
        if self.counter < 1:
            return False
        self.counter -= 1
        if self.counter >= self.hold_capacity:
            return True
        self.held.append(request)
        return None

    def take_spare(self, now: int) -> bool:
        """Take a token for a second copy or a client's retry, if first tries leave part of the bucket unused."""
        self.accrue(now)
        if self.counter - self.hold_capacity <= self.bucket_capacity // 4:
            return False
        self.counter -= 1
        return True

    def release(self, now: int) -> Iterable[Request]:
        self.accrue(now)
        while len(self.held) > max(0, self.hold_capacity - self.counter):
            yield self.held.popleft()

    def remove(self, request: Request) -> None:
        """Remove a held request that has ended and return the token it waited for."""
        self.held.remove(request)
        self.counter += 1


class AdmissionRate:
    """This proxy's admission rate R, learned from the outcomes of attempts, and its division among the tenants."""

    def __init__(self, throttles: Sequence[Throttle], now: int) -> None:
        self.throttles = throttles
        self.value = INITIAL_RATE
        self.failed_rate = 0.0  # the rate at which too many attempts failed; decays with each cut
        self.interval_start_ns = now
        self.ended_rate = 0.0  # attempts ended per second
        self.served_rate = INITIAL_RATE  # and those that ended in time
        self.successes = 0
        self.unplaced = 0  # requests that no upstream could take in time
        self.failures: Counter[int] = Counter()  # by upstream

    def start_interval_if_idle(self, now: int) -> None:
        """Start the feedback interval anew if nothing has been counted yet. Called when the first request arrives:
        requests after an idle time must not be counted over all of that time."""
        if not (self.successes or self.failures or self.unplaced):
            self.interval_start_ns = now

    def adjust(self, now: int, upstreams: int, loaded: bool = True, has_room: bool = False) -> None:
        elapsed = now - self.interval_start_ns
        failures = sorted(self.failures.values(), reverse=True)
        total = self.successes + sum(failures) + self.unplaced
        # The half of the upstreams with most failures does not count: one faulty server is no overloaded fleet.
        ignored = int(upstreams * IGNORED_UPSTREAM_SHARE)
        share = (sum(failures[ignored:]) + self.unplaced) / total if total else 0.0
        # Where upstreams have spare capacity, R must not hold requests back.
        arrivals, ran_out = sum(t.arrivals for t in self.throttles), any(t.ran_out for t in self.throttles)
        held = has_room and share <= TOLERATED_FAILURES and (ran_out or self.value * elapsed < arrivals * SECOND)
        # With little traffic, wait for more outcomes, but not for ever, nor if R itself is what limits the traffic.
        if elapsed < FEEDBACK_INTERVAL_NS or (total < MIN_SAMPLES and elapsed < 4 * FEEDBACK_INTERVAL_NS and not held):
            return
        self.served_rate = self.successes * SECOND / elapsed
        self.ended_rate = (self.successes + sum(failures)) * SECOND / elapsed
        if share > TOLERATED_FAILURES and loaded:
            # After the fleet has shrunk, R is far above the served rate: go down to that first.
            rate = min(self.value, 1.2 * self.ended_rate + 1)
            self.failed_rate = max(0.9 * self.failed_rate, rate)
            self.value = max(1.0, 0.9 * self.served_rate, rate * (1 - min(MAX_RATE_CUT, share - TOLERATED_FAILURES)))
        else:
            if total and ran_out:
                # A brief disturbance lowers R several times: recovering from it must not take ten seconds.
                rise = RATE_RECOVERY if self.value < RECOVERY_BELOW * self.failed_rate else RATE_GROWTH
                self.value = min(INITIAL_RATE, self.value * rise + 0.5)
            if held:  # to more than the demand, and enough for MIN_SAMPLES outcomes
                self.value = max(self.value, RATE_HEADROOM * (MIN_SAMPLES + arrivals) * SECOND / elapsed)
        for t in self.throttles:
            t.demand += 0.5 * (t.arrivals * SECOND / elapsed - t.demand)
            t.arrivals, t.ran_out = 0, False
        self._divide_among_tenants(now)
        self.interval_start_ns, self.successes, self.unplaced = now, 0, 0
        self.failures.clear()

    def _divide_among_tenants(self, now: int) -> None:
        """Divide R by weight (max-min fairness); what some tenants leave unused is lent to those with more demand."""
        total_weight = sum(t.weight for t in self.throttles)
        fair = self._fair_shares(self.value)
        for i, t in enumerate(self.throttles):
            t.set_rate(max(0.05, self.value * t.weight / total_weight, fair[i]), now)

    def _fair_shares(self, left: float) -> list[float]:
        shares, weights = [0.0] * len(self.throttles), sum(t.weight for t in self.throttles)
        for i, t in sorted(enumerate(self.throttles), key=lambda it: (it[1].demand / it[1].weight, it[0])):
            shares[i] = min(t.demand, left * t.weight / weights)
            left, weights = max(0.0, left - shares[i]), max(1e-9, weights - t.weight)
        return [share + left for share in shares]


@dataclass(slots=True, eq=False)
class Server:
    """The state that this proxy keeps for one upstream."""

    id: int
    entry: api.Upstream
    inflight: int = 0  # requests of this proxy there
    inflight_since_ns: int = 0  # when that number last changed
    latency_ratio: float = 1.0  # its latency relative to the fleet's
    failure_streak: int = 0  # failures since the last success; one stall counts once
    backoff_until_ns: int = 0  # not used before this after failures, or while cold
    recent_attempts: float = 0.0  # attempts that ended here, decayed
    recent_resets: float = 0.0  # those of them whose connection was reset
    reset_streak: int = 0  # resets in a row up to now
    in_own_home: bool = False  # in a home of this proxy, as of `placed_version`
    overlap: float = 1.0  # proxies that have it in their home, as of `placed_version`
    placed_version: int = -1  # the value of `Fleet.placement_version` for which these were computed
    last_load: float = 0.0  # its requests from all proxies, by its last report
    reported_ns: int = 0
    probed_ns: int = 0  # the last probe
    probe_reset_ns: int = 0  # the last probe whose connection was reset
    peers: tuple[int, ...] = ()  # other proxies with it in their home, as of `placed_version`
    peer_load: PeerLoad | None = None  # requests of those proxies there
    peer_backoff_until_ns: int = 0  # a peer backs off from it until then
    sequence: int = 0  # number of the last report to the peers
    last_served: bool = False  # whether its last attempt was served

    def record_load(self, load: float | None, now: int) -> None:
        """Record a reported load; impossible values (negative, huge, not a number) are ignored."""
        if load is not None and 0 <= load < LOAD_MAX:
            self.last_load, self.reported_ns = load, now

    def is_fresh(self, now: int) -> bool:
        return now - self.reported_ns < REPORT_FRESH_NS

    def estimated_load(self, now: int) -> float:
        """Estimated requests there: own plus those of the peers, or the larger of own and a fresh report."""
        if self.peer_load is not None:
            return self.inflight + self.peer_load.in_flight(now)
        return max(self.inflight, self.last_load) if self.is_fresh(now) else self.inflight

    def free_ns(self) -> int:
        """The end of the backoff, this proxy's own and the one reported by peers."""
        return max(self.backoff_until_ns, self.peer_backoff_until_ns)


class Pool(Index[Server]):
    """The upstreams that one placement admits, in this proxy's order, and the requests queued for them."""

    def __init__(self, me: int, zones: frozenset[str] | None, kinds: frozenset[str] | None) -> None:
        super().__init__(me)
        self.zones, self.kinds = zones, kinds
        self.overlap = 1.0  # mean number of proxies that have an upstream of this home in theirs
        self.draw_size = 0  # length of the part of `candidates` that it draws from
        self.last_pick: Server | None = None  # the previous pick
        self.queue: RemovableQueue[Request] = RemovableQueue()
        self.blocked_ns = 0  # since when no upstream has been available to the queue

    def admits(self, entry: api.Upstream) -> bool:
        return (self.zones is None or entry.zone in self.zones) and (self.kinds is None or entry.kind in self.kinds)

    def draws_from(self, server: Server) -> bool:
        """Whether the pool currently draws from this upstream."""
        return self.in_subset(server) or server in self.candidates[self.subset_size : self.draw_size]


class Fleet:
    """Upstream membership, cold starts, health, and the choice of an upstream."""

    def __init__(self, settings: api.Settings, load_model: LoadModel, rng: random.Random) -> None:
        self.settings = settings
        self.load_model = load_model
        self.rng = rng
        self.servers: dict[int, Server] = {}
        # With fewer proxies than zones, the zones without a proxy would stay idle.
        self.home_in_zone = settings.prices.connection > 0 < settings.prices.cross_zone and max(
            1, settings.replicas_of_me
        ) >= len(settings.zones)
        self.pools: dict[tuple[frozenset[str] | None, frozenset[str] | None], Pool] = {}
        self.default_pool = self.pool_for(api.RequestClass(""))
        for cls in settings.classes.values():
            self.pool_for(cls)
        self.uses_probes = (
            settings.limits.probes
            and "inflight" in settings.report_columns
            and settings.prices.probe * (PROBES + 1) <= MAX_PROBE_PRICE
        )
        # Where probes cost too much, proxies that share an upstream report their load there to each other.
        self.may_report = (
            not self.uses_probes
            and settings.limits.peers
            and len(self.pools) == 1
            and self.default_pool.zones is None
            and not self.home_in_zone
        )
        self.uses_peers = False
        longest = max(
            (c.limit_ns if c.late_worth or c.stream else c.aim_ns for c in settings.classes.values()), default=SECOND
        )
        self.unknown_latency_ns = min((c.aim_ns for c in settings.classes.values()), default=SECOND) // 3
        self.report_ttl_ns = longest + SECOND // 20  # by then each reported request has ended and that is reported
        self.idle_weights: dict[str, float] = {}  # kind -> largest weight seen, which is that of an idle upstream
        self.placement_version = 0  # counts the changes of the homes
        self.leaving: dict[int, Server] = {}  # removed from the list while attempts may be in flight there
        self.backed_off: dict[int, Server] = {}  # upstreams in backoff; may include some whose backoff is over
        self.recent_attempts = self.recent_resets = 0.0  # sums over all upstreams, see Server

    def pool_for(self, cls: api.RequestClass) -> Pool:
        placement = (cls.zones, cls.kinds)
        if placement not in self.pools:
            self.pools[placement] = Pool(self.settings.me, *placement)
        return self.pools[placement]

    def apply_list(self, update: api.ListUpdate, now: int) -> None:
        """Apply a list update; the work for a delta grows with its entries, not with the fleet."""
        changed, started = False, []
        if update.kind is not api.ListKind.DELTA:
            listed = {e.id for e in update.upstreams}
            for missing in [server for server in self.servers.values() if server.id not in listed]:
                changed |= self._set_entry(missing, missing.entry._replace(state=api.State.GONE))
        for entry in update.upstreams:
            server = self.servers.get(entry.id)
            if server is None:
                server = self.servers[entry.id] = Server(entry.id, entry)
                changed |= self._set_entry(server, entry)
                started.append(server)
            else:
                if entry.started_ns != server.entry.started_ns:
                    started.append(server)
                changed |= self._update_entry(server, entry)
            if self.settings.weights is api.Weights.LIVE and 0 < entry.weight < LOAD_MAX:
                # A live weight is size / (1 + requests per core): it carries the load from all proxies.
                size = self.idle_weights[entry.kind] = max(self.idle_weights.get(entry.kind, 0.0), entry.weight)
                server.record_load(size / entry.weight - 1, now)
        self._remove_gone()
        if changed:  # otherwise only weights did, which happens all the time
            self.placement_version += 1
            for pool in self.pools.values():
                self._compute_home(pool)
        for server in started if not self.uses_probes else ():
            # All proxies learn of a cold upstream at the same time: their first requests must not arrive together.
            if self.is_cold(server, now) and server.entry.state is api.State.READY:
                self.pause_until(server, now + int(self.cold_interval_ns(server, now) * self.rng.random()))

    def _update_entry(self, server: Server, entry: api.Upstream) -> bool:
        """Apply an entry of a known upstream; returns whether a pool changed."""
        old = server.entry
        if entry.started_ns != old.started_ns:
            server.failure_streak = server.backoff_until_ns = server.peer_backoff_until_ns = 0
        if entry.state is not old.state or entry.zone != old.zone or entry.kind != old.kind:
            return self._set_entry(server, entry)
        server.entry = entry  # the usual case in a full list
        return False

    def _set_entry(self, server: Server, entry: api.Upstream) -> bool:
        """Set the entry of an upstream and update the pools; returns whether a pool changed."""
        server.entry, changed = entry, False
        if entry.state is api.State.GONE:
            self.leaving[server.id] = server
        else:
            self.leaving.pop(server.id, None)
        near = not self.home_in_zone or entry.zone == self.settings.zone
        for pool in self.pools.values():
            admitted = entry.state is api.State.READY and pool.admits(entry)
            changed |= pool.put(server, admitted, near)
        return changed

    def _remove_gone(self) -> None:
        """Drop upstreams that are gone and have no attempt in flight, or memory would grow as lists change."""
        for server in [s for s in self.leaving.values() if not s.inflight]:
            del self.leaving[server.id], self.servers[server.id]

    def _compute_home(self, pool: Pool) -> None:
        """Extension: compute the home, this proxy's section of a ring that all proxies compute alike.
        With few proxies per upstream, a proxy's own requests in flight are informative. Other upstreams follow in an
        order of its own. If connections have a price the home is small, and in its zone if crossing has one too."""
        me, prices = self.settings.me, self.settings.prices
        proxies = max(1, self.settings.replicas_of_me)
        near, ready, first = pool.near_count, len(pool), me * pool.near_count // proxies
        if near < ready or pool.zones is not None:
            # The proxies of the zone are not known: golden-ratio steps spread any subset of them evenly.
            proxies, first = max(1, proxies // max(1, len(self.settings.zones))), int(me * GOLDEN_RATIO % 1 * near)
        least = MIN_HOME if prices.connection > 0 else max(HOME_SIZES[0], min(HOME_SIZES[1], OVERLAP * near // proxies))
        pool.set_subset(first, ready if self.uses_probes else min(near, max(least, -(-near // proxies))))
        pool.draw_size = pool.subset_size
        pool.overlap = proxies * pool.subset_size / near if near else 1.0
        self.uses_peers = self.may_report and proxies > 1 and message_cost(pool.overlap, prices.peer) <= MAX_PEER_PRICE

    def refresh_placement(self, s: Server) -> Server:
        """Return the upstream with `in_own_home`, `overlap` and `peers` up to date."""
        if s.placed_version != self.placement_version:
            overlaps = [p.overlap for p in self.pools.values() if p.in_subset(s)]
            s.placed_version, s.in_own_home, s.overlap = self.placement_version, bool(overlaps), max([1.0, *overlaps])
            index, config = self.default_pool.position(s) if self.uses_peers else None, self.settings
            s.peers = (
                ()
                if index is None
                else peers_sharing(
                    index, self.default_pool.near_count, self.default_pool.subset_size, config.replicas_of_me, config.me
                )
            )
        return s

    def record_peer_report(self, peer: int, report: PeerReport, now: int) -> Server | None:
        """Record a peer's report on a listed upstream; returns the upstream if this proxy now backs off from it."""
        server = self.servers.get(report.upstream)
        if server is None:
            return None
        if server.peer_load is None:
            server.peer_load = PeerLoad(self.report_ttl_ns)
        if not server.peer_load.update(peer, report, now):
            return None
        if report.last_ok and not report.avoid_ns:
            server.failure_streak = server.peer_backoff_until_ns = 0  # one success ends the backoff at all proxies
        if now + report.avoid_ns <= server.free_ns() or not report.avoid_ns or not self._can_spare(server, now):
            return None
        # Count it as a failure here too, or each proxy in turn would begin with the shortest backoff.
        server.failure_streak = max(1, server.failure_streak) if server.free_ns() > now else server.failure_streak + 1
        server.peer_backoff_until_ns, self.backed_off[server.id] = now + report.avoid_ns, server
        return server

    def is_cold(self, server: Server, now: int) -> bool:
        """Whether the upstream started so recently that it lacks part of its capacity."""
        return bool(server.entry.started_ns) and now - server.entry.started_ns < self.settings.rules.cold_ns

    def warm_share(self, server: Server, now: int) -> float:
        """The smallest share of its capacity that it may have by now."""
        if not self.is_cold(server, now):
            return 1.0
        rules = self.settings.rules
        return rules.cold_from + (1 - rules.cold_from) * (now - server.entry.started_ns) / rules.cold_ns

    def slowness(self, server: Server, now: int) -> float:
        """Its latency relative to the fleet's; with peer reports, for a cold one at least what its warm-up implies."""
        return max(server.latency_ratio, 1 / self.warm_share(server, now)) if self.uses_peers else server.latency_ratio

    def cold_interval_ns(self, server: Server, now: int) -> int:
        """Rule 4: the minimum time between sends to a cold upstream, so that all proxies that share it, together,
        stay within what it can take now. A warm one takes one request per `per_request_ns`."""
        rules, warm = self.settings.rules, self.warm_share(server, now)
        per_request = self.load_model.per_request_ns
        if not self.uses_probes and self.load_model.sums[0] < MIN_SAMPLES:
            per_request = max(per_request, self.unknown_latency_ns)  # a new proxy has no latency samples yet
        capacity = SECOND / per_request / self.refresh_placement(server).overlap
        return int(SECOND / (COLD_BUDGET_SHARE * rules.fall_multiple * warm * capacity))

    def concurrency_limit(self, server: Server, now: int) -> int:
        if not self.refresh_placement(server).in_own_home:  # other proxies fill it: own counts say little
            return int(not server.failure_streak and not self.is_cold(server, now))
        if server.failure_streak:
            return 1
        return self.load_model.limit

    def is_available(self, s: Server, now: int) -> bool:
        if s.entry.state is not api.State.READY or now < s.backoff_until_ns or now < s.peer_backoff_until_ns:
            return False
        if s.peer_load is not None and (s.failure_streak or s.peer_backoff_until_ns) and s.peer_load.in_flight(now):
            return False  # another proxy is already trying it
        return s.inflight < self.concurrency_limit(s, now)

    def back_off(self, server: Server, now: int, base_ns: float) -> None:
        """Back off from a failing upstream, longer each time, unless too few would be left."""
        if server.backoff_until_ns > now:
            return  # attempts in flight during one stall fail together: count them once
        server.failure_streak += 1
        if self._can_spare(server, now):
            length_ns = min(base_ns * 2 ** min(server.failure_streak - 1, 5), MAX_BACKOFF_NS)
            self.pause_until(server, now + int(length_ns * self.rng.uniform(0.75, 1.25)))

    def _can_spare(self, server: Server, now: int) -> bool:
        self.backed_off = {o.id: o for o in self.backed_off.values() if o.free_ns() > now}
        return all(
            sum(p.draws_from(o) for o in self.backed_off.values()) < 0.7 * p.draw_size
            for p in self.pools.values()
            if p.draws_from(server)
        )

    def pause_until(self, server: Server, until_ns: int) -> None:
        server.backoff_until_ns, self.backed_off[server.id] = until_ns, server

    def record_end(self, server: Server, was_reset: bool) -> bool:
        """Record that an attempt ended; returns whether its reset is the fault of this upstream.
        Resets at all upstreams alike (a bad network, a box in between, a close that crosses a request) say nothing of
        one of them: backing off would take most of a healthy fleet out of use by chance. The same goes for deploys that
        reset what is open, and any reset that a retry would not meet. Drawback: during widespread resets, an upstream
        that accepts and then resets everything is left after a few attempts only; a dead one refuses, and is left at
        once."""
        server.recent_attempts += 1
        self.recent_attempts += 1
        server.reset_streak = server.reset_streak + 1 if was_reset else 0
        server.recent_resets += was_reset
        self.recent_resets += was_reset
        others = (self.recent_resets - server.recent_resets) / max(1.0, self.recent_attempts - server.recent_attempts)
        return was_reset and min(others, MAX_COMMON_RESET_SHARE) ** server.reset_streak <= MAX_CHANCE_OF_RESETS

    def decay_reset_counts(self) -> None:
        """Decay the reset counts."""
        self.recent_attempts = self.recent_resets = 0.0
        for server in self.servers.values():
            server.recent_attempts *= RESET_DECAY
            server.recent_resets *= RESET_DECAY
            self.recent_attempts += server.recent_attempts
            self.recent_resets += server.recent_resets

    def average_load(self, now: int) -> float | None:
        """Mean requests at an upstream, by the last reports; None if nothing is known."""
        if self.uses_peers:  # over the upstreams that it draws from, without those in backoff
            loads = [s.estimated_load(now) for s in self.default_pool.candidates[:MAX_SCAN] if now >= s.free_ns()]
        else:
            loads = [s.last_load for s in self.servers.values() if s.entry.state is api.State.READY and s.is_fresh(now)]
        return sum(loads) / len(loads) if loads else None

    def draw(self, pool: Pool, count: int, now: int) -> list[Server]:
        """`count` random draws among the available upstreams within reach, and the previous pick."""
        n, rand = pool.draw_size, self.rng.random
        members = pool.candidates[:n] if n <= MAX_SCAN else [pool.candidates[int(rand() * n)] for _ in range(MAX_SCAN)]
        available = [s for s in members if self.is_available(s, now)]
        drawn = [available[int(rand() * len(available))] for _ in range(count)] if available else []
        if pool.last_pick is not None and self.is_available(pool.last_pick, now) and pool.draws_from(pool.last_pick):
            drawn.append(pool.last_pick)
        return drawn

    def pick(self, pool: Pool, now: int, allowed: Iterable[Server] | None = None) -> Server | None:
        """The least loaded of two random draws and the previous pick, by requests and relative latency."""
        if self.uses_peers:
            # The load from all proxies is known: take the least loaded within reach, at random among similar ones.
            candidates = pool.candidates[: pool.draw_size] if allowed is None else allowed
            drawn, noise = [s for s in candidates if self.is_available(s, now)][:MAX_SCAN], PICK_JITTER
        else:
            drawn = (
                self.draw(pool, DRAWS, now) if allowed is None else [s for s in allowed if self.is_available(s, now)]
            )
            noise = 0.0

        def weight(s: Server) -> float:
            return (s.estimated_load(now) + 1) * self.slowness(s, now) * (1 + (noise and noise * self.rng.random()))

        pool.last_pick = min(drawn, key=weight, default=pool.last_pick)
        return pool.last_pick if drawn else None


class LoadModel:
    """Learns the latency of requests and the concurrency limit: how many in flight raise an upstream's throughput.
    Extension: it measures the throughput of upstreams that hold k of this proxy's requests. If k give no more than
    k - 1, the upstream is saturated and requests had better wait in the queue (6.1)."""

    def __init__(self) -> None:
        self.limit = 1
        self.raised_ns = 0
        self.sums = [0.0] * 5
        self.base_ns = 0.0  # latency at an idle upstream
        self.per_request_ns = SECOND / 50  # additional latency per request at the upstream
        self.mean_ns = SECOND / 20  # mean latency over all classes
        self.class_latency: dict[str, float] = {}  # class -> latency; "" -> latency per hinted cost
        self.deviation = 0.5  # mean deviation from the expected latency, relative
        self.busy_s = [0.0] * (LIMIT_MAX + 2)  # seconds for which upstreams held k requests of this proxy
        self.completed = [0.0] * (LIMIT_MAX + 2)  # and requests that completed meanwhile

    def expected_ns(self, request: Request) -> float:
        if request.cost_hint_ns:
            return self.class_latency.get("", 1.0) * request.cost_hint_ns
        return self.class_latency.get(request.cls.name, request.cls.aim_ns / 8)

    def record_latency(self, request: Request, attempt: Attempt, took_ns: int) -> None:
        server = attempt.server
        name, base = ("", float(request.cost_hint_ns)) if request.cost_hint_ns else (request.cls.name, 1.0)
        old = self.class_latency.get(name)
        self.class_latency[name] = took_ns / base if old is None else old + 0.05 * (min(took_ns / base, 8 * old) - old)
        self.record_sample(attempt, took_ns)
        self.mean_ns += 0.05 * (min(took_ns, 8 * self.mean_ns) - self.mean_ns)
        ratio = took_ns / max(1.0, self.expected_ns(request))
        self.deviation += 0.05 * (min(3.0, abs(ratio / server.latency_ratio - 1)) - self.deviation)
        server.latency_ratio += 0.2 * (min(10.0, max(0.1, ratio)) - server.latency_ratio)

    def record_sample(self, attempt: Attempt, took_ns: float) -> None:
        """Fit took = base_ns + per_request_ns * load by least squares.
        If the load hardly varies, all is attributed to `per_request_ns`, as if only waiting took time."""
        for i, x in enumerate((1.0, attempt.load, took_ns, attempt.load * attempt.load, attempt.load * took_ns)):
            self.sums[i] = LATENCY_DECAY * self.sums[i] + x
        count, mean_held, mean_took = self.sums[0], self.sums[1] / self.sums[0], self.sums[2] / self.sums[0]
        variance, covariance = self.sums[3] / count - mean_held**2, self.sums[4] / count - mean_held * mean_took
        ratio = max(1.0, mean_took / mean_held)
        self.per_request_ns = min(ratio, max(ratio / 10, (covariance + ratio) / (variance + 1)))
        self.base_ns = max(0.0, mean_took - self.per_request_ns * mean_held)

    def latency(self, load: float) -> float:
        """The latency of a request at an upstream that holds so many, this one included."""
        return self.base_ns + self.per_request_ns * load

    def record_busy_time(self, server: Server, now: int) -> None:
        """Add up the time for which an upstream held its current number; call before that number changes."""
        if server.inflight and server.in_own_home:
            self.busy_s[min(server.inflight, LIMIT_MAX + 1)] += (now - server.inflight_since_ns) / SECOND
        server.inflight_since_ns = now

    def has_evidence(self, k: int) -> bool:
        """Whether upstreams held k for long enough that enough requests should have completed."""
        return self.completed[1] >= MIN_SAMPLES and (
            k == 1 or self.busy_s[k] * self.completed[k - 1] >= 4 * MIN_SAMPLES * self.busy_s[k - 1]
        )

    def throughput(self, k: int) -> float:
        # If the clock does not advance between batches, no time is counted: avoid dividing by 0.
        return self.completed[k] / max(1e-3, self.busy_s[k]) if self.completed[k] >= MIN_SAMPLES else 0.0

    def raise_limit(self, now: int) -> bool:
        """Raise the limit by one since the queue waits, unless that is known not to help."""
        k = self.limit
        # Requests just sent complete less often than older ones: wait until the first have completed.
        if k >= LIMIT_MAX or now - self.raised_ns < 3 * self.mean_ns or not self.has_evidence(k):
            return False
        best = max((self.throughput(j) for j in range(1, k)), default=0.0)
        if self.throughput(k) < MIN_GAIN * best or (
            self.has_evidence(k + 1) and self.throughput(k + 1) < MIN_GAIN * self.throughput(k)
        ):
            return False
        self.limit, self.raised_ns = k + 1, now
        return True

    def decay(self) -> None:
        """Decay old measurements and go back to the lowest limit with the same throughput."""
        for k in range(1, LIMIT_MAX + 2):
            self.busy_s[k] *= CONCURRENCY_DECAY
            self.completed[k] *= CONCURRENCY_DECAY
        if not self.has_evidence(self.limit):
            return
        # The few samples at the limit may be low by chance: allow one standard deviation.
        threshold = self.throughput(self.limit) * (1 + max(1.0, self.completed[self.limit]) ** -0.5)
        self.limit = next(k for k in range(1, self.limit + 1) if k == self.limit or self.throughput(k) > threshold)


Due = tuple[str, Request | Throttle | None, int]


class Balancer:
    """The decisions of one proxy. Pass events to `handle` and carry out the actions that it returns, in order."""

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        tenants = settings.tenants or {"": api.Tenant("")}
        self.throttles = {name: Throttle(max(1e-6, t.share), self.rng, now) for name, t in tenants.items()}
        self.rate = AdmissionRate(list(self.throttles.values()), now)
        self.load_model = LoadModel()
        self.fleet = Fleet(settings, self.load_model, self.rng)
        self.requests: dict[str, Request] = {}
        self.timers: Timers[Due] = Timers()
        self.timer_due_ns = self.timer_number = 0  # the timer that was requested last: when it is due, and its number
        self.list_failures = 0
        self.actions: list[api.Action] = []
        self.refusals: Counter[str] = Counter()  # requests that were not served, by reason
        self.changed_servers: dict[int, Server] = {}  # upstreams whose load changed since the last report to peers
        self.last_feedback_ns = now
        self.shortest_aim_ns = min((c.aim_ns for c in settings.classes.values()), default=SECOND)
        self.subscribed = settings.discovery_push
        if not self.subscribed:
            self._set_timer(now + int(self.rng.random() * settings.rules.ask_within_ns / 4), "subscribe")

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Process a batch of events and the timers that are due; returns the actions to carry out."""
        self.actions = []
        if now - (self.timers.next_ns() or now) > STALL_NS:
            self._after_stall(now)
        for event in events:
            if type(event) is api.Arrival:
                self._on_arrival(event, now)
            elif type(event) is api.Outcome:
                self._on_outcome(event, now)
            elif type(event) is api.ClientGone and event.request in self.requests:
                self._end(self.requests[event.request], now)
            elif type(event) is api.ListUpdate:
                self._on_list_update(event, now)
            elif type(event) is api.ProbeResult:
                self._on_probe_result(event, now)
            elif type(event) is api.PeerMessage:
                self._on_peer_message(event, now)
            elif type(event) is api.ResponseStarted:
                self._on_answer_begun(event, now)
            elif type(event) is api.Resync:
                self._recover(event.requests, now)
            elif type(event) is api.TimerFired and event.name == str(self.timer_number):
                self.timer_due_ns = 0  # match by name, not by time: a timer may fire a little early
        for kind, subject, number in self.timers.pop_due(now):
            self._on_timer(kind, subject, number, now)
        for pool in self.fleet.pools.values():
            self._dispatch(pool, now)
        if now - self.last_feedback_ns >= FEEDBACK_INTERVAL_NS:
            self._feedback(now)
        if self.changed_servers:
            self._report_to_peers(now)
        due = self.timers.next_ns()
        if due is not None and (not self.timer_due_ns or due < self.timer_due_ns):
            self.timer_due_ns = due
            self.timer_number += 1
            self.actions.append(api.SetTimer(max(1, self.timer_due_ns - now), str(self.timer_number)))
        return self.actions

    def avoided(self, now: int) -> int:
        """Ready upstreams in backoff after failures here or at a peer; cold ones that are only paced do not count."""
        return sum(
            s.entry.state is api.State.READY and s.failure_streak > 0 and s.free_ns() > now
            for s in self.fleet.backed_off.values()
        )

    def standing(self, now: int) -> dict[str, object]:
        """State for diagnostics: R and its inputs, queue and concurrency, backoffs, and refusals by reason."""
        rate, fleet = self.rate, self.fleet
        return {
            "rate": rate.value,
            "failed": rate.failed_rate,
            "sent": rate.ended_rate,
            "served": rate.served_rate,
            "open": len(self.requests),
            "line": sum(len(p.queue) for p in fleet.pools.values()),
            "limit": self.load_model.limit,
            "base_ns": self.load_model.base_ns,
            "each_ns": self.load_model.per_request_ns,
            "load": fleet.average_load(now),
            "resting": sum(s.free_ns() > now for s in fleet.backed_off.values()),
            "refused": dict(self.refusals),
            "tenants": {n: [t.rate, t.counter - t.hold_capacity, t.demand] for n, t in self.throttles.items()},
        }

    def _recover(self, open_requests: Mapping[str, api.HeldRequest], now: int) -> None:
        """Resynchronize with the requests that the proxy really holds, after an exception lost a batch.
        Without it, lost sends would count as in flight for ever, requests would end only at their deadline, and no
        timer would fire again."""
        self.timer_due_ns = 0  # its SetTimer action may have been lost
        for server in self.fleet.servers.values():
            server.inflight = 0
        for pool in self.fleet.pools.values():
            pool.queue = RemovableQueue()
        for t in self.throttles.values():
            for r in [r for r in t.held if r.id not in open_requests or r.waiting_in != "held"]:
                t.remove(r)
        known, self.requests = self.requests, {}
        for r in known.values():
            self._cancel_timer(r.give_up_timer)
            state = open_requests.get(r.id) if not r.ended else None
            for a in [a for a in r.attempts if a.result is None]:
                if state is not None and state.in_flight and a is r.attempts[: state.sends][-1]:
                    a.server.inflight += not r.answer_begun_ns
                else:
                    a.record_result(api.Result.CANCELLED, self.settings.rules)
                    self._cancel_timer(a.overdue_timer)
            if state is not None:
                del r.attempts[state.sends :]  # the others were never sent
                self.requests[r.id] = r
        for name in [name for name in open_requests if name not in self.requests]:
            self.actions.append(api.Fail(name) if open_requests[name].sends else api.Refuse(name))
        for r in list(self.requests.values()):
            self._requeue(r, now)

    def _requeue(self, request: Request, now: int) -> None:
        was_held, request.waiting_in = request in request.throttle.held, ""
        if request.in_flight or request.answer_begun_ns:
            return
        if request.attempts:
            self._retry_or_refuse(request, now)
            return
        request.give_up_timer = self._set_timer(request.give_up_ns, "give up", request)
        if was_held:
            request.waiting_in = "held"
        else:
            request.pool.queue.append(request)
            self._await_upstream(request, now)

    def _after_stall(self, now: int) -> None:
        """Discount the open requests after this process was stalled, as its late timers show.
        If the process is stopped for a while (CPU quota used up, machine paused or swapping), it must not blame the
        upstreams for its own delay: it would back off from them, take them for slow, refuse requests and lower R.
        Drawback: an upstream that stalled at the same time is noticed one attempt later."""
        for r in self.requests.values():
            r.stalled = r.delayed = True
        for server in self.fleet.servers.values():
            server.inflight_since_ns = now  # the stall must not count as time in which nothing completed

    def _set_timer(self, at: int, kind: str, subject: Request | Throttle | None = None, number: int = 0) -> Timer[Due]:
        return self.timers.set(at, (kind, subject, number))

    def _cancel_timer(self, timer: Timer[Due] | None) -> None:
        if timer is not None:
            self.timers.cancel(timer)

    def _on_arrival(self, event: api.Arrival, now: int) -> None:
        if event.request in self.requests:
            return  # ids are never reused: keep the first one
        throttle = self.throttles.get(event.tenant) or next(iter(self.throttles.values()))
        cls = self.settings.classes.get(event.class_name) or api.RequestClass(event.class_name, api.Effect.UNSAFE)
        aim = min(now + cls.aim_ns, event.deadline_ns)
        waited = (1 - RETRY_AIM_LEFT) * cls.aim_ns if event.retry and not cls.late_worth else 0.0
        request = Request(
            event.request, cls, self.fleet.pool_for(cls), throttle, event.deadline_ns, aim, event.cost_hint_ns, waited
        )
        if not self.requests:
            self.rate.start_interval_if_idle(now)
        self.requests[request.id] = request
        needed_ns = self.load_model.expected_ns(request) * (1 + self.load_model.deviation)
        request.give_up_ns = max(request.aim_ns - int(needed_ns), now + (request.deadline_ns - now) // 4)
        request.give_up_timer = self._set_timer(request.give_up_ns, "give up", request)  # no request waits past it
        # Marked retries only take spare tokens, so that they cannot starve first tries.
        admitted = throttle.take_spare(now) if event.retry else throttle.offer(request, now)
        if admitted is False:
            self._refuse(request, now, "second try" if event.retry else "rate")
        elif admitted is None:
            request.waiting_in = "held"
            self._release(throttle, now)
        else:
            self._admit(request, now)

    def _admit(self, request: Request, now: int) -> None:
        request.waiting_in = ""
        request.delayed = request.stalled or 2 * (request.aim_ns - now) < request.cls.aim_ns
        # A class with much time must not make the queue too long for classes with little.
        spare = min(request.give_up_ns - now, self.shortest_aim_ns)
        if request.pool.blocked_ns and len(request.pool.queue) * SECOND > self.rate.served_rate * spare * QUEUE_SHARE:
            self.rate.unplaced += not request.delayed  # the queue is too long: refuse at once
            self._refuse(request, now, "line")
            return
        request.pool.queue.append(request)
        self._await_upstream(request, now)

    def _await_upstream(self, request: Request, now: int) -> None:
        """Mark a request as queued and, where probes are used, probe upstreams for it."""
        request.waiting_in = "line"
        if self.fleet.uses_probes:
            # With many proxies own counts say little: probe the drawn upstreams while the request waits.
            request.probed, request.probed_ns = list(dict.fromkeys(self.fleet.draw(request.pool, PROBES, now))), now
            for server in request.probed:
                if now - max(server.reported_ns, server.probed_ns) >= PROBE_REUSE_NS:
                    server.probed_ns = now
                    self.actions.append(api.Probe(server.id))
            self._set_timer(now + PROBE_WAIT_NS, "look", request)

    def _on_probe_result(self, event: api.ProbeResult, now: int) -> None:
        server = self.fleet.servers.get(event.upstream)
        if server is not None and event.report is not None:
            server.record_load(event.report.get("inflight"), now)
        elif server is not None and event.result is api.Result.RESET and server.probe_reset_ns < server.probed_ns:
            # Repeat a reset probe once, or its request waits in vain. Drawback: one extra if an upstream resets all.
            server.probe_reset_ns = now
            self.actions.append(api.Probe(server.id))

    def _on_peer_message(self, event: api.PeerMessage, now: int) -> None:
        for report in read_reports(event.data) if self.fleet.uses_peers else ():
            server = self.fleet.record_peer_report(event.sender, report, now)
            if server is not None:
                self._set_timer(server.peer_backoff_until_ns, "pump")

    def _mark_changed(self, server: Server) -> None:
        """Mark that the number in flight there has changed, for the next report to the peers that share it."""
        if self.fleet.uses_peers:
            self.changed_servers[server.id] = server

    def _report_to_peers(self, now: int) -> None:
        """Report this proxy's load at the changed upstreams to the peers that share them, in one message each."""
        reports: dict[int, list[bytes]] = {}
        for s in self.changed_servers.values():
            peers = self.fleet.refresh_placement(s).peers if s.id <= MAX_ID else ()
            if peers:
                s.sequence += 1
                data = PeerReport(
                    s.id, s.sequence, s.inflight, s.backoff_until_ns - now if s.failure_streak else 0, s.last_served
                ).encode()
                for peer in peers:
                    reports.setdefault(peer, []).append(data)
        self.changed_servers.clear()
        self.actions += [api.SendToPeer(data, peer) for peer, data in datagrams(reports)]

    def _on_outcome(self, event: api.Outcome, now: int) -> None:
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return  # ended long ago, or never sent: ignore it
        attempt = request.attempts[event.attempt]
        server = attempt.server  # one whose answer is streamed may have left the list meanwhile
        if attempt.result is not None or server.id != event.upstream:
            return
        attempt.record_result(event.result, self.settings.rules)
        self._cancel_timer(attempt.overdue_timer)
        if request.answer_begun_ns:  # everything else was recorded when the answer began
            if event.result is api.Result.TIMEOUT:  # the upstream hangs in the middle of its answer
                server.last_served = False
                self._back_off(server, now, self._backoff_ns(attempt))
            self._end(request, now)
            return
        server.last_served = event.result is api.Result.OK
        self.load_model.record_busy_time(self.fleet.refresh_placement(server), now)
        if event.report and "inflight" in event.report:
            server.record_load(event.report["inflight"] + 1, now)  # this request is subtracted below
        at_fault = event.result not in UNINFORMATIVE and self.fleet.record_end(server, event.result is api.Result.RESET)
        if event.result is api.Result.OK:
            self._record_served(request, attempt, event.took_ns, now)
        elif event.result is api.Result.RESET:
            # Fewer requests do not prevent random resets: they do not count against R.
            self.rate.successes += not at_fault
            self.rate.failures[server.id] += at_fault
            if at_fault:
                self._back_off(server, now, SECOND / 4)
        elif event.result in OVERLOAD_RESULTS and not (request.stalled and event.result is api.Result.TIMEOUT):
            self.rate.failures[server.id] += event.result is not api.Result.TIMEOUT or not request.delayed
            if event.result is api.Result.TIMEOUT:
                # It would have taken longer: a truncated latency must not flatten the fitted slope.
                self.load_model.record_sample(attempt, max(1.3 * event.took_ns, self.load_model.latency(attempt.load)))
            busy = event.result in (api.Result.FULL, api.Result.TIMEOUT)
            self._back_off(server, now, self._backoff_ns(attempt) if busy else SECOND / 4)
        else:
            self.rate.successes += event.result is api.Result.ERROR
        self._request_left(server)
        if event.complete:
            self._end(request, now)
        elif not request.ended and not request.in_flight:
            self._retry_or_refuse(request, now)
        if request.ended and not request.in_flight:
            self.requests.pop(request.id, None)

    def _on_answer_begun(self, event: api.ResponseStarted, now: int) -> None:
        """A streamed answer has begun: its upstream has done the work and can take another request.
        Otherwise clients that read an answer for seconds filled the concurrency limit of all upstreams, and half of
        all requests were refused. Drawback: the upstream's small cost of sending the answer is not counted."""
        request = self.requests.get(event.request)
        if (
            request is None
            or request.answer_begun_ns
            or not 0 <= event.attempt < len(request.attempts)
            or request.attempts[event.attempt].result is not None
        ):
            return
        attempt = request.attempts[event.attempt]
        self._cancel_timer(attempt.overdue_timer)
        self.load_model.record_busy_time(self.fleet.refresh_placement(attempt.server), now)
        self._record_served(request, attempt, event.took_ns, now)
        self._request_left(attempt.server)
        request.answer_begun_ns, attempt.server.last_served = now, True

    def _record_served(self, request: Request, attempt: Attempt, took_ns: int, now: int) -> None:
        if not request.stalled:
            self.load_model.record_latency(request, attempt, took_ns)
        if attempt.server.in_own_home:
            self.load_model.completed[min(attempt.server.inflight, LIMIT_MAX + 1)] += 1
        self.rate.successes += now <= request.aim_ns
        self.rate.failures[attempt.server.id] += now > request.aim_ns and not request.delayed  # first sign of overload
        if attempt.server.failure_streak:
            attempt.server.failure_streak = attempt.server.backoff_until_ns = 0

    def _request_left(self, server: Server) -> None:
        server.inflight -= 1
        self._mark_changed(server)
        server.last_load = max(0.0, server.last_load - 1)

    def _backoff_ns(self, attempt: Attempt) -> float:
        """The backoff from an upstream that did not answer this attempt in time.
        Without a cap, one far too heavy request, retried by its client, blocked upstream after upstream for as long as
        it would have run. Drawback: if it runs on after the cut, the next one there fails and the backoff doubles."""
        return min(attempt.expected_ns, self.shortest_aim_ns)

    def _back_off(self, server: Server, now: int, base_ns: float) -> None:
        self.fleet.back_off(server, now, base_ns)
        self._set_timer(server.backoff_until_ns, "pump")  # then the queue has another upstream to use

    def _retry_or_refuse(self, request: Request, now: int) -> None:
        """Queue another attempt, or give the final answer: nothing is in flight and nothing was served."""
        if (
            request.attempts
            and any(
                request.may_send(s, now, self.settings.limits)
                for s in self._retry_targets(request) or request.pool.candidates[:1]
            )
            and now < request.give_up_ns
        ):
            request.pool.queue.appendleft(request)
            request.give_up_timer = self._set_timer(request.give_up_ns, "give up", request)
            self._await_upstream(request, now)
        else:
            self._refuse(request, now, "tried")

    def _retry_targets(self, request: Request) -> list[Server] | None:
        """The upstreams to which a request that may have run may be sent again; None: any."""
        first = next((a for a in request.attempts if a.may_have_run), None)
        if first is None or request.cls.effect is api.Effect.SAFE or request.cls.scope is api.Scope.ALL:
            return None
        return [s for s in request.pool.all() if request._same_group(s, first.server)]

    def _refuse(self, request: Request, now: int, reason: str) -> None:
        """Give the final answer of a request that is not served: refused if a retry is harmless, otherwise failed."""
        self.refusals[reason] += 1
        if request.may_refuse():
            retry_after_ns = self.rng.uniform(0.25, 1.0) * min(self.settings.limits.max_retry_after_ns, SECOND)
            self.actions.append(api.Refuse(request.id, int(retry_after_ns) if self.settings.limits.retry_after else 0))
        else:
            self.actions.append(api.Fail(request.id))
        self._end(request, now)

    def _end(self, request: Request, now: int) -> None:
        if request.waiting_in == "held":
            request.throttle.remove(request)
        elif request.waiting_in == "line":
            request.pool.queue.remove(request)
        request.waiting_in = ""
        request.ended = True
        self._cancel_timer(request.give_up_timer)
        if self.settings.limits.may_cancel:
            for i, a in enumerate(request.attempts):
                if a.result is None:
                    self.actions.append(api.Cancel(request.id, i))
        if not request.in_flight:
            self.requests.pop(request.id, None)

    def _on_list_update(self, event: api.ListUpdate, now: int) -> None:
        if event.kind is api.ListKind.FAILED:
            # Backoff with jitter, so that the load on discovery does not grow with the fleet.
            self.subscribed = False
            self.list_failures += 1
            wait_ns = SECOND * min(8.0, 2.0 ** (self.list_failures - 1)) * self.rng.uniform(0.5, 1.5)
            self._set_timer(now + int(min(wait_ns, self.settings.rules.ask_within_ns * 0.8)), "subscribe")
        else:
            self.list_failures = self.list_failures if event.kind is api.ListKind.CACHED else 0
            self.fleet.apply_list(event, now)

    def _on_timer(self, kind: str, subject: Request | Throttle | None, number: int, now: int) -> None:
        if isinstance(subject, Request):
            if kind == "give up" and subject.waiting_in and now >= subject.give_up_ns:
                self.rate.unplaced += subject.waiting_in == "line" and not subject.delayed
                self._refuse(subject, now, "waited")
            elif kind == "overdue":
                self._on_overdue(subject, number, now)
        elif kind == "subscribe" and not self.subscribed:
            self.subscribed = True
            self.actions.append(api.Subscribe(True))
        elif isinstance(subject, Throttle):
            subject.timer_set = False
            self._release(subject, now)

    def _release(self, throttle: Throttle, now: int) -> None:
        for request in throttle.release(now):
            self._admit(request, now)
        if throttle.held and not throttle.timer_set:
            throttle.timer_set = True
            self._set_timer(now + int((1 - throttle.partial_token) / throttle.rate * SECOND) + 1, "token", throttle)

    def _on_overdue(self, request: Request, number: int, now: int) -> None:
        """Handle an attempt that takes longer than expected: its upstream may be stalled."""
        attempt = request.attempts[number]
        if attempt.result is not None:
            return
        if request.stalled or request.answer_begun_ns:
            return  # the answer may be waiting unread after the stall, or is being streamed
        self._back_off(attempt.server, now, self._backoff_ns(attempt))
        # Without cancellation the first attempt runs on, and a hedged copy would only add load.
        if request.pool.queue or now + attempt.expected_ns > request.aim_ns or not self.settings.limits.may_cancel:
            return
        server = self.fleet.pick(request.pool, now, self._retry_targets(request))
        if server and request.may_send(server, now, self.settings.limits) and request.throttle.take_spare(now):
            self._send(request, server, now)

    def _dispatch(self, pool: Pool, now: int) -> None:
        """Send queued requests in order while an upstream is available."""
        fleet, limits = self.fleet, self.settings.limits
        while pool.queue:
            request = pool.queue.first
            oldest_ns = request.probed_ns - PROBE_REUSE_NS
            if (
                request.probed
                and now < request.probed_ns + PROBE_WAIT_NS
                and any(s.reported_ns <= oldest_ns for s in request.probed)
            ):
                break
            choices = self._retry_targets(request) if request.attempts else None
            fresh = [s for s in request.probed if s.reported_ns > oldest_ns and fleet.is_available(s, now)]
            request.probed = []
            server = fleet.pick(pool, now, fresh or choices)
            late = server is not None and self._would_be_late(request, server, now)
            if late or (server is None and choices is not None):
                # All its upstreams are busy or would answer late: it must not block the queue.
                self.rate.unplaced += not request.delayed and not fleet.uses_peers
                self._refuse(request, now, "late" if late else "busy")
            elif server is not None:
                pool.queue.popleft()
                request.waiting_in = ""
                self._cancel_timer(request.give_up_timer)
                if request.may_send(server, now, limits):
                    self._send(request, server, now)
                else:
                    self._refuse(request, now, "tried")
            else:
                pool.blocked_ns = pool.blocked_ns or now
                if not self.load_model.raise_limit(now):
                    break
        if not pool.queue:
            pool.blocked_ns = 0

    def _would_be_late(self, request: Request, server: Server, now: int) -> bool:
        """Whether the least loaded upstream found, by its known load, would answer after the request's aim.
        The time deducted for a client's retry keeps an overloaded fleet from serving old requests before new ones."""
        left_ns = request.aim_ns - request.prior_wait_ns - now
        if server.peer_load is not None:
            return self.load_model.latency(server.estimated_load(now) + 1) * self.fleet.slowness(server, now) > left_ns
        return (
            server.last_load >= 1
            and server.is_fresh(now)
            and self.load_model.latency(server.last_load + 1.5) * server.latency_ratio > left_ns
        )

    def _send(self, request: Request, server: Server, now: int) -> None:
        self.load_model.record_busy_time(self.fleet.refresh_placement(server), now)
        server.inflight += 1
        self._mark_changed(server)
        server.last_load += server.reported_ns > 0
        expected_ns = max(1.0, self.load_model.expected_ns(request) * server.latency_ratio)
        request.attempts.append(Attempt(server, now, expected_ns, max(1.0, server.estimated_load(now))))
        if self.fleet.is_cold(server, now):
            self.fleet.pause_until(server, now + self.fleet.cold_interval_ns(server, now))
            self._set_timer(server.backoff_until_ns, "pump")
        # If a late answer is worth nothing, the attempt ends at the aim and frees its slot.
        timeout = 0 if request.cls.late_worth or request.cls.stream else max(1, request.aim_ns - now)
        self.actions.append(api.Send(request.id, server.id, timeout, request.write_within_ns(now)))
        overdue_ns = now + int(expected_ns * (1.3 + 3 * self.load_model.deviation))
        request.attempts[-1].overdue_timer = self._set_timer(overdue_ns, "overdue", request, len(request.attempts) - 1)

    def _feedback(self, now: int) -> None:
        self.last_feedback_ns = now
        fleet = self.fleet
        self.load_model.decay()
        fleet.decay_reset_counts()
        for pool in fleet.pools.values():  # one beyond the home while the queue waits; more would cost connections
            pool.draw_size = min(len(pool.candidates), pool.subset_size + bool(pool.blocked_ns))
        load = fleet.average_load(now)
        took = self.load_model.mean_ns if load is None else self.load_model.latency(load + 1)
        self.rate.adjust(
            now, fleet.default_pool.draw_size, load is None or load >= LOADED, took <= SPARE_PART * self.shortest_aim_ns
        )
        for t in self.throttles.values():
            self._release(t, now)
