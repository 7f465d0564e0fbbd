"""The storm's module round the decisions: what it hands on, what it puts into refusals, what it keeps."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import pytest

from lanemux import interface as api
from lanemux.storm.module import Plan, Storm
from lanemux.storm.sense import Phase

MS = 1_000_000
SECOND = 1000 * MS


class Inner:
    """Notes the events, and refuses or serves as told."""

    def __init__(self, decide: Callable[[api.Arrival], api.Action]) -> None:
        self.events: list[api.Event] = []
        self.decide = decide

    def avoided(self, now: int) -> int:
        return 0

    def standing(self, now: int) -> dict[str, object]:
        return {}

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        fresh = list(events)
        self.events += fresh
        return [self.decide(e) for e in fresh if isinstance(e, api.Arrival)]

    def of(self, kind: type) -> list[api.Event]:
        return [e for e in self.events if isinstance(e, kind)]


def told(marked: bool = True) -> api.Settings:
    return api.Settings(
        classes={"fee": api.RequestClass("fee", worth=5.0), "list": api.RequestClass("list", worth=1.0)},
        tenants={"a": api.Tenant("a"), "b": api.Tenant("b")},
        retries_marked=marked,
        limits=api.Limits(retry_after=True, max_retry_after_ns=2 * SECOND),
        rules=api.Rules(cold_from=0.3, cold_ns=8 * SECOND),
    )


def refuse(e: api.Arrival) -> api.Action:
    return api.Refuse(e.request, SECOND // 2)


class Player:
    """Sends requests to a storm's module at a rate."""

    def __init__(
        self, settings: api.Settings, decide: Callable[[api.Arrival], api.Action] = refuse, plan: Plan | None = None
    ) -> None:
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


def notes(player: Player) -> list[str]:
    return [a.text for a in player.actions if isinstance(a, api.WriteLog)]


def test_a_storm_is_noted_when_it_begins_and_when_it_is_over() -> None:
    player = Player(told())
    player.run(3, 0.6)
    assert notes(player)[-1].startswith("storm: ebb -> storm; of what comes ")
    player.inner.decide = lambda e: api.Send(e.request, 1)
    player.run(5, 0.0)
    assert player.storm.phase is Phase.CALM and notes(player)[-1].startswith("storm: ebb -> calm")


def test_fresh_work_beyond_all_that_can_be_served_is_no_storm() -> None:
    player = Player(told())
    player.run(4, 0.0, rate=1000)
    assert player.storm.phase is Phase.CALM


def test_the_decisions_hear_what_they_heard_without_it() -> None:
    """Beside what a restart adds, events pass as they come: nothing is admitted, marked or bounded here."""
    player = Player(told(marked=False))
    player.run(2, 0.5)
    assert all(isinstance(e, api.Arrival) for e in player.inner.events)
    assert len(player.inner.events) == player.count


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


@pytest.mark.parametrize(
    "end", [lambda name: api.Outcome(name, 0, 1, api.Result.OK, 5, True), lambda name: api.ClientGone(name)]
)
def test_what_has_ended_is_forgotten(end: Callable[[str], api.Event]) -> None:
    player = Player(told(), lambda e: api.Send(e.request, 1))
    player.ask()
    assert player.storm.open == 1
    player.hand(end("r1"))
    player.hand(end("r1"))
    assert player.storm.open == 0


def test_a_restart_that_was_found_out_reaches_the_decisions_as_a_list() -> None:
    player = Player(told(), lambda e: api.Send(e.request, 7))
    player.hand(api.ListUpdate(api.ListKind.FULL, [api.Upstream(7)]))
    player.hand(api.ProbeResult(7, api.Result.CONNECT_FAILED, 0))
    player.now += 60 * MS
    player.hand(api.ProbeResult(7, api.Result.OK, 0, {"inflight": 0}))
    last = player.inner.of(api.ListUpdate)[-1]
    assert last == api.ListUpdate(api.ListKind.DELTA, [api.Upstream(7, started_ns=player.now)])
