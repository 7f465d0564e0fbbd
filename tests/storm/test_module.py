"""The storm's module round the decisions: what it hands on, what it puts into refusals, what it keeps."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import pytest

from lanemux import interface as api
from lanemux.storm.module import LOOK_NS, Plan, Storm
from lanemux.storm.sense import Phase
from lanemux.storm.shares import FORM, WANT

MS = 1_000_000
SECOND = 1000 * MS


class Inner:
    """Notes the events, and refuses or serves as told."""

    def __init__(self, decide: Callable[[api.Arrival], api.Action]) -> None:
        self.events: list[api.Event] = []
        self._decide = decide

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        fresh = list(events)
        self.events += fresh
        return [self._decide(e) for e in fresh if isinstance(e, api.Arrival)]

    def of(self, kind: type) -> list[api.Event]:
        return [e for e in self.events if isinstance(e, kind)]


def told(marked: bool = True, peers: bool = False, replicas: int = 4) -> api.Settings:
    return api.Settings(
        classes={"fee": api.RequestClass("fee", worth=5.0), "list": api.RequestClass("list", worth=1.0)},
        tenants={"a": api.Tenant("a"), "b": api.Tenant("b")}, retries_marked=marked, replicas_of_me=replicas,
        limits=api.Limits(peers=peers, retry_after=True, max_retry_after_ns=2 * SECOND),
        rules=api.Rules(cold_from=0.3, cold_ns=8 * SECOND))


def refuse(e: api.Arrival) -> api.Action:
    return api.Refuse(e.request, SECOND // 2)


class Player:
    """Sends requests to a storm's module at a rate."""

    def __init__(self, settings: api.Settings, decide: Callable[[api.Arrival], api.Action] = refuse,
                 plan: Plan | None = None) -> None:
        self.inner = Inner(decide)
        self.now = 100 * SECOND
        self.storm = Storm(self.inner, settings, plan or Plan(), 1, self.now)
        self.count = 0
        self.actions: list[api.Action] = []

    def hand(self, *events: api.Event) -> list[api.Action]:
        made = self.storm.handle(self.now, events)
        self.actions += made
        return made

    def ask(self, tenant: str = "a", retry: bool = False, class_name: str = "fee", key: str = "") -> list[api.Action]:
        self.count += 1
        return self.hand(api.Arrival(f"r{self.count}", class_name, tenant, self.now + SECOND, 1000, key, retry))

    def run(self, seconds: float, retries: float, tenant: str = "a", rate: int = 100) -> None:
        for n in range(int(seconds * rate)):
            self.now += SECOND // rate
            self.ask(tenant, retry=n % 10 < 10 * retries, key=f"u{self.count}")

    def guidance(self) -> api.Guidance:
        found = self.inner.of(api.Guidance)
        assert found and isinstance(found[-1], api.Guidance)
        return found[-1]


def test_one_partners_storm_bounds_its_retries_and_not_anothers() -> None:
    player = Player(told())
    player.run(3, 0.6, "a")
    assert player.storm.phase is Phase.STORM
    assert dict(player.guidance().retries) == {"a": Plan().retries} and player.guidance().again == Plan().again


def test_a_start_is_careful_and_a_quiet_one_is_calm_soon() -> None:
    player = Player(told(), lambda e: api.Send(e.request, 1))
    player.run(0.2, 0.0)
    assert player.guidance().again == Plan().again_ebb
    player.run(4, 0.0)
    assert player.storm.phase is Phase.CALM
    assert player.guidance().again == math.inf and not player.guidance().retries


def test_fresh_work_beyond_all_that_can_be_served_bounds_no_retries() -> None:
    player = Player(told())
    player.run(4, 0.0, rate=1000)
    assert player.storm.phase is Phase.CALM and not player.guidance().retries


def test_refusals_tell_spread_times_and_the_module_keeps_nothing_of_them() -> None:
    player = Player(told())
    for n in range(400):
        player.ask(class_name="fee" if n % 2 else "list", retry=bool(n % 3))
        player.now += MS // 2
    waits = [a.retry_after_ns for a in player.actions if isinstance(a, api.Refuse)]
    assert len(waits) == 400 and len(set(waits)) > 380 and min(waits) > 0 and max(waits) <= 2 * SECOND
    assert player.storm.open == 0


def test_a_refusal_without_a_time_stays_without() -> None:
    player = Player(told(), lambda e: api.Refuse(e.request, 0))
    assert player.ask() == [api.Refuse("r1", 0)]


