"""Registrations take effect although `epoll_ctl` fails transiently."""

from __future__ import annotations

import errno
import selectors
import socket
from collections.abc import Iterator

import pytest

from lanemux.eventloop.selector import RETRY_S, ResilientSelector

PATIENCE_S = 1.0


class FailingEpoll:
    """An epoll object whose next `fails` calls fail."""

    def __init__(self, real: object) -> None:
        self._real = real
        self.fails = 0
        self.error = errno.ENOMEM
        self.tries = 0

    def __getattr__(self, name: str) -> object:
        def call(*arguments: object) -> object:
            if name in ("register", "modify", "unregister"):
                self.tries += 1
                if self.fails:
                    self.fails -= 1
                    raise OSError(self.error, "planned")
            return getattr(self._real, name)(*arguments)

        return call


@pytest.fixture
def pair() -> Iterator[tuple[socket.socket, socket.socket]]:
    left, right = socket.socketpair()
    with left, right:
        yield left, right


def selector() -> tuple[ResilientSelector, FailingEpoll, list[str]]:
    failed: list[str] = []
    made = ResilientSelector(lambda call, error: failed.append(errno.errorcode[error.errno or 0]))
    epoll = FailingEpoll(made._selector)  # type: ignore[attr-defined]
    made._selector = epoll  # type: ignore[attr-defined]
    return made, epoll, failed


def ready(made: ResilientSelector) -> list[int]:
    """The events of the first wait that returns any, within PATIENCE_S."""
    for _ in range(int(PATIENCE_S / RETRY_S)):
        if found := made.select(RETRY_S):
            return [events for _, events in found]
    return []


@pytest.mark.parametrize("error", [errno.ENOMEM, errno.ENOSPC])
def test_a_registration_that_fails_for_a_moment_holds_later(
    pair: tuple[socket.socket, socket.socket], error: int
) -> None:
    made, epoll, failed = selector()
    epoll.fails, epoll.error = 3, error
    made.register(pair[0], selectors.EVENT_READ)
    pair[1].send(b"x")
    assert ready(made) == [selectors.EVENT_READ]
    assert failed == [errno.errorcode[error]] * 3
    made.close()


def test_a_change_that_fails_for_a_moment_holds_later(pair: tuple[socket.socket, socket.socket]) -> None:
    made, epoll, _ = selector()
    made.register(pair[0], selectors.EVENT_READ)
    epoll.fails = 2
    made.modify(pair[0], selectors.EVENT_READ | selectors.EVENT_WRITE, "data")
    assert ready(made) == [selectors.EVENT_WRITE]
    assert made.get_key(pair[0]).data == "data"
    made.close()


def test_what_could_not_be_unregistered_neither_spins_nor_hides_its_successor(
    pair: tuple[socket.socket, socket.socket],
) -> None:
    made, epoll, _ = selector()
    made.register(pair[0], selectors.EVENT_READ)
    pair[1].send(b"x")
    epoll.fails = 1
    made.unregister(pair[0])
    assert made.select(0) == []
    epoll.fails = 1
    made.register(pair[0], selectors.EVENT_READ)
    assert ready(made) == [selectors.EVENT_READ]
    made.unregister(pair[0])
    number = pair[0].fileno()
    pair[0].close()
    left, right = socket.socketpair()
    with left, right:
        assert number in (left.fileno(), right.fileno())
        reused, other = (left, right) if left.fileno() == number else (right, left)
        made.register(reused, selectors.EVENT_READ)
        other.send(b"x")
        assert ready(made) == [selectors.EVENT_READ]
    made.close()


def test_deferred_events_come_later_and_do_not_spin(pair: tuple[socket.socket, socket.socket]) -> None:
    made, _, _ = selector()
    made.register(pair[0], selectors.EVENT_WRITE)
    made.defer(pair[0].fileno(), selectors.EVENT_WRITE)
    assert made.select(0) == []
    assert ready(made) == [selectors.EVENT_WRITE]
    made.close()


def test_what_never_can_be_registered_is_an_error_at_once() -> None:
    made, epoll, _ = selector()
    epoll.fails, epoll.error = 1, errno.EPERM
    left, right = socket.socketpair()
    with left, right, pytest.raises(PermissionError):
        made.register(left, selectors.EVENT_READ)
    assert not made.get_map()
    made.close()
