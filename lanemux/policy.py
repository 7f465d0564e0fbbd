"""Every decision of lanemux. The types it takes and gives are in `lanemux/interface.py`.

A request passes its tenant's Throttle, may wait in one line, and goes to the lightest upstream drawn."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from lanemux import interface as api
from lanemux.core.index import Index
from lanemux.core.line import Line
from lanemux.core.timers import Timer, Timers
from lanemux.core.words import MAX_ID, Word, datagrams, read_words
from lanemux.sharing import Elsewhere, price, sharers

SECOND = 1_000_000_000
STALL_NS = SECOND // 50  # a timer so late: the proxy itself stood still meanwhile
DRAWS = 2  # random draws beside the previous winner
# least home to draw from, one large enough for pauses; proxies that may share it
HOME_SIZES, SHARERS = (4, 10), 6
MIN_HOME = 1  # least home where each open connection has a price: connections are scarce or work there
GOLDEN_RATIO = 0.618033988749895
SCAN = 16  # most upstreams looked at for one send: work on a request must not grow with the fleet
FRESH_NS = 3 * SECOND  # a load reported longer ago says nothing
BANK_S = 0.5  # C_T in seconds of tokens
HOLD_PART = 0.2  # C_J as a part of C_T
INITIAL_RATE = 10_000.0  # R starts above anything a proxy carries
FEEDBACK_INTERVAL_NS = SECOND // 2
TOLERATED = 0.1  # share of bad outcomes that says nothing
DEEPEST_CUT = 0.3  # of R in one feedback interval
CLIMB, RETURN = 1.1, 1.5  # R's rise in an interval, and while it is well under what failed last
WELL_UNDER = 0.8
ROOM_PART = 0.5  # of its time to spare in which a request more would be answered where there is room
AMPLE = 1.3  # R over what is asked for where upstreams have room: second tries find tokens too
CROWDED = 1.0  # requests that upstreams hold on average; with fewer, less traffic would help nobody
SICK_PART = 0.5  # the worse half of the upstreams may fail without R being judged
LIMIT_MAX, LOAD_MAX = 64, 1e6
KEPT = 0.98  # of evidence on what requests take, an outcome
FADE = 0.95  # of evidence on crowding, a feedback interval
MORE = 1.05  # one more in flight must raise what an upstream finishes by this
LOOKS = 3  # upstreams asked for their load before a send, where that is cheap
LOOK_PRICE = 0.01  # most that the looks of a request may cost
PROBE_WAIT_NS = SECOND // 100  # an answer that takes longer is not waited for
RECENT_NS = PROBE_WAIT_NS // 2  # a look so new is not asked for again: a busy proxy would ask for more than changes
TELL_PRICE = 0.01  # the same for what peers are told of a request
UNLIKE = 0.25  # proxies that see the same upstreams idle must not all choose the same one
RETRY_LEFT = 0.35  # of its aim that a client's second try is taken to have left where it would have to wait
LINE_PART = 0.5  # of a request's time to spare may go by in the line
COLD_PART = 0.7  # part of a cold upstream's budget that is used
BAR_MAX = 3 * SECOND  # longest time for which an upstream is left alone
CHANCE = 1e-3  # connections that break in a row less often than this by chance are the upstream's own fault
COMMON_MAX = 0.3  # share of broken connections beyond which none is put down to the network
BREAKS_KEPT = 0.8  # of evidence on broken connections, a feedback interval
MIN_SAMPLES = 8  # outcomes before a figure is believed
FAILURES = (api.Result.FULL, api.Result.TIMEOUT, api.Result.CONNECT_FAILED)  # they count against R
UNSEEN = (api.Result.CANCELLED, api.Result.MOOT)  # they say nothing of the connection


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request."""

    server: Server
    sent_ns: int
    expected: float
    load: float  # what the upstream was thought to hold then, this one included
    result: api.Result | None = None
    may_have_run: bool = True  # until its outcome proves the contrary
    overdue: Timer[Due] | None = None  # looks at it when it is out for too long

    def learn(self, result: api.Result, rules: api.Rules) -> None:
        """Note its outcome. "Full" proves nothing where upstreams also drop what they had begun."""
        self.result = result
        self.may_have_run = result not in api.NEVER_RAN or (result is api.Result.FULL and rules.full_unproven)


@dataclass(slots=True, eq=False)
class Request:
    """What one request may still do: each send and refusal is proved legal here (rules 1 to 3, placement)."""

    id: str
    cls: api.RequestClass
    pool: Pool  # the upstreams that its class may use
    tenant: Throttle
    deadline_ns: int
    aim_ns: int  # an answer by then earns the full worth
    hint: int
    gone_ns: float = 0.0  # what is taken to have gone by of its aim before it came: it may be a client's second try
    attempts: list[Attempt] = field(default_factory=list)
    over: bool = False
    begun_ns: int = 0  # its answer has been passed on as it comes since then
    hurried: bool = False  # half its time went by in its throttle: a late end says nothing of the upstreams
    stood: bool = False  # the proxy stood still while it was open: nor does any of its times
    place: str = ""  # "held" by its throttle, in the "line", or ""
    give_up_ns: int = 0  # waiting longer than this is of no use
    giving_up: Timer[Due] | None = None  # tells so
    asked: list[Server] = field(default_factory=list)  # asked for their load on its behalf
    asked_ns: int = 0

    @property
    def out(self) -> int:
        return sum(a.result is None for a in self.attempts)

    def may_send(self, server: Server, now: int, limits: api.Limits) -> bool:
        if self.over or self.begun_ns or now >= self.deadline_ns or len(self.attempts) >= limits.max_attempts:
            return False
        if not self.pool.admits(server.entry):
            return False
        if server.entry.state is not api.State.READY or self.out >= (2 if limits.second_copies else 1):
            return False
        risky = [a for a in self.attempts if a.may_have_run]
        if not risky or self.cls.effect is api.Effect.SAFE:
            return True
        fresh = self.cls.effect is api.Effect.KEYED and now - risky[0].sent_ns < self.cls.window_ns
        return fresh and all(self._same_group(a.server, server) for a in risky)

    def may_refuse(self) -> bool:
        everywhere = self.cls.effect is api.Effect.KEYED and self.cls.scope is api.Scope.ALL
        return self.cls.effect is api.Effect.SAFE or everywhere or not any(a.may_have_run for a in self.attempts)

    def _same_group(self, x: Server, y: Server) -> bool:
        if self.cls.scope is api.Scope.ALL:
            return True
        a, b = x.entry, y.entry
        return a.zone == b.zone and (self.cls.scope is api.Scope.ZONE or a.cell == b.cell)


