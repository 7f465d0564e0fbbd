"""Signals, failing callbacks and transient write errors on the production event loop."""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import signal
import socket
import time
from collections.abc import Iterator

import pytest

from lanemux.eventloop.loop import EventLoop
from lanemux.eventloop.stream_socket import StreamSocket

SIGNAL_LATENCY_S = 0.2


class Counter:
    def __init__(self) -> None:
        self.failed: list[tuple[str, str]] = []

    def call_failed(self, call: str, error: str) -> None:
        self.failed.append((call, error))


@pytest.fixture
def loop() -> Iterator[EventLoop]:
    before = signal.getsignal(signal.SIGUSR1)
    made = EventLoop()
    made.counter = Counter()
    yield made
    made.close()
    signal.signal(signal.SIGUSR1, before)


def test_a_signal_is_heard_though_the_byte_that_wakes_the_loop_is_lost(loop: EventLoop) -> None:
    heard = asyncio.Event()

    async def wait() -> float:
        loop.add_signal_handler(signal.SIGUSR1, heard.set)
        signal.set_wakeup_fd(-1)  # no wake-up byte is written
        told_s = time.monotonic()
        loop.call_later(0.02, os.kill, os.getpid(), signal.SIGUSR1)
        await asyncio.wait_for(heard.wait(), 2)
        return time.monotonic() - told_s

    assert loop.run_until_complete(wait()) < 0.02 + SIGNAL_LATENCY_S


def test_a_signal_after_the_loop_has_closed_has_no_effect(loop: EventLoop) -> None:
    async def nothing() -> None:
        loop.add_signal_handler(signal.SIGUSR1, lambda: None)

    loop.run_until_complete(nothing())
    loop.close()
    os.kill(os.getpid(), signal.SIGUSR1)


def test_a_callback_that_fails_is_logged_once_and_counted_each_time(
    loop: EventLoop, caplog: pytest.LogCaptureFixture
) -> None:
    def fail() -> None:
        raise ValueError("planned")

    async def work() -> None:
        for _ in range(5):
            loop.call_soon(fail)
        await asyncio.sleep(0.01)

    with caplog.at_level(logging.ERROR):
        loop.run_until_complete(work())
    assert isinstance(loop.counter, Counter)
    assert loop.counter.failed == [("callback", "ValueError")] * 5
    assert len([record for record in caplog.records if "planned" in record.message]) == 1


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.ENOMEM])
def test_a_write_that_fails_for_a_moment_is_made_again(
    loop: EventLoop, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    fails = [error] * 3

    def send(self: socket.socket, data: bytes, flags: int = 0) -> int:
        if fails:
            raise OSError(fails.pop(), "planned")
        return original_send(self, data, flags)

    original_send = socket.socket.send

    async def work() -> bytes:
        left, right = socket.socketpair()
        left.setblocking(False)
        right.setblocking(False)
        transport, _ = await loop.create_connection(asyncio.Protocol, sock=left)
        assert isinstance(transport, asyncio.Transport)
        monkeypatch.setattr(StreamSocket.__mro__[1], "send", send, raising=False)
        transport.write(b"whole")
        got = await asyncio.wait_for(loop.sock_recv(right, 100), 2)
        transport.close()
        right.close()
        return got

    assert loop.run_until_complete(work()) == b"whole"
    assert not fails
