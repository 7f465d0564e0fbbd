"""The storm module: the events it passes on, the Retry-After it sets and the state it keeps."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import pytest

from lanemux import interface as api
from lanemux.storm.detector import Phase
from lanemux.storm.module import StormModule, StormOptions

MS = 1_000_000
SECOND = 1000 * MS


class FakeDecisions:
    """A fake decision module: records the events and decides with `decide`."""

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


def make_settings(retries_marked: bool = True) -> api.Settings:
    return api.Settings(
        classes={"fee": api.RequestClass("fee", worth=5.0), "list": api.RequestClass("list", worth=1.0)},
        tenants={"a": api.Tenant("a"), "b": api.Tenant("b")},
        retries_marked=retries_marked,
        limits=api.Limits(retry_after=True, max_retry_after_ns=2 * SECOND),
        rules=api.Rules(cold_from=0.3, cold_ns=8 * SECOND),
    )


def refuse(e: api.Arrival) -> api.Action:
    return api.Refuse(e.request, SECOND // 2)


class Driver:
    """Sends requests to a storm module at a given rate."""

    def __init__(
        self,
        settings: api.Settings,
        decide: Callable[[api.Arrival], api.Action] = refuse,
        options: StormOptions | None = None,
    ) -> None:
        self.inner = FakeDecisions(decide)
        self.now = 100 * SECOND
        self.storm = StormModule(self.inner, settings, options or StormOptions(), 1, self.now)
        self.count = 0
        self.actions: list[api.Action] = []

    def handle(self, *events: api.Event) -> list[api.Action]:
        actions = self.storm.handle(self.now, events)
        self.actions += actions
        return actions

    def ask(self, tenant: str = "a", retry: bool = False, class_name: str = "fee", key: str = "") -> list[api.Action]:
        self.count += 1
        return self.handle(api.Arrival(f"r{self.count}", class_name, tenant, self.now + SECOND, 1000, key, retry))

    def run(self, seconds: float, retries: float, tenant: str = "a", rate: int = 100) -> None:
        for n in range(int(seconds * rate)):
            self.now += SECOND // rate
            self.ask(tenant, retry=n % 10 < 10 * retries, key=f"u{self.count}")


def notes(driver: Driver) -> list[str]:
    return [a.text for a in driver.actions if isinstance(a, api.WriteLog)]


def test_storm_is_logged_when_it_begins_and_ends() -> None:
    driver = Driver(make_settings())
    driver.run(3, 0.6)
    assert notes(driver)[-1].startswith("storm: ebb -> storm; of what comes ")
    driver.inner.decide = lambda e: api.Send(e.request, 1)
    driver.run(5, 0.0)
    assert driver.storm.phase is Phase.CALM and notes(driver)[-1].startswith("storm: ebb -> calm")


def test_new_requests_beyond_capacity_are_no_storm() -> None:
    driver = Driver(make_settings())
    driver.run(4, 0.0, rate=1000)
    assert driver.storm.phase is Phase.CALM


def test_events_reach_the_decision_module_unchanged() -> None:
    """Apart from detected restarts, events pass unchanged: nothing is admitted, marked or limited here."""
    driver = Driver(make_settings(retries_marked=False))
    driver.run(2, 0.5)
    assert all(isinstance(e, api.Arrival) for e in driver.inner.events)
    assert len(driver.inner.events) == driver.count


def test_refusals_get_spread_retry_after_and_leave_no_state() -> None:
    driver = Driver(make_settings())
    for n in range(400):
        driver.ask(class_name="fee" if n % 2 else "list", retry=bool(n % 3))
        driver.now += MS // 2
    waits = [a.retry_after_ns for a in driver.actions if isinstance(a, api.Refuse)]
    assert len(waits) == 400 and len(set(waits)) > 380 and min(waits) > 0 and max(waits) <= 2 * SECOND
    assert driver.storm.open_requests == 0


def test_refusal_without_retry_after_stays_without() -> None:
    driver = Driver(make_settings(), lambda e: api.Refuse(e.request, 0))
    assert driver.ask() == [api.Refuse("r1", 0)]


@pytest.mark.parametrize(
    "end",
    [
        lambda name: api.Outcome(name, 0, 1, api.Result.OK, 5, True),
        lambda name: api.Outcome(name, 0, 1, api.Result.RESET, 5, True),  # a streamed response that broke off leaked
        lambda name: api.Outcome(name, 0, 1, api.Result.TIMEOUT, 5, True),
        lambda name: api.ClientGone(name),
    ],
)
def test_ended_requests_leave_no_state(end: Callable[[str], api.Event]) -> None:
    driver = Driver(make_settings(), lambda e: api.Send(e.request, 1))
    driver.ask()
    assert driver.storm.open_requests == 1
    driver.handle(end("r1"))
    driver.handle(end("r1"))
    assert driver.storm.open_requests == 0


def test_detected_restart_reaches_the_decision_module_as_list_update() -> None:
    driver = Driver(make_settings(), lambda e: api.Send(e.request, 7))
    driver.handle(api.ListUpdate(api.ListKind.FULL, [api.Upstream(7)]))
    driver.handle(api.ProbeResult(7, api.Result.CONNECT_FAILED, 0))
    driver.now += 60 * MS
    driver.handle(api.ProbeResult(7, api.Result.OK, 0, {"inflight": 0}))
    last = driver.inner.of(api.ListUpdate)[-1]
    assert last == api.ListUpdate(api.ListKind.DELTA, [api.Upstream(7, started_ns=driver.now)])
