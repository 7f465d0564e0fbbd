"""The gRPC server of the fake etcd: ranges, watches and authentication over a store, with faults on demand."""

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

MAX_WATCHES = 100
ENDLESS_PAGE = 64  # keys per page of an endless list

Listen = Callable[[tuple[str, int]], socket.socket]


class RawCodec(CodecBase):  # type: ignore[misc]
    """Passes messages as bytes; `wire` encodes and decodes them."""

    __content_subtype__ = "proto"

    def encode(self, message: Any, message_type: Any) -> bytes:
        return bytes(message)

    def decode(self, data: bytes, message_type: Any) -> bytes:
        return data


@dataclass(slots=True)
class Faults:
    """The faults of a member; each is active while its field is set."""

    refuse_lists: str = ""  # lists fail with UNAVAILABLE and this message
    refuse_watches: str = ""  # watches are cancelled with this reason
    silent: bool = False  # watches stay open and send nothing
    lag_revisions: int = 0  # how many revisions this member is behind; its watches send nothing
    endless_list: bool = False  # every page of a list announces another one
    max_fragment_events: int = 0  # per response, if the watch allows fragments; 0: unlimited
    padding_bytes: int = 0  # in each watch response
    expire_token: bool = False  # the next call with a token is rejected as invalid


class Watch:
    """One watch of a watch stream."""

    def __init__(self, number: int, begin: bytes, end: bytes, next_revision: int, allows_fragments: bool) -> None:
        self.number, self.begin, self.end = number, begin, end
        self.next_revision = next_revision
        self.allows_fragments = allows_fragments


