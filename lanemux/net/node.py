"""The node: passes events to the decision module and executes the actions that the module returns."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from typing import assert_never

from lanemux import interface as api
from lanemux.core.claimed_ids import ClaimedIds, ClaimStore, MemoryStorage
from lanemux.core.clock import now_ns
from lanemux.core.memory_account import Holding, MemoryAccount
from lanemux.core.source import SourceFactory
from lanemux.core.system import Machine, System
from lanemux.core.tally import Tally
from lanemux.net.active_request import ActiveRequest
from lanemux.net.admission import ConnectionAdmission
from lanemux.net.client_connection import ClientConnection
from lanemux.net.config import Config
from lanemux.net.decisions import Module, ModuleRunner
from lanemux.net.frontend import Frontend
from lanemux.net.http import LOAD_REPORT_HEADER, Headers, Message, load_report, parse_decimal, write_request
from lanemux.net.memory_guard import MemoryGuard
from lanemux.net.peers import Peers
from lanemux.net.plugin_host import PluginHost
from lanemux.net.probes import Probes
from lanemux.net.server import Server
from lanemux.net.startup import BackgroundAcquisition, acquire
from lanemux.net.stream_supervisor import StreamSupervisor
from lanemux.net.upstream import BodySink, Connection, Exchange, OnStreamStart, PoolManager
from lanemux.net.upstream_set import UpstreamSet

log = logging.getLogger(__name__)

MS = 1_000_000
SECOND = 1000 * MS
METHODS = {api.Effect.SAFE: b"GET", api.Effect.KEYED: b"POST", api.Effect.UNSAFE: b"POST"}
MODULE_DEADLINE_MARGIN_NS = 4 * MS  # the module's deadline is this much before the client's: time to respond
NODE_DEADLINE_MARGIN_NS = 3 * MS // 2  # the node itself ends what the module left open this much before it
MAX_DEADLINE_MS = 600_000
RESERVED_DESCRIPTORS = 32  # event loop, listener, discovery, peers, logs, sockets that close one loop iteration later
OVERLOAD_RETRY_AFTER_S = b"1"  # Retry-After of a request that is refused because the node has no capacity
SWEEP_INTERVAL_S = 1.0
PEER_MESSAGE_DELAY_S = 0.02  # a peer message waits this long to be batched with others; its transit takes up to 33 ms
MAX_QUEUED_EVENTS = 64  # events per such batch, which bounds how long handling it blocks the event loop
DRAIN_TIMEOUT_S = 3.4  # after SIGTERM, requests that are still open then are ended


MakeConnectionAdmission = Callable[[int], ConnectionAdmission]  # argument: the maximum number of connections


class Node:
    """One balancer on real sockets. Upstreams come from platform discovery unless another list source is given."""

    def __init__(
        self,
        config: Config,
        module: Module,
        source: SourceFactory | None = None,
        system: System | None = None,
        admission: MakeConnectionAdmission | None = None,
    ) -> None:
        system = system or Machine()
        self.config = config
        limits = config.settings.limits
        self._limits = limits
        self._loop = asyncio.get_running_loop()
        self._active_requests: dict[str, ActiveRequest] = {}
        self._by_client: dict[ClientConnection, ActiveRequest] = {}
        self._active_request_ids: set[bytes] = set()  # the Req-Id of each active request
        self.claimed_ids: ClaimStore = ClaimedIds(MemoryStorage(), now_ns)  # of requests that must not run again
        self._last_number = 0  # of active requests, which are numbered from 1
        self._closed = False
        self._events: list[api.Event] = []
        self._handling_events = False
        self._module_timers: dict[str, asyncio.TimerHandle] = {}  # timers that the module has set, by name
        self._peer_message_timer: asyncio.TimerHandle | None = None  # set while peer messages wait to be handled
        self._stopping = False
        self._drained = asyncio.Event()
        self._sweep_timer: asyncio.TimerHandle | None = None
        capacity = max(8, (config.sockets - RESERVED_DESCRIPTORS) // 2)
        self.tally = Tally(config.settings.classes)
        self.account = MemoryAccount()
        self._pool_manager = PoolManager(
            capacity,
            limits.connect_timeout_ns / SECOND,
            limits.conn_idle_ns / SECOND,
            stream=True,
            counter=self.tally,
            has_unread=system.has_unread,
            account=self.account,
        )
        self.streams = StreamSupervisor(lambda active: self._finish(active, 504))
        self.server = Server(
            self,
            capacity,
            system,
            self.tally,
            admission(capacity) if admission is not None else None,
            self.account,
        )
        # With an inherited listener, a new version may start beside this process and share its limit.
        self.memory_guard = MemoryGuard(system, self.account, config.memory_mb, 1 if config.listen_fd is None else 2)
        self.frontend = Frontend(config, self.server)
        self.upstream_set = UpstreamSet(config, self._pool_manager, system, source, self.feed, self._cancel_stale_waits)
        self.background = BackgroundAcquisition(self.tally)
        self.port = 0  # the listening port for clients; 0 until it listens
        self._peers = Peers(config.peers, config.peers_all, config.settings.me, self._on_peer_message)
        self.plugins = PluginHost(self._peers.send)
        self._module_runner = ModuleRunner(module, self._current_state)
        probe_path = b"/stats" if config.settings.report_columns else b"/health/live"
        self._probes = Probes(self._pool_manager, probe_path, self.feed)

    # -- start --

    async def start(self, readiness_delay_s: float = 0.0) -> int:
        """Load the cached list of upstreams, then listen for clients; returns the port.

        Readiness is reported only after `readiness_delay_s`. Retries until the listening address can be bound; raises
        UnrecoverableError if it never can be."""
        self.frontend.delay_readiness(readiness_delay_s)
        self.upstream_set.start()
        await self._open_peers()
        if self.config.settings.discovery_push:
            self.upstream_set.source.watch()
        self._sweep_idle()
        self.memory_guard.start()

        async def listen() -> int:
            return self.frontend.open(readiness_delay_s)

        self.port = await acquire("listening socket", listen, self.tally)
        return self.port

    async def _open_peers(self) -> None:
        """Bind the peers' UDP socket; if that fails for now, retry in the background."""
        address = self.config.peer_listen
        if address is None:
            return
        # Another process of this balancer may have bound it too: the kernel distributes the datagrams between them.
        reuse_port = True if self.config.listen_fd is not None else None

        async def bind() -> None:
            await self._loop.create_datagram_endpoint(lambda: self._peers, address, reuse_port=reuse_port)

        try:
            await bind()
        except OSError:
            self.background.start("peers' address", bind)

    def _sweep_idle(self) -> None:
        """Close expired connections, forget expired cordons and abort stalled streams; runs once per interval."""
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep_idle)
        self._pool_manager.close_expired()
        self.upstream_set.expire_cordons()
        self.streams.end_stalled()

    @property
    def ready(self) -> bool:
        """Whether the readiness check succeeds."""
        return self.frontend.ready

    @property
    def stopping(self) -> bool:
        """The process is shutting down: no new configuration is applied."""
        return self._stopping

    # -- status for operators, and shutdown --

    @property
    def outstanding(self) -> int:
        """Number of active requests."""
        return len(self._active_requests)

    @property
    def discovered(self) -> int:
        """Number of upstreams in the current list."""
        return len(self.upstream_set.membership.hosts)

    @property
    def ejected(self) -> int:
        """Number of listed upstreams out of use now: cordoned by operators, or avoided by the module."""
        return self.upstream_set.cordoned + self._module_runner.avoided

    def standing(self) -> Mapping[str, object]:
        """The module's internal figures, which explain its decisions."""
        return self._module_runner.standing()

    async def drain(self) -> None:
        """Shut down gracefully: answer all requests, including those that still arrive, then close everything."""
        end = self._loop.time() + DRAIN_TIMEOUT_S
        self._stopping = True
        self.plugins.leave()
        await self.frontend.close_gracefully(end)
        if self._active_requests:
            self._drained.clear()  # it may have been set before the last requests arrived
            try:
                await asyncio.wait_for(self._drained.wait(), end - self._loop.time())
            except TimeoutError:
                log.warning("drain timed out with %d requests open", len(self._active_requests))
        await self.frontend.flush(end)
        self.close()
        await self.upstream_set.source.wait_stopped()
        await self._pool_manager.wait_for_cancelled()
        await asyncio.sleep(0)  # closed transports release their sockets in the next loop iteration

    def held(self) -> dict[str, int]:
        """Resources held for requests and clients, by kind; all are zero when the node is idle and has no clients."""
        return {
            "calls": len(self._active_requests),
            "clients' calls": len(self._by_client),
            "ids": len(self._active_request_ids),
            "events": len(self._events),
            "probes": len(self._probes),
            "connections": self.server.connection_count,
            "request bytes": self.account.used_by[Holding.REQUESTS],
            "attempts": self._pool_manager.open_connections - len(self._pool_manager.idle),
        }

    def idle_connections(self) -> Iterable[Connection]:
        """The open connections to upstreams that wait for their next request."""
        return self._pool_manager.idle.keys()

    def close(self) -> None:
        """Stop immediately: active requests fail, and nothing new is started."""
        self._closed = True
        self.background.stop()
        for active in list(self._active_requests.values()):
            self._finish(active, 504)
        self.frontend.stop()
        self.memory_guard.stop()
        self.upstream_set.stop()
        for timer in (*self._module_timers.values(), self._sweep_timer, self._peer_message_timer):
            if timer is not None:
                timer.cancel()
        self._probes.abandon()
        for pool in self._pool_manager.pools.values():
            pool.close_idle()
        self.plugins.close()
        self._peers.close()
        self.server.abort()

    # -- the module --

    def feed(self, *events: api.Event) -> None:
        """Pass events to the module and execute its actions; events raised meanwhile are queued for the next batch."""
        if self._closed:
            return  # the module must not start new work in response to the last requests' ends
        self._events += events
        if self._handling_events:
            return
        self._handling_events = True
        if self._peer_message_timer is not None:
            self._peer_message_timer.cancel()
            self._peer_message_timer = None
        try:
            while self._events:
                batch, self._events = self._events, []
                for action in self._module_runner.handle(batch):
                    self._execute_or_report(action)
        finally:
            self._handling_events = False

    def _timer_fired(self, name: str) -> None:
        self._module_timers.pop(name, None)
        self.feed(api.TimerFired(name))

    def _current_state(self, now: int) -> list[api.Event]:
        """The events that restore the state of a module that has failed: active requests and the full list."""
        requests = {r.id: api.HeldRequest(r.sends, r.exchange is not None) for r in self._active_requests.values()}
        return [api.Resync(requests), self.upstream_set.full_update(now)]

    def _execute_or_report(self, action: api.Action) -> None:
        """Execute an action; an exception in it affects no other action, and the request's timer still runs."""
        try:
            self._execute(action)
        except Exception as error:
            self.tally.call_failed("action", type(error).__name__)
            log.exception("action failed: %.200r", action)

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse():
                self._refuse(action)
            case api.Fail():
                self._finish_by_id(action.request, 504)
            case api.Cancel():
                self._cancel(action)
            case api.Probe():
                self._probes.begin(action.upstream)
            case api.SendToPeer():
                self._peers.send(action.data, action.peer)
            case api.CloseIdle():
                if (pool := self._pool_manager.pools.get(action.upstream)) is not None:
                    pool.close_idle()
            case api.Subscribe():
                if action.on:
                    self.upstream_set.source.watch()
                else:
                    self.upstream_set.source.unwatch()
            case api.FetchList():
                self.upstream_set.source.fetch()
            case api.SetTimer():
                due = (self._module_runner.decided_ns + action.delay_ns) / SECOND
                self._module_timers[action.name] = self._loop.call_at(due, self._timer_fired, action.name)
            case api.WriteLog():
                log.info("module: %s", action.text)
            case _:
                assert_never(action)

    # -- requests --

    def handle_request(self, client: ClientConnection, request: Message, received_ns: int) -> None:
        """Accept a client's request; it is refused here only if it is invalid or there is no capacity."""
        class_name = request.target[1:].partition(b"?")[0].partition(b"/")[0].decode("latin-1")
        request_class = self.config.settings.classes.get(class_name)
        deadline_ms = parse_decimal(request.header(b"req-deadline-ms"))
        ids = [value for key, value in request.headers if key == b"req-id"]
        if request.method not in METHODS.values():
            client.answer(405, [(b"Allow", b"GET, POST")])
        elif request_class is None or len(ids) != 1 or not ids[0] or not deadline_ms or b"#" in request.target:
            client.answer(400)
        elif request.method != METHODS[request_class.effect]:
            client.answer(405, [(b"Allow", METHODS[request_class.effect])])
        elif request.method == b"GET" and request.body:
            client.answer(400)  # upstreams ignore a GET body and would parse it as the next request
        elif ids[0] in self._active_request_ids:
            client.answer(409)  # with two active requests of one id, a response could not be attributed
        elif self.frontend.refusing or self._limits.max_open and len(self._active_requests) >= self._limits.max_open:
            self.tally.ended(class_name, 503)
            client.answer(503, [(b"Retry-After", OVERLOAD_RETRY_AFTER_S)])
        elif request_class.effect is not api.Effect.SAFE and not self.claimed_ids.claim(ids[0]):
            client.answer(409)  # it has run or may run, here or at the other process of an upgrade
        else:
            deadline = received_ns + min(deadline_ms, MAX_DEADLINE_MS) * MS
            self._open(client, request, class_name, deadline)

    def _open(self, client: ClientConnection, request: Message, class_name: str, deadline_ns: int) -> None:
        self._last_number += 1
        self._active_request_ids.add(request.header(b"req-id"))
        active = ActiveRequest(str(self._last_number), client, request, deadline_ns, class_name)
        self._active_requests[active.id] = self._by_client[client] = active
        active.timer = self._loop.call_at(
            (deadline_ns - NODE_DEADLINE_MARGIN_NS) / SECOND, self._deadline_passed, active
        )
        cookies = (cookie.strip() for cookie in request.header(b"cookie").decode("latin-1").split(";"))
        key = next((cookie[5:] for cookie in cookies if cookie.startswith("user=")), "")
        cost_us = parse_decimal(request.header(b"req-cost")) or 0
        self.feed(
            api.Arrival(
                active.id,
                class_name,
                request.header(b"req-owner").decode("latin-1"),
                deadline_ns - MODULE_DEADLINE_MARGIN_NS,
                cost_us * 1000,
                key,
                request.header(b"req-retry") == b"1",
            )
        )

    def _deadline_passed(self, active: ActiveRequest) -> None:
        if active.exchange is not None and active.exchange.stream_if_begun():
            return
        self._finish(active, 504)
        self.feed(api.ClientGone(active.id))

    def refused_for_memory(self) -> None:
        """A client's request was refused because there is no memory for it."""
        self.tally.refused("memory")

    def client_gone(self, client: ClientConnection) -> None:
        """The client has closed its connection: cancel its request."""
        active = self._by_client.get(client)
        if active is not None:
            self._drop(active)
            self.feed(api.ClientGone(active.id))

    def _refuse(self, action: api.Refuse) -> None:
        headers = []
        if action.retry_after_ns > 0:
            headers.append((b"Retry-After", b"%.3f" % (action.retry_after_ns / SECOND)))
        self._finish_by_id(action.request, 503, headers)

    def _finish_by_id(self, request: str, status: int, headers: Headers = ()) -> None:
        active = self._active_requests.get(request)
        if active is not None:
            self._finish(active, status, headers)

    def _finish(self, active: ActiveRequest, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """Send the only final response; later calls have no effect."""
        if not active.finished:
            self._drop(active)
            self.tally.ended(active.class_name, status)
            if active.stream is None:
                active.client.answer(status, headers, body)
            elif status == 200:
                active.client.end_stream()
            else:
                active.client.abort_stream()

    def _drop(self, active: ActiveRequest) -> None:
        """Release the request's state and cancel its attempt in flight."""
        active.finished = True
        if active.timer is not None:
            active.timer.cancel()
        del self._active_requests[active.id]
        self.streams.forget(active)
        del self._by_client[active.client]
        request_id = active.request.header(b"req-id")
        self._active_request_ids.discard(request_id)
        if not active.may_have_run and self._effect_of(active) is not api.Effect.SAFE:
            self.claimed_ids.release(request_id)
        if active.exchange is not None:
            active.exchange.finish(api.Result.CANCELLED)
        if self._stopping and not self._active_requests:
            self._drained.set()

    def _effect_of(self, active: ActiveRequest) -> api.Effect:
        return self.config.settings.classes[active.class_name].effect

    # -- attempts --

    def _send(self, action: api.Send) -> None:
        now = now_ns()
        active = self._active_requests.get(action.request)
        attempt_number = active.sends if active is not None else 0
        pool = self._pool_manager.pools.get(action.upstream)
        # The timeout counts from the decision: a stall of the process since then must not push it past the deadline, or
        # the module would be notified too late.
        end = deadline = active.deadline_ns - NODE_DEADLINE_MARGIN_NS if active is not None else now
        if action.timeout_ns:
            end = min(deadline, self._module_runner.decided_ns + action.timeout_ns)
        if active is not None:
            active.sends += 1
        if (
            active is None
            or active.exchange is not None
            or pool is None
            or not pool.ready
            or end <= now
            or attempt_number >= self._limits.max_attempts
        ):
            self.feed(
                api.Outcome(action.request, attempt_number, action.upstream, api.Result.NOT_SENT, 0, active is None)
            )
            return
        active.exchange = Exchange(
            pool,
            lambda: self._attempt_bytes(active.request, end - now_ns()),
            self._outcome_handler(active, attempt_number, action.upstream, now),
            on_written=lambda: self._attempt_written(active),
            on_stream_start=self._stream_handler(active, attempt_number, action.upstream, now),
        )
        write_until_s = None
        if action.write_within_ns:
            write_until_s = (self._module_runner.decided_ns + action.write_within_ns) / SECOND
        active.exchange.start(end / SECOND, deadline / SECOND, write_until_s)

    def _attempt_written(self, active: ActiveRequest) -> None:
        self.tally.forwards += 1
        active.may_have_run = True

    def _attempt_bytes(self, request: Message, timeout_ns: int) -> bytes:
        headers = [(k, v) for k, v in request.end_to_end() if k != b"req-deadline-ms"]
        headers.append((b"Req-Deadline-Ms", b"%d" % max(1, timeout_ns // MS)))
        return write_request(request.method, request.target, headers, request.body)

    def _outcome_handler(
        self, active: ActiveRequest, attempt_number: int, upstream: int, sent_ns: int
    ) -> Callable[[api.Result, Message | None], None]:
        def on_end(result: api.Result, response: Message | None) -> None:
            exchange, active.exchange = active.exchange, None
            local_wait_ns = int(exchange.local_delay_s * SECOND) if exchange is not None else 0
            took = now_ns() - sent_ns - local_wait_ns
            if response is not None:
                result = _result_of(response)
            if exchange is not None and result is not api.Result.OK:
                self._note_failed_attempt(active, attempt_number, exchange, result, took)
            if active.stream is not None:
                self._finish(active, 200 if result is api.Result.OK else 504)
            elif result is api.Result.OK and response is not None:
                headers = [(k, v) for k, v in response.end_to_end() if k != LOAD_REPORT_HEADER]
                self._finish(active, 200, headers, response.body)
            report = self._load_report(response) if self.config.settings.reports_in_answers else None
            self.feed(api.Outcome(active.id, attempt_number, upstream, result, took, active.finished, report))

        return on_end

    def _note_failed_attempt(
        self, active: ActiveRequest, attempt_number: int, exchange: Exchange, result: api.Result, took_ns: int
    ) -> None:
        phase = exchange.phase
        self.tally.attempt_failed(phase, result.value)
        broke_off = phase.has_begun_response and result in (api.Result.TIMEOUT, api.Result.RESET)
        log.log(
            logging.INFO if broke_off else logging.DEBUG,
            "request %s: attempt %d at %s:%d ended with %s after %d ms, %s",
            active.request.header(b"req-id").decode("latin-1"),
            attempt_number,
            *exchange.pool.address,
            result.value,
            took_ns // MS,
            phase,
        )

    def _stream_handler(self, active: ActiveRequest, attempt_number: int, upstream: int, sent_ns: int) -> OnStreamStart:
        """The callback for a response that is too long to buffer, or whose length is not known."""

        def on_start(exchange: Exchange, head: Message) -> BodySink | None:
            if active.finished:
                return None
            has_deadline = not self.config.settings.classes[active.class_name].stream
            stream = self.streams.begin(active, exchange, head, has_deadline)
            self.feed(api.ResponseStarted(active.id, attempt_number, upstream, stream.last_progress_ns - sent_ns))
            return stream.pass_on

        return on_start

    def _load_report(self, response: Message | None) -> dict[str, float] | None:
        return load_report(response.header(LOAD_REPORT_HEADER)) if response is not None else None

    def _cancel(self, action: api.Cancel) -> None:
        active = self._active_requests.get(action.request)
        if active is not None and active.exchange is not None and action.attempt == active.sends - 1:
            active.exchange.finish(api.Result.CANCELLED)

    # -- changes of the list, and peers --

    def _cancel_stale_waits(self) -> None:
        """Cancel attempts that wait for a connection to an upstream which drains, is gone or has moved.

        No first byte may go there, even if the connection is established by then."""
        for active in list(self._active_requests.values()):
            if active.exchange is not None and active.exchange.target_stale:
                active.exchange.finish(api.Result.NOT_SENT)

    def _on_peer_message(self, sender: int, data: bytes) -> None:
        """Queue a peer's message for the next batch of events, or for a short timer if no other event comes first.

        The wait costs little: the only decision that rests on such a message alone is which waiting request goes next,
        and most messages are soon followed by another event."""
        if self._closed or self.plugins.receive(sender, data):
            return
        self._events.append(api.PeerMessage(sender, data))
        if len(self._events) >= MAX_QUEUED_EVENTS:
            self.feed()
        elif self._peer_message_timer is None:
            self._peer_message_timer = self._loop.call_later(PEER_MESSAGE_DELAY_S, self.feed)


def _result_of(response: Message) -> api.Result:
    """Classify an attempt's response: only a 503 or 504 with Srv-Declined proves that the request did not run."""
    if response.status == 200:
        return api.Result.OK
    if response.status in (503, 504) and response.header(b"srv-declined") == b"1":
        return api.Result.FULL
    return api.Result.ERROR