class Throttle:
    """One tenant's gate: the paper's counter U = T - J + C_J in [0, C_J + C_T] (2.1), (2.8)."""

    def __init__(self, weight: float, rng: random.Random, now: int) -> None:
        self.weight = weight
        self.bucket_capacity = round(INITIAL_RATE * BANK_S)  # C_T
        self.hold_capacity = round(self.bucket_capacity * HOLD_PART)  # C_J
        self.counter = self.bucket_capacity + self.hold_capacity  # starts full
        self.rate = INITIAL_RATE
        self.partial_token = rng.random()  # phase of the ticks: proxies must not release their holds in step
        self.updated_ns = now
        self.held: Line[Request] = Line()
        self.arrivals = 0
        self.demand = 0.0  # requests a second, learned
        self.waking = False  # a timer for the next token is set
        self.ran_out = False  # a request found no token since R was last set

    def set_rate(self, rate: float, now: int) -> None:
        """Change the rate and with it the capacities; tokens in the bank and requests held stay."""
        self.accrue(now)
        balance = self.counter - self.hold_capacity  # T - J
        self.rate = rate
        self.bucket_capacity = max(4, round(rate * BANK_S))
        self.hold_capacity = max(1, round(self.bucket_capacity * HOLD_PART), len(self.held))
        self.counter = max(0, min(self.bucket_capacity + self.hold_capacity, balance + self.hold_capacity))

    def accrue(self, now: int) -> None:
        self.partial_token += self.rate * (now - self.updated_ns) / SECOND
        ticks = int(self.partial_token)
        self.updated_ns, self.partial_token = now, self.partial_token - ticks
        self.counter = min(self.bucket_capacity + self.hold_capacity, self.counter + ticks)

    def offer(self, request: Request, now: int) -> bool | None:
        """True: send; None: held; False: overflow."""
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
        """Take a token for a copy or a client's retry, if fresh work leaves part of the bank unused."""
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
        """A held request ends: the token it waited for is not needed."""
        self.held.remove(request)
        self.counter += 1


class AdmissionRate:
    """The proxy's rate R, learned from how attempts end, and its division among the tenants."""

    def __init__(self, throttles: Sequence[Throttle], now: int) -> None:
        self.throttles = throttles
        self.value = INITIAL_RATE
        self.failed_rate = 0.0  # the rate at which too many failed, fading with each cut
        self.since = now
        self.sent = 0.0  # attempts ended a second
        self.served = INITIAL_RATE  # and those of them in time
        self.successes = 0
        self.unplaced = 0  # requests that no upstream had room for in time
        self.failures: Counter[int] = Counter()  # by upstream

    def woke(self, now: int) -> None:
        """Nobody was served, and somebody asks: what is counted from here on is counted over the time from here on.

        Guards against a process that has just started, or was left alone, taking the first requests after a pause
        for all of the pause's: R came down to a thirtieth of what it could serve, and to climb from there took ten
        seconds. Harm: none known."""
        if not (self.successes or self.failures or self.unplaced):
            self.since = now

    def adjust(self, now: int, width: int, crowded: bool = True, room: bool = False) -> None:
        elapsed = now - self.since
        bad = sorted(self.failures.values(), reverse=True)
        total = self.successes + sum(bad) + self.unplaced
        # The worse half of the upstreams does not count: one sick server is not an overloaded fleet. All but
        # one of a small home is more than that: a crowded fleet went unseen (incident i430663).
        sick = int(width * SICK_PART)
        share = (sum(bad[sick:]) + self.unplaced) / total if total else 0.0
        # Where upstreams have room, R is not to hold anybody back.
        asked, short = sum(t.arrivals for t in self.throttles), any(t.ran_out for t in self.throttles)
        held = room and share <= TOLERATED and (short or self.value * elapsed < asked * SECOND)
        # A proxy with little traffic waits for enough outcomes, but not for ever, nor where R itself makes it little.
        if elapsed < FEEDBACK_INTERVAL_NS or (total < MIN_SAMPLES and elapsed < 4 * FEEDBACK_INTERVAL_NS and not held):
            return
        self.served = self.successes * SECOND / elapsed
        self.sent = (self.successes + sum(bad)) * SECOND / elapsed
        if share > TOLERATED and crowded:
            # After a shrink R stands far above what is served: come down to that first.
            rate = min(self.value, 1.2 * self.sent + 1)
            self.failed_rate = max(0.9 * self.failed_rate, rate)
            self.value = max(1.0, 0.9 * self.served, rate * (1 - min(DEEPEST_CUT, share - TOLERATED)))
        else:
            if total and short:
                # A short trouble cuts R several times: what it served before must not take ten seconds to reach.
                rise = RETURN if self.value < WELL_UNDER * self.failed_rate else CLIMB
                self.value = min(INITIAL_RATE, self.value * rise + 0.5)
            if held:  # to more than is asked for, and enough to judge it by
                self.value = max(self.value, AMPLE * (MIN_SAMPLES + asked) * SECOND / elapsed)
        for t in self.throttles:
            t.demand += 0.5 * (t.arrivals * SECOND / elapsed - t.demand)
            t.arrivals, t.ran_out = 0, False
        self._share(now)
        self.since, self.successes, self.unplaced = now, 0, 0
        self.failures.clear()

    def _share(self, now: int) -> None:
        """Fair shares of R by weight; what quiet tenants leave is lent to those who want more."""
        whole = sum(t.weight for t in self.throttles)
        lent = self._fill(self.value)
        for i, t in enumerate(self.throttles):
            t.set_rate(max(0.05, self.value * t.weight / whole, lent[i]), now)

    def _fill(self, left: float) -> list[float]:
        shares, weights = [0.0] * len(self.throttles), sum(t.weight for t in self.throttles)
        for i, t in sorted(enumerate(self.throttles), key=lambda it: (it[1].demand / it[1].weight, it[0])):
            shares[i] = min(t.demand, left * t.weight / weights)
            left, weights = max(0.0, left - shares[i]), max(1e-9, weights - t.weight)
        return [share + left for share in shares]


@dataclass(slots=True, eq=False)
class Server:
    """What this proxy knows of one upstream."""

    id: int
    entry: api.Upstream
    inflight: int = 0  # own requests there
    since_ns: int = 0  # for how long it has held that many
    latency_ratio: float = 1.0  # its time for a request against the fleet's
    failure_streak: int = 0
    backoff_until_ns: int = 0  # not to be tried before this
    ended: float = 0.0  # attempts that ended here of late
    broke: float = 0.0  # and those of them whose connection broke
    breaks: int = 0  # the last so many broke, one after the other
    in_own_home: bool = False  # in a home of this proxy, as of `placed`
    sharers: float = 1.0  # proxies that have it in their home, as of `placed`
    placed: int = -1  # the arrangement for which these two were last worked out
    load: float = 0.0  # requests it holds from all proxies, by its last report
    load_ns: int = 0
    asked_ns: int = 0  # the last look at it
    deaf_ns: int = 0  # the last look that broke
    peers: tuple[int, ...] = ()  # those that have it in their home too, as of `placed`
    peer_load: Elsewhere | None = None  # what those hold there
    shunned_ns: int = 0  # a peer leaves it alone until then
    word: int = 0  # number of the last word to them
    good: bool = False  # its last attempt was served

    def record_load(self, load: float | None, now: int) -> None:
        """Take a reported load; what cannot be one (negative, huge, not a number) says nothing."""
        if load is not None and 0 <= load < LOAD_MAX:
            self.load, self.load_ns = load, now

    def told(self, now: int) -> bool:
        return now - self.load_ns < FRESH_NS

    def crowd(self, now: int) -> float:
        """Requests it is thought to hold: as reported not long ago, never under this proxy's own."""
        if self.peer_load is not None:
            return self.inflight + self.peer_load.held(now)
        return max(self.inflight, self.load) if self.told(now) else self.inflight

    def free_ns(self) -> int:
        return max(self.backoff_until_ns, self.shunned_ns)


