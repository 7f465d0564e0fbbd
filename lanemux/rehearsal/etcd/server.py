"""The stand-in's gRPC side: ranges, watches and authentication over a store, and faults on demand."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from lanemux.rehearsal.etcd import wire
from lanemux.rehearsal.etcd.store import Change, Compacted, FutureRevision, Store

MAX_WATCHERS = 100
ENDLESS_PAGE = 64  # keys of a page of a list without end


Listen = Callable[[tuple[str, int]], socket.socket]


class Raw(CodecBase):  # type: ignore[misc]
    """Messages stay bytes."""

    __content_subtype__ = "proto"

    def encode(self, message: Any, message_type: Any) -> bytes:
        return bytes(message)

    def decode(self, data: bytes, message_type: Any) -> bytes:
        return data


@dataclass(slots=True)
class Faults:
    """What goes wrong, while it is set."""

    refuse_lists: str = ""  # lists end with this text as UNAVAILABLE
    refuse_watches: str = ""  # watches are cancelled with this reason
    silent: bool = False  # watches stay open and say nothing
    lag_revisions: int = 0  # so many revisions that this member lags; its watches stand still
    endless_list: bool = False  # a list goes on for ever
    max_fragment_events: int = 0  # events of one response at most, where the watcher takes fragments; 0: all
    padding_bytes: int = 0  # bytes of padding in a watch response
    expire_token: bool = False  # the next call with a token is told that it's invalid


class Watcher:
    """One watch of a stream."""

    def __init__(self, number: int, begin: bytes, end: bytes, next_revision: int, fragments: bool) -> None:
        self.number, self.begin, self.end = number, begin, end
        self.next = next_revision
        self.fragments = fragments


class FakeMember:
    """One member of a stand-in cluster. Several may share a store."""

    def __init__(self, store: Store, user: str = "", password: str = "", listen: Listen = socket.create_server) -> None:
        self.store = store
        self._listen = listen
        self.faults = Faults()
        self.lists = self.watches = self.logins = 0  # calls that came
        self.watch_start_revisions: list[int] = []  # the revision that each watch asked to begin with
        self.address = ("", 0)
        self.on_written: Callable[[Sequence[Change], int], None] = lambda changes, revision: (
            None
        )  # see `_range`, `_send`
        self._user, self._password = user, password
        self._token = 0  # the last one given
        self._server: Server | None = None
        self._connections: set[asyncio.Transport] = set()
        self._news = asyncio.Event()
        self._handlers: dict[asyncio.Task[Any], None] = {}

    # -- life --

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> FakeMember:
        listener = self._listen((host, port))
        self.address = listener.getsockname()
        self._server = Server([self], codec=Raw())
        await self._server.start(sock=listener)
        return self

    async def stop(self) -> None:
        """End as a killed process does: connections break, and nobody listens."""
        if self._server is not None:
            self._server.close()
            self.drop()
            await self._server.wait_closed()
            self._server = None

    def drop(self) -> None:
        """Break every watch in hand, as a member that restarts does."""
        for task in list(self._handlers):
            task.cancel()

    def notify_watchers(self) -> None:
        """The store has changed: watchers are told in the loop's next turn."""
        news, self._news = self._news, asyncio.Event()
        news.set()

    def __mapping__(self) -> dict[str, Handler]:
        unary = Cardinality.UNARY_UNARY
        return {
            "/etcdserverpb.KV/Range": Handler(self._range, unary, bytes, bytes),
            "/etcdserverpb.Auth/Authenticate": Handler(self._authenticate, unary, bytes, bytes),
            "/etcdserverpb.Watch/Watch": Handler(self._watch, Cardinality.STREAM_STREAM, bytes, bytes),
        }

    # -- calls --

    @property
    def _revision(self) -> int:
        return max(1, self.store.revision - self.faults.lag_revisions)

    def _header(self) -> bytes:
        return wire.message(1, wire.field(1, self.store.cluster) + wire.field(2, 1) + wire.field(3, self._revision))

    def _check(self, stream: Any) -> None:
        """The token of a call, where the store wants one."""
        if not self._user:
            return
        token = dict(stream.metadata).get("token")
        if self.faults.expire_token or token != f"t{self._token}" or not self._token:
            self.faults.expire_token = False
            self._token += 1
            raise GRPCError(Status.UNAUTHENTICATED, "etcdserver: invalid auth token")

    async def _authenticate(self, stream: Any) -> None:
        self.logins += 1
        asked = wire.parse(await stream.recv_message())
        if (wire.octets(asked, 1).decode(), wire.octets(asked, 2).decode()) != (self._user, self._password):
            raise GRPCError(Status.INVALID_ARGUMENT, "etcdserver: authentication failed, invalid user ID or password")
        self._token += 1
        await stream.send_message(self._header() + wire.field(2, f"t{self._token}"))

    async def _range(self, stream: Any) -> None:
        self.lists += 1
        asked = wire.parse(await stream.recv_message())
        self._check(stream)
        if self.faults.refuse_lists:
            raise GRPCError(Status.UNAVAILABLE, self.faults.refuse_lists)
        begin, end, limit = wire.octets(asked, 1), wire.octets(asked, 2), wire.whole(asked, 3)
        if self.faults.endless_list:
            rows = [Change(begin + b"%03d" % i, b"{}", 1, 1) for i in range(ENDLESS_PAGE)]
            await stream.send_message(self._header() + _kvs(2, rows) + wire.field(3, 1))
            return
        try:
            rows = self.store.rows(begin, end, wire.whole(asked, 4), limit)
        except Compacted:
            raise GRPCError(Status.OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted") from None
        except FutureRevision:
            raise GRPCError(Status.OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision") from None
        more = bool(limit) and len(rows) > limit
        # A linearizable list is never lag_revisions: the member first catches up.
        header = wire.message(1, wire.field(1, self.store.cluster) + wire.field(3, self.store.revision))
        await stream.send_message(header + _kvs(2, rows[:limit] if more else rows) + wire.field(3, int(more)))
        if not more:
            self.on_written((), self.store.revision)  # all up to that revision, deletions too

    async def _watch(self, stream: Any) -> None:
        self.watches += 1
        self._check(stream)
        task = asyncio.current_task()
        assert task is not None
        self._handlers[task] = None
        watchers: list[Watcher] = []
        sending = asyncio.create_task(self._send_on(stream, watchers))
        try:
            while (data := await stream.recv_message()) is not None:
                await self._asked(stream, wire.parse(data), watchers)
        finally:
            self._handlers.pop(task, None)
            sending.cancel()

    async def _asked(self, stream: Any, asked: dict[int, int | bytes], watchers: list[Watcher]) -> None:
        if 1 in asked:
            create = wire.parse(wire.octets(asked, 1))
            watcher = Watcher(
                len(watchers),
                wire.octets(create, 1),
                wire.octets(create, 2),
                wire.whole(create, 3) or self.store.revision + 1,
                bool(wire.whole(create, 8)),
            )
            self.watch_start_revisions.append(watcher.next)
            if len(watchers) >= MAX_WATCHERS:
                raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many watchers")
            head = self._header() + wire.field(2, watcher.number)
            await stream.send_message(head + wire.field(3, 1))
            if self.faults.refuse_watches:
                await stream.send_message(head + wire.field(4, 1) + wire.field(6, self.faults.refuse_watches))
            else:
                watchers.append(watcher)
                self.notify_watchers()
        elif 3 in asked and not self.faults.silent:
            await stream.send_message(self._header() + wire.field(2, -1))

    async def _send_on(self, stream: Any, watchers: list[Watcher]) -> None:
        """Tell each watcher what is new, for as long as the stream lasts."""
        while True:
            news = self._news
            if not (self.faults.silent or self.faults.lag_revisions):
                for watcher in list(watchers):
                    await self._send(stream, watcher, watchers)
            await news.wait()

    async def _send(self, stream: Any, watcher: Watcher, watchers: list[Watcher]) -> None:
        head = self._header() + wire.field(2, watcher.number)
        try:
            changes = self.store.since(watcher.next, watcher.begin, watcher.end)
        except Compacted as error:
            watchers.remove(watcher)
            await stream.send_message(head + wire.field(4, 1) + wire.field(5, error.args[0]))
            return
        watcher.next = max(watcher.next, self.store.revision + 1)
        if not changes:
            return
        most = (
            self.faults.max_fragment_events if watcher.fragments and self.faults.max_fragment_events else len(changes)
        )
        for start in range(0, len(changes), most):
            part = changes[start : start + most]
            last = start + most >= len(changes)
            await stream.send_message(
                head + wire.field(7, int(not last)) + _events(part) + wire.field(99, b"x" * self.faults.padding_bytes)
            )
            self.on_written(part, 0)


def _kv(change: Change) -> bytes:
    return (
        wire.field(1, change.key)
        + wire.field(2, change.created)
        + wire.field(3, change.revision)
        + wire.field(5, change.value or b"")
    )


def _kvs(tag: int, rows: Sequence[Change]) -> bytes:
    return wire.messages(tag, map(_kv, rows))


def _events(changes: Sequence[Change]) -> bytes:
    return wire.messages(11, (wire.field(1, int(c.value is None)) + wire.message(2, _kv(c)) for c in changes))
