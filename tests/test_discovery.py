"""Platform discovery over loopback sockets: parsing lists, watching for changes, and switching addresses."""

from __future__ import annotations

import json
import time

import pytest

from lanemux import interface as api
from lanemux.core.membership import BadList, Listing, Membership
from lanemux.net.discovery import Discovery, read_listing
from tests.sockets import (
    HOST,
    Answer,
    Client,
    Got,
    Registry,
    Script,
    Writer,
    entry,
    known,
    node,
    run,
    until,
    written,
)

HEARD_NS = 10**18  # later than any start time in the rows of these tests


class Reader(Membership):
    """A Membership that parses discovery's lists."""

    def read(self, raw: object) -> Listing:
        return read_listing(raw, self, HEARD_NS)


def platform(client: Client) -> Discovery:
    source = client.node.upstream_set.source
    assert isinstance(source, Discovery)
    return source


MAX_NOTICE_S = 6.0  # a balancer counts as informed of a change after this time at the latest


def test_a_host_has_the_same_number_everywhere() -> None:
    assert Reader(0).id_of("s-5be2a07c") == Reader(9).id_of("s-5be2a07c") == 386416519


def test_hosts_that_collide_get_different_numbers(monkeypatch: pytest.MonkeyPatch) -> None:
    reader = Reader(0)
    number = reader.id_of("a")
    reader._hosts[reader.id_of("b")] = "b"
    reader._ids.pop("b")  # as if another host had b's number
    taken = next(n for n, h in reader._hosts.items() if h == "b")
    assert reader.id_of("b") == taken + 1 and reader.id_of("a") == number


def test_entries_become_the_modules() -> None:
    listing = Reader(5).read(
        {
            "seq": 7,
            "whole": True,
            "hosts": [entry("a", 80, site="west", block=3, health="draining", share=0.5, born_ms=2), entry("b", 81)],
        }
    )
    by_port = {e.address[1]: e.upstream for e in listing.entries}
    assert by_port[80]._replace(id=1) == api.Upstream(1, api.State.DRAINING, "west", 3, 0.5, 1_999_995, "m")
    assert by_port[81].started_ns == 0 and (listing.version, listing.whole) == (7, True)


@pytest.mark.parametrize(
    "row",
    [
        entry("a", health="odd"),
        entry("a", dial="nowhere"),
        entry("a", dial="h:80"),
        entry("a", dial="127.0.0.1:99999"),
        entry("a", dial="x" * 300 + ":80"),
        entry("a", dial="a\0b:80"),
        entry("a", born_ms="x"),
        entry("a", share=10**400),
        {"host": 3},
        7,
    ],
)
def test_a_bad_entry_does_not_hide_the_others(row: object) -> None:
    listing = Reader(0).read({"seq": 1, "whole": False, "hosts": [row, entry("b", 81)]})
    assert [e.address[1] for e in listing.entries] == [81]


def test_a_row_that_cannot_be_read_does_not_end_an_upstream_that_is_there() -> None:
    reader = Reader(0)
    first = reader.read(known(1, 2))
    again = reader.read({"seq": 2, "whole": True, "hosts": [entry("s0", health="odd"), entry("s1", 2)]})
    assert again.entries == first.entries
    gone = reader.read({"seq": 3, "whole": False, "hosts": [entry("s0", health="removed", dial="")]})
    assert [e.upstream.state for e in gone.entries] == [api.State.GONE]
    assert not reader.read({"seq": 4, "whole": True, "hosts": []}).entries and not reader._entries


def test_no_upstream_starts_in_the_future() -> None:
    row = entry("a", 80, born_ms=4 * 10**12)
    started = Reader(0).read({"seq": 1, "whole": True, "hosts": [row]}).entries[0].upstream.started_ns
    assert started == HEARD_NS


@pytest.mark.parametrize(
    "raw", [3, {}, {"hosts": []}, {"hosts": [], "seq": "1", "whole": True}, {"hosts": {}, "seq": 1, "whole": True}]
)
def test_what_is_no_list_is_told(raw: object) -> None:
    with pytest.raises(BadList):
        Reader(0).read(raw)


def test_a_host_that_was_removed_is_forgotten() -> None:
    reader = Reader(0)
    reader.read(known(1, 2))
    reader.read({"seq": 2, "whole": False, "hosts": [entry("s0", health="removed")]})
    assert set(reader._ids) == {"s1"} == set(reader._hosts.values())
    reader.read({"seq": 3, "whole": True, "hosts": []})
    assert not reader._ids and not reader._hosts


