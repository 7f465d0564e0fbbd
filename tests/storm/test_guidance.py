"""What the decisions make of the storm module's figures; without any they decide as ever."""

from __future__ import annotations

import pytest

from lanemux import interface as api
from lanemux.policy import BURST, Balancer

MS = 1_000_000
SECOND = 1000 * MS


class Player:
    """A balancer, and what it has been told."""

    def __init__(self, upstreams: int = 4, replicas: int = 4, seed: int = 1, **rules: float) -> None:
        self.now = 100 * SECOND
        settings = api.Settings(
            classes={"fee": api.RequestClass("fee", aim_ns=300 * MS)}, replicas_of_me=replicas,
            tenants={"a": api.Tenant("a", 0.5), "b": api.Tenant("b", 0.5)},
            limits=api.Limits(max_attempts=5, retry_after=True),
            rules=api.Rules(cold_from=0.31, cold_ns=8 * SECOND, fall_multiple=2.5))
        self.balancer = Balancer(settings, seed, self.now)
        self.sends: list[int] = []  # when, whatever brought them
        self.hand(api.ListUpdate(api.ListKind.FULL, [api.Upstream(n) for n in range(upstreams)]))
        self.count = 0

    def hand(self, *events: api.Event) -> list[api.Action]:
        made = self.balancer.handle(self.now, events)
        self.sends += [self.now for a in made if isinstance(a, api.Send)]
        return made

    def wait(self, for_ns: int) -> None:
        """Time goes by, and what is due comes when it is."""
        end = self.now + for_ns
        while self.balancer.due and self.balancer.due[0][0] <= end:
            self.now = max(self.now, self.balancer.due[0][0])
            self.hand()
        self.now = end

    def ask(self, tenant: str = "a", retry: bool = False, hint: int = 0) -> list[api.Action]:
        self.count += 1
        return self.hand(api.Arrival(f"r{self.count}", "fee", tenant, self.now + SECOND, hint, "", retry))

    def serve(self, made: list[api.Action], took_ns: int = 60 * MS, result: api.Result = api.Result.OK,
              attempt: int = 0) -> list[api.Action]:
        """The sends of these actions end so, after their time."""
        more: list[api.Action] = []
        for a in made:
            if isinstance(a, api.Send):
                self.wait(took_ns)
                more += self.hand(api.Outcome(a.request, attempt, a.upstream, result, took_ns, result is api.Result.OK))
        return more

    def train(self, count: int = 60) -> None:
        """It learns what requests take."""
        for _ in range(count):
            self.serve(self.ask())


def admitted(player: Player, tenant: str, retry: bool, count: int, hint: int = 0) -> int:
    """How many of them are sent; each is served."""
    found = 0
    for _ in range(count):
        made = player.ask(tenant, retry, hint)
        player.serve(made)
        found += any(isinstance(a, api.Send) for a in made)
    return found


def test_a_bounded_tenants_retries_keep_to_their_share_and_anothers_are_free() -> None:
    player = Player(upstreams=100)
    player.train()
    player.hand(api.Guidance(retries={"a": 0.1}))
    assert int(BURST) - 1 <= admitted(player, "a", True, 30) <= int(BURST)
    assert admitted(player, "b", True, 30) == 30
    assert admitted(player, "a", False, 20) == 20
    assert 1 <= admitted(player, "a", True, 30) <= 3
    player.hand(api.Guidance())
    assert admitted(player, "a", True, 5) == 5


def test_heavy_retries_cost_more_of_the_share() -> None:
    player = Player(upstreams=60)
    for _ in range(60):
        player.serve(player.ask(hint=60 * MS))
    player.hand(api.Guidance(retries={"a": 0.1}))
    assert admitted(player, "a", True, 30, hint=300 * MS) <= 2


def repeats(guide: api.Guidance) -> int:
    """Of 40 requests whose first attempt fails, how many are tried again."""
    player = Player(upstreams=60)
    player.train()
    player.hand(guide)
    repeated = 0
    for _ in range(40):
        made = player.serve(player.ask(), MS, api.Result.CONNECT_FAILED)
        player.serve(made, attempt=1)
        repeated += any(isinstance(a, api.Send) for a in made)
        player.wait(SECOND)  # what was barred is free again
    return repeated


def test_attempts_after_the_first_keep_to_their_share() -> None:
    assert repeats(api.Guidance()) == 40
    assert repeats(api.Guidance(again=0.0)) == int(BURST)
    assert int(BURST) + 3 <= repeats(api.Guidance(again=0.1)) <= int(BURST) + 4


def test_no_guidance_bounds_nothing() -> None:
    player = Player(upstreams=60)
    assert player.balancer.fleet.guide == api.Guidance()
    assert admitted(player, "a", True, 200) == 200


@pytest.mark.parametrize("replicas", [1, 4, 16])
def test_sends_to_a_cold_upstream_stay_within_this_ones_part_of_what_it_bears(replicas: int) -> None:
    """One second of asking as fast as it goes, over all proxies; a warm upstream does one in 60 ms."""
    sent = 0
    for me in range(replicas):
        player = Player(upstreams=1, replicas=replicas, seed=me)
        player.train()
        player.hand(api.Guidance(part=1 / replicas))
        player.hand(api.ListUpdate(api.ListKind.DELTA, [api.Upstream(0, started_ns=player.now)]))
        end = player.now + SECOND
        player.sends.clear()
        while player.now < end:
            made = player.ask()
            player.wait(5 * MS)
            for a in made:
                if isinstance(a, api.Send):
                    player.hand(api.Outcome(a.request, 0, a.upstream, api.Result.FULL, MS))
        sent += len(player.sends)
    budget = 2.5 * 0.4 / 0.060  # it warms a little within the second
    assert sent <= 0.75 * budget + replicas  # each may have begun with one


def test_first_sends_to_one_that_comes_back_do_not_come_in_one_moment() -> None:
    first = []
    for me in range(16):
        player = Player(upstreams=1, replicas=16, seed=me)
        player.train()
        player.hand(api.Guidance(part=1 / 16))
        player.hand(api.ListUpdate(api.ListKind.DELTA, [api.Upstream(0, started_ns=player.now)]))
        player.sends.clear()
        began = player.now
        for _ in range(800):
            player.ask()
            player.wait(5 * MS)
            if player.sends:
                break
        first.append(player.sends[0] - began)
    assert len(set(first)) > 8 and sum(at < 100 * MS for at in first) <= 6 and max(first) <= 3000 * MS


def test_the_rate_comes_down_with_the_list_before_anything_fails_and_is_free_afterwards() -> None:
    player = Player(upstreams=8, replicas=1)
    player.train()
    before = player.balancer.rate.value
    player.hand(api.Guidance(part=1.0, bounded=True))
    player.wait(SECOND)
    player.serve(player.ask())
    bounded = player.balancer.rate.value
    assert before > 1000 and 8 / 0.060 < bounded < 2 * 8 / 0.060
    player.hand(api.Guidance(part=1.0))
    for _ in range(40):
        player.wait(SECOND // 2)
        for tenant in player.balancer.throttles.values():
            tenant.short = True
        player.train(10)
    assert player.balancer.rate.value > 2 * bounded