@pytest.mark.parametrize("end", [
    lambda name: api.Outcome(name, 0, 1, api.Result.OK, 5, True), lambda name: api.ClientGone(name)])
def test_what_has_ended_is_forgotten(end: Callable[[str], api.Event]) -> None:
    player = Player(told(), lambda e: api.Send(e.request, 1))
    player.ask()
    assert player.storm.open == 1
    player.hand(end("r1"))
    player.hand(end("r1"))
    assert player.storm.open == 0


def test_retries_that_are_not_marked_are_known_in_a_storm_only() -> None:
    player = Player(told(marked=False))
    marks: dict[Phase, set[bool]] = {p: set() for p in Phase}
    for n in range(1200):
        player.now += 5 * MS
        phase = player.storm.tenants["a"].phase
        player.ask(key=f"u{n // 4}")  # each comes four times
        last = player.inner.of(api.Arrival)[-1]
        assert isinstance(last, api.Arrival)
        if n % 4:
            marks[phase].add(last.retry)
        else:
            assert not last.retry
    assert marks[Phase.CALM] == {False} and marks[Phase.STORM] == {True}


def test_a_storm_of_unmarked_retries_is_not_told_of_fresh_work() -> None:
    player = Player(told(marked=False))
    player.run(4, 0.0, rate=500)  # each with a key of its own
    assert player.storm.phase is Phase.CALM


def test_a_shrunken_list_bounds_the_rate_until_it_has_grown_again() -> None:
    player = Player(told(), lambda e: api.Send(e.request, 1))
    fleet = [api.Upstream(n) for n in range(8)]
    player.hand(api.ListUpdate(api.ListKind.FULL, fleet))
    player.run(0.3, 0.0)
    assert not player.guidance().bounded
    player.hand(api.ListUpdate(api.ListKind.DELTA, [api.Upstream(n, api.State.GONE) for n in (0, 1)]))
    player.run(0.3, 0.0)
    assert player.guidance().bounded
    player.hand(api.ListUpdate(api.ListKind.DELTA, [api.Upstream(n, started_ns=player.now) for n in (0, 1)]))
    player.run(0.3, 0.0)
    assert player.guidance().bounded  # they are cold
    player.run(8.2, 0.0)
    assert not player.guidance().bounded


def test_a_restart_that_was_found_out_reaches_the_decisions_as_a_list() -> None:
    player = Player(told(), lambda e: api.Send(e.request, 7))
    player.hand(api.ListUpdate(api.ListKind.FULL, [api.Upstream(7)]))
    for _ in range(3):
        player.now += 40 * MS
        player.hand(api.ProbeResult(7, api.Result.CONNECT_FAILED, 0))
    player.hand(api.ProbeResult(7, api.Result.OK, 0, {"inflight": 0}))
    last = player.inner.of(api.ListUpdate)[-1]
    assert last == api.ListUpdate(api.ListKind.DELTA, [api.Upstream(7, started_ns=player.now)])


@pytest.mark.parametrize(("peers", "messages", "asked"), [
    (True, True, True), (False, True, False), (True, False, False)])
def test_peers_are_asked_while_an_upstream_is_cold_where_that_is_allowed(peers: bool, messages: bool,
                                                                         asked: bool) -> None:
    player = Player(told(peers=peers), lambda e: api.Send(e.request, 1), Plan(messages=messages))
    player.run(1, 0.0)
    assert not [a for a in player.actions if isinstance(a, api.Tell)]
    player.hand(api.ListUpdate(api.ListKind.FULL, [api.Upstream(1, started_ns=player.now)]))
    player.run(2, 0.0)
    tells = [a for a in player.actions if isinstance(a, api.Tell)]
    assert bool(tells) is asked and len(tells) <= 9 and all(len(t.data) <= 256 and t.peer == -1 for t in tells)


def test_a_want_is_answered_to_its_sender() -> None:
    player = Player(told(peers=True), lambda e: api.Send(e.request, 1))
    player.now += 5 * SECOND
    made = player.hand(api.PeerMessage(2, FORM.pack(0xA7, 1, WANT, 9, 500.0)))
    assert [a.peer for a in made if isinstance(a, api.Tell)] == [2]
    player.now += LOOK_NS
    player.ask()
    assert player.guidance().part < 0.05  # it has lent what it does not need
