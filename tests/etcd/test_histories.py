"""Random histories of a store, with member faults and lost calls: the delivered list ends equal to the store.

No sockets: the follower and the change queue, and the fake server's store behind a scripted member.
"""

from __future__ import annotations

import json
import logging
import random
from collections.abc import Iterator

import pytest

from lanemux import interface as api
from lanemux.core.membership import Entry, Membership
from lanemux.etcd import follower as f
from lanemux.etcd.change_queue import REMOVAL_DELAY_NS, ChangeQueue
from lanemux.rehearsal.etcd.store import Compacted, FutureRevision, Store

PREFIX, END = b"/boxes/", b"/boxes0"
HOSTS = [f"box-{i}" for i in range(14)]
ODD = "box-odd"  # the only one whose value may be invalid
HISTORIES = 3000
OVERTAKES = 0.5  # share of progress notifications that overtake the changes they cover
CALM_NS = 90 * f.SECOND  # after the last fault the list must be right within this, removal delay (30 s) included


def value(rng: random.Random) -> bytes:
    return json.dumps(
        {
            "dial": f"127.0.0.1:{rng.randint(1, 9)}",
            "site": rng.choice("ab"),
            "class": "m",
            "block": 0,
            "health": rng.choice(["up", "up", "draining"]),
            "share": 1.0,
            "born_ms": 0,
        }
    ).encode()


