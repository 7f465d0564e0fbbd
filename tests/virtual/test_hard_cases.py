"""Coincidences that real sockets produce only by chance, each forced here."""

from __future__ import annotations

import dataclasses

import pytest

from lanemux.virtual.network import MS, LinkConditions
from lanemux.virtual.script import Fault, Script, world_setup
from lanemux.virtual.simulation import Result, play

SEEDS = (1, 2, 3, 4)  # 1, 3 and 4 use etcd, 2 an agent
AGENT_SEED, ETCD_SEED = 2, 3
MINUTES_NS = 180_000 * MS


def play_cleanly(script: Script) -> Result:
    """Play a script; no rule may be broken, and every fault must have been injected."""
    result = play(script)
    assert result.violations == []
    injected = {what for what, _ in result.covered}
    assert {f.what for f in script.faults} <= injected
    assert result.figures.service > 0.1  # with two boxes, both may be down for a while
    return result


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("event", ["box look answer", "box up", "box ask"])
def test_a_drain_is_announced_in_the_instant_of_a_probe_a_connection_or_a_request(event: str, seed: int) -> None:
    play_cleanly(Script(seed, tuple(Fault("drain", on=event, nth=nth, for_ms=1500.0) for nth in (2, 9))))


@pytest.mark.parametrize("seed", SEEDS)
def test_an_answer_and_its_timeout_are_pending_in_the_same_turn(seed: int) -> None:
    result = play_cleanly(Script(seed, (Fault("still", on="box answer", nth=5, for_ms=900.0),)))
    assert any(t.how == "answered" and t.end_ns > t.deadline_ns for t in result.books.tries)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_balancer_paused_past_all_deadlines_resumes_with_full_sockets(seed: int) -> None:
    play_cleanly(Script(seed, (Fault("still", who=0, at_ms=1000.0, for_ms=2500.0),)))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_client_closes_in_the_instant_its_answer_arrives(seed: int) -> None:
    result = play_cleanly(
        Script(
            seed,
            tuple(Fault("leave", on=event, nth=nth) for event in ("box answer", "client ask") for nth in range(3, 20)),
        )
    )
    assert sum(t.how == "left" for t in result.books.tries) >= 5


@pytest.mark.parametrize("seed", [AGENT_SEED, 5])
def test_discovery_moves_while_its_old_address_delivers_a_drain(seed: int) -> None:
    for nth in (3, 8, 15):
        play_cleanly(
            Script(
                seed,
                (
                    Fault("move", who=0, on="box ask", nth=nth, for_ms=700.0),
                    Fault("drain", on="box ask", nth=nth, for_ms=2000.0),
                ),
            )
        )


@pytest.mark.parametrize("lag_us", [0, 1000, 20_000])
def test_history_is_compacted_while_a_burst_is_applied(lag_us: int) -> None:
    faults = (Fault("burst", who=0, at_ms=1000.0, for_ms=200.0), Fault("drain", who=0, at_ms=1050.0, for_ms=1500.0))
    play_cleanly(Script(ETCD_SEED, (*faults, Fault("compact", who=0, at_ms=1050.0 + lag_us / 1000))))


@pytest.mark.parametrize("seed", SEEDS)
def test_boxes_restart_at_each_others_old_addresses(seed: int) -> None:
    play_cleanly(Script(seed, (Fault("trade", who=0, at_ms=800.0, for_ms=400.0),)))


@pytest.mark.parametrize("seed", [1, 3])  # with several balancers
def test_peer_messages_are_lost_duplicated_and_delayed_by_minutes(seed: int) -> None:
    setup = world_setup(seed)
    assert setup.scenario.fleet.balancers > 1
    links = {
        **setup.links,
        "peer": LinkConditions(
            1000,
            30 * MS,
            loss_probability=0.4,
            duplicate_probability=0.4,
            delay_probability=0.4,
            extra_delay_ns=MINUTES_NS,
        ),
    }
    result = play(
        Script(
            seed,
            (Fault("deaf", who=0, at_ms=1000.0, for_ms=1000.0), Fault("drain", who=0, at_ms=1500.0, for_ms=1500.0)),
        ),
        setup=dataclasses.replace(setup, links=links),
    )
    assert result.violations == [] and result.figures.service > 0.2


@pytest.mark.parametrize("seed", SEEDS)
def test_a_balancer_is_paused_between_its_decision_and_its_send(seed: int) -> None:
    play_cleanly(
        Script(seed, tuple(Fault("lurch", who=0, on="client ask", nth=nth, for_ms=120.0) for nth in range(2, 22, 4)))
    )


def test_after_a_pause_connections_with_unread_requests_are_not_evicted() -> None:
    """Found by seed 2105: after a second pause, connections with unread requests were evicted in favour of others."""
    result = play(
        Script(
            2105,
            (
                Fault("still", on="client answer", nth=3, for_ms=100.0),
                Fault("still", who=0, on="box ask", nth=23, lag_us=1954, for_ms=1278.2),
            ),
            tuple(range(25)),
        )
    )
    assert result.violations == [] and len(result.covered) == 2


@pytest.mark.parametrize("seed", SEEDS)
def test_sigterm_and_a_pause_past_the_end_of_the_drain(seed: int) -> None:
    """Found by seeds 231 and 573: connections that waited to be accepted were reset."""
    play_cleanly(
        Script(
            seed, (Fault("stop", who=0, at_ms=1000.0, for_ms=500.0), Fault("still", who=0, at_ms=1001.0, for_ms=1300.0))
        )
    )


def test_a_box_drains_at_the_old_address_of_a_box_that_answered_after_moving() -> None:
    """Found by seed 1345: the connection to the old address was kept for the box that had moved."""
    result = play(
        Script(
            1345,
            (
                Fault("lurch", on="box answer", nth=2, for_ms=100.0),
                Fault("drain", who=1, at_ms=1763.0, for_ms=2200.0),
                Fault("trade", on="client up", nth=2, lag_us=4132, for_ms=300.0),
            ),
            (0, 1, 2, 3, 4, 5, 9, 10, 11, 12, 13, 14, 15, 102, 103),
        )
    )
    assert result.violations == [] and len(result.covered) == 3


def test_a_box_drains_at_an_address_that_the_list_still_gives_for_another_box() -> None:
    """Found by seed 1001091: a box was announced as up, then draining, at the address of an older list entry, and got
    requests through that entry."""
    result = play(
        Script(
            1001091,
            (
                Fault("trade", on="box ask", nth=6, for_ms=1200.0),
                Fault("die", who=0, on="box ask", nth=6, for_ms=1400.0),
                Fault("drain", who=2, at_ms=1690.0, for_ms=2000.0),
                Fault("drop", who=0, at_ms=1690.0),
            ),
            (3, 21),
        )
    )
    assert result.violations == []


def test_a_drain_does_not_count_until_the_relocated_boxs_address_was_read() -> None:
    """Found by seed 1004528, a fault of the rule checker: the balancer had read that a box was removed but not where it
    restarted; its requests to that address were for the box that the list still had there."""
    result = play(
        Script(
            1004528,
            (
                Fault("trade", who=1, at_ms=166.0, for_ms=500.0),
                Fault("unheard", who=0, on="box look ask", nth=3, for_ms=2300.0),
                Fault("still", on="client ask", nth=2, for_ms=1065.1),
            ),
            (0, 1, 4, 9, 10, 11, 18, 19, 20),
            calm=True,
        )
    )
    assert result.violations == []
