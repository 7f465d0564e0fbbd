"""asyncio's selector event loop on virtual sockets and the virtual clock; its transports run unchanged.

Orders that asyncio leaves unspecified are drawn from the seed: that of timers due in the same nanosecond, and that of
sockets reported ready by the same select.
"""

from __future__ import annotations

import asyncio
import heapq
import math
import selectors
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, cast

from lanemux.virtual.event_queue import NEVER
from lanemux.virtual.network import Address
from lanemux.virtual.sockets import DatagramSocket, StreamSocket, VirtualSocket

if TYPE_CHECKING:
    from lanemux.virtual.process import Process

SECOND = 1_000_000_000
PAUSE_PROBABILITY = 0.3  # for each reading of the clock while a mid-turn pause is pending
TIE_BREAK_S = 0.4e-9  # less than 1 ns: only breaks ties between timers of the same nanosecond


class VirtualSelector(selectors.BaseSelector):
    """Reports which virtual sockets are ready; never blocks. Real descriptors (the loop's own) are never ready."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._keys: dict[int, selectors.SelectorKey] = {}
        self._maybe_ready: dict[int, None] = {}  # sockets that may be ready; all others are known not to be

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        if number in self._keys:
            raise KeyError(f"{fileobj!r} is registered")
        self._keys[number] = selectors.SelectorKey(fileobj, number, events, data)
        self._maybe_ready[number] = None
        return self._keys[number]

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        if number == -1:  # closed before it was unregistered
            number = next(n for n, key in self._keys.items() if key.fileobj is fileobj)
        self._maybe_ready.pop(number, None)
        return self._keys.pop(number)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        self._keys[number] = self._keys[number]._replace(events=events, data=data)
        self._maybe_ready[number] = None
        return self._keys[number]

    def notify(self, number: int) -> None:
        """The state of a socket has changed: check whether it is ready."""
        if number in self._keys:
            self._maybe_ready[number] = None

    def ready(self) -> list[tuple[selectors.SelectorKey, int]]:
        """The sockets that are ready now, with their events."""
        found = []
        for number in list(self._maybe_ready):
            key, sock = self._keys[number], self._process.sockets.get(number)
            mask = (
                0
                if sock is None
                else ((selectors.EVENT_READ if sock.readable else 0) | (selectors.EVENT_WRITE if sock.writable else 0))
            )
            if mask & key.events:
                found.append((key, mask & key.events))
            else:
                del self._maybe_ready[number]
        return found

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        found = self.ready()
        if len(found) > 1:
            self._process.world.rng.shuffle(found)
        return found

    def close(self) -> None:
        self._keys.clear()
        self._maybe_ready.clear()

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self._keys

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        return self._keys[fileobj if isinstance(fileobj, int) else fileobj.fileno()]


class VirtualLoop(asyncio.SelectorEventLoop):
    """The event loop of one virtual process; `step` runs a single iteration (a turn)."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._timer_heap: list[tuple[int, int, asyncio.TimerHandle]] = []
        self._timer_count = 0
        self._callbacks_pending = False  # callbacks wait for the next turn
        self._virtual_selector = VirtualSelector(process)
        self._signals: dict[int, tuple[Callable[..., object], tuple[object, ...]]] = {}
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        process = self._process
        if (
            process.pending_pause_ns
            and not process.pause_before_send
            and process.world.rng.random() < PAUSE_PROBABILITY
        ):
            process.pause_mid_turn()
        return process.world.event_queue.now_ns / SECOND

    # -- turns --

    def step(self) -> None:
        """Run one turn: poll the sockets, then run due timers and pending callbacks."""
        now = self._process.world.event_queue.now_ns
        self._callbacks_pending = False
        self.stop()  # run_forever() of a stopped loop runs exactly one iteration
        self.run_forever()
        while self._timer_heap and self._timer_heap[0][0] <= now:
            heapq.heappop(self._timer_heap)

    def next_ns(self) -> int:
        """When the next turn has work; a time that is not in the future means at once."""
        if self._callbacks_pending or self._virtual_selector.ready():
            return 0
        while self._timer_heap and self._timer_heap[0][2].cancelled():
            heapq.heappop(self._timer_heap)
        return self._timer_heap[0][0] if self._timer_heap else NEVER

    def pending_timers(self) -> list[asyncio.TimerHandle]:
        """The timers that are set and not cancelled."""
        return [handle for _, _, handle in self._timer_heap if not handle.cancelled()]

    def notify(self, number: int) -> None:
        self._virtual_selector.notify(number)
        self._process.invalidate_next_ns()

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> asyncio.Handle:  # type: ignore[override]
        self._callbacks_pending = True
        self._process.invalidate_next_ns()
        return super().call_soon(callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Any,
        *args: Any,
        context: Any = None,
    ) -> asyncio.TimerHandle:
        handle = super().call_at(
            when + self._process.world.rng.random() * TIE_BREAK_S, callback, *args, context=context
        )
        self._timer_count += 1
        self._process.invalidate_next_ns()
        heapq.heappush(self._timer_heap, (math.ceil(when * SECOND - 0.01), self._timer_count, handle))
        return handle

    # -- signals --

    def add_signal_handler(self, sig: int, callback: Any, *args: Any) -> None:  # type: ignore[override]
        self._signals[sig] = (callback, args)

    def remove_signal_handler(self, sig: int) -> bool:
        return self._signals.pop(sig, None) is not None

    def signal(self, sig: int) -> bool:
        """Deliver a signal; False if it has no handler."""
        if sig not in self._signals:
            return False
        callback, args = self._signals[sig]
        self.call_soon(callback, *args)
        return True

    # -- sockets --

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any) -> Any:
        if options.get("sock") is None:
            sock = StreamSocket(self._process)
            try:
                await self.sock_connect(cast(Any, sock), (host, port))
            except BaseException:
                sock.close()
                raise
            options["sock"] = sock
        return await super().create_connection(protocol_factory, **options)

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any) -> Any:
        if options.get("sock") is None:
            sock = StreamSocket(self._process)
            sock.bind((host, port or 0))
            options["sock"] = sock
        return await super().create_server(protocol_factory, **options)

    async def create_datagram_endpoint(  # type: ignore[override]
        self,
        protocol_factory: Any,
        local_addr: Address | None = None,
        **options: Any,
    ) -> Any:
        sock = DatagramSocket(self._process)
        sock.bind(local_addr or ("127.0.0.1", 0))
        return await super().create_datagram_endpoint(protocol_factory, sock=cast(Any, sock))

    def socket_of(self, transport: asyncio.BaseTransport) -> VirtualSocket | None:
        """The socket of one of this loop's transports; None once it is closed."""
        return self._process.sockets.get(transport.get_extra_info("socket").fileno())
