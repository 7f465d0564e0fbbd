"""The virtual network: streams and datagrams between processes, and the faults of both. No I/O.

A stream behaves as TCP over loopback does (RFC 9293, Linux): bytes arrive in order, in segments of any size; a full
buffer blocks the writer until the reader reads; end-of-stream is read after all data; closing with unread input, or
sending to a closed endpoint, causes a reset; data that arrived before a reset can still be read.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from lanemux.virtual.event_queue import NEVER, EventQueue

Address = tuple[str, int]
MS = 1_000_000
SYN_RETRY_NS = (1000 * MS, 2000 * MS, 4000 * MS)  # Linux's waits before it resends a lost SYN
MAX_QUEUED_DATAGRAMS = 200  # unread at one socket; further ones are lost
FIRST_EPHEMERAL_PORT = 20_000


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """Properties of one kind of link, constant for a run. Probabilities are per write or per datagram."""

    latency_ns: int = 50_000
    jitter_ns: int = 0  # upper bound of the random extra latency
    split_probability: float = 0.0  # that a write is split; tried again on the rest
    buffer_bytes: int = 65_536  # in transit plus unread, in one direction
    loss_probability: float = 0.0  # that a datagram is lost
    duplicate_probability: float = 0.0  # that a datagram arrives twice
    delay_probability: float = 0.0  # that a datagram is delayed by `extra_delay_ns`
    extra_delay_ns: int = 0


@dataclass(slots=True)
class Label:
    """Identifies a connection: the kind of link, who opened it, and what it leads to."""

    kind: str  # client, box, list (discovery) or peer; other: an address that no party has
    opener: str
    target: int  # number of the box or balancer at its far end
    is_probe: bool = False  # its last request was a probe of a box

    def __str__(self) -> str:
        return f"{self.kind}:{self.opener}>{self.target}"


@dataclass(slots=True)
class Segment:
    """Data, end-of-stream or a reset on its way through a stream."""

    data: bytes
    sent_ns: int
    flag: str = "data"  # data, end or reset


@dataclass(slots=True)
class Pipe:
    """One direction of a stream: segments in transit and segments that wait to be read."""

    in_transit: deque[tuple[int, Segment]] = field(default_factory=deque)  # with their arrival times
    received: deque[Segment] = field(default_factory=deque)
    buffered_size: int = 0  # bytes of both queues
    last_arrival_ns: int = 0  # of the last segment sent; later ones never overtake it
    arrival_scheduled: bool = False  # the arrival of the first segment is in the event queue
    end_sent: bool = False  # no more data will be written


class Endpoint:
    """One end of a stream: the kernel's side of a socket."""

    def __init__(self, network: Network, label: Label, conditions: LinkConditions, opener: bool) -> None:
        self.network, self.label, self.conditions = network, label, conditions
        self.opener = opener  # whether this end opened the stream
        self.incoming = Pipe()
        self.peer: Endpoint | None = None
        self.on_change: Callable[[], None] = lambda: None  # called when `readable` or `writable` may have changed
        self.end_received = False  # the peer's end-of-stream has arrived
        self.was_reset = False
        self.closed = False
        self.write_ended_ns = NEVER  # when it sent end-of-stream, was closed or was reset
        self.silenced = False  # all that is sent to it is lost without notice
        # When the peer had written the first and the last byte of the latest read.
        self.first_read_sent_ns = self.last_read_sent_ns = 0

    # -- called by the process --

    @property
    def readable(self) -> bool:
        return bool(self.incoming.received) or self.end_received or self.was_reset

    @property
    def writable(self) -> bool:
        """As on Linux, only once a third of the buffer is free (tcp_poll)."""
        return self.was_reset or 3 * self.unread_by_peer <= 2 * self.conditions.buffer_bytes

    @property
    def unread_by_peer(self) -> int:
        """Bytes written here that the peer's process has not read."""
        return self._outgoing().buffered_size

    def read(self, max_bytes: int) -> bytes | None:
        """Returns data, b"" at end-of-stream, or None if there is none yet.

        Raises ConnectionResetError once all data before a reset has been read."""
        pipe, size = self.incoming, 0
        parts: list[bytes] = []
        while pipe.received and size < max_bytes:
            segment = pipe.received[0]
            part = segment.data[: max_bytes - size]
            if not parts:
                self.first_read_sent_ns = segment.sent_ns
            self.last_read_sent_ns = segment.sent_ns
            parts.append(part)
            size += len(part)
            if len(part) == len(segment.data):
                pipe.received.popleft()
            else:
                pipe.received[0] = Segment(segment.data[len(part) :], segment.sent_ns)
        if parts:
            pipe.buffered_size -= size
            if self.peer is not None:
                self.peer.on_change()
            return b"".join(parts)
        if self.was_reset:
            raise ConnectionResetError
        return b"" if self.end_received else None

    def write(self, data: bytes | memoryview) -> int:
        """Returns the number of bytes accepted, 0 if the buffer is full.

        Raises BrokenPipeError after a reset or `shutdown_write`."""
        if self.was_reset or self._outgoing().end_sent:
            raise BrokenPipeError
        taken = bytes(data[: max(0, self.conditions.buffer_bytes - self._outgoing().buffered_size)])
        start = 0
        for size in self._segment_sizes(len(taken)):
            self._send(Segment(taken[start : start + size], self.network.now_ns))
            start += size
        return len(taken)

    def shutdown_write(self) -> None:
        """Send end-of-stream."""
        if not (self.was_reset or self._outgoing().end_sent):
            self._outgoing().end_sent = True
            self.write_ended_ns = min(self.write_ended_ns, self.network.now_ns)
            self._send(Segment(b"", self.network.now_ns, "end"))

    def close(self, reset: bool = False) -> None:
        """Close, on behalf of the process or because it ended; resets the stream if input is unread."""
        if self.closed:
            return
        self.closed = True
        self.write_ended_ns = min(self.write_ended_ns, self.network.now_ns)
        self.network.streams.pop(self, None)
        if self.was_reset:
            return
        if reset or self.incoming.received:
            self._send(Segment(b"", self.network.now_ns, "reset"))
        else:
            self.shutdown_write()

    def silence(self) -> None:
        """Black-hole the stream: nothing more arrives in either direction, and both ends stay open."""
        for end in (self, self.peer):
            if end is not None:
                end.silenced = True
                end.incoming.in_transit.clear()

    def reset_both(self) -> None:
        """Fault: reset both ends at once."""
        for end in (self, self.peer):
            if end is not None and not end.closed:
                end._reset()

    # -- transmission --

    def _outgoing(self) -> Pipe:
        assert self.peer is not None
        return self.peer.incoming

    def _segment_sizes(self, size: int) -> list[int]:
        rng, sizes = self.network.rng, []
        while size > 1 and rng.random() < self.conditions.split_probability:
            sizes.append(rng.randrange(1, size))
            size -= sizes[-1]
        return [*sizes, size] if size else []

    def _send(self, segment: Segment) -> None:
        pipe = self._outgoing()
        pipe.buffered_size += len(segment.data)
        arrives = self.network.arrival(self.label, self.conditions)
        pipe.last_arrival_ns = max(pipe.last_arrival_ns, arrives)
        pipe.in_transit.append((pipe.last_arrival_ns, segment))
        assert self.peer is not None
        self.peer._schedule_arrival()

    def _schedule_arrival(self) -> None:
        if self.incoming.in_transit and not self.incoming.arrival_scheduled:
            self.incoming.arrival_scheduled = True
            self.network.event_queue.call_at(self.incoming.in_transit[0][0], self._arrive)

    def _arrive(self) -> None:
        self.incoming.arrival_scheduled = False
        if self.silenced:
            self.incoming.in_transit.clear()
            return
        held_until_ns = self.network.held_until(self.label)
        if held_until_ns > self.network.now_ns:
            if held_until_ns < NEVER:
                self.incoming.arrival_scheduled = True
                self.network.event_queue.call_at(held_until_ns, self._arrive)
            return
        if self.incoming.in_transit:
            _, segment = self.incoming.in_transit.popleft()
            self._receive(segment)
            self._schedule_arrival()

    def _receive(self, segment: Segment) -> None:
        if self.was_reset:
            return
        if segment.data.startswith(b"GET /stats"):
            self.label.is_probe = True
        elif segment.data and self.opener is False:
            self.label.is_probe = False
        self.network.segment_arrived(self, segment)
        if self.closed:
            if segment.flag == "data" and self.peer is not None and not self.peer.was_reset:
                self._send(Segment(b"", self.network.now_ns, "reset"))
        elif segment.flag == "reset":
            self._reset()
        elif segment.flag == "end":
            self.end_received = True
            self.on_change()
        else:
            self.incoming.received.append(segment)
            self.on_change()

    def deliver_now(self, data: bytes) -> None:
        """Data of the peer arrives in this instant, whatever the latency."""
        self.incoming.buffered_size += len(data)
        self._receive(Segment(data, self.network.now_ns))

    def _reset(self) -> None:
        self.was_reset = True
        self.write_ended_ns = min(self.write_ended_ns, self.network.now_ns)
        self.incoming.in_transit.clear()
        self.on_change()


