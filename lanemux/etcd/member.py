"""Calls to one etcd member over gRPC (grpclib on h2): what comes is handed on as the follower's events."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

from grpclib.client import Channel, StreamStreamMethod, UnaryUnaryMethod
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from lanemux.core.address import Address
from lanemux.core.system import Machine, System
from lanemux.etcd import messages
from lanemux.etcd.follower import Cancelled, Created, Event, Failed, News, Page, Pair, Progress

log = logging.getLogger(__name__)

PAGE = 256  # keys asked for at once: 64 KiB each come to 16 MiB
MAX_MESSAGE = 20 * 1024 * 1024  # bytes of one: a page of the largest values, with room for its keys
WINDOW = 1024 * 1024  # bytes a member may send ahead of what has been read
MAX_PASSWORD = 4096  # bytes of the file
CHUNK = 128  # changes handed on in one turn of the loop
CALL_S = 5.0


@dataclass(frozen=True, slots=True)
class Target:
    """What is followed, and as whom."""

    endpoints: tuple[Address, ...]
    prefix: str
    user: str = ""
    password_file: str = ""

    @property
    def begin(self) -> bytes:
        return self.prefix.encode()

    @property
    def end(self) -> bytes:
        """The first key behind the prefix, as etcd's range_end wants it."""
        kept = self.begin.rstrip(b"\xff")
        return kept[:-1] + bytes([kept[-1] + 1]) if kept else b"\0"


class Unusable(Exception):
    """What a member sent can't be used."""


class Member:
    """One member and the connection to it. A call ends with one last event, unless it is cancelled."""

    def __init__(self, target: Target, address: Address, system: System | None = None) -> None:
        self.address = address
        self._target = target
        self._system = system or Machine()
        self._channel = Channel(
            *address, config=Configuration(http2_connection_window_size=WINDOW, http2_stream_window_size=WINDOW)
        )
        self._token = ""
        self._asked = asyncio.Event()  # that the watch be asked for its progress

    def close(self) -> None:
        self._channel.close()

    def ask_progress(self) -> None:
        self._asked.set()

    async def list(self, start: bytes, revision: int, hear: Callable[[Event], None]) -> None:
        """One page."""
        request = messages.RangeRequest(
            key=start or self._target.begin, range_end=self._target.end, limit=PAGE, revision=revision
        )
        await self._guarded(self._listed(request, hear), hear)

    async def watch(self, revision: int, hear: Callable[[Event], None]) -> None:
        """A watch, until it ends."""
        await self._guarded(self._watched(revision, hear), hear)

    # -- calls --

    async def _guarded(self, call: Any, hear: Callable[[Event], None]) -> None:
        """Whatever ends a call is one event."""
        try:
            await call
        except GRPCError as error:
            self._token = ""  # it may have run out; asking for another is all that could help
            hear(Failed(f"{error.status.name}: {error.message}"))
        except (OSError, StreamTerminatedError, ProtocolError, TimeoutError, Unusable) as error:
            hear(Failed(f"{type(error).__name__}: {error}"))

    async def _listed(self, request: Any, hear: Callable[[Event], None]) -> None:
        method = UnaryUnaryMethod(
            self._channel, "/etcdserverpb.KV/Range", messages.RangeRequest, messages.RangeResponse
        )
        # The loop's own time limit: grpclib's would be read from another clock.
        async with asyncio.timeout(CALL_S), method.open(metadata=await self._metadata()) as stream:
            await stream.send_message(request, end=True)
            _bound(stream)
            reply = await stream.recv_message()
            await stream.recv_trailing_metadata()
        if reply is None:
            raise Unusable("no answer to a list")
        pairs = []
        async for chunk in _slowly(reply.kvs):
            pairs += [Pair(kv.key, kv.value, kv.mod_revision) for kv in chunk]
        hear(Page(reply.header.cluster_id, reply.header.revision, pairs, reply.more))

    async def _watched(self, revision: int, hear: Callable[[Event], None]) -> None:
        method = StreamStreamMethod(
            self._channel, "/etcdserverpb.Watch/Watch", messages.WatchRequest, messages.WatchResponse
        )
        create = {
            "key": self._target.begin,
            "range_end": self._target.end,
            "start_revision": revision,
            "progress_notify": True,
            "fragment": True,
        }
        # `hasleader`: a member that has lost its quorum ends the watch instead of saying nothing for ever.
        async with method.open(metadata={**await self._metadata(), "hasleader": "true"}) as stream:
            await stream.send_message(messages.WatchRequest(create_request=create))
            _bound(stream)
            self._asked.clear()
            asking = asyncio.create_task(self._ask(stream))
            try:
                while (response := await stream.recv_message()) is not None:
                    await _heard(response, hear)
                raise Unusable("the watch ended")
            finally:
                asking.cancel()
                await asyncio.wait([asking])
                await stream.cancel()

    async def _ask(self, stream: Any) -> None:
        """Send each question for progress."""
        request = messages.WatchRequest()
        request.progress_request.SetInParent()
        try:
            while True:
                await self._asked.wait()
                self._asked.clear()
                await stream.send_message(request)
        except (OSError, StreamTerminatedError, ProtocolError, GRPCError):
            return  # the watch itself tells

    async def _metadata(self) -> dict[str, str]:
        if not self._target.user:
            return {}
        if not self._token:
            self._token = await self._authenticate()
        return {"token": self._token}

    async def _authenticate(self) -> str:
        password = self._system.read(self._target.password_file, MAX_PASSWORD).decode(errors="replace").rstrip("\r\n")
        method = UnaryUnaryMethod(
            self._channel,
            "/etcdserverpb.Auth/Authenticate",
            messages.AuthenticateRequest,
            messages.AuthenticateResponse,
        )
        async with asyncio.timeout(CALL_S):
            reply = await method(messages.AuthenticateRequest(name=self._target.user, password=password))
        return str(reply.token)


async def _heard(response: Any, hear: Callable[[Event], None]) -> None:
    """A watch response as the follower's events, large ones in parts."""
    cluster, revision = response.header.cluster_id, response.header.revision
    if response.created:
        hear(Created(cluster, revision))
    if response.canceled:
        hear(Cancelled(response.cancel_reason, response.compact_revision))
    elif response.events:
        parts = -(-len(response.events) // CHUNK)
        part = 0
        async for chunk in _slowly(response.events):
            part += 1
            pairs = [
                Pair(e.kv.key, None if e.type == messages.DELETED else e.kv.value, e.kv.mod_revision) for e in chunk
            ]
            hear(News(cluster, revision, pairs, response.fragment or part < parts))
    elif not response.created:
        hear(Progress(cluster, revision))


async def _slowly(items: Any) -> AsyncIterator[Any]:
    """Chunks of a long field; between them the loop has its turn."""
    for start in range(0, len(items), CHUNK):
        if start:
            await asyncio.sleep(0)
        yield items[start : start + CHUNK]


def _bound(stream: Any) -> None:
    """Refuse a message that says it is larger than any sound one, before it is gathered in memory.

    grpclib takes whatever length a message announces; its streams read through `recv_data`."""
    inner = stream._stream
    receive = inner.recv_data

    async def bounded(size: int) -> bytes:
        if size > MAX_MESSAGE:
            raise Unusable(f"a message of {size} bytes")
        data: bytes = await receive(size)
        return data

    inner.recv_data = bounded