class World:
    """A store, a faulty member, and a follower with its change queue."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = Store(cluster=1)
        self.membership = Membership(0)
        self.follower = f.Follower(random.Random(seed + 1))
        self.queue = ChangeQueue(self.membership, PREFIX)
        self.delivered: dict[int, Entry] = {}
        self.now = 1
        self.call: f.ListPage | f.OpenWatch | None = None
        self.next = 0  # next revision of the watch
        self.watch_created = self.silent = self.rollback_unseen = False
        self.progress_requests = self.behind = self.calls = 0
        self.fragments: list[list[f.KeyValue]] = []  # unsent rest of a response
        self.saved = self.store.backup()
        self.lease = 0
        self.actions: list[f.Action] = []

    # -- store and member --

    def write(self) -> None:
        rng = self.rng
        if self.rollback_unseen:
            return
        keys = [PREFIX + h.encode() for h in rng.sample(HOSTS, rng.choice([1, 1, 2, 5]))]
        match rng.randrange(9):
            case 0 | 1 | 2 | 3:
                self.store.write([(k, value(rng)) for k in keys])
            case 4:
                self.store.write([(k, None) for k in keys])
            case 5:  # deleted and created again with another value
                self.store.write([(keys[0], None)])
                self.store.write([(keys[0], value(rng))])
            case 6:
                self.lease += 1
                self.store.grant(self.lease, self.now + rng.randint(0, 3) * f.SECOND)
                self.store.write([(k, value(rng)) for k in keys], self.lease)
            case 7:
                odd = rng.choice([b"", b"{", b"[]", b"\xff", value(rng), None])
                self.store.write([(PREFIX + ODD.encode(), odd)])
            case 8:
                foreign = rng.choice([b"/boxes/a/b", b"/boxes/\xff", b"/boxes0", b"/box", b"/boxes/"])
                self.store.write([(foreign, b"{}")])

    def inject_fault(self) -> None:
        """Inject a random fault."""
        rng = self.rng
        match rng.randrange(8):
            case 0:
                self.end_call(f.Failed("reset"))
            case 1:
                self.silent = True
            case 2:
                self.behind = rng.randint(1, 4)
            case 3 if self.store.revision > self.store.compacted + 1:
                if isinstance(self.call, f.OpenWatch) and self.watch_created and self.next >= self.store.compacted:
                    self.fragments += self.changes(self.store.revision)  # a server has queued the new changes for it
                self.store.compact(rng.randint(self.store.compacted + 1, self.store.revision))
            case 4:
                self.saved = self.store.backup()
            case 5 if rng.random() < 0.3:
                # A restored store with the same id must be seen before it is written past the known revision: after
                # that, nothing in etcd's answers shows that it was restored (docs/design/etcd.md, "Limits").
                self.rollback_unseen = rng.random() < 0.3
                self.store = Store.from_backup(self.saved, self.store.cluster + (not self.rollback_unseen))
                self.end_call(f.Failed("restored"))  # its members have restarted
            case 6 if isinstance(self.call, f.OpenWatch):
                self.end_call(f.WatchCancelled("etcdserver: no leader"))
            case 7 if isinstance(self.call, f.ListPage):
                bad = [f.KeyValue(b"/boxes/b", b"", 1), f.KeyValue(b"/boxes/a", b"", 1)]
                self.end_call(
                    rng.choice(
                        [
                            f.Page(self.store.cluster, 0, [], False),
                            f.Page(self.store.cluster, 9, [], True),
                            f.Page(self.store.cluster, 9, bad, False),
                        ]
                    )
                )

    def clear_faults(self) -> None:
        self.silent, self.behind = False, 0

    def end_call(self, event: f.Event) -> None:
        if self.call is not None:
            self.call = None
            self.handle(event)

    def answer(self) -> None:
        """Let the member send one response, if there is one."""
        cluster, revision = self.store.cluster, max(1, self.store.revision - self.behind)
        if self.silent or self.call is None:
            return
        if isinstance(self.call, f.ListPage):
            self.handle(self.page(self.call))
        elif not self.watch_created:
            self.watch_created = True
            self.handle(f.WatchCreated(cluster, revision))
        else:
            try:
                begun = bool(self.fragments)
                self.fragments = self.fragments or self.changes(revision)
            except Compacted as error:
                self.call = None
                self.handle(f.WatchCancelled("", error.args[0]))
                return
            if self.progress_requests and not begun and self.rng.random() < OVERTAKES:
                self.progress_requests = 0
                self.handle(f.Progress(cluster, revision))  # overtakes changes, as before etcd 3.4.25 and 3.5.8
            elif self.fragments:
                part = self.fragments.pop(0)
                self.handle(f.WatchEvents(cluster, revision, part, bool(self.fragments)))
            elif self.progress_requests:
                self.progress_requests = 0
                self.handle(f.Progress(cluster, revision))

    def changes(self, revision: int) -> list[list[f.KeyValue]]:
        """New changes of the watch, in fragments."""
        new = [
            f.KeyValue(c.key, c.value, c.revision)
            for c in self.store.since(self.next, PREFIX, END)
            if c.revision <= revision
        ]
        self.next = max(self.next, revision + 1)
        size = self.rng.randint(1, 4)
        return [new[i : i + size] for i in range(0, len(new), size)]

    def page(self, asked: f.ListPage) -> f.Event:
        try:
            rows = self.store.rows(asked.start or PREFIX, END, asked.revision, 4)
        except (Compacted, FutureRevision):
            self.call = None
            return f.Failed("compacted")
        pairs = [f.KeyValue(c.key, c.value, c.revision) for c in rows[:4]]
        return f.Page(self.store.cluster, self.store.revision, pairs, len(rows) > 4)

    # -- follower --

    def handle(self, event: f.Event) -> None:
        actions = self.follower.handle(self.now, event)
        self.actions += actions
        for action in actions:
            self.execute(action)
        self.queue.remove_overdue(self.now)

    def execute(self, action: f.Action) -> None:
        match action:
            case f.ListPage() | f.OpenWatch():
                self.call, self.watch_created, self.progress_requests, self.fragments = action, False, 0, []
                self.calls += 1
                if isinstance(action, f.OpenWatch):
                    self.next = action.revision
            case f.RequestProgress():
                self.progress_requests += 1
            case f.Close():
                self.call = None
            case f.ListStarted():
                self.queue.begin_list()
            case f.ListedKeys():
                self.queue.add_listed(action.items, action.rolled_back)
            case f.ListComplete():
                self.rollback_unseen = False
                self.queue.finish_list(action.rolled_back, self.now)
            case f.Changed():
                self.queue.add_changes(action.items)

    def deliver_slice(self, limit: int) -> None:
        urgent = self.queue.has_urgent
        entries = self.queue.take(limit, self.now)
        for entry in entries:
            if entry.upstream.state is api.State.GONE:
                self.delivered.pop(entry.upstream.id, None)
            else:
                assert not urgent or entry.upstream.state is api.State.DRAINING or entry.upstream.id in self.delivered
                self.delivered[entry.upstream.id] = entry
        assert len({e.upstream.id for e in entries}) == len(entries)  # at most one entry per host

    def step(self) -> None:
        match self.rng.randrange(6):
            case 0 | 1 | 2:
                self.answer()
            case 3:
                self.deliver_slice(self.rng.randint(1, 4))
            case 4 | 5:
                self.now += self.rng.choice([1, 20, 300, 1500]) * f.MS
                self.store.expire(self.now)
                if self.now >= self.follower.due_ns:
                    self.handle(f.Tick())

    def matches_store(self) -> bool:
        """Whether the delivered list equals the content of the store."""
        numbers = Membership(0)
        stored = {
            c.key[len(PREFIX) :].decode(): json.loads(c.value or b"")
            for c in self.store.rows(PREFIX, END)
            if c.key[len(PREFIX) :].decode(errors="replace") in HOSTS
        }
        expected = {numbers.id_of(h): (r["health"], r["dial"], r["site"]) for h, r in stored.items()}
        states = {api.State.READY: "up", api.State.DRAINING: "draining"}
        delivered = {
            i: (states[e.upstream.state], "{}:{}".format(*e.address), e.upstream.zone)
            for i, e in self.delivered.items()
            if i != numbers.id_of(ODD)
        }
        return delivered == expected and not self.queue.pending


def play(seed: int) -> World:
    world = World(seed)
    world.handle(f.Tick())
    for _ in range(world.rng.randint(20, 120)):
        kind = world.rng.random()
        if kind < 0.25:
            world.write()
        elif kind < 0.35:
            world.inject_fault()
        elif kind < 0.40:
            world.clear_faults()
        else:
            world.step()
    world.clear_faults()
    end = world.now + CALM_NS
    while world.now < end:
        world.step()
    while world.queue.pending:
        world.deliver_slice(4)
    return world


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize("part", range(10))
def test_after_any_history_the_list_equals_the_store(part: int) -> None:
    wrong = [seed for seed in range(part, HISTORIES, 10) if not play(seed).matches_store()]
    assert not wrong, f"seeds {wrong[:10]}"


def test_a_history_is_deterministic() -> None:
    assert [play(17).actions == play(17).actions, play(17).calls == play(17).calls] == [True, True]


def test_no_fault_makes_the_follower_call_in_a_tight_loop() -> None:
    # Guards against a store that rejects every call at once.
    for refusal in (f.WatchCancelled("no leader"), f.WatchCancelled("", 5), f.Failed("refused")):
        world = World(3)
        world.handle(f.Tick())
        while world.now < 60 * f.SECOND:
            if isinstance(world.call, f.ListPage) and not isinstance(refusal, f.Failed):
                world.answer()
            elif world.call is not None:
                world.end_call(refusal)
            else:
                world.now = max(world.now + 1, world.follower.due_ns)
                world.handle(f.Tick())
        assert world.calls < 60


def row(**more: object) -> bytes:
    return json.dumps({"dial": "127.0.0.1:1", "health": "up", **more}).encode()


def known(*hosts: str) -> ChangeQueue:
    queue = ChangeQueue(Membership(0), PREFIX)
    queue.begin_list()
    queue.add_listed([f.KeyValue(PREFIX + h.encode(), row(), 2) for h in hosts], False)
    queue.finish_list(False, 1)
    while queue.pending:
        queue.take(100, 1)
    return queue


def test_removals_and_drains_are_delivered_ahead_of_the_burst_around_them() -> None:
    queue = known("a", "b", "c")
    burst = [f.KeyValue(b"/boxes/new-%04d" % i, row(), 3 + i) for i in range(5000)]
    queue.add_changes(
        [
            *burst[:2500],
            f.KeyValue(b"/boxes/a", row(health="draining"), 9000),
            f.KeyValue(b"/boxes/b", None, 9001),
            *burst[2500:],
        ]
    )
    first = queue.take(32, 1)
    assert [e.upstream.state for e in first] == [api.State.DRAINING, api.State.GONE]
    assert queue.pending == 5000 and len(queue.take(32, 1)) == 32


def test_a_host_recreated_within_a_batch_is_removed_first() -> None:
    queue = known("a")
    queue.add_changes([f.KeyValue(b"/boxes/a", None, 5), f.KeyValue(b"/boxes/a", row(dial="127.0.0.1:2"), 6)])
    assert [e.upstream.state for e in queue.take(100, 1)] == [api.State.GONE]
    assert [e.address for e in queue.take(100, 1)] == [("127.0.0.1", 2)]


def test_a_drain_withdrawn_within_a_batch_is_not_delivered() -> None:
    queue = known("a")
    queue.add_changes([f.KeyValue(b"/boxes/a", row(health="draining"), 5), f.KeyValue(b"/boxes/a", row(site="w"), 6)])
    assert [(e.upstream.state, e.upstream.zone) for e in queue.take(100, 1)] == [(api.State.READY, "w")]


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{",
        b"[]",
        b"7",
        b"\xff",
        b"[" * 50_000,
        row(health="odd"),
        row(dial="x:1"),
        row(born_ms="x"),
        b'{"pad": "' + b"x" * 70_000 + b'"}',
    ],
)
def test_an_invalid_value_keeps_the_old_row(value: bytes) -> None:
    queue = known("a", "b")
    queue.add_changes([f.KeyValue(b"/boxes/a", value, 5), f.KeyValue(b"/boxes/b", row(health="draining"), 6)])
    delivered = [e for _ in range(2) for e in queue.take(100, 1)]
    assert [e.upstream.state for e in delivered] == [api.State.DRAINING]
    assert queue._membership.hosts == {"a", "b"}


@pytest.mark.parametrize(
    "key", [b"/boxes/", b"/boxes/a/b", b"/boxes/\xff", b"/other/a", b"/boxes/a\n", b"/boxes/" + b"x" * 300]
)
def test_an_invalid_key_is_ignored(key: bytes) -> None:
    queue = known("a")
    queue.add_changes([f.KeyValue(key, row(dial="127.0.0.1:2"), 5), f.KeyValue(key, None, 6)])
    assert not queue.pending and queue._membership.hosts == {"a"}


def test_unlisted_hosts_are_removed_but_only_after_a_delay_if_the_store_was_rolled_back() -> None:
    for rolled_back in (False, True):
        queue = known("a", "b")
        queue.begin_list()
        queue.add_listed([f.KeyValue(b"/boxes/a", row(), 2)], rolled_back)
        queue.finish_list(rolled_back, 1)
        delivered = [e.upstream.state for _ in range(2) for e in queue.take(100, 1)]
        assert delivered == ([] if rolled_back else [api.State.GONE])
        queue.remove_overdue(REMOVAL_DELAY_NS)
        assert not queue.pending
        queue.remove_overdue(1 + REMOVAL_DELAY_NS)
        assert [e.upstream.state for e in queue.take(100, 1)] == ([api.State.GONE] if rolled_back else [])


def test_a_delayed_removal_outlasts_a_second_rollback_also_for_an_undelivered_host() -> None:
    # Found by seed 2991: a host neither delivered yet nor listed lost its delayed removal, and stayed for ever.
    queue = known("a")
    queue.add_changes([f.KeyValue(b"/boxes/new", row(), 5)])
    for now in (1, 2):
        queue.begin_list()
        queue.add_listed([f.KeyValue(b"/boxes/a", row(), 2)], True)
        queue.finish_list(True, now)
    while queue.pending:
        queue.take(9, 2)
    queue.remove_overdue(1 + REMOVAL_DELAY_NS)
    assert [e.upstream.state for e in queue.take(9, 3)] == [api.State.GONE]


def test_an_empty_first_list_does_not_remove_known_hosts_at_once() -> None:
    membership = Membership(0)
    membership.apply([{"host": "a", "dial": "127.0.0.1:1", "health": "up"}], True, 1)
    queue = ChangeQueue(membership, PREFIX)
    queue.begin_list()
    queue.finish_list(False, 1)
    assert not queue.pending and queue.due_ns == 1 + REMOVAL_DELAY_NS
    queue.begin_list()
    queue.add_listed([], False)
    queue.finish_list(False, 2)  # the same store still lists nothing
    assert [e.upstream.state for e in queue.take(9, 1)] == [api.State.GONE]


def test_an_endless_store_is_bounded_by_the_limit() -> None:
    queue = ChangeQueue(Membership(0), PREFIX)
    queue.add_changes([f.KeyValue(b"/boxes/%d" % i, b"{}", i + 1) for i in range(f.MAX_KEYS + 50)])
    assert queue.pending == f.MAX_KEYS
    follower = f.Follower(random.Random(1))
    actions, page = follower.handle(1, f.Tick()), 0
    while any(isinstance(s, f.ListPage) for s in actions):
        pairs = [f.KeyValue(b"/boxes/%09d" % (page * 1000 + i), b"", 1) for i in range(1000)]
        actions, page = follower.handle(2, f.Page(1, 9, pairs, True)), page + 1
    assert page == f.MAX_KEYS // 1000 + 1
