"""Calls to one etcd member over gRPC (grpclib on h2); responses become events of the follower."""

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
from lanemux.etcd.follower import Event, Failed, KeyValue, Page, Progress, WatchCancelled, WatchCreated, WatchEvents

log = logging.getLogger(__name__)

PAGE_KEYS = 256  # of one request: at 64 KiB each they make 16 MiB
MAX_MESSAGE_BYTES = 20 * 1024 * 1024  # a page of the largest values, with room for the keys
WINDOW_BYTES = 1024 * 1024  # HTTP/2 flow control: what a member may send ahead of the reader
MAX_PASSWORD_BYTES = 4096  # of the password file
CHUNK_ITEMS = 128  # converted in one turn of the event loop
CALL_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Target:
    """The prefix to follow, the endpoints and the credentials."""

    endpoints: tuple[Address, ...]
    prefix: str
    user: str = ""
    password_file: str = ""

    @property
    def range_start(self) -> bytes:
        return self.prefix.encode()

    @property
    def range_end(self) -> bytes:
        """The first key after the prefix, as etcd's range_end requires."""
        trimmed = self.range_start.rstrip(b"\xff")
        return trimmed[:-1] + bytes([trimmed[-1] + 1]) if trimmed else b"\0"


class BadResponse(Exception):
    """A member's response is unusable."""


class MemberClient:
    """Client of one member, with its connection. A call ends with one last event unless it is cancelled."""

    def __init__(self, target: Target, address: Address, system: System | None = None) -> None:
        self.address = address
        self._target = target
        self._system = system or Machine()
        self._channel = Channel(
            *address,
            config=Configuration(http2_connection_window_size=WINDOW_BYTES, http2_stream_window_size=WINDOW_BYTES),
        )
        self._token = ""
        self._progress_requested = asyncio.Event()  # set: ask the watch for its progress

    def close(self) -> None:
        self._channel.close()

    def request_progress(self) -> None:
        self._progress_requested.set()

    async def list(self, start: bytes, revision: int, on_event: Callable[[Event], None]) -> None:
        """Request one page of the list."""
        request = messages.RangeRequest(
            key=start or self._target.range_start, range_end=self._target.range_end, limit=PAGE_KEYS, revision=revision
        )
        await self._run_call(self._fetch_page(request, on_event), on_event)

    async def watch(self, revision: int, on_event: Callable[[Event], None]) -> None:
        """Run a watch until it ends."""
        await self._run_call(self._run_watch(revision, on_event), on_event)

    # -- calls --

    async def _run_call(self, call: Any, on_event: Callable[[Event], None]) -> None:
        """Run a call and report its failure as one event."""
        try:
            await call
        except GRPCError as error:
            self._token = ""  # it may have expired, and a new one is the only remedy
            on_event(Failed(f"{error.status.name}: {error.message}"))
        except (OSError, StreamTerminatedError, ProtocolError, TimeoutError, BadResponse) as error:
            on_event(Failed(f"{type(error).__name__}: {error}"))

    async def _fetch_page(self, request: Any, on_event: Callable[[Event], None]) -> None:
        method = UnaryUnaryMethod(
            self._channel, "/etcdserverpb.KV/Range", messages.RangeRequest, messages.RangeResponse
        )
        # asyncio's timeout instead of grpclib's, which uses another clock than the event loop.
        async with asyncio.timeout(CALL_TIMEOUT_S), method.open(metadata=await self._metadata()) as stream:
            await stream.send_message(request, end=True)
            _limit_message_size(stream)
            reply = await stream.recv_message()
            await stream.recv_trailing_metadata()
        if reply is None:
            raise BadResponse("no answer to a list")
        items = []
        async for chunk in _in_chunks(reply.kvs):
            items += [KeyValue(kv.key, kv.value, kv.mod_revision) for kv in chunk]
        on_event(Page(reply.header.cluster_id, reply.header.revision, items, reply.more))

    async def _run_watch(self, revision: int, on_event: Callable[[Event], None]) -> None:
        method = StreamStreamMethod(
            self._channel, "/etcdserverpb.Watch/Watch", messages.WatchRequest, messages.WatchResponse
        )
        create = {
            "key": self._target.range_start,
            "range_end": self._target.range_end,
            "start_revision": revision,
            "progress_notify": True,
            "fragment": True,
        }
        # `hasleader`: a member that has lost its quorum ends the watch instead of staying silent for ever.
        async with method.open(metadata={**await self._metadata(), "hasleader": "true"}) as stream:
            await stream.send_message(messages.WatchRequest(create_request=create))
            _limit_message_size(stream)
            self._progress_requested.clear()
            sender = asyncio.create_task(self._send_progress_requests(stream))
            try:
                while (response := await stream.recv_message()) is not None:
                    await _deliver_response(response, on_event)
                raise BadResponse("the watch ended")
            finally:
                sender.cancel()
                await asyncio.wait([sender])
                await stream.cancel()

    async def _send_progress_requests(self, stream: Any) -> None:
        """Send a progress request each time one is asked for."""
        request = messages.WatchRequest()
        request.progress_request.SetInParent()
        try:
            while True:
                await self._progress_requested.wait()
                self._progress_requested.clear()
                await stream.send_message(request)
        except (OSError, StreamTerminatedError, ProtocolError, GRPCError):
            return  # the watch reports the failure itself

    async def _metadata(self) -> dict[str, str]:
        if not self._target.user:
            return {}
        if not self._token:
            self._token = await self._authenticate()
        return {"token": self._token}

    async def _authenticate(self) -> str:
        password = (
            self._system.read(self._target.password_file, MAX_PASSWORD_BYTES).decode(errors="replace").rstrip("\r\n")
        )
        method = UnaryUnaryMethod(
            self._channel,
            "/etcdserverpb.Auth/Authenticate",
            messages.AuthenticateRequest,
            messages.AuthenticateResponse,
        )
        async with asyncio.timeout(CALL_TIMEOUT_S):
            reply = await method(messages.AuthenticateRequest(name=self._target.user, password=password))
        return str(reply.token)


async def _deliver_response(response: Any, on_event: Callable[[Event], None]) -> None:
    """Convert a watch response to events of the follower, large ones in parts."""
    cluster, revision = response.header.cluster_id, response.header.revision
    if response.created:
        on_event(WatchCreated(cluster, revision))
    if response.canceled:
        on_event(WatchCancelled(response.cancel_reason, response.compact_revision))
    elif response.events:
        parts = -(-len(response.events) // CHUNK_ITEMS)
        part = 0
        async for chunk in _in_chunks(response.events):
            part += 1
            items = [
                KeyValue(
                    event.kv.key, None if event.type == messages.DELETED else event.kv.value, event.kv.mod_revision
                )
                for event in chunk
            ]
            on_event(WatchEvents(cluster, revision, items, response.fragment or part < parts))
    elif not response.created:
        on_event(Progress(cluster, revision))


async def _in_chunks(items: Any) -> AsyncIterator[Any]:
    """Chunks of a long field; the event loop runs between them."""
    for start in range(0, len(items), CHUNK_ITEMS):
        if start:
            await asyncio.sleep(0)
        yield items[start : start + CHUNK_ITEMS]


def _limit_message_size(stream: Any) -> None:
    """Reject a message whose announced length exceeds the limit, before it is buffered.

    grpclib accepts any announced length; its streams read through `recv_data`."""
    inner = stream._stream
    receive = inner.recv_data

    async def bounded(size: int) -> bytes:
        if size > MAX_MESSAGE_BYTES:
            raise BadResponse(f"a message of {size} bytes")
        data: bytes = await receive(size)
        return data

    inner.recv_data = bounded