def test_the_watch_goes_on_at_once_and_brings_changes() -> None:
    async def test() -> None:
        registry, asking = Registry(), []

        def react(event: api.Event) -> tuple[()]:
            if isinstance(event, api.ListUpdate) and event.kind is api.ListKind.DELTA:
                asking.append(platform(client)._watch_call is not None)  # must precede handling the change
            return ()

        script = Script(react)
        async with node(script, registry=registry, known_list=known(5)) as client:
            assert script.of(api.ListUpdate)[0].kind is api.ListKind.CACHED
            await until(lambda: registry.calls)
            assert registry.calls[0][1].startswith("/registry/instances?after=1&wait_ms=")
            registry.change("s9", dial="127.0.0.1:9")
            await until(lambda: len(script.of(api.ListUpdate)) == 2 and len(registry.calls) == 2)
            update = script.of(api.ListUpdate)[1]
            assert update.kind is api.ListKind.DELTA and [u.zone for u in update.upstreams] == ["east"]
            assert asking == [True]
            assert registry.calls[1][1].startswith("/registry/instances?after=2&")
            assert len(client.node._pool_manager.pools) == 2
            registry.change("s9", health="removed")
            await until(lambda: len(script.of(api.ListUpdate)) == 3)
            assert len(client.node._pool_manager.pools) == 1

    run(test())


@pytest.mark.parametrize(("step", "calls"), [(0, 12), (1, 30)])
def test_a_discovery_that_answers_at_once_is_not_asked_without_pause(step: int, calls: int) -> None:
    """Step 0: it always sends the same full list, without changes. Step 1: each answer has a change."""

    async def test() -> None:
        registry, script = Registry(), Script()

        async def at_once(got: Got, writer: Writer) -> None:
            registry.calls.append((time.monotonic(), got.first))
            body = {"seq": 1 + step * len(registry.calls), "whole": not step, "hosts": [entry("s0")]}
            writer.write(written(200, json.dumps(body).encode()))

        registry.upstream.answer = at_once
        async with node(script, registry=registry, known_list=known(5)):
            await until(lambda: len(registry.calls) >= calls)
            assert registry.calls[calls - 1][0] - registry.calls[0][0] > 1.0
            updates = len(script.of(api.ListUpdate))
            assert updates >= calls - 1  # every answer is applied

    run(test())


def test_a_watch_that_is_lost_in_silence_is_asked_anew_before_its_news_count_as_told() -> None:
    # Guards against sending to an upstream whose drain was announced on a connection that had died unnoticed.
    async def test() -> None:
        registry, script = Registry(), Script()
        normal_answer: Answer = registry.upstream.answer

        async def first_is_lost(got: Got, writer: Writer) -> None:
            if registry.calls:
                await normal_answer(got, writer)
            else:
                registry.calls.append((time.monotonic(), got.first))

        registry.upstream.answer = first_is_lost
        async with node(script, registry=registry, known_list=known(5)):
            await until(lambda: registry.calls)
            registry.change("s0", health="draining")
            await until(lambda: len(script.of(api.ListUpdate)) == 2)
            assert script.of(api.ListUpdate)[1].upstreams[0].state is api.State.DRAINING
            assert time.monotonic() - registry.calls[0][0] < MAX_NOTICE_S

    run(test())


@pytest.mark.parametrize(
    "broken",
    [
        written(503),
        written(200, b"no json"),
        written(200, b"[]"),
        written(200, b"[" * 50_000),
        b"garbage",
        b"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\n",
    ],
)
def test_a_discovery_that_fails_costs_nothing_that_is_known(broken: bytes) -> None:
    async def test() -> None:
        registry, script = Registry(), Script()
        registry.broken = broken
        async with node(script, registry=registry, known_list=known(5)) as client:
            await until(lambda: len(registry.calls) >= 3)
            assert registry.calls[2][0] - registry.calls[0][0] > 0.1  # it backs off
            assert len(script.of(api.ListUpdate)) == 1 and len(client.node._pool_manager.pools) == 1
            registry.broken = b""
            registry.change("s9", dial="127.0.0.1:9")
            await until(lambda: len(client.node._pool_manager.pools) == 2)

    run(test())


def test_an_upstream_that_moves_is_found_at_its_new_address() -> None:
    async def test() -> None:
        registry = Registry()
        async with node(Script(), registry=registry, known_list=known(5)) as client:
            registry.change("s0", dial="127.0.0.2:6")
            pool = next(iter(client.node._pool_manager.pools.values()))
            await until(lambda: pool.address == ("127.0.0.2", 6))

    run(test())


