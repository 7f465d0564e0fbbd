"""The etcd source over loopback sockets, with a fake etcd server and a relay that breaks connections."""

from __future__ import annotations

import json
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import pytest

from lanemux import interface as api
from lanemux.cli import _list_source
from lanemux.core.membership import Entry, Listing, Membership
from lanemux.etcd import follower, member, source
from lanemux.etcd.member import Target
from lanemux.etcd.source import EtcdSource, EtcdSourceFactory
from lanemux.net.config import Config
from lanemux.net.node import Node
from lanemux.net.reload import ListSourceSetting
from lanemux.operators import load
from lanemux.rehearsal.etcd.faulty_proxy import FaultyProxy
from lanemux.rehearsal.etcd.server import FakeMember
from lanemux.rehearsal.etcd.store import Store
from tests.sockets import HOST, Registry, Script, entry, run, settings, until

PREFIX = "/boxes/"
MS = 1_000_000


def row(port: int = 1, health: str = "up", **more: object) -> bytes:
    return json.dumps(
        {
            "dial": f"127.0.0.1:{port}",
            "site": "a",
            "class": "m",
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
            **more,
        }
    ).encode()


def key(host: str) -> bytes:
    return f"{PREFIX}{host}".encode()


@dataclass
class Received:
    """The listings that the source has delivered, and the resulting list."""

    listings: list[Listing] = field(default_factory=list)
    now: dict[int, Entry] = field(default_factory=dict)

    def on_listing(self, listing: Listing | None) -> None:
        assert listing is not None and not listing.whole and listing.origin == "etcd"
        if listing.entries:
            self.listings.append(listing)
        for e in listing.entries:
            if e.upstream.state is api.State.GONE:
                self.now.pop(e.upstream.id, None)
            else:
                self.now[e.upstream.id] = e

    def ports(self) -> dict[int, int]:
        return {i: e.address[1] for i, e in self.now.items()}


@dataclass
class Etcd:
    """A fake member, and a writer to its store."""

    server: FakeMember

    def put(self, hosts: dict[str, bytes | None], lease: int = 0) -> None:
        self.server.store.write([(key(h), v) for h, v in hosts.items()], lease)
        self.server.notify_watchers()

    def ports(self) -> dict[int, int]:
        numbers = Membership(0)
        rows = self.server.store.rows(key(""), key("")[:-1] + b"0")
        return {
            numbers.id_of(c.key[len(PREFIX) :].decode()): int(json.loads(c.value or b"")["dial"].split(":")[1])
            for c in rows
        }


@asynccontextmanager
async def following(
    *servers: FakeMember,
    relay: FaultyProxy | None = None,
    user: str = "",
    password_file: str = "",
    known: object = None,
) -> AsyncIterator[tuple[Etcd, Received, EtcdSource]]:
    for server in servers:
        await server.start()
    addresses = [s.address for s in servers]
    if relay is not None:
        relay.to = addresses[0]
        addresses[0] = (await relay.start()).address
    membership, received = Membership(0), Received()
    if known is not None:
        membership.apply(known, True, 1)  # type: ignore[arg-type]
    target = Target(tuple(addresses), PREFIX, user, password_file)
    following = EtcdSource(target, membership, random.Random(1), received.on_listing)
    following._endpoints = list(target.endpoints)
    following.watch()
    try:
        yield Etcd(servers[0]), received, following
    finally:
        following.stop()
        if relay is not None:
            await relay.stop()
        for server in servers:
            await server.stop()