class FakeMember:
    """One member of a fake etcd cluster. Several members may share a store."""

    def __init__(self, store: Store, user: str = "", password: str = "", listen: Listen = socket.create_server) -> None:
        self.store = store
        self._listen = listen
        self.faults = Faults()
        self.lists = self.watches = self.logins = 0  # number of calls received
        self.watch_start_revisions: list[int] = []  # the start revision of each watch request
        self.address = ("", 0)
        # Called when changes, or (without any) all keys up to a revision, were sent: see `_send_changes`, `_range`.
        self.on_written: Callable[[Sequence[Change], int], None] = lambda changes, revision: None
        self._user, self._password = user, password
        self._token = 0  # number of the last token issued
        self._server: Server | None = None
        self._connections: set[asyncio.Transport] = set()
        self._store_changed = asyncio.Event()
        self._handlers: dict[asyncio.Task[Any], None] = {}

    # -- start and stop --

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> FakeMember:
        listener = self._listen((host, port))
        self.address = listener.getsockname()
        self._server = Server([self], codec=RawCodec())
        await self._server.start(sock=listener)
        return self

    async def stop(self) -> None:
        """Stop like a killed process: connections break and nothing listens any more."""
        if self._server is not None:
            self._server.close()
            self.drop()
            await self._server.wait_closed()
            self._server = None

    def drop(self) -> None:
        """Break all watch streams, as a restarting member does."""
        for task in list(self._handlers):
            task.cancel()

    def notify_watchers(self) -> None:
        """Wake the watches after a change of the store; they send in the loop's next iteration."""
        changed, self._store_changed = self._store_changed, asyncio.Event()
        changed.set()

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
        """Check the token of a call, if authentication is on; raises UNAUTHENTICATED."""
        if not self._user:
            return
        token = dict(stream.metadata).get("token")
        if self.faults.expire_token or token != f"t{self._token}" or not self._token:
            self.faults.expire_token = False
            self._token += 1
            raise GRPCError(Status.UNAUTHENTICATED, "etcdserver: invalid auth token")

    async def _authenticate(self, stream: Any) -> None:
        self.logins += 1
        request = wire.parse(await stream.recv_message())
        if (wire.bytes_field(request, 1).decode(), wire.bytes_field(request, 2).decode()) != (
            self._user,
            self._password,
        ):
            raise GRPCError(Status.INVALID_ARGUMENT, "etcdserver: authentication failed, invalid user ID or password")
        self._token += 1
        await stream.send_message(self._header() + wire.field(2, f"t{self._token}"))

    async def _range(self, stream: Any) -> None:
        self.lists += 1
        request = wire.parse(await stream.recv_message())
        self._check(stream)
        if self.faults.refuse_lists:
            raise GRPCError(Status.UNAVAILABLE, self.faults.refuse_lists)
        begin, end, limit = wire.bytes_field(request, 1), wire.bytes_field(request, 2), wire.int_field(request, 3)
        if self.faults.endless_list:
            rows = [Change(begin + b"%03d" % i, b"{}", 1, 1) for i in range(ENDLESS_PAGE)]
            await stream.send_message(self._header() + _kvs(2, rows) + wire.field(3, 1))
            return
        try:
            rows = self.store.rows(begin, end, wire.int_field(request, 4), limit)
        except Compacted:
            raise GRPCError(Status.OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted") from None
        except FutureRevision:
            raise GRPCError(Status.OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision") from None
        more = bool(limit) and len(rows) > limit
        # A linearizable list is never stale: the member catches up first.
        header = wire.message(1, wire.field(1, self.store.cluster) + wire.field(3, self.store.revision))
        await stream.send_message(header + _kvs(2, rows[:limit] if more else rows) + wire.field(3, int(more)))
        if not more:
            self.on_written((), self.store.revision)  # everything up to that revision, including deletions

    async def _watch(self, stream: Any) -> None:
        self.watches += 1
        self._check(stream)
        task = asyncio.current_task()
        assert task is not None
        self._handlers[task] = None
        watches: list[Watch] = []
        sending = asyncio.create_task(self._send_while_open(stream, watches))
        try:
            while (data := await stream.recv_message()) is not None:
                await self._handle_watch_request(stream, wire.parse(data), watches)
        finally:
            self._handlers.pop(task, None)
            sending.cancel()

    async def _handle_watch_request(self, stream: Any, request: dict[int, int | bytes], watches: list[Watch]) -> None:
        if 1 in request:
            create = wire.parse(wire.bytes_field(request, 1))
            watch = Watch(
                len(watches),
                wire.bytes_field(create, 1),
                wire.bytes_field(create, 2),
                wire.int_field(create, 3) or self.store.revision + 1,
                bool(wire.int_field(create, 8)),
            )
            self.watch_start_revisions.append(watch.next_revision)
            if len(watches) >= MAX_WATCHES:
                raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many watchers")
            head = self._header() + wire.field(2, watch.number)
            await stream.send_message(head + wire.field(3, 1))
            if self.faults.refuse_watches:
                await stream.send_message(head + wire.field(4, 1) + wire.field(6, self.faults.refuse_watches))
            else:
                watches.append(watch)
                self.notify_watchers()
        elif 3 in request and not self.faults.silent:
            await stream.send_message(self._header() + wire.field(2, -1))

    async def _send_while_open(self, stream: Any, watches: list[Watch]) -> None:
        """Send new changes on each watch for as long as the stream is open."""
        while True:
            changed = self._store_changed
            if not (self.faults.silent or self.faults.lag_revisions):
                for watch in list(watches):
                    await self._send_changes(stream, watch, watches)
            await changed.wait()

    async def _send_changes(self, stream: Any, watch: Watch, watches: list[Watch]) -> None:
        head = self._header() + wire.field(2, watch.number)
        try:
            changes = self.store.since(watch.next_revision, watch.begin, watch.end)
        except Compacted as error:
            watches.remove(watch)
            await stream.send_message(head + wire.field(4, 1) + wire.field(5, error.args[0]))
            return
        watch.next_revision = max(watch.next_revision, self.store.revision + 1)
        if not changes:
            return
        max_events = (
            self.faults.max_fragment_events
            if watch.allows_fragments and self.faults.max_fragment_events
            else len(changes)
        )
        for start in range(0, len(changes), max_events):
            fragment = changes[start : start + max_events]
            last = start + max_events >= len(changes)
            await stream.send_message(
                head
                + wire.field(7, int(not last))
                + _events(fragment)
                + wire.field(99, b"x" * self.faults.padding_bytes)
            )
            self.on_written(fragment, 0)


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
