"""Responses whose upstream hangs after the first bytes: each request has its final answer soon after its deadline."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import pytest

from lanemux import interface as api
from lanemux.interface import Result
from lanemux.policy import Balancer
from tests.sockets import Answer, Client, Got, Script, Upstream, Writer, node, request, run, settings
from tests.test_node import fails_unserved, sends_first
from tests.test_streams import body_of

SECOND = 1_000_000_000
DEADLINE_S = 0.3
GRACE_S = 0.5  # a final answer up to this late earns nothing but is not lost (STANDING)
HALF = b"rate 6.78 " * 50
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (len(HALF), HALF)
LONG_CHUNK = b"%x\r\n%b\r\n" % (70_000, b"x" * 70_000)


def gives(*pieces: bytes, pause_s: float = 0.0, end: bytes = b"") -> Answer:
    """Sends the pieces with pauses between them, then `end`, and keeps the connection open."""

    async def answer(got: Got, writer: Writer) -> None:
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(pause_s)
        writer.write(end)

    return answer


async def end_of(client: Client, ask: bytes) -> tuple[float, bool, bool]:
    """Seconds until the response ended, whether it was whole, and whether the connection was reset."""
    began = time.monotonic()
    await client.send(ask)
    assert client.reader is not None
    try:
        async with asyncio.timeout(3.0):
            _, _, whole = await body_of(client)
    except (ConnectionResetError, asyncio.IncompleteReadError):
        whole = False
    reset = isinstance(client.reader.exception(), ConnectionResetError)
    return time.monotonic() - began, whole, reset


HUNG_FORMS: list[tuple[str, Callable[[], Answer], bytes]] = [
    ("chunks", lambda: gives(CHUNKED + CHUNK), b"HTTP/1.1"),
    ("until the close", lambda: gives(b"HTTP/1.1 200 OK\r\n\r\n" + HALF), b"HTTP/1.1"),
    ("a length, buffered", lambda: gives(b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + HALF), b"HTTP/1.1"),
    ("an error's body", lambda: gives(CHUNKED.replace(b"200", b"500") + CHUNK), b"HTTP/1.1"),
    ("the head alone", lambda: gives(CHUNKED), b"HTTP/1.1"),
    ("all but the last chunk", lambda: gives(CHUNKED + CHUNK, CHUNK, CHUNK, pause_s=0.03), b"HTTP/1.1"),
    ("in the middle of the deadline", lambda: gives(CHUNKED + CHUNK, CHUNK, CHUNK, pause_s=0.12), b"HTTP/1.1"),
    ("chunks for an old client", lambda: gives(CHUNKED + CHUNK), b"HTTP/1.0"),
]


@pytest.mark.parametrize(("form", "answer", "version"), HUNG_FORMS, ids=[form[0] for form in HUNG_FORMS])
def test_a_short_response_that_hangs_after_its_first_bytes_ends_with_its_deadline(
    form: str, answer: Callable[[], Answer], version: bytes
) -> None:
    """Guards against: the end came 15 s after the last byte, since a streamed response had no deadline (review/10)."""

    async def test() -> None:
        upstream = await Upstream(answer()).start()
        script = Script()
        sends_first(script, fails_unserved)
        async with node(script, upstream) as client:
            ask = request(deadline_ms=int(DEADLINE_S * 1000)).replace(b"HTTP/1.1", version)
            took_s, whole, _ = await end_of(client, ask)
            whole = whole and client.node.tally.succeeded["read"] > 0  # an error's answer is whole, too
            assert not whole and took_s < DEADLINE_S + GRACE_S
            assert client.node.held()["calls"] == client.node.held()["attempts"] == 0

    run(test())


def test_a_client_that_cannot_tell_by_the_framing_is_told_by_a_reset() -> None:
    """Guards against: an aborted response without length or chunks that ends like a whole one."""

    async def test() -> None:
        upstream = await Upstream(gives(CHUNKED + CHUNK)).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            ask = request(deadline_ms=int(DEADLINE_S * 1000)).replace(b"HTTP/1.1", b"HTTP/1.0")
            _, whole, reset = await end_of(client, ask)
            assert reset and not whole

    run(test())


MOVING_FORMS: list[tuple[str, str, Answer]] = [
    ("a short one that moves", "/read", gives(CHUNKED, *[CHUNK] * 8, pause_s=0.15, end=b"0\r\n\r\n")),
    ("a long one that pauses", "/read", gives(CHUNKED + LONG_CHUNK, CHUNK, pause_s=0.8, end=b"0\r\n\r\n")),
    (
        "a long one by its length",
        "/read",
        gives(b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n", pause_s=1.2, end=b"x" * 70_000),
    ),
    ("a streamed class", "/feed", gives(CHUNKED + CHUNK, pause_s=1.2, end=b"0\r\n\r\n")),
]


@pytest.mark.parametrize(("form", "target", "answer"), MOVING_FORMS, ids=[form[0] for form in MOVING_FORMS])
def test_a_response_that_may_outlast_its_deadline_is_not_cut(form: str, target: str, answer: Answer) -> None:
    """Guards against: a mend of the above that ends what still moves, long answers and streamed classes."""

    async def test() -> None:
        upstream = await Upstream(answer).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            took_s, whole, _ = await end_of(client, request(target, deadline_ms=int(DEADLINE_S * 1000)))
            assert whole and took_s > DEADLINE_S + GRACE_S

    run(test())


def test_the_decisions_learn_which_upstream_hung() -> None:
    async def test() -> None:
        upstream = await Upstream(gives(CHUNKED + CHUNK)).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as client:
            await end_of(client, request(deadline_ms=int(DEADLINE_S * 1000)))
        assert [(e.result, e.complete) for e in script.of(api.Outcome)] == [(Result.TIMEOUT, True)]

    run(test())


def test_an_upstream_that_hangs_in_the_middle_of_an_answer_is_left_alone_for_a_while() -> None:
    module = Balancer(settings(), 1, 0)
    module.handle(0, [api.ListUpdate(api.ListKind.FULL, [api.Upstream(7), api.Upstream(8)])])
    now = SECOND
    (sent,) = (a for a in module.handle(now, [api.Arrival("a", "read", "", now + SECOND)]) if isinstance(a, api.Send))
    module.handle(now + 1000, [api.ResponseStarted("a", 0, sent.upstream, 1000)])
    module.handle(now + SECOND, [api.Outcome("a", 0, sent.upstream, Result.TIMEOUT, SECOND, True)])
    assert module.fleet.servers[sent.upstream].backoff_until_ns > now + SECOND and "a" not in module.requests


@pytest.mark.parametrize("relisted", [False, True])
def test_a_request_ends_whose_upstream_has_left_the_list_while_its_response_was_streamed(relisted: bool) -> None:
    """Guards against: the module keeps such a request for good."""
    module = Balancer(settings(), 1, 0)
    module.handle(0, [api.ListUpdate(api.ListKind.FULL, [api.Upstream(7)])])
    now = SECOND
    module.handle(now, [api.Arrival("a", "read", "", now + SECOND)])
    module.handle(now + 1000, [api.ResponseStarted("a", 0, 7, 1000)])
    module.handle(now + 2000, [api.ListUpdate(api.ListKind.FULL, [api.Upstream(8)])])
    if relisted:
        module.handle(now + 3000, [api.ListUpdate(api.ListKind.FULL, [api.Upstream(7), api.Upstream(8)])])
    module.handle(now + 4000, [api.Outcome("a", 0, 7, Result.OK, 3000, True)])
    assert not module.requests