@asynccontextmanager
async def watching(count: int) -> AsyncIterator[tuple[FakeMember, FaultyProxy, Etcd, Received]]:
    """`count` boxes that are delivered, an open watch, and a relay below it."""
    server, relay = FakeMember(Store()), FaultyProxy(("", 0))
    server.store.write([(key(h), v) for h, v in fleet(count).items()])
    async with following(server, relay=relay) as (etcd, received, _):
        await until(same(etcd, received))
        await until(lambda: server.watch_start_revisions)
        yield server, relay, etcd, received


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reduce the follower's timeouts to a tenth, since the tests wait for some of them."""
    for name in ("IDLE_NS", "PROGRESS_TIMEOUT_NS", "LAG_TIMEOUT_NS", "STABLE_NS", "OPEN_TIMEOUT_NS", "PAGE_TIMEOUT_NS"):
        monkeypatch.setattr(follower, name, getattr(follower, name) // 10)
    monkeypatch.setattr(follower, "MAX_BACKOFF_NS", 100 * MS)


def fleet(count: int, port: int = 1) -> dict[str, bytes | None]:
    return {f"b{i:05}": row(port) for i in range(count)}


async def watched(server: FakeMember) -> None:
    await until(lambda: server.watch_start_revisions)


async def opened(relay: FaultyProxy, count: int) -> None:
    """Wait until `count` connections have been opened."""
    await until(lambda: relay.connections_opened >= count)


def same(etcd: Etcd, received: Received) -> Callable[[], bool]:
    return lambda: received.ports() == etcd.ports()


def test_the_list_and_its_changes() -> None:
    async def test() -> None:
        server = FakeMember(Store())
        async with following(server) as (etcd, received, _):
            etcd.put(fleet(600))  # more than two pages
            await until(same(etcd, received))
            etcd.put({"b00000": row(2), "b00001": None, "c": row(3)})
            await until(same(etcd, received))
            assert len(received.now) == 600
            etcd.put({"b00002": row(health="draining")})
            await until(lambda: api.State.DRAINING in {e.upstream.state for e in received.now.values()})
            server.store.grant(5, 10)
            etcd.put(fleet(200, 4), lease=5)
            await until(same(etcd, received))
            server.store.expire(10)  # a third of the list at once
            server.notify_watchers()
            await until(same(etcd, received))
            assert len(received.now) == 401

    run(test())


def test_a_lost_watch_resumes_from_the_known_revision() -> None:
    async def test() -> None:
        async with watching(20) as (server, relay, etcd, received):
            for port in range(2, 6):
                relay.reset()
                etcd.put({"b00003": row(port), f"n{port}": row(port), "b00004": None})
                await until(same(etcd, received))
            assert server.lists == 1 and len(server.watch_start_revisions) >= 3  # never listed again

    run(test())


def test_a_watch_after_compaction_lists_again_and_finds_removals() -> None:
    async def test() -> None:
        async with watching(20) as (server, relay, etcd, received):
            relay.hold(True)
            relay.reset()
            etcd.put({"b00003": None, "b00005": None, "n": row(9)})
            etcd.put({"b00006": row(7)})
            server.store.compact(server.store.revision)
            relay.hold(False)
            await until(same(etcd, received))
            assert server.lists >= 2
            assert {e.upstream.state for e in received.listings[-2].entries} == {api.State.GONE}  # delivered first

    run(test())


def test_a_watch_that_is_open_but_silent_is_detected() -> None:
    async def test() -> None:
        for silent in ("relay", "member"):
            server, relay = FakeMember(Store()), FaultyProxy(("", 0))
            server.store.write([(key("a"), row())])
            async with following(server, relay=relay) as (etcd, received, _):
                await until(same(etcd, received))
                await watched(server)
                relay.hold(silent == "relay")
                server.faults.silent = silent == "member"
                etcd.put({"a": row(2)})
                await opened(relay, relay.connections_opened + 1)
                relay.hold(False)
                server.faults.silent = False
                server.notify_watchers()  # for a watch opened during the silence: progress follows changes
                await until(same(etcd, received))

    run(test())


def test_an_idle_watch_is_asked_for_progress_and_stays_open() -> None:
    async def test() -> None:
        server, relay = FakeMember(Store()), FaultyProxy(("", 0))
        server.store.write([(key("a"), row())])
        async with following(server, relay=relay) as (etcd, received, following_):
            await until(same(etcd, received))
            await until(lambda: following_._follower._watching_since_ns)
            begun = following_._follower._watching_since_ns
            await until(lambda: following_._follower.due_ns > begun + 8 * follower.IDLE_NS)
            assert relay.connections_opened == 1 and server.watches == 1

    run(test())


@pytest.mark.parametrize("most", [1, 3, 400])
def test_writes_that_are_split_at_any_byte(most: int) -> None:
    async def test() -> None:
        server, relay = FakeMember(Store()), FaultyProxy(("", 0), seed=most)
        relay.max_chunk = most
        server.faults.max_fragment_events = 3
        async with following(server, relay=relay) as (etcd, received, _):
            etcd.put(fleet(12))
            await until(same(etcd, received))
            etcd.put({"b00001": None, "b00002": row(5), **{f"x{i}": row(6) for i in range(8)}})
            await until(same(etcd, received))

    run(test())


def test_connections_that_break_after_any_byte() -> None:
    async def test() -> None:
        rng = random.Random(4)
        server, relay = FakeMember(Store()), FaultyProxy(("", 0))
        server.faults.max_fragment_events = 2
        server.store.write([(key(h), v) for h, v in fleet(30).items()])
        async with following(server, relay=relay) as (etcd, received, _):
            for turn in range(12):
                relay.reset_after_bytes = rng.randint(0, 3000)
                relay.reset()
                etcd.put({f"b{rng.randrange(30):05}": rng.choice([None, row(turn + 2)]) for _ in range(4)})
                await opened(relay, relay.connections_opened + 2)
            relay.reset_after_bytes = -1
            await until(same(etcd, received))

    run(test())


def test_a_stopped_member_is_replaced_by_another() -> None:
    async def test() -> None:
        store = Store()
        first, second = FakeMember(store), FakeMember(store)
        store.write([(key("a"), row())])
        async with following(first, second) as (etcd, received, _):
            await until(same(etcd, received))
            await until(lambda: first.watches)
            await first.stop()
            etcd.put({"a": row(2)})
            second.notify_watchers()
            await until(same(etcd, received))
            assert second.watches == 1

    run(test())


@pytest.mark.parametrize("fault", ["behind", "no leader", "lists refused"])
def test_a_fault_of_one_member_loses_no_known_upstream(fault: str) -> None:
    async def test() -> None:
        store = Store()
        first, second = FakeMember(store), FakeMember(store)
        store.write([(key("a"), row())])
        async with following(first, second) as (etcd, received, _):
            await until(same(etcd, received))
            await until(lambda: first.watches)
            if fault == "behind":
                first.faults.lag_revisions = 3
            elif fault == "no leader":
                first.faults.refuse_watches = "etcdserver: no leader"
            else:
                first.faults.refuse_lists = "etcdserver: request timed out"
                store.write([(key("b"), row())])
                store.compact(store.revision)
            first.drop()
            etcd.put({"a": row(2), "c": row(3)})
            second.notify_watchers()
            await until(same(etcd, received))
            assert not [
                e for listing in received.listings for e in listing.entries if e.upstream.state is api.State.GONE
            ]

    run(test())


def test_after_a_switch_of_cluster_unlisted_boxes_are_kept_for_a_while() -> None:
    async def test() -> None:
        server = FakeMember(Store(1))
        server.store.write([(key("a"), row()), (key("b"), row())])
        saved = server.store.backup()
        async with following(server) as (etcd, received, following_):
            await until(same(etcd, received))
            etcd.put({"c": row()})
            await until(same(etcd, received))
            server.store = Store.from_backup(saved, 2)
            server.store.write([(key("a"), row(5))])
            server.drop()
            await until(lambda: 5 in received.ports().values())
            assert len(received.now) == 3  # c is not in the backup, but stays in use
            etcd.put({"c": row(6)})
            await until(same(etcd, received))
            assert not following_._queue.due_ns

    run(test())


def test_an_endless_list_ends_and_an_oversized_message_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        server = FakeMember(Store())
        server.store.write([(key("a"), row())])
        async with following(server) as (etcd, received, _):
            await until(same(etcd, received))
            server.faults.endless_list = True
            server.store.compact(server.store.revision)
            server.faults.padding_bytes = 2 * member.MAX_MESSAGE_BYTES
            etcd.put({"a": row(2)})
            await until(lambda: server.watches >= 2)
            server.faults.endless_list, server.faults.padding_bytes = False, 0
            await until(same(etcd, received))

    monkeypatch.setattr(member, "MAX_MESSAGE_BYTES", 100_000)
    run(test())


def test_an_expired_token_is_renewed(tmp_path: Path) -> None:
    async def test() -> None:
        password = tmp_path / "password"
        password.write_text("s3cret\n")
        server = FakeMember(Store(), "reader", "s3cret")
        server.store.write([(key("a"), row())])
        async with following(server, user="reader", password_file=str(password)) as (etcd, received, _):
            await until(same(etcd, received))
            await until(lambda: server.watches)
            server.faults.expire_token = True
            server.drop()
            await until(lambda: server.logins >= 2 and server.watches >= 3)
            etcd.put({"a": row(2)})
            await until(same(etcd, received))

    run(test())


def test_a_wrong_password_only_causes_retries(tmp_path: Path) -> None:
    async def test() -> None:
        password = tmp_path / "password"
        password.write_text("wrong")
        server = FakeMember(Store(), "reader", "s3cret")
        server.store.write([(key("a"), row())])
        known = [{"host": "k", "dial": "127.0.0.1:9", "health": "up"}]
        async with following(server, user="reader", password_file=str(password), known=known) as (_, received, source_):
            await until(lambda: server.logins >= 3)
            assert not received.listings and source_._membership.hosts == {"k"}
            password.write_text("s3cret")
            await until(lambda: 1 in received.ports().values())

    run(test())


def test_a_burst_does_not_block_the_event_loop_and_a_drain_in_it_comes_first() -> None:
    async def test() -> None:
        server = FakeMember(Store())
        server.faults.max_fragment_events = 1000
        server.store.write([(key(h), v) for h, v in fleet(1000).items()])
        async with following(server) as (etcd, received, _):
            await until(same(etcd, received))
            received.listings.clear()
            etcd.put(
                {
                    **{f"n{i:05}": row(3) for i in range(2500)},
                    "b00007": row(health="draining"),
                    **{f"m{i:05}": row(3) for i in range(2500)},
                }
            )
            await until(same(etcd, received))
            drained = next(
                i
                for i, listing in enumerate(received.listings)
                if listing.entries[0].upstream.state is api.State.DRAINING
            )
            before = sum(len(listing.entries) for listing in received.listings[:drained])
            assert (
                before < 3000
                and max(len(listing.entries) for listing in received.listings) <= source.MAX_CHANGES_PER_SLICE
            )

    run(test())


def test_an_unexpected_exception_is_a_failed_call_and_does_not_stop_the_source(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        server = FakeMember(Store())
        server.store.write([(key("a"), row())])
        broken = [True]
        original = member._in_chunks

        def failing_once(items: object) -> object:
            if broken:
                raise RuntimeError(broken.pop())
            return original(items)

        monkeypatch.setattr(member, "_in_chunks", failing_once)
        async with following(server) as (etcd, received, _):
            await until(same(etcd, received))
            assert not broken

    run(test())


@asynccontextmanager
async def balancer(registry: Registry, source_: EtcdSourceFactory | None) -> AsyncIterator[Node]:
    """A node with its list from platform discovery, or from etcd."""
    await registry.upstream.start()
    node = Node(Config("n", (HOST, 0), (HOST, registry.upstream.port), 1, 1024, settings()), Script(), source_)
    await node.start()
    try:
        yield node
    finally:
        node.close()
        registry.upstream.stop()


def test_another_source_takes_effect_with_its_first_complete_list() -> None:
    async def test() -> None:
        registry, server = Registry(), await FakeMember(Store()).start()
        registry.rows = {"a": entry("a", 1), "b": entry("b", 2)}
        server.store.write([(key("b"), row(2)), (key("c"), row(3))])
        server.faults.refuse_lists = "not yet"
        numbers = Membership(0)
        async with balancer(registry, None) as node:
            pools = node._pool_manager.pools
            await until(lambda: len(pools) == 2)
            node.upstream_set.replace_source(EtcdSourceFactory(Target((server.address,), PREFIX)))
            await until(lambda: server.lists >= 2)
            registry.change("d")  # the old source is still in use
            await until(lambda: numbers.id_of("d") in pools)
            server.faults.refuse_lists = ""
            await until(lambda: set(pools) == {numbers.id_of("b"), numbers.id_of("c")})
            calls = len(registry.calls)
            server.store.write([(key("e"), row(5))])
            server.notify_watchers()
            await until(lambda: numbers.id_of("e") in pools)
            node.upstream_set.replace_source(None)  # and back
            await until(lambda: len(registry.calls) > calls and numbers.id_of("a") in pools)
            assert set(pools) == {numbers.id_of(h) for h in "abd"}
            await until(lambda: not server._handlers)
        await server.stop()

    run(test())


def test_a_source_with_the_same_list_replaces_the_old_one_too() -> None:
    async def test() -> None:
        registry, server = Registry(), await FakeMember(Store()).start()
        registry.rows = {"a": entry("a", 1)}
        server.store.write([(key("a"), json.dumps({k: v for k, v in entry("a", 1).items() if k != "host"}).encode())])
        async with balancer(registry, None) as node:
            await until(lambda: len(node._pool_manager.pools) == 1)
            old = node.upstream_set.source
            node.upstream_set.replace_source(EtcdSourceFactory(Target((server.address,), PREFIX)))
            await until(lambda: node.upstream_set.source is not old and node.upstream_set.pending_source is None)
        await server.stop()

    run(test())


def test_the_operators_file_is_reloaded_and_an_invalid_one_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "operators.toml"
    path.write_text('[etcd]\nendpoints = ["127.0.0.1:1"]\nprefix = "/a/"\n')
    lists = ListSourceSetting(lambda: _list_source(load(str(path))))
    replaced: list[EtcdSourceFactory | None] = []
    node = cast(Node, SimpleNamespace(upstream_set=SimpleNamespace(replace_source=replaced.append)))
    lists.reload(node)
    path.write_text("[etcd]\n")
    lists.reload(node)
    assert not replaced
    path.write_text('[etcd]\nendpoints = ["127.0.0.1:1"]\nprefix = "/b/"\n')
    lists.reload(node)
    path.write_text("")
    lists.reload(node)
    assert [m and m.target.prefix for m in replaced] == ["/b/", None]


def test_while_etcd_is_unreachable_the_last_list_stays_in_use_and_its_age_is_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        server = FakeMember(Store())
        server.store.write([(key(h), v) for h, v in fleet(3).items()])
        async with following(server) as (etcd, received, source_):
            await until(same(etcd, received))
            await until(lambda: server.watches)
            await server.stop()
            await until(lambda: "the list of 3 upstreams serves on" in caplog.text)
            assert len(received.now) == 3 and len(source_._membership.hosts) == 3
            aged = source_._last_age_log_ns - source_._last_contact_ns
            assert (
                aged >= source.AGE_LOG_INTERVAL_NS
                and caplog.text.count("serves on") <= aged // source.AGE_LOG_INTERVAL_NS + 1
            )

    monkeypatch.setattr(source, "AGE_LOG_INTERVAL_NS", 200 * MS)
    run(test())