def test_the_module_ends_the_watch_and_fetches_the_whole_list() -> None:
    async def test() -> None:
        steps: dict[str, api.Action] = {
            "off": api.Subscribe(False),
            "on": api.Subscribe(True),
            "fetch": api.FetchList(),
        }
        registry = Registry()
        script = Script(lambda e: [steps[e.name]] if isinstance(e, api.TimerFired) else ())
        async with node(script, registry=registry, known_list=known(5)) as client:
            await until(lambda: registry.calls)
            client.node.feed(api.TimerFired("off"))
            assert platform(client)._client._pool.manager.open_connections == 0
            client.node.feed(api.TimerFired("on"))
            await until(lambda: len(registry.calls) == 2)
            client.node.feed(api.TimerFired("fetch"))
            await until(lambda: len(script.of(api.ListUpdate)) == 2)
            assert script.of(api.ListUpdate)[1].kind is api.ListKind.FULL and not client.node._pool_manager.pools
            assert registry.calls[2][1] == "/registry/instances"

    run(test())


def hosts(script: Script) -> list[int]:
    """The ids of the upstreams in the last full list."""
    return [u.id for u in [e for e in script.of(api.ListUpdate) if e.kind is api.ListKind.FULL][-1].upstreams]


async def second(*rows: str, broken: bytes = b"") -> Registry:
    registry = Registry()
    registry.rows = {host: entry(host, 9) for host in rows}
    registry.broken, registry.version = broken, 3
    await registry.upstream.start()
    return registry


def test_a_move_asks_the_new_address_for_the_whole_list_and_watches_there() -> None:
    async def test() -> None:
        old, script = Registry(), Script()
        new = await second("s8", "s9")
        async with node(script, registry=old, known_list=known(5)) as client:
            await until(lambda: old.calls)
            old_client = platform(client)._client
            client.node.upstream_set.move_discovery((HOST, new.upstream.port))
            await until(lambda: len(new.calls) == 2)
            assert new.calls[0][1] == "/registry/instances"
            assert new.calls[1][1].startswith("/registry/instances?after=3&")
            assert len(hosts(script)) == 2 and len(client.node._pool_manager.pools) == 2
            assert old_client._pool.manager.open_connections == 0
            new.change("s7")
            await until(lambda: len(client.node._pool_manager.pools) == 3)
        new.upstream.stop()

    run(test())


def test_the_old_watch_stays_until_the_new_address_answers() -> None:
    async def test() -> None:
        old, script = Registry(), Script()
        new = await second("s9", broken=written(503))
        async with node(script, registry=old, known_list=known(5)) as client:
            await until(lambda: old.calls)
            client.node.upstream_set.move_discovery((HOST, new.upstream.port))
            await until(lambda: len(new.calls) == 2)
            old.change("s1")
            await until(lambda: len(client.node._pool_manager.pools) == 2)
            new.broken = b""
            await until(lambda: len(client.node._pool_manager.pools) == 1)
        new.upstream.stop()

    run(test())


def test_an_old_address_that_closes_is_not_asked_again() -> None:
    async def test() -> None:
        old, script = Registry(), Script()
        new = await second("s9", broken=written(503))
        async with node(script, registry=old, known_list=known(5)) as client:
            await until(lambda: old.calls)
            client.node.upstream_set.move_discovery((HOST, new.upstream.port))
            old.broken = written(503)
            old.change("s1")  # the watch ends
            await until(lambda: platform(client)._watch_call is None)
            assert platform(client)._watch_retry is None
            new.broken = b""
            await until(lambda: len(new.calls) > 1 and "after=3" in new.calls[-1][1])
        new.upstream.stop()

    run(test())


def test_of_several_moves_the_last_one_counts_also_back_to_the_first() -> None:
    async def test() -> None:
        old, script = Registry(), Script()
        new = [await second(f"s{i}") for i in (7, 8)]
        async with node(script, registry=old, known_list=known(5)) as client:
            await until(lambda: old.calls)
            addresses = [(HOST, r.upstream.port) for r in (*new, old)]
            for address in addresses:
                client.node.upstream_set.move_discovery(address)
            old.change("s1")
            await until(lambda: len(client.node._pool_manager.pools) == 2)
            for address in addresses[:2]:
                client.node.upstream_set.move_discovery(address)
            await until(lambda: len(new[1].calls) == 2)
            assert not new[0].calls and platform(client)._next_client is None
            assert hosts(script) == [client.node.upstream_set.membership.id_of("s8")]
        for registry in new:
            registry.upstream.stop()

    run(test())
