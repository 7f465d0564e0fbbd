"""The virtual network: streams and datagrams between processes, with all that befalls them. No I/O.

A stream behaves as TCP over loopback does for its two users (RFC 9293, Linux): bytes arrive in order, cut and joined at
will; a writer finds room only as the reader reads; an end is read behind all data; a close with unread input, or data
for a closed end, resets; what had arrived before a reset can still be read.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from lanemux.virtual.event_queue import NEVER, EventQueue

Address = tuple[str, int]
MS = 1_000_000
SYN_RETRY_NS = (1000 * MS, 2000 * MS, 4000 * MS)  # as Linux tries again a connection whose first packet was lost
DATAGRAMS_KEPT = 200  # waiting to be read at one socket; more are lost
FIRST_FREE_PORT = 20_000


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """How one kind of link behaves all through a run."""

    latency_ns: int = 50_000
    jitter_ns: int = 0  # added, drawn from 0 to this
    cut: float = 0.0  # how often a write is cut into several segments
    room: int = 65_536  # bytes that may be on the way and unread in one direction
    loss: float = 0.0  # datagrams
    twice: float = 0.0  # datagrams that come a second time
    late: float = 0.0  # datagrams that come very late
    late_ns: int = 0


@dataclass(slots=True)
class Label:
    """Which connection it is: its kind of link, who opened it, and whom it reaches."""

    kind: str  # client, box, list, peer
    opener: str
    to: int  # number of the box or balancer that it reaches
    look: bool = False  # it carries a look at a box

    def __str__(self) -> str:
        return f"{self.kind}:{self.opener}>{self.to}"


@dataclass(slots=True)
class Segment:
    data: bytes
    sent_ns: int
    what: str = "data"  # data, end, reset


@dataclass(slots=True)
class Pipe:
    """One direction of a stream: what is on the way and what waits to be read."""

    way: deque[tuple[int, Segment]] = field(default_factory=deque)  # when each arrives
    here: deque[Segment] = field(default_factory=deque)
    used: int = 0  # bytes of both
    arrives_ns: int = 0  # the last one on the way: none overtakes it
    due: bool = False  # an arrival is on the agenda
    ended: bool = False  # the end was sent


class End:
    """One end of a stream, as the kernel of its process holds it."""

    def __init__(self, network: Network, label: Label, weather: LinkConditions, opener: bool) -> None:
        self.network, self.label, self.weather = network, label, weather
        self.opener = opener  # this end opened the stream
        self.incoming = Pipe()
        self.peer: End | None = None
        self.changed: Callable[[], None] = lambda: None  # readable or writable may be another now
        self.end_here = False  # the other side's end has arrived
        self.broken = False  # reset
        self.closed = False
        self.ended_ns = NEVER  # it has sent its end, or is closed or reset, since then
        self.muted = False  # nothing that is sent to it arrives any more, and nobody is told
        self.read_from_ns = self.read_to_ns = 0  # when the bytes that were read last had been written, first and last

    # -- what the process asks --

    @property
    def readable(self) -> bool:
        return bool(self.incoming.here) or self.end_here or self.broken

    @property
    def writable(self) -> bool:
        return self.broken or self._out().used < self.weather.room

    def read(self, most: int) -> bytes | None:
        """Bytes, nothing at the end, None if there is none yet; ConnectionResetError behind the last byte."""
        pipe, size = self.incoming, 0
        parts: list[bytes] = []
        while pipe.here and size < most:
            segment = pipe.here[0]
            part = segment.data[: most - size]
            if not parts:
                self.read_from_ns = segment.sent_ns
            self.read_to_ns = segment.sent_ns
            parts.append(part)
            size += len(part)
            if len(part) == len(segment.data):
                pipe.here.popleft()
            else:
                pipe.here[0] = Segment(segment.data[len(part) :], segment.sent_ns)
        if parts:
            pipe.used -= size
            if self.peer is not None:
                self.peer.changed()
            return b"".join(parts)
        if self.broken:
            raise ConnectionResetError
        return b"" if self.end_here else None

    def write(self, data: bytes | memoryview) -> int:
        """How many bytes were taken; 0: there is no room. BrokenPipeError after a reset or an end of its own."""
        if self.broken or self._out().ended:
            raise BrokenPipeError
        taken = bytes(data[: max(0, self.weather.room - self._out().used)])
        start = 0
        for size in self._cuts(len(taken)):
            self._send(Segment(taken[start : start + size], self.network.now_ns))
            start += size
        return len(taken)

    def end_writing(self) -> None:
        if not (self.broken or self._out().ended):
            self._out().ended = True
            self.ended_ns = min(self.ended_ns, self.network.now_ns)
            self._send(Segment(b"", self.network.now_ns, "end"))

    def close(self, reset: bool = False) -> None:
        """The process has closed it, or the process is gone."""
        if self.closed:
            return
        self.closed = True
        self.ended_ns = min(self.ended_ns, self.network.now_ns)
        self.network.streams.pop(self, None)
        if self.broken:
            return
        if reset or self.incoming.here:
            self._send(Segment(b"", self.network.now_ns, "reset"))
        else:
            self.end_writing()

    def mute(self) -> None:
        """From now on nothing arrives in either direction, and both ends stay open in silence."""
        for end in (self, self.peer):
            if end is not None:
                end.muted = True
                end.incoming.way.clear()

    def cut_off(self) -> None:
        """The network breaks it: both ends are reset at once."""
        for end in (self, self.peer):
            if end is not None and not end.closed:
                end._reset()

    # -- the way --

    def _out(self) -> Pipe:
        assert self.peer is not None
        return self.peer.incoming

    def _cuts(self, size: int) -> list[int]:
        rng, sizes = self.network.rng, []
        while size > 1 and rng.random() < self.weather.cut:
            sizes.append(rng.randrange(1, size))
            size -= sizes[-1]
        return [*sizes, size] if size else []

    def _send(self, segment: Segment) -> None:
        pipe = self._out()
        pipe.used += len(segment.data)
        arrives = self.network.arrival(self.label, self.weather)
        pipe.arrives_ns = max(pipe.arrives_ns, arrives)
        pipe.way.append((pipe.arrives_ns, segment))
        assert self.peer is not None
        self.peer._expect()

    def _expect(self) -> None:
        if self.incoming.way and not self.incoming.due:
            self.incoming.due = True
            self.network.agenda.at(self.incoming.way[0][0], self._arrive)

    def _arrive(self) -> None:
        self.incoming.due = False
        if self.muted:
            self.incoming.way.clear()
            return
        held = self.network.held_until(self.label)
        if held > self.network.now_ns:
            if held < NEVER:
                self.incoming.due = True
                self.network.agenda.at(held, self._arrive)
            return
        if self.incoming.way:
            _, segment = self.incoming.way.popleft()
            self._take(segment)
            self._expect()

    def _take(self, segment: Segment) -> None:
        if self.broken:
            return
        if segment.data.startswith(b"GET /stats"):
            self.label.look = True
        elif segment.data and self.opener is False:
            self.label.look = False
        self.network.happened(self, segment)
        if self.closed:
            if segment.what == "data" and self.peer is not None and not self.peer.broken:
                self._send(Segment(b"", self.network.now_ns, "reset"))
        elif segment.what == "reset":
            self._reset()
        elif segment.what == "end":
            self.end_here = True
            self.changed()
        else:
            self.incoming.here.append(segment)
            self.changed()

    def _reset(self) -> None:
        self.broken = True
        self.ended_ns = min(self.ended_ns, self.network.now_ns)
        self.incoming.way.clear()
        self.changed()


class Queue:
    """A listening address: connections that came up and wait to be accepted."""

    def __init__(self, address: Address, backlog: int, changed: Callable[[], None]) -> None:
        self.address, self.backlog, self.changed = address, backlog, changed
        self.waiting: deque[End] = deque()
        self.closed = False

    def close(self) -> None:
        self.closed = True
        while self.waiting:
            self.waiting.popleft().close(reset=True)


class Mailbox:
    """A datagram address."""

    def __init__(self, address: Address, changed: Callable[[], None]) -> None:
        self.address, self.changed = address, changed
        self.waiting: deque[tuple[bytes, Address]] = deque()


Seen = Callable[[str, str, Label, object], None]


class Network:
    """All links, listeners and mailboxes."""

    def __init__(
        self,
        agenda: EventQueue,
        rng: random.Random,
        weather: dict[str, LinkConditions],
        seen: Seen = lambda kind, what, label, about: None,
    ) -> None:
        self.agenda, self.rng, self.weather = agenda, rng, weather
        self.places: dict[Address, tuple[str, int]] = {}  # what is at an address: kind of link and number
        self.seen = seen  # told of all that arrives: kind, what, label, end or data
        self.queues: dict[Address, Queue] = {}
        self.mailboxes: dict[Address, Mailbox] = {}
        self.streams: dict[End, None] = {}  # that are open, by the end that opened them
        self._held: dict[tuple[str, int], int] = {}
        self._shut: dict[tuple[str, int], int] = {}
        self._next_port = FIRST_FREE_PORT

    @property
    def now_ns(self) -> int:
        return self.agenda.now_ns

    def free_port(self) -> int:
        self._next_port += 1
        return self._next_port

    # -- faults --

    def hold(self, kind: str, to: int, until_ns: int) -> None:
        """Nothing goes through on the links of that kind to that one, in either direction; all stays open."""
        self._held[kind, to] = max(until_ns, self._held.get((kind, to), 0))

    def shut(self, kind: str, to: int, until_ns: int) -> None:
        """New connections there do not come up: their first packets are lost."""
        self._shut[kind, to] = max(until_ns, self._shut.get((kind, to), 0))

    def held_until(self, label: Label) -> int:
        return self._held.get((label.kind, label.to), 0)

    def arrival(self, label: Label, weather: LinkConditions) -> int:
        wait = weather.latency_ns
        if weather.jitter_ns:
            wait += self.rng.randrange(weather.jitter_ns)
        return max(self.now_ns + wait, self.held_until(label))

    # -- streams --

    def connect(self, opener: str, to: Address, own: Address, up: Callable[[End | None], None]) -> Callable[[], None]:
        """Open a stream; `up` is told its end, or None: refused. Gives what calls it off."""
        kind, number = self.places.get(to, ("other", 0))
        label = Label(kind, opener, number)
        weather = self.weather.get(kind, LinkConditions())
        off = [False]

        def call_off() -> None:
            off[0] = True

        def knock(number_of_try: int) -> None:
            if off[0]:
                return
            queue = self.queues.get(to)
            lost = self._shut.get((label.kind, label.to), 0) > self.now_ns or self.held_until(label) > self.now_ns
            full = queue is not None and len(queue.waiting) > queue.backlog
            if lost or full:
                if number_of_try < len(SYN_RETRY_NS):
                    self.agenda.after(SYN_RETRY_NS[number_of_try], lambda: knock(number_of_try + 1))
            elif queue is None or queue.closed:
                self.agenda.at(self.arrival(label, weather), lambda: None if off[0] else up(None))
            else:
                self._come_up(queue, label, weather, own, up, off)

        self.agenda.at(self.arrival(label, weather), lambda: knock(0))
        return call_off

    def _come_up(
        self,
        queue: Queue,
        label: Label,
        weather: LinkConditions,
        own: Address,
        up: Callable[[End | None], None],
        off: list[bool],
    ) -> None:
        mine, theirs = End(self, label, weather, True), End(self, label, weather, False)
        mine.peer, theirs.peer = theirs, mine
        queue.waiting.append(theirs)
        queue.changed()

        def arrive() -> None:
            if off[0]:
                mine.close(reset=True)  # it was given up while it came up
                return
            self.streams[mine] = None
            up(mine)
            self.seen(label.kind, "up", label, mine)

        self.agenda.at(self.arrival(label, weather), arrive)

    def happened(self, end: End, segment: Segment) -> None:
        """Something has arrived at an end."""
        side = "answer" if end.opener else "ask"
        if segment.what != "data":
            side = "gone" if not end.opener else "over"
        elif end.label.kind == "box" and end.label.look:
            side = "look " + side
        self.seen(end.label.kind, side, end.label, (end, segment))

    # -- datagrams --

    def send(self, data: bytes, own: Address, to: Address) -> None:
        """A datagram: it may be lost, come twice, late and in any order."""
        kind, number = self.places.get(to, ("other", 0))
        weather, rng = self.weather.get(kind, LinkConditions()), self.rng
        label = Label(kind, f"{own[0]}:{own[1]}", number)
        if self.held_until(label) > self.now_ns or rng.random() < weather.loss:
            return
        for _ in range(2 if rng.random() < weather.twice else 1):
            wait = weather.latency_ns + (rng.randrange(weather.jitter_ns) if weather.jitter_ns else 0)
            if rng.random() < weather.late:
                wait += weather.late_ns
            self.agenda.after(wait, lambda: self._deliver(data, own, to, label))

    def _deliver(self, data: bytes, own: Address, to: Address, label: Label) -> None:
        mailbox = self.mailboxes.get(to)
        if mailbox is not None and len(mailbox.waiting) < DATAGRAMS_KEPT:
            mailbox.waiting.append((data, own))
            self.seen(label.kind, "message", label, data)
            mailbox.changed()
