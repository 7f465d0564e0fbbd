"""Peer reports between balancers that share upstreams: the format, and what a fleet gains from them."""

from __future__ import annotations

import gc
import random
from collections import Counter

import pytest

from lanemux import interface as api
from lanemux import sharing
from lanemux.core import peer_report
from lanemux.policy import Balancer
from tests.bench import MS, SECOND, START
from tests.fleet import Box, Clients, Fleet, settings


def ready(count: int) -> api.ListUpdate:
    return api.ListUpdate(api.ListKind.FULL, [api.Upstream(n) for n in range(1, count + 1)])


def peer_sends(actions: list[api.Action]) -> list[api.SendToPeer]:
    return [a for a in actions if isinstance(a, api.SendToPeer)]


def test_a_report_survives_encoding_and_decoding() -> None:
    report = peer_report.PeerReport(4_294_967_295, 7, 3, 2 * SECOND, last_ok=True)
    assert peer_report.read_reports(report.encode()) == [report]
    (longest,) = peer_report.read_reports(peer_report.PeerReport(1, 300, 999, 60 * SECOND).encode())
    assert (longest.sequence, longest.in_flight, longest.avoid_ns) == (44, 127, 255 * peer_report.AVOID_STEP_NS)


@pytest.mark.parametrize("data", [b"", b"x", b"\x00" * 6, b"\xff" * 8, b"\x00" * 256])
def test_malformed_reports_are_ignored(data: bytes) -> None:
    balancer = Balancer(settings(0, 40), 1, START)
    balancer.handle(START, [ready(60)])
    balancer.handle(START + MS, [api.PeerMessage(3, data)])
    assert all(s.peer_load is None for s in balancer.fleet.servers.values())