class Pool(Index[Server]):
    """The upstreams that one placement admits, in this proxy's order, and the requests that wait for them."""

    def __init__(self, me: int, zones: frozenset[str] | None, kinds: frozenset[str] | None) -> None:
        super().__init__(me)
        self.zones, self.kinds = zones, kinds
        self.sharers = 1.0  # proxies that have one of the home in theirs
        self.draw_size = 0  # how many of `reach` it draws from
        self.last: Server | None = None  # the previous winner
        self.queue: Line[Request] = Line()
        self.blocked_ns = 0  # the line found no upstream since

    def admits(self, entry: api.Upstream) -> bool:
        return (self.zones is None or entry.zone in self.zones) and (self.kinds is None or entry.kind in self.kinds)

    def reaches(self, server: Server) -> bool:
        """Is it one that this pool draws from now?"""
        return self.at_home(server) or server in self.reach[self.home : self.draw_size]


class Fleet:
    """Membership, cold starts, health, and which upstreams this proxy draws from."""

    def __init__(self, settings: api.Settings, crowding: LoadModel, rng: random.Random) -> None:
        self.settings = settings
        self.crowding = crowding
        self.rng = rng
        self.servers: dict[int, Server] = {}
        # With fewer proxies than zones, zones without one would be left idle.
        self.by_zone = settings.prices.connection > 0 < settings.prices.cross_zone and max(
            1, settings.replicas_of_me
        ) >= len(settings.zones)
        self.pools: dict[tuple[frozenset[str] | None, frozenset[str] | None], Pool] = {}
        self.default_pool = self.pool_for(api.RequestClass(""))
        for cls in settings.classes.values():
            self.pool_for(cls)
        self.uses_probes = (
            settings.limits.probes
            and "inflight" in settings.report_columns
            and settings.prices.probe * (LOOKS + 1) <= LOOK_PRICE
        )
        # Where looks are too dear, those who share an upstream tell each other what they have there.
        self.may_tell = (
            not self.uses_probes
            and settings.limits.peers
            and len(self.pools) == 1
            and self.default_pool.zones is None
            and not self.by_zone
        )
        self.tells = False
        longest = max(
            (c.limit_ns if c.late_worth or c.stream else c.aim_ns for c in settings.classes.values()), default=SECOND
        )
        self.unknown_ns = min((c.aim_ns for c in settings.classes.values()), default=SECOND) // 3
        self.word_ns = longest + SECOND // 20  # all that a word told of has ended, and its end been told
        self.sizes: dict[str, float] = {}  # kind -> largest weight seen, that of an idle one
        self.arranged = 0  # counts the arrangements
        self.leaving: dict[int, Server] = {}  # gone, with attempts of ours still out there when it went
        self.barred: dict[int, Server] = {}  # those last left alone, some of them free again
        self.ended = self.broke = 0.0  # over all upstreams, see Server

    def pool_for(self, cls: api.RequestClass) -> Pool:
        placement = (cls.zones, cls.kinds)
        if placement not in self.pools:
            self.pools[placement] = Pool(self.settings.me, *placement)
        return self.pools[placement]

    def apply_list(self, update: api.ListUpdate, now: int) -> None:
        """Take up a list or changes; the work grows with what they hold, not with the fleet."""
        changed, started = False, []
        if update.kind is not api.ListKind.DELTA:
            listed = {e.id for e in update.upstreams}
            for missing in [s for s in self.servers.values() if s.id not in listed]:
                changed |= self._enter(missing, missing.entry._replace(state=api.State.GONE))
        for entry in update.upstreams:
            s = self.servers.get(entry.id)
            if s is None:
                s = self.servers[entry.id] = Server(entry.id, entry)
                changed |= self._enter(s, entry)
                started.append(s)
            else:
                if entry.started_ns != s.entry.started_ns:
                    started.append(s)
                changed |= self._update(s, entry)
            if self.settings.weights is api.Weights.LIVE and 0 < entry.weight < LOAD_MAX:
                # A live weight is size / (1 + requests held a core): every proxy sees the whole fleet's load.
                size = self.sizes[entry.kind] = max(self.sizes.get(entry.kind, 0.0), entry.weight)
                s.record_load(size / entry.weight - 1, now)
        self._remove_gone()
        if changed:  # else only weights have, as they do all the time
            self.arranged += 1
            for pool in self.pools.values():
                self._arrange(pool)
        for s in started if not self.uses_probes else ():
            # All hear of a cold one at about the same time: the first requests of all would come to it at once,
            # of 400 balancers over 60 upstreams half of what it bears.
            if self.is_cold(s, now) and s.entry.state is api.State.READY:
                self.rest(s, now + int(self.cold_gap_ns(s, now) * self.rng.random()))

    def _update(self, s: Server, entry: api.Upstream) -> bool:
        """Take up a further word of one that is known; does it change any pool?"""
        was = s.entry
        if entry.started_ns != was.started_ns:
            s.failure_streak = s.backoff_until_ns = s.shunned_ns = 0
        if entry.state is not was.state or entry.zone != was.zone or entry.kind != was.kind:
            return self._enter(s, entry)
        s.entry = entry  # as most of a whole list are
        return False

    def _enter(self, s: Server, entry: api.Upstream) -> bool:
        """Take up what is said of one upstream; does it change any pool?"""
        s.entry, changed = entry, False
        if entry.state is api.State.GONE:
            self.leaving[s.id] = s
        else:
            self.leaving.pop(s.id, None)
        near = not self.by_zone or entry.zone == self.settings.zone
        for pool in self.pools.values():
            admitted = entry.state is api.State.READY and pool.admits(entry)
            changed |= pool.put(s, admitted, near)
        return changed

    def _remove_gone(self) -> None:
        """Nothing is kept of upstreams that are gone and hold nothing of ours: lists change for ever."""
        for s in [s for s in self.leaving.values() if not s.inflight]:
            del self.leaving[s.id], self.servers[s.id]

    def _arrange(self, pool: Pool) -> None:
        """Extension: a proxy's home is its stretch of one ring that all proxies compute alike, so that its
        own requests in flight say something of the upstream. Beyond it, an order of its own. Where open
        connections have a price the home is small, and in the proxy's own zone if crossing has one too."""
        me, prices = self.settings.me, self.settings.prices
        proxies = max(1, self.settings.replicas_of_me)
        n, ready, first = pool.near, len(pool), me * pool.near // proxies
        if n < ready or pool.zones is not None:
            # Which peers share the zone is not told: golden-ratio steps are even over any part of them.
            proxies, first = max(1, proxies // max(1, len(self.settings.zones))), int(me * GOLDEN_RATIO % 1 * n)
        least = MIN_HOME if prices.connection > 0 else max(HOME_SIZES[0], min(HOME_SIZES[1], SHARERS * n // proxies))
        pool.settle(first, ready if self.uses_probes else min(n, max(least, -(-n // proxies))))
        pool.draw_size = pool.home
        pool.sharers = proxies * pool.home / n if n else 1.0
        self.tells = self.may_tell and proxies > 1 and price(pool.sharers, prices.peer) <= TELL_PRICE

    def refresh_placement(self, s: Server) -> Server:
        """The same, with `own` and `sharers` as they are now."""
        if s.placed != self.arranged:
            homes = [p.sharers for p in self.pools.values() if p.at_home(s)]
            s.placed, s.in_own_home, s.sharers = self.arranged, bool(homes), max([1.0, *homes])
            at, settings = self.default_pool.place(s) if self.tells else None, self.settings
            s.peers = (
                ()
                if at is None
                else sharers(at, self.default_pool.near, self.default_pool.home, settings.replicas_of_me, settings.me)
            )
        return s

    def record_peer_report(self, peer: int, word: Word, now: int) -> Server | None:
        """Take a peer's word on an upstream that this proxy's own list has named; the one it shuns for it."""
        s = self.servers.get(word.upstream)
        if s is None:
            return None
        if s.peer_load is None:
            s.peer_load = Elsewhere(self.word_ns)
        if not s.peer_load.hear(peer, word, now):
            return None
        if word.good and not word.rest_ns:
            s.failure_streak = s.shunned_ns = 0  # what one has found out, all know
        if now + word.rest_ns <= s.free_ns() or not word.rest_ns or not self._may_leave(s, now):
            return None
        # Its next failure here is not the first one, or each in turn would begin with the shortest rest.
        s.failure_streak = max(1, s.failure_streak) if s.free_ns() > now else s.failure_streak + 1
        s.shunned_ns, self.barred[s.id] = now + word.rest_ns, s
        return s

    def is_cold(self, s: Server, now: int) -> bool:
        return bool(s.entry.started_ns) and now - s.entry.started_ns < self.settings.rules.cold_ns

    def warm(self, s: Server, now: int) -> float:
        """The least part of its capacity that it has by now."""
        if not self.is_cold(s, now):
            return 1.0
        rules = self.settings.rules
        return rules.cold_from + (1 - rules.cold_from) * (now - s.entry.started_ns) / rules.cold_ns

    def pace(self, s: Server, now: int) -> float:
        """Its time for a request against the fleet's; a cold one may be as slow as it is told to begin."""
        return max(s.latency_ratio, 1 / self.warm(s, now)) if self.tells else s.latency_ratio

    def cold_gap_ns(self, s: Server, now: int) -> int:
        """Rule 4: the least time between sends to a cold upstream, so that all whose home it is in stay,
        together, inside what it can bear now. A warm one bears one in `each`."""
        rules, part = self.settings.rules, self.warm(s, now)
        each = self.crowding.per_request_ns
        if not self.uses_probes and self.crowding.sums[0] < MIN_SAMPLES:
            each = max(each, self.unknown_ns)  # a new proxy has not seen yet what a request takes
        bears = SECOND / each / self.refresh_placement(s).sharers
        return int(SECOND / (COLD_PART * rules.fall_multiple * part * bears))

    def limit_of(self, s: Server, now: int) -> int:
        if not self.refresh_placement(s).in_own_home:  # other proxies fill it, and own counts say little of it
            return int(not s.failure_streak and not self.is_cold(s, now))
        if s.failure_streak:
            return 1
        return self.crowding.limit

    def is_available(self, s: Server, now: int) -> bool:
        if s.entry.state is not api.State.READY or now < s.backoff_until_ns or now < s.shunned_ns:
            return False
        if s.peer_load is not None and (s.failure_streak or s.shunned_ns) and s.peer_load.held(now):
            return False  # somebody tries it already
        return s.inflight < self.limit_of(s, now)

    def back_off(self, s: Server, now: int, base: float) -> None:
        """Leave a failing upstream alone, longer each time, unless that would leave hardly any."""
        if s.backoff_until_ns > now:
            return  # what was out there when it stood still fails together: one strike for it
        s.failure_streak += 1
        if self._may_leave(s, now):
            length = min(base * 2 ** min(s.failure_streak - 1, 5), BAR_MAX)
            self.rest(s, now + int(length * self.rng.uniform(0.75, 1.25)))

    def _may_leave(self, s: Server, now: int) -> bool:
        self.barred = {o.id: o for o in self.barred.values() if o.free_ns() > now}
        return all(
            sum(p.reaches(o) for o in self.barred.values()) < 0.7 * p.draw_size
            for p in self.pools.values()
            if p.reaches(s)
        )

    def rest(self, s: Server, until_ns: int) -> None:
        s.backoff_until_ns, self.barred[s.id] = until_ns, s

    def record_end(self, s: Server, broke: bool) -> bool:
        """Note that an attempt ended; does the broken connection set its upstream apart from the others?

        Where connections break at all upstreams alike (a bad network, a box between, a close that crosses a
        request) a break says nothing of the upstream, and to bar on it leaves most of a sound fleet alone by
        chance. Guards as well against deploys that reset what they hold, and against any break that
        another attempt would not meet. Harm: while much breaks everywhere, an upstream that accepts and then
        breaks all it is sent is left only after a few attempts; one that is dead refuses connections, and
        is left at once."""
        s.ended += 1
        self.ended += 1
        s.breaks = s.breaks + 1 if broke else 0
        s.broke += broke
        self.broke += broke
        others = (self.broke - s.broke) / max(1.0, self.ended - s.ended)
        return broke and min(others, COMMON_MAX) ** s.breaks <= CHANCE

    def settle(self) -> None:
        """Fade old evidence on broken connections."""
        self.ended = self.broke = 0.0
        for s in self.servers.values():
            s.ended *= BREAKS_KEPT
            s.broke *= BREAKS_KEPT
            self.ended += s.ended
            self.broke += s.broke

    def load(self, now: int) -> float | None:
        """Requests that an upstream holds on average, by what they last reported; None: nothing is known."""
        if self.tells:  # of those that it draws from and that work
            told = [s.crowd(now) for s in self.default_pool.reach[:SCAN] if now >= s.free_ns()]
        else:
            told = [s.load for s in self.servers.values() if s.entry.state is api.State.READY and s.told(now)]
        return sum(told) / len(told) if told else None

    def draw(self, pool: Pool, count: int, now: int) -> list[Server]:
        """So many random draws from the fit ones within reach, and the previous winner."""
        n, chance = pool.draw_size, self.rng.random
        near = pool.reach[:n] if n <= SCAN else [pool.reach[int(chance() * n)] for _ in range(SCAN)]
        fit = [s for s in near if self.is_available(s, now)]
        drawn = [fit[int(chance() * len(fit))] for _ in range(count)] if fit else []
        if pool.last is not None and self.is_available(pool.last, now) and pool.reaches(pool.last):
            drawn.append(pool.last)
        return drawn

    def pick(self, pool: Pool, now: int, allowed: Iterable[Server] | None = None) -> Server | None:
        """The lightest, by requests held and learned speed, of two draws and the previous winner."""
        if self.tells:
            # What all hold is known: the lightest of all within reach, by chance among those about alike.
            near = pool.reach[: pool.draw_size] if allowed is None else allowed
            drawn, unlike = [s for s in near if self.is_available(s, now)][:SCAN], UNLIKE
        else:
            drawn = (
                self.draw(pool, DRAWS, now) if allowed is None else [s for s in allowed if self.is_available(s, now)]
            )
            unlike = 0.0

        def weight(s: Server) -> float:
            return (s.crowd(now) + 1) * self.pace(s, now) * (1 + (unlike and unlike * self.rng.random()))

        pool.last = min(drawn, key=weight, default=pool.last)
        return pool.last if drawn else None


class LoadModel:
    """Learns what requests take, and how many of our own in flight an upstream still gains from.

    Extension: while upstreams hold k of this proxy's requests, how often does one finish? An upstream that
    finishes no more with k than with k - 1 is crowded, and the line is the better place to wait (6.1).
    """

    def __init__(self) -> None:
        self.limit = 1
        self.lifted_ns = 0
        self.sums = [0.0] * 5
        self.base_ns = 0.0  # time of a request that waits for no other
        self.per_request_ns = SECOND / 50  # and for each request that its upstream holds
        self.mean = SECOND / 20  # time of a request, over all classes
        self.taken: dict[str, float] = {}  # class -> time, or time per hinted time
        self.spread = 0.5  # mean deviation from the expected
        self.busy = [0.0] * (LIMIT_MAX + 2)  # seconds that upstreams held k of ours
        self.done = [0.0] * (LIMIT_MAX + 2)  # and how many finished meanwhile

    def expected_ns(self, r: Request) -> float:
        if r.hint:
            return self.taken.get("", 1.0) * r.hint
        return self.taken.get(r.cls.name, r.cls.aim_ns / 8)

    def record_latency(self, r: Request, a: Attempt, took: int) -> None:
        server = a.server
        name, base = ("", float(r.hint)) if r.hint else (r.cls.name, 1.0)
        was = self.taken.get(name)
        self.taken[name] = took / base if was is None else was + 0.05 * (min(took / base, 8 * was) - was)
        self.record_sample(a, took)
        self.mean += 0.05 * (min(took, 8 * self.mean) - self.mean)
        ratio = took / max(1.0, self.expected_ns(r))
        self.spread += 0.05 * (min(3.0, abs(ratio / server.latency_ratio - 1)) - self.spread)
        server.latency_ratio += 0.2 * (min(10.0, max(0.1, ratio)) - server.latency_ratio)

    def record_sample(self, a: Attempt, took: float) -> None:
        """Least squares over what upstreams held: took = base + each * held. With little spread in that,
        all is laid on `each`, as if nothing but waiting for others took time."""
        for i, x in enumerate((1.0, a.load, took, a.load * a.load, a.load * took)):
            self.sums[i] = KEPT * self.sums[i] + x
        n, mean_held, mean_took = self.sums[0], self.sums[1] / self.sums[0], self.sums[2] / self.sums[0]
        spread, along = self.sums[3] / n - mean_held**2, self.sums[4] / n - mean_held * mean_took
        alone = max(1.0, mean_took / mean_held)
        self.per_request_ns = min(alone, max(alone / 10, (along + alone) / (spread + 1)))
        self.base_ns = max(0.0, mean_took - self.per_request_ns * mean_held)

    def time(self, held: float) -> float:
        """What a request takes at an upstream that holds so many, this one included."""
        return self.base_ns + self.per_request_ns * held

    def record_busy_time(self, server: Server, now: int) -> None:
        """Book the time for which an upstream held what it holds; call before that changes."""
        if server.inflight and server.in_own_home:
            self.busy[min(server.inflight, LIMIT_MAX + 1)] += (now - server.since_ns) / SECOND
        server.since_ns = now

    def known(self, k: int) -> bool:
        """Were upstreams held at k for so long that a good number should have finished?"""
        return self.done[1] >= MIN_SAMPLES and (
            k == 1 or self.busy[k] * self.done[k - 1] >= 4 * MIN_SAMPLES * self.busy[k - 1]
        )

    def speed(self, k: int) -> float:
        # A clock that stands still between batches books no time: no division by it.
        return self.done[k] / max(1e-3, self.busy[k]) if self.done[k] >= MIN_SAMPLES else 0.0

    def lift(self, now: int) -> bool:
        """The line waits: one more for each upstream, unless that is known not to help."""
        k = self.limit
        # Requests just sent finish less often than older ones: guards against a limit that runs away at the
        # start, before the first ones are done (incident i4eb9e9).
        if k >= LIMIT_MAX or now - self.lifted_ns < 3 * self.mean or not self.known(k):
            return False
        best = max((self.speed(j) for j in range(1, k)), default=0.0)
        if self.speed(k) < MORE * best or (self.known(k + 1) and self.speed(k + 1) < MORE * self.speed(k)):
            return False
        self.limit, self.lifted_ns = k + 1, now
        return True

    def settle(self) -> None:
        """Fade old evidence, and go back to the least limit that serves as well."""
        for k in range(1, LIMIT_MAX + 2):
            self.busy[k] *= FADE
            self.done[k] *= FADE
        if not self.known(self.limit):
            return
        # What little was seen at the limit may be chance: give it the benefit of one deviation.
        hope = self.speed(self.limit) * (1 + max(1.0, self.done[self.limit]) ** -0.5)
        self.limit = next(k for k in range(1, self.limit + 1) if k == self.limit or self.speed(k) > hope)


Due = tuple[str, Request | Throttle | None, int]


class Balancer:
    """One proxy. Feed it events with `handle`; carry out the actions it gives, in order."""

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
        self.timer_ns = self.timer_number = 0  # when the timer that counts is due, and its number
        self.failures = 0
        self.actions: list[api.Action] = []
        self.refused: Counter[str] = Counter()  # requests given up, by reason
        self.changed: dict[int, Server] = {}  # where what this proxy holds has changed, untold
        self.checked_ns = now
        self.shortest_aim_ns = min((c.aim_ns for c in settings.classes.values()), default=SECOND)
        self.subscribed = settings.discovery_push
        if not self.subscribed:
            self._set_timer(now + int(self.rng.random() * settings.rules.ask_within_ns / 4), "subscribe")

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        self.actions = []
        if now - (self.timers.next_ns() or now) > STALL_NS:
            self._stood(now)
        for e in events:
            if type(e) is api.Arrival:
                self._arrival(e, now)
            elif type(e) is api.Outcome:
                self._outcome(e, now)
            elif type(e) is api.ClientGone and e.request in self.requests:
                self._end(self.requests[e.request], now)
            elif type(e) is api.ListUpdate:
                self._list(e, now)
            elif type(e) is api.ProbeResult:
                self._probed(e, now)
            elif type(e) is api.PeerMessage:
                self._peer(e, now)
            elif type(e) is api.AnswerBegun:
                self._begun(e, now)
            elif type(e) is api.Truth:
                self._mend(e.calls, now)
            elif type(e) is api.Wake and e.name == str(self.timer_number):
                self.timer_ns = 0  # by its name, not the clock: a timer may come a little early
        for what, about, extra in self.timers.ring(now):
            self._look(what, about, extra, now)
        for pool in self.fleet.pools.values():
            self._pump(pool, now)
        if now - self.checked_ns >= FEEDBACK_INTERVAL_NS:
            self._feedback(now)
        if self.changed:
            self._tell_peers(now)
        due = self.timers.next_ns()
        if due is not None and (not self.timer_ns or due < self.timer_ns):
            self.timer_ns = due
            self.timer_number += 1
            self.actions.append(api.SetTimer(max(1, self.timer_ns - now), str(self.timer_number)))
        return self.actions

    def avoided(self, now: int) -> int:
        """Listed upstreams left alone now since they failed here or at a peer; pacing a cold one is no avoiding."""
        return sum(
            s.entry.state is api.State.READY and s.failure_streak > 0 and s.free_ns() > now
            for s in self.fleet.barred.values()
        )

    def standing(self, now: int) -> dict[str, object]:
        """Why it does what it does: R, what it was learned from, what waits, what rests, refusals by reason."""
        rate, fleet = self.rate, self.fleet
        return {
            "rate": rate.value,
            "failed": rate.failed_rate,
            "sent": rate.sent,
            "served": rate.served,
            "open": len(self.requests),
            "line": sum(len(p.queue) for p in fleet.pools.values()),
            "limit": self.load_model.limit,
            "base_ns": self.load_model.base_ns,
            "each_ns": self.load_model.per_request_ns,
            "load": fleet.load(now),
            "resting": sum(s.free_ns() > now for s in fleet.barred.values()),
            "refused": dict(self.refused),
            "tenants": {n: [t.rate, t.counter - t.hold_capacity, t.demand] for n, t in self.throttles.items()},
        }

    def _mend(self, calls: Mapping[str, api.Held], now: int) -> None:
        """A batch was lost half way: go on from what the proxy really holds.

        Guards against an exception in here whose actions are lost with it: what had been sent would count in
        flight for ever, requests would have no end but their deadline, and no timer would ring again."""
        self.timer_ns = 0  # its action may be among those lost
        for s in self.fleet.servers.values():
            s.inflight = 0
        for pool in self.fleet.pools.values():
            pool.queue = Line()
        for t in self.throttles.values():
            for r in [r for r in t.held if r.id not in calls or r.place != "held"]:
                t.remove(r)
        known, self.requests = self.requests, {}
        for r in known.values():
            self._settle(r.giving_up)
            held = calls.get(r.id) if not r.over else None
            for a in [a for a in r.attempts if a.result is None]:
                if held is not None and held.out and a is r.attempts[: held.sends][-1]:
                    a.server.inflight += not r.begun_ns
                else:
                    a.learn(api.Result.CANCELLED, self.settings.rules)
                    self._settle(a.overdue)
            if held is not None:
                del r.attempts[held.sends :]  # the others never went out
                self.requests[r.id] = r
        for name in [name for name in calls if name not in self.requests]:
            self.actions.append(api.Fail(name) if calls[name].sends else api.Refuse(name))
        for r in list(self.requests.values()):
            self._place_again(r, now)

    def _place_again(self, r: Request, now: int) -> None:
        held, r.place = r in r.tenant.held, ""
        if r.out or r.begun_ns:
            return
        if r.attempts:
            self._retry_or_refuse(r, now)
            return
        r.giving_up = self._set_timer(r.give_up_ns, "give up", r)
        if held:
            r.place = "held"
        else:
            r.pool.queue.append(r)
            self._look_around(r, now)

    def _stood(self, now: int) -> None:
        """This proxy stood still: its timers are late. What was open meanwhile ends late for that alone.

        Guards against a process that is stopped for a while (a spent share of the processor, a paused or
        swapping machine) taking its own delay for upstreams that stand still: it would bar them, think
        them slow, refuse what comes next and cut R. Harm: an upstream that stood still in the same moment is
        found out one attempt later."""
        for r in self.requests.values():
            r.stood = r.hurried = True
        for s in self.fleet.servers.values():
            s.since_ns = now  # nor did upstreams hold them for so long without finishing

    def _set_timer(self, at: int, what: str, about: Request | Throttle | None = None, extra: int = 0) -> Timer[Due]:
        return self.timers.set(at, (what, about, extra))

    def _settle(self, timer: Timer[Due] | None) -> None:
        if timer is not None:
            self.timers.settle(timer)

    def _arrival(self, e: api.Arrival, now: int) -> None:
        if e.request in self.requests:
            return  # an id is never reused: the first one stands
        throttle = self.throttles.get(e.tenant) or next(iter(self.throttles.values()))
        cls = self.settings.classes.get(e.class_name) or api.RequestClass(e.class_name, api.Effect.UNSAFE)
        aim = min(now + cls.aim_ns, e.deadline_ns)
        gone = (1 - RETRY_LEFT) * cls.aim_ns if e.retry and not cls.late_worth else 0.0
        r = Request(e.request, cls, self.fleet.pool_for(cls), throttle, e.deadline_ns, aim, e.cost_hint_ns, gone)
        if not self.requests:
            self.rate.woke(now)
        self.requests[r.id] = r
        need = self.load_model.expected_ns(r) * (1 + self.load_model.spread)
        r.give_up_ns = max(r.aim_ns - int(need), now + (r.deadline_ns - now) // 4)
        r.giving_up = self._set_timer(r.give_up_ns, "give up", r)  # whatever comes, a request that waits is looked at
        # Marked retries take spare tokens only: they must not starve fresh work.
        answer = throttle.take_spare(now) if e.retry else throttle.offer(r, now)
        if answer is False:
            self._refuse(r, now, "second try" if e.retry else "rate")
        elif answer is None:
            r.place = "held"
            self._release(throttle, now)
        else:
            self._admit(r, now)

    def _admit(self, r: Request, now: int) -> None:
        r.place = ""
        r.hurried = r.stood or 2 * (r.aim_ns - now) < r.cls.aim_ns
        # A class with much time must not make the line too long for those with little.
        spare = min(r.give_up_ns - now, self.shortest_aim_ns)
        if r.pool.blocked_ns and len(r.pool.queue) * SECOND > self.rate.served * spare * LINE_PART:
            self.rate.unplaced += not r.hurried  # the line is too long already: better said at once
            self._refuse(r, now, "line")
            return
        r.pool.queue.append(r)
        self._look_around(r, now)

    def _look_around(self, r: Request, now: int) -> None:
        r.place = "line"
        if self.fleet.uses_probes:
            # Own counts say little where proxies are many: the drawn upstreams are asked, the request waits.
            r.asked, r.asked_ns = list(dict.fromkeys(self.fleet.draw(r.pool, LOOKS, now))), now
            for s in r.asked:
                if now - max(s.load_ns, s.asked_ns) >= RECENT_NS:
                    s.asked_ns = now
                    self.actions.append(api.Probe(s.id))
            self._set_timer(now + PROBE_WAIT_NS, "look", r)

    def _probed(self, e: api.ProbeResult, now: int) -> None:
        server = self.fleet.servers.get(e.upstream)
        if server is not None and e.report is not None:
            server.record_load(e.report.get("inflight"), now)
        elif server is not None and e.result is api.Result.RESET and server.deaf_ns < server.asked_ns:
            # Its connection broke, as any may: asked once more, or its request would wait for nothing. Harm:
            # one more look at each upstream that breaks all it is sent.
            server.deaf_ns = now
            self.actions.append(api.Probe(server.id))

    def _peer(self, e: api.PeerMessage, now: int) -> None:
        for word in read_words(e.data) if self.fleet.tells else ():
            server = self.fleet.record_peer_report(e.sender, word, now)
            if server is not None:
                self._set_timer(server.shunned_ns, "pump")

    def _mark_changed(self, server: Server) -> None:
        """What this proxy holds there is another number now: those who share it are to know."""
        if self.fleet.tells:
            self.changed[server.id] = server

    def _tell_peers(self, now: int) -> None:
        """Tell those who share the upstreams what this proxy has there now, in one message each."""
        words: dict[int, list[bytes]] = {}
        for s in self.changed.values():
            peers = self.fleet.refresh_placement(s).peers if s.id <= MAX_ID else ()
            if peers:
                s.word += 1
                data = Word(
                    s.id, s.word, s.inflight, s.backoff_until_ns - now if s.failure_streak else 0, s.good
                ).data()
                for peer in peers:
                    words.setdefault(peer, []).append(data)
        self.changed.clear()
        self.actions += [api.Tell(data, peer) for peer, data in datagrams(words)]

    def _outcome(self, e: api.Outcome, now: int) -> None:
        server = self.fleet.servers.get(e.upstream)
        r = self.requests.get(e.request)
        if r is None or server is None or not 0 <= e.attempt < len(r.attempts):
            return  # long over, or never sent: nothing is booked
        a = r.attempts[e.attempt]
        if a.result is not None or a.server is not server:
            return
        a.learn(e.result, self.settings.rules)
        self._settle(a.overdue)
        if r.begun_ns:  # all else was booked then
            self._end(r, now)
            return
        server.good = e.result is api.Result.OK
        self.load_model.record_busy_time(self.fleet.refresh_placement(server), now)
        if e.report and "inflight" in e.report:
            server.record_load(e.report["inflight"] + 1, now)  # this one leaves it below
        apart = e.result not in UNSEEN and self.fleet.record_end(server, e.result is api.Result.RESET)
        if e.result is api.Result.OK:
            self._served(r, a, e.took_ns, now)
        elif e.result is api.Result.RESET:
            # Fewer requests cure no connection that broke by chance: R is not judged by it.
            self.rate.successes += not apart
            self.rate.failures[server.id] += apart
            if apart:
                self._bar(server, now, SECOND / 4)
        elif e.result in FAILURES and not (r.stood and e.result is api.Result.TIMEOUT):
            self.rate.failures[server.id] += e.result is not api.Result.TIMEOUT or not r.hurried
            if e.result is api.Result.TIMEOUT:
                # It would have taken longer: what is cut off must not flatten the slope.
                self.load_model.record_sample(a, max(1.3 * e.took_ns, self.load_model.time(a.load)))
            busy = e.result in (api.Result.FULL, api.Result.TIMEOUT)
            self._bar(server, now, self._pause(a) if busy else SECOND / 4)
        else:
            self.rate.successes += e.result is api.Result.ERROR
        self._left(server)
        if e.complete:
            self._end(r, now)
        elif not r.over and not r.out:
            self._retry_or_refuse(r, now)
        if r.over and not r.out:
            self.requests.pop(r.id, None)

    def _begun(self, e: api.AnswerBegun, now: int) -> None:
        """A long answer passes on as it comes. Its upstream has done the work: it has room for another request.

        Guards against readers who take seconds for an answer filling every place that upstreams are thought to
        have: half of all requests were refused so. Harm: sending it costs the upstream a little, unseen."""
        r = self.requests.get(e.request)
        if r is None or r.begun_ns or not 0 <= e.attempt < len(r.attempts) or r.attempts[e.attempt].result is not None:
            return
        a = r.attempts[e.attempt]
        self._settle(a.overdue)
        self.load_model.record_busy_time(self.fleet.refresh_placement(a.server), now)
        self._served(r, a, e.took_ns, now)
        self._left(a.server)
        r.begun_ns, a.server.good = now, True

    def _served(self, r: Request, a: Attempt, took_ns: int, now: int) -> None:
        if not r.stood:
            self.load_model.record_latency(r, a, took_ns)
        if a.server.in_own_home:
            self.load_model.done[min(a.server.inflight, LIMIT_MAX + 1)] += 1
        self.rate.successes += now <= r.aim_ns
        self.rate.failures[a.server.id] += now > r.aim_ns and not r.hurried  # crowding shows in it first
        if a.server.failure_streak:
            a.server.failure_streak = a.server.backoff_until_ns = 0

    def _left(self, server: Server) -> None:
        """One request fewer is there."""
        server.inflight -= 1
        self._mark_changed(server)
        server.load = max(0.0, server.load - 1)

    def _pause(self, a: Attempt) -> float:
        """How long to leave an upstream alone that did not finish this in time.

        Guards against one hopelessly heavy request taking its upstream from all others for as long as it
        would have run: it is cut off, and its client asks again, at the next upstream and the next. Harm:
        where it runs on all the same, the next one there finds out, and the bar doubles."""
        return min(a.expected, self.shortest_aim_ns)

    def _bar(self, server: Server, now: int, base: float) -> None:
        self.fleet.back_off(server, now, base)
        self._set_timer(server.backoff_until_ns, "pump")  # then the line has one more to go to

    def _retry_or_refuse(self, r: Request, now: int) -> None:
        """Nothing is out and nothing was served: another attempt, or the final answer."""
        if (
            r.attempts
            and any(r.may_send(s, now, self.settings.limits) for s in self._choices(r) or r.pool.reach[:1])
            and now < r.give_up_ns
        ):
            r.pool.queue.appendleft(r)
            r.giving_up = self._set_timer(r.give_up_ns, "give up", r)
            self._look_around(r, now)
        else:
            self._refuse(r, now, "tried")

    def _choices(self, r: Request) -> list[Server] | None:
        """Where a request that may have run may go again; None: anywhere."""
        first = next((a for a in r.attempts if a.may_have_run), None)
        if first is None or r.cls.effect is api.Effect.SAFE or r.cls.scope is api.Scope.ALL:
            return None
        return [s for s in r.pool.all() if r._same_group(s, first.server)]

    def _refuse(self, r: Request, now: int, why: str) -> None:
        """The final answer of a request that is not served: refused if that is true, else failed."""
        self.refused[why] += 1
        if r.may_refuse():
            back = self.rng.uniform(0.25, 1.0) * min(self.settings.limits.max_retry_after_ns, SECOND)
            self.actions.append(api.Refuse(r.id, int(back) if self.settings.limits.retry_after else 0))
        else:
            self.actions.append(api.Fail(r.id))
        self._end(r, now)

    def _end(self, r: Request, now: int) -> None:
        if r.place == "held":
            r.tenant.remove(r)
        elif r.place == "line":
            r.pool.queue.remove(r)
        r.place = ""
        r.over = True
        self._settle(r.giving_up)
        if self.settings.limits.may_cancel:
            for i, a in enumerate(r.attempts):
                if a.result is None:
                    self.actions.append(api.Cancel(r.id, i))
        if not r.out:
            self.requests.pop(r.id, None)

    def _list(self, e: api.ListUpdate, now: int) -> None:
        if e.kind is api.ListKind.FAILED:
            # Calls are spread and backed off: discovery does not grow with the fleet.
            self.subscribed = False
            self.failures += 1
            wait = SECOND * min(8.0, 2.0 ** (self.failures - 1)) * self.rng.uniform(0.5, 1.5)
            self._set_timer(now + int(min(wait, self.settings.rules.ask_within_ns * 0.8)), "subscribe")
        else:
            self.failures = self.failures if e.kind is api.ListKind.CACHED else 0
            self.fleet.apply_list(e, now)

    def _look(self, what: str, about: Request | Throttle | None, extra: int, now: int) -> None:
        if isinstance(about, Request):
            if what == "give up" and about.place and now >= about.give_up_ns:
                self.rate.unplaced += about.place == "line" and not about.hurried
                self._refuse(about, now, "waited")
            elif what == "overdue":
                self._on_overdue(about, extra, now)
        elif what == "subscribe" and not self.subscribed:
            self.subscribed = True
            self.actions.append(api.Subscribe(True))
        elif isinstance(about, Throttle):
            about.waking = False
            self._release(about, now)

    def _release(self, t: Throttle, now: int) -> None:
        for r in t.release(now):
            self._admit(r, now)
        if t.held and not t.waking:
            t.waking = True
            self._set_timer(now + int((1 - t.partial_token) / t.rate * SECOND) + 1, "token", t)

    def _on_overdue(self, r: Request, number: int, now: int) -> None:
        """An attempt is out longer than its upstream should take: it may stand still."""
        a = r.attempts[number]
        if a.result is not None:
            return
        if r.stood or r.begun_ns:
            return  # it may have been answered long ago, unheard; or it is being answered
        self._bar(a.server, now, self._pause(a))
        # Where a cancel stops nothing, the first attempt runs on and a copy only adds to the load.
        if r.pool.queue or now + a.expected > r.aim_ns or not self.settings.limits.may_cancel:
            return
        server = self.fleet.pick(r.pool, now, self._choices(r))
        if server and r.may_send(server, now, self.settings.limits) and r.tenant.take_spare(now):
            self._send(r, server, now)

    def _pump(self, pool: Pool, now: int) -> None:
        """Serve the line in order while an upstream has room."""
        fleet, limits = self.fleet, self.settings.limits
        while pool.queue:
            r = pool.queue.first
            old = r.asked_ns - RECENT_NS
            if r.asked and now < r.asked_ns + PROBE_WAIT_NS and any(s.load_ns <= old for s in r.asked):
                break
            choices = self._choices(r) if r.attempts else None
            fresh = [s for s in r.asked if s.load_ns > old and fleet.is_available(s, now)]
            r.asked = []
            server = fleet.pick(pool, now, fresh or choices)
            full = server is not None and self._late_there(r, server, now)
            if full or (server is None and choices is not None):
                # All that it may go to are busy, or would answer late: it must not stop the line.
                self.rate.unplaced += not r.hurried and not fleet.tells
                self._refuse(r, now, "late" if full else "busy")
            elif server is not None:
                pool.queue.popleft()
                r.place = ""
                self._settle(r.giving_up)
                if r.may_send(server, now, limits):
                    self._send(r, server, now)
                else:
                    self._refuse(r, now, "tried")
            else:
                pool.blocked_ns = pool.blocked_ns or now
                if not self.load_model.lift(now):
                    break
        if not pool.queue:
            pool.blocked_ns = 0

    def _late_there(self, r: Request, server: Server, now: int) -> bool:
        """Would the lightest that was found, by what it is known to hold, answer this after its aim?

        Guards, by what is taken off a client's second try, against a fleet that is short serving those whose aim
        has long gone by, in the place of fresh work: a third of all answers of wide+huge came too late so."""
        left = r.aim_ns - r.gone_ns - now
        if server.peer_load is not None:
            return self.load_model.time(server.crowd(now) + 1) * self.fleet.pace(server, now) > left
        return (
            server.load >= 1
            and server.told(now)
            and self.load_model.time(server.load + 1.5) * server.latency_ratio > left
        )

    def _send(self, r: Request, server: Server, now: int) -> None:
        self.load_model.record_busy_time(self.fleet.refresh_placement(server), now)
        server.inflight += 1
        self._mark_changed(server)
        server.load += server.load_ns > 0
        expected = max(1.0, self.load_model.expected_ns(r) * server.latency_ratio)
        r.attempts.append(Attempt(server, now, expected, max(1.0, server.crowd(now))))
        if self.fleet.is_cold(server, now):
            self.fleet.rest(server, now + self.fleet.cold_gap_ns(server, now))
            self._set_timer(server.backoff_until_ns, "pump")
        # Where a late answer is worth nothing, an attempt ends at the aim and leaves its place to another.
        timeout = 0 if r.cls.late_worth or r.cls.stream else max(1, r.aim_ns - now)
        self.actions.append(api.Send(r.id, server.id, timeout))
        overdue = now + int(expected * (1.3 + 3 * self.load_model.spread))
        r.attempts[-1].overdue = self._set_timer(overdue, "overdue", r, len(r.attempts) - 1)

    def _feedback(self, now: int) -> None:
        self.checked_ns = now
        fleet = self.fleet
        self.load_model.settle()
        fleet.settle()
        for pool in fleet.pools.values():  # one beyond the home while the line waits; more cost connections
            pool.draw_size = min(len(pool.reach), pool.home + bool(pool.blocked_ns))
        load = fleet.load(now)
        took = self.load_model.mean if load is None else self.load_model.time(load + 1)
        self.rate.adjust(
            now, fleet.default_pool.draw_size, load is None or load >= CROWDED, took <= ROOM_PART * self.shortest_aim_ns
        )
        for t in self.throttles.values():
            self._release(t, now)