class ListenQueue:
    """A listening address with its backlog of connections that wait to be accepted."""

    def __init__(self, address: Address, backlog: int, on_change: Callable[[], None]) -> None:
        self.address, self.backlog, self.on_change = address, backlog, on_change
        self.waiting: deque[Endpoint] = deque()
        self.closed = False

    def close(self) -> None:
        """Stop listening and reset the connections that were not accepted."""
        self.closed = True
        while self.waiting:
            self.waiting.popleft().close(reset=True)


class Mailbox:
    """A datagram address with its queue of unread datagrams."""

    def __init__(self, address: Address, on_change: Callable[[], None]) -> None:
        self.address, self.on_change = address, on_change
        self.waiting: deque[tuple[bytes, Address]] = deque()


# Called with the kind of link, the event, the label and what arrived: an endpoint (with its segment) or a datagram.
ArrivalObserver = Callable[[str, str, Label, object], None]


class Network:
    """All links, listening addresses and mailboxes."""

    def __init__(
        self,
        event_queue: EventQueue,
        rng: random.Random,
        links: dict[str, LinkConditions],
        on_arrival: ArrivalObserver = lambda kind, what, label, about: None,
    ) -> None:
        self.event_queue, self.rng, self.links = event_queue, rng, links
        self.targets: dict[Address, tuple[str, int]] = {}  # by address: the kind of link and its target's number
        self.on_arrival = on_arrival  # called on each arrival
        self.queues: dict[Address, ListenQueue] = {}
        self.mailboxes: dict[Address, Mailbox] = {}
        self.streams: dict[Endpoint, None] = {}  # open streams, by the end that opened them
        self._held_until: dict[tuple[str, int], int] = {}
        self._connects_late: dict[str, tuple[int, tuple[int, int]]] = {}  # kind -> end of the fault, range of the delay
        self._connects_dropped_until: dict[tuple[str, int], int] = {}
        self._next_port = FIRST_EPHEMERAL_PORT

    @property
    def now_ns(self) -> int:
        return self.event_queue.now_ns

    def ephemeral_port(self) -> int:
        self._next_port += 1
        return self._next_port

    # -- faults --

    def hold_traffic(self, kind: str, to: int, until_ns: int) -> None:
        """Fault: stop traffic in both directions on the links of a kind to one target; connections stay open."""
        self._held_until[kind, to] = max(until_ns, self._held_until.get((kind, to), 0))

    def drop_connects(self, kind: str, to: int, until_ns: int) -> None:
        """Fault: drop the SYNs of new connections to one target."""
        self._connects_dropped_until[kind, to] = max(until_ns, self._connects_dropped_until.get((kind, to), 0))

    def delay_connects(self, kind: str, until_ns: int, range_ns: tuple[int, int]) -> None:
        """Fault: new connections of a kind come up late."""
        self._connects_late[kind] = until_ns, range_ns

    def _connect_delay_ns(self, kind: str) -> int:
        until_ns, range_ns = self._connects_late.get(kind, (0, (0, 0)))
        return self.rng.randint(*range_ns) if until_ns > self.now_ns else 0

    def held_until(self, label: Label) -> int:
        """When traffic on a link resumes; not in the future if it is not held."""
        return self._held_until.get((label.kind, label.target), 0)

    def arrival(self, label: Label, conditions: LinkConditions) -> int:
        """Draw the arrival time of something that is sent now."""
        delay_ns = conditions.latency_ns
        if conditions.jitter_ns:
            delay_ns += self.rng.randrange(conditions.jitter_ns)
        return max(self.now_ns + delay_ns, self.held_until(label))

    # -- streams --

    def connect(
        self, opener: str, to: Address, local: Address, on_connected: Callable[[Endpoint | None], None]
    ) -> Callable[[], None]:
        """Open a stream. `on_connected` gets the opener's end, or None if refused. Returns a function that cancels."""
        kind, number = self.targets.get(to, ("other", 0))
        label = Label(kind, opener, number)
        conditions = self.links.get(kind, LinkConditions())
        cancelled = [False]

        def cancel() -> None:
            cancelled[0] = True

        def attempt_connect(retry: int) -> None:
            if cancelled[0]:
                return
            queue = self.queues.get(to)
            lost = (
                self._connects_dropped_until.get((label.kind, label.target), 0) > self.now_ns
                or self.held_until(label) > self.now_ns
            )
            full = queue is not None and len(queue.waiting) > queue.backlog
            if lost or full:
                if retry < len(SYN_RETRY_NS):
                    self.event_queue.call_after(SYN_RETRY_NS[retry], lambda: attempt_connect(retry + 1))
            elif queue is None or queue.closed:
                self.event_queue.call_at(
                    self.arrival(label, conditions), lambda: None if cancelled[0] else on_connected(None)
                )
            else:
                self._establish(queue, label, conditions, local, on_connected, cancelled)

        arrives_ns = self.arrival(label, conditions) + self._connect_delay_ns(kind)
        self.event_queue.call_at(arrives_ns, lambda: attempt_connect(0))
        return cancel

    def _establish(
        self,
        queue: ListenQueue,
        label: Label,
        conditions: LinkConditions,
        local: Address,
        on_connected: Callable[[Endpoint | None], None],
        cancelled: list[bool],
    ) -> None:
        opener_end, listener_end = Endpoint(self, label, conditions, True), Endpoint(self, label, conditions, False)
        opener_end.peer, listener_end.peer = listener_end, opener_end
        queue.waiting.append(listener_end)
        queue.on_change()

        def arrive() -> None:
            if cancelled[0]:
                opener_end.close(reset=True)  # cancelled while the connection was being established
                return
            self.streams[opener_end] = None
            on_connected(opener_end)
            self.on_arrival(label.kind, "up", label, opener_end)

        self.event_queue.call_at(self.arrival(label, conditions), arrive)

    def segment_arrived(self, end: Endpoint, segment: Segment) -> None:
        """Report a segment's arrival under its event name."""
        event = "answer" if end.opener else "ask"
        if segment.flag != "data":
            event = "gone" if not end.opener else "over"
        elif end.label.kind == "box" and end.label.is_probe:
            event = "look " + event
        self.on_arrival(end.label.kind, event, end.label, (end, segment))

    # -- datagrams --

    def send(self, data: bytes, local: Address, to: Address) -> None:
        """Send a datagram; it may be lost, duplicated, delayed or reordered."""
        kind, number = self.targets.get(to, ("other", 0))
        conditions, rng = self.links.get(kind, LinkConditions()), self.rng
        label = Label(kind, f"{local[0]}:{local[1]}", number)
        if self.held_until(label) > self.now_ns or rng.random() < conditions.loss_probability:
            return
        for _ in range(2 if rng.random() < conditions.duplicate_probability else 1):
            delay_ns = conditions.latency_ns + (rng.randrange(conditions.jitter_ns) if conditions.jitter_ns else 0)
            if rng.random() < conditions.delay_probability:
                delay_ns += conditions.extra_delay_ns
            self.event_queue.call_after(delay_ns, lambda: self._deliver(data, local, to, label))

    def _deliver(self, data: bytes, local: Address, to: Address, label: Label) -> None:
        mailbox = self.mailboxes.get(to)
        if mailbox is not None and len(mailbox.waiting) < MAX_QUEUED_DATAGRAMS:
            mailbox.waiting.append((data, local))
            self.on_arrival(label.kind, "message", label, data)
            mailbox.on_change()