@pytest.mark.parametrize(
    ("proxies", "upstreams", "subset"),
    [(40, 60, 10), (40, 59, 9), (4, 60, 15), (400, 120, 4), (40, 8, 8), (3, 2, 2), (1, 5, 5)],
)
def test_peers_sharing_an_upstream_are_those_whose_subset_contains_it(
    proxies: int, upstreams: int, subset: int
) -> None:
    subsets = [{(p * upstreams // proxies + i) % upstreams for i in range(subset)} for p in range(proxies)]
    for position in range(upstreams):
        holders = {p for p in range(proxies) if position in subsets[p]}
        for me in range(proxies):
            recipients = sharing.peers_sharing(position, upstreams, subset, proxies, me)
            assert me not in recipients
            if len(holders) <= sharing.MAX_RECIPIENTS:
                assert sorted(recipients) == sorted(holders - {me})
            assert len(recipients) <= sharing.MAX_RECIPIENTS


def test_an_overtaken_report_is_ignored() -> None:
    load = sharing.PeerLoad(expiry_ns=200 * MS)
    assert load.update(5, peer_report.PeerReport(1, 255, 2), START)
    assert load.update(5, peer_report.PeerReport(1, 256, 0), START + MS)
    assert not load.update(5, peer_report.PeerReport(1, 255, 2), START + 2 * MS)
    assert load.in_flight(START + 3 * MS) == 0
    assert load.update(6, peer_report.PeerReport(1, 1, 1), START + 3 * MS)
    assert load.in_flight(START + 4 * MS) == 1
    assert load.in_flight(START + 203 * MS) == 0  # the report of its end was lost
    assert load.update(5, peer_report.PeerReport(1, 90, 1), START + 400 * MS)  # a restarted peer


def test_reports_of_any_number_of_senders_use_bounded_memory() -> None:
    load = sharing.PeerLoad(expiry_ns=200 * MS)
    for peer in range(10_000):
        load.update(peer, peer_report.PeerReport(1, 1, 1), START)
    assert len(load.reports) <= 2 * sharing.MAX_RECIPIENTS
    assert load.update(10_001, peer_report.PeerReport(1, 1, 1), START + 200 * MS)
    assert load.in_flight(START + 200 * MS) == 1


@pytest.mark.parametrize(
    "changes",
    [
        {"limits": api.Limits(max_attempts=5, may_cancel=True, probes=True)},  # no peers
        {"prices": api.Prices(peer=0.01, probe=0.002)},  # probes are cheap
        {"prices": api.Prices(peer=0.1, probe=0.12)},  # reports are expensive
    ],
)
def test_no_reports_are_sent_where_not_allowed_or_not_worth_their_price(changes: dict[str, object]) -> None:
    balancer = Balancer(settings(0, 40, **changes), 1, START)
    balancer.handle(START, [ready(60)])
    assert not peer_sends(balancer.handle(START + MS, [api.Arrival("a", "quote", "ash", START + 400 * MS)]))


def test_a_report_adds_no_upstream_and_avoided_upstreams_get_no_requests() -> None:
    """An upstream known only from a report is not used; one that a peer avoids is avoided here too."""
    balancer = Balancer(settings(0, 40), 1, START)
    balancer.handle(START, [ready(60)])
    subset = balancer.fleet.default_pool.candidates[: balancer.fleet.default_pool.subset_size]
    avoided = subset[:5]
    reports = [peer_report.PeerReport(s.id, 1, 0, SECOND) for s in avoided] + [
        peer_report.PeerReport(999, 1, 0, SECOND)
    ]
    balancer.handle(START + MS, [api.PeerMessage(1, r.encode()) for r in reports])
    assert 999 not in balancer.fleet.servers
    sent = set()
    for i in range(5):
        now = START + (2 + i) * MS
        actions = balancer.handle(now, [api.Arrival(f"a{i}", "quote", "ash", now + 400 * MS)])
        sent |= {a.upstream for a in actions if isinstance(a, api.Send)}
    assert sent == {s.id for s in subset[5:]}


def test_peers_cannot_make_a_balancer_avoid_most_of_its_subset() -> None:
    balancer = Balancer(settings(0, 40), 1, START)
    balancer.handle(START, [ready(60)])
    reports = [peer_report.PeerReport(s.id, 1, 0, 3 * SECOND) for s in balancer.fleet.servers.values()]
    balancer.handle(START + MS, [api.PeerMessage(1, r.encode()) for r in reports])
    pool = balancer.fleet.default_pool
    assert sum(balancer.fleet.is_available(s, START + 2 * MS) for s in pool.candidates) >= 0.2 * pool.draw_size


def test_peer_load_is_counted_and_a_failed_upstream_is_tried_by_one_balancer() -> None:
    balancer = Balancer(settings(0, 40), 1, START)
    balancer.handle(START, [ready(60)])
    subset = balancer.fleet.default_pool.candidates[: balancer.fleet.default_pool.subset_size]
    idle = subset[3]
    balancer.handle(
        START + MS, [api.PeerMessage(2, peer_report.PeerReport(s.id, 1, 2).encode()) for s in subset if s is not idle]
    )
    actions = balancer.handle(START + 2 * MS, [api.Arrival("a", "quote", "ash", START + 402 * MS)])
    assert [a.upstream for a in actions if isinstance(a, api.Send)] == [idle.id]
    assert {a.peer for a in peer_sends(actions)} == set(balancer.fleet.refresh_placement(idle).peers)
    failing = subset[0]
    balancer.handle(START + 3 * MS, [api.PeerMessage(2, peer_report.PeerReport(failing.id, 2, 0, 50 * MS).encode())])
    now = START + 60 * MS
    assert balancer.fleet.is_available(failing, now)
    balancer.handle(now, [api.PeerMessage(7, peer_report.PeerReport(failing.id, 1, 1).encode())])
    assert not balancer.fleet.is_available(failing, now + MS)


def test_recovery_seen_by_one_balancer_counts_for_all_and_failures_add_up() -> None:
    balancer = Balancer(settings(0, 40), 1, START)
    balancer.handle(START, [ready(60)])
    failing, now = balancer.fleet.default_pool.candidates[2], START
    for number in range(1, 4):  # three avoidance periods in a row, reported by different peers
        balancer.handle(now, [api.PeerMessage(number, peer_report.PeerReport(failing.id, 1, 0, 100 * MS).encode())])
        now += 150 * MS
    assert failing.failure_streak == 3
    balancer.handle(now, [api.PeerMessage(9, peer_report.PeerReport(failing.id, 1, 0, 2 * SECOND).encode())])
    assert not balancer.fleet.is_available(failing, now + MS)
    balancer.handle(now + 2 * MS, [api.PeerMessage(1, peer_report.PeerReport(failing.id, 2, 0, last_ok=True).encode())])
    assert balancer.fleet.is_available(failing, now + 3 * MS)
    assert not failing.failure_streak


def test_a_request_with_too_little_time_left_is_refused_immediately() -> None:
    balancer = Balancer(settings(0, 40), 1, START)
    balancer.handle(START, [ready(60)])
    subset = balancer.fleet.default_pool.candidates[: balancer.fleet.default_pool.subset_size]
    reports = [peer_report.PeerReport(s.id, 1, 30) for s in subset]
    balancer.handle(START + MS, [api.PeerMessage(peer, r.encode()) for r in reports for peer in (1, 2)])
    actions = balancer.handle(START + 2 * MS, [api.Arrival("a", "quote", "ash", START + 402 * MS)])
    assert [type(a) for a in actions if not isinstance(a, api.SetTimer)] == [api.Refuse]


def test_a_fleet_with_reports_serves_requests_that_are_late_without_reports() -> None:
    """The load is half of the capacity, with little traffic per balancer."""
    late = {}
    for with_reports in (True, False):
        fleet = Fleet(40, 60, 5, with_reports)
        fleet.run(3.0, 560.0)
        late[with_reports] = fleet.ended["refused"] / fleet.ended["asked"]
    assert late[True] < 0.75 * late[False]


@pytest.mark.parametrize(("proxies", "boxes"), [(40, 60), (400, 600), (4000, 6000)])
def test_reports_per_request_do_not_grow_with_the_fleet(proxies: int, boxes: int) -> None:
    balancer = Balancer(settings(17, proxies), 1, START)
    balancer.handle(START, [ready(boxes)])
    actions = balancer.handle(START + MS, [api.Arrival("a", "quote", "ash", START + 400 * MS)])
    assert 5 <= len(peer_sends(actions)) <= 7


def test_balancers_without_common_upstreams_send_no_reports() -> None:
    fleet = Fleet(4, 60, 5)
    fleet.run(1.0, 560.0)
    assert not fleet.told


def test_a_dead_upstream_found_by_one_balancer_costs_its_peers_fewer_requests() -> None:
    """A third of the upstreams refuses every connection but is still listed as ready."""
    failed = {}
    for with_reports in (True, False):
        fleet = Fleet(40, 60, 8, with_reports, known=lambda n: Box(dead=n % 3 == 0))
        fleet.run(4.0, 300.0)
        failed[with_reports] = sum(k for (_, result), k in fleet.by_box.items() if result is api.Result.CONNECT_FAILED)
    assert failed[True] < 0.4 * failed[False]


def test_slow_upstreams_cost_a_fleet_with_reports_fewer_requests() -> None:
    slow, late = random.Random(3).sample(range(1, 61), 9), {}
    for with_reports in (True, False):
        fleet = Fleet(40, 60, 9, with_reports, known=lambda n: Box(speed=0.15 if n in slow else 1.0))
        fleet.run(5.0, 400.0)
        late[with_reports] = sum(fleet.by_box[n, api.Result.TIMEOUT] for n in slow)
    assert late[True] < 0.45 * late[False]


@pytest.mark.parametrize(("proxies", "boxes"), [(40, 60), (400, 60)])
def test_the_fleet_stays_within_the_capacity_of_cold_upstreams(proxies: int, boxes: int) -> None:
    """Half of the upstreams restart cold at the same time, under more load than the other half can serve."""
    cold = 0.31
    fleet = Fleet(proxies, boxes, 6, known=lambda n: Box(speed=cold, started_ns=START - MS) if n % 2 else Box())
    fleet.run(2.0, boxes * 12.0)
    window, limit = 3 * SECOND // 2, 2.5 * cold * 1.5
    for box in (b for n, b in fleet.boxes.items() if n % 2):
        for i, (start, _) in enumerate(box.sent):
            assert sum(w for when, w in box.sent[i:] if when - start < window) <= limit


def test_ten_thousand_replaced_upstreams_leak_no_objects() -> None:
    """Each gets requests, is blocked and reported by peers before its removal, and is reported once more after it."""
    balancer, now = Balancer(settings(0, 40), 1, START), START
    balancer.handle(now, [ready(60)])

    def replace(first: int, count: int) -> Counter[str]:
        nonlocal now
        for old in range(first, first + count):
            now += 20 * MS
            reports = [
                peer_report.PeerReport(old, now // MS, 1, 100 * MS).encode(),
                peer_report.PeerReport(old + 1, now // MS, 0).encode(),
            ]
            events = [api.PeerMessage(peer, report) for peer in (1, 2) for report in reports]
            actions = balancer.handle(
                now,
                [
                    *events,
                    api.Arrival(f"a{old}", "quote", "ash", now + 400 * MS),
                    api.TimerFired(str(balancer.timer_number)),
                ],
            )
            for send in [a for a in actions if isinstance(a, api.Send)]:
                result = (api.Result.OK, api.Result.CONNECT_FAILED)[old % 2]
                balancer.handle(now + MS, [api.Outcome(send.request, 0, send.upstream, result, MS, True)])
            change = [api.Upstream(old, api.State.GONE), api.Upstream(old + 60, started_ns=now)]
            balancer.handle(now + 2 * MS, [api.ListUpdate(api.ListKind.DELTA, change)])
            balancer.handle(now + 3 * MS, [api.PeerMessage(3, report) for report in reports[:1]])
        now += 20 * SECOND
        balancer.handle(now, [api.TimerFired(str(balancer.timer_number))])
        gc.collect()
        return Counter(type(o).__name__ for o in gc.get_objects() if str(type(o).__module__).startswith("lanemux"))

    before, after = replace(1, 2_000), replace(2_001, 8_000)
    assert len(balancer.fleet.servers) == 60
    assert {name: n for name, n in (after - before).items() if n > 20} == {}


@pytest.mark.parametrize(
    ("claims", "held"), [([], 0), ([0, 0], 0), ([127], 1), ([2, 1], 3), ([127, 1, 0], 3), ([5, 5, 5], 15)]
)
def test_the_highest_claim_is_capped_by_the_second_highest(claims: list[int], held: int) -> None:
    load = sharing.PeerLoad(expiry_ns=200 * MS)
    for peer, claim in enumerate(claims):
        load.update(peer, peer_report.PeerReport(1, 1, claim), START)
    assert load.in_flight(START) == held


def neighbours(fleet: Fleet) -> float:
    """Share of requests served by the neighbours of balancer 7, which share most of its upstreams."""
    return sum(fleet.served_by[i] for i in (6, 8)) / sum(fleet.asked_of[i] for i in (6, 8))


@pytest.mark.parametrize("bad", ["liar", "liar while all is full", "replays", "another order"])
def test_one_bad_peer_costs_its_neighbours_little(bad: str) -> None:
    """Without the cap on claims, the neighbours of a peer with false claims served 0.66 of their requests, not 0.96."""
    shares, rate = [], 900.0 if "full" in bad else 400.0
    for wrong in (False, True):
        fleet = Fleet(40, 60, 11)
        if wrong and "liar" in bad:
            fleet.lie(7, 100, 50 * MS, START + 4 * SECOND)
        elif wrong and bad == "replays":
            fleet.replay(7)
        elif wrong:
            fleet.misplace(7)
        fleet.run(4.0, rate)
        shares.append(neighbours(fleet))
    assert shares[1] > shares[0] - (0.15 if "full" in bad else 0.05)


def test_a_restarted_balancer_is_heard_once_its_old_reports_have_expired() -> None:
    load = sharing.PeerLoad(expiry_ns=200 * MS)
    for peer in (1, 2):
        assert load.update(peer, peer_report.PeerReport(1, 200, 2), START)
    assert not load.update(1, peer_report.PeerReport(1, 100, 0), START + 100 * MS)  # may be an overtaken report
    assert load.update(1, peer_report.PeerReport(1, 101, 0), START + 201 * MS)
    assert load.in_flight(START + 201 * MS) == 0


def test_reports_for_one_peer_are_combined_and_none_is_lost() -> None:
    said = {
        3: [peer_report.PeerReport(n, 1, 1).encode() for n in range(80)],
        5: [peer_report.PeerReport(7, 2, 0).encode()],
    }
    sent = list(peer_report.datagrams(said))
    assert [peer for peer, _ in sent] == [3, 3, 3, 5]
    assert all(len(data) <= peer_report.MAX_DATAGRAM for _, data in sent)
    assert [r.upstream for peer, data in sent if peer == 3 for r in peer_report.read_reports(data)] == list(range(80))


def test_a_batch_sends_one_message_per_peer() -> None:
    balancer = Balancer(settings(0, 40), 1, START)
    balancer.handle(START, [ready(60)])
    actions = balancer.handle(START + MS, [api.Arrival(f"a{i}", "quote", "ash", START + 400 * MS) for i in range(8)])
    sends = peer_sends(actions)
    assert len({a.peer for a in sends}) == len(sends)
    assert sum(len(peer_report.read_reports(a.data)) for a in sends) > 2 * len(sends)


def test_an_overloaded_fleet_serves_new_requests_before_retries() -> None:
    """Clients retry 60 ms after a refusal and wait 376 ms in total; responses after 150 ms have no worth."""
    clients = Clients(150 * MS, 376 * MS, 0.49, 3, 60 * MS, 0.2)
    short = Fleet(20, 24, 3, clients=clients, work_ns=43 * MS)
    short.run(3.0, 650.0)
    assert short.ended["served"] > 0.6 * short.ended["asked"]  # 0.47 if retries are treated as new requests
    assert short.ended["late"] < 0.05 * short.ended["asked"]
    calm = Fleet(20, 24, 4, clients=clients, work_ns=43 * MS, known=lambda n: Box(dead=n % 6 == 0))
    calm.run(3.0, 200.0)
    assert calm.ended["served"] > 0.95 * calm.ended["asked"]


def test_many_balancers_do_not_all_send_to_a_cold_upstream_at_once() -> None:
    """400 balancers, 60 upstreams and six more that start cold: one once got 13 requests, half its limit."""
    fleet = Fleet(400, 60, 1)
    fleet.run(1.5, 480.0)  # now all have measured the cost of a request and are no longer cautious for lack of data
    cold = [fleet.join(Box(speed=0.31, started_ns=fleet.now - MS)) for _ in range(6)]
    fleet.run(1.0, 720.0)
    assert max(sum(work for _, work in fleet.boxes[n].sent) for n in cold) < 0.35 * 2.5 * 0.31 * 1.5
