"""The homes that proxies draw from: updated incrementally, they equal those computed from the whole list."""

from __future__ import annotations

import random

import pytest

from lanemux import interface as api
from lanemux.core.ring import hash_id
from lanemux.policy import GOLDEN_RATIO, HOME_SIZES, MIN_HOME, OVERLAP, Balancer

ZONES = ("east", "west", "north")
KINDS = ("m", "xl")
START = 1_000_000_000
DEAR = api.Prices(connection=0.03, cross_zone=0.01)
ASKED = api.Limits(max_attempts=3, probes=True)


def settings(rng: random.Random) -> api.Settings:
    classes = {
        "read": api.RequestClass("read", api.Effect.SAFE),
        "east": api.RequestClass("east", api.Effect.SAFE, zones=frozenset({"east"})),
        "big": api.RequestClass("big", api.Effect.SAFE, kinds=frozenset({"xl"})),
    }
    proxies = rng.choice([1, 2, 4, 7, 40])
    return api.Settings(
        me=rng.randrange(proxies),
        replicas_of_me=proxies,
        zone=rng.choice(ZONES),
        zones=ZONES,
        classes=classes,
        limits=ASKED if rng.random() < 0.5 else api.Limits(max_attempts=3),
        report_columns=("inflight",),
        prices=DEAR if rng.random() < 0.5 else api.Prices(),
    )


def entry(rng: random.Random, number: int) -> api.Upstream:
    state = rng.choices(list(api.State), (1, 6, 1))[0]
    return api.Upstream(number, state, rng.choice(ZONES), 0, 1.0, rng.choice([0, START]), rng.choice(KINDS))


def history(rng: random.Random, size: int) -> list[api.ListUpdate]:
    """Random lists and deltas as a source may send them, with empty lists and removals of unknown upstreams."""
    updates = [api.ListUpdate(api.ListKind.CACHED, [entry(rng, i) for i in range(rng.randrange(size))])]
    for _ in range(30):
        if rng.random() < 0.1:
            many = rng.sample(range(size), rng.randrange(size))
            updates.append(api.ListUpdate(api.ListKind.FULL, [entry(rng, i) for i in many]))
        else:
            few = [entry(rng, rng.randrange(size)) for _ in range(rng.choice([0, 1, 1, 3]))]
            updates.append(api.ListUpdate(api.ListKind.DELTA, few))
    return updates


def listed(updates: list[api.ListUpdate]) -> dict[int, api.Upstream]:
    """The ready upstreams after all updates."""
    now: dict[int, api.Upstream] = {}
    for update in updates:
        if update.kind is not api.ListKind.DELTA:
            now = {}
        now |= {e.id: e for e in update.upstreams}
    return {i: e for i, e in now.items() if e.state is api.State.READY}


def expected(
    told: api.Settings,
    cls: api.RequestClass,
    ready: dict[int, api.Upstream],
    looks: bool,
) -> tuple[list[int], int, float]:
    """The whole order, the size of the home and the number of proxies that share it, computed from scratch."""

    def scrambled(entries: list[api.Upstream], salt: int) -> list[int]:
        return [e.id for e in sorted(entries, key=lambda e: (hash_id(e.id, salt), e.id))]

    pool = [
        e
        for e in ready.values()
        if (cls.zones is None or e.zone in cls.zones) and (cls.kinds is None or e.kind in cls.kinds)
    ]
    near, proxies = pool, told.replicas_of_me
    if told.prices.connection > 0 and proxies >= len(told.zones):
        near = [e for e in pool if e.zone == told.zone] or pool
    n, first = len(near), told.me * len(near) // proxies
    if n < len(pool) or cls.zones is not None:
        proxies, first = max(1, proxies // len(told.zones)), int(told.me * GOLDEN_RATIO % 1 * n)
    least = MIN_HOME if told.prices.connection > 0 else max(HOME_SIZES[0], min(HOME_SIZES[1], OVERLAP * n // proxies))
    home = len(pool) if looks else min(n, max(least, -(-n // proxies)))
    ring = scrambled(near, 0)
    ring = ring[first:] + ring[:first]
    beyond = [e for e in near if e.id in set(ring[home:])]
    far = [e for e in pool if e.id not in set(ring)]
    order = ring[:home] + scrambled(beyond, told.me + 1) + scrambled(far, told.me + 1)
    return order, home, proxies * home / n if n else 1.0


@pytest.mark.parametrize("seed", range(60))
def test_incrementally_updated_homes_equal_recomputed_ones(seed: int) -> None:
    rng = random.Random(seed)
    told, updates = settings(rng), history(rng, rng.choice([3, 12, 60]))
    balancer = Balancer(told, 1, START)
    fleet = balancer.fleet
    for count, update in enumerate(updates, 1):
        balancer.handle(START + count, [update])
        ready = listed(updates[:count])
        shares = dict.fromkeys(ready, 1.0)
        own = set()
        for cls in told.classes.values():
            pool = fleet.pool_for(cls)
            order, home, overlap = expected(told, cls, ready, fleet.uses_probes)
            assert ([s.id for s in pool.all()], pool.subset_size) == (order, home)
            assert [s.id for s in pool.candidates] == order[: home + 1]
            assert home <= pool.draw_size <= home + 1
            own |= set(order[:home])
            shares |= {i: max(shares[i], overlap) for i in order[:home]}
        for number in ready:
            server = fleet.refresh_placement(fleet.servers[number])
            assert (server.in_own_home, server.overlap) == (
                number in own,
                shares[number] if server.in_own_home else 1.0,
            )
        assert not fleet.leaving and set(fleet.servers) >= set(ready)


def test_a_removed_upstream_is_kept_only_while_it_has_a_request() -> None:
    read = api.RequestClass("read", api.Effect.SAFE)
    b = Balancer(api.Settings(classes={"read": read}, limits=api.Limits(max_attempts=2)), 1, START)
    b.handle(START, [api.ListUpdate(api.ListKind.FULL, [api.Upstream(1)])])
    assert api.Send in {type(a) for a in b.handle(START, [api.Arrival("r", "read", "", START * 3)])}
    b.handle(START, [api.ListUpdate(api.ListKind.DELTA, [api.Upstream(1, api.State.GONE)])])
    assert set(b.fleet.servers) == {1} == set(b.fleet.leaving)
    b.handle(START + 9, [api.Outcome("r", 0, 1, api.Result.OK, 9, True)])
    b.handle(START + 9, [api.ListUpdate(api.ListKind.DELTA, [])])
    assert not b.fleet.servers and not b.fleet.leaving
