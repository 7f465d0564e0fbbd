"""Memory of what clients and upstreams send of a message: bounded for each, and for all clients together."""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanemux.core.memory_account import LEAST_SHARE, MB, SMALL_BYTES, Holding, MemoryAccount, account_limit_bytes
from lanemux.core.system import Machine, ProcessMemory
from lanemux.net.http import FIELD_OVERHEAD_BYTES, MAX_FIELDS, MAX_HEAD, MAX_REQUEST_BODY, MessageReader
from tests.sockets import HOST, Client, Script, Upstream, answers, node, request, run, silent, until
from tests.test_node import sends_first

MAX_MESSAGE_BYTES = MAX_HEAD + MAX_FIELDS * FIELD_OVERHEAD_BYTES + MAX_REQUEST_BODY
CONNECTION_BYTES = 16 * 1024  # of a connection without its message: socket, transport, parser
CLIENTS = 60


class UnknownMemory(Machine):
    """A machine that does not tell the memory of the tests' own process."""

    def memory(self) -> ProcessMemory | None:
        return None


MANY_LINES = b"a:\r\n" * 3200
NAMED_LINES = b"".join(b"x%d: y\r\n" % i for i in range(1700))
FULL_LINES = b"".join(b"x%d: %b\r\n" % (i, b"y" * 55) for i in range(MAX_FIELDS - 10))
LENGTH = b"Content-Length: %d\r\n" % MAX_REQUEST_BODY
PARTS = {
    "many empty lines": b"GET /read HTTP/1.1\r\n" + MANY_LINES,
    "many names": b"GET /read HTTP/1.1\r\n" + NAMED_LINES,
    "one long line": b"GET /read HTTP/1.1\r\nX: " + b"a" * 15_000,
    "a long target": b"GET /" + b"a" * 15_000,
    "as many lines as allowed": b"POST /pay HTTP/1.1\r\n" + FULL_LINES,
    "a body": b"POST /pay HTTP/1.1\r\n" + LENGTH + b"\r\n" + b"b" * 65_000,
    "lines and a body": b"POST /pay HTTP/1.1\r\n" + LENGTH + FULL_LINES + b"\r\n" + b"b" * 65_000,
    "many lines and a body": b"POST /pay HTTP/1.1\r\n" + LENGTH + MANY_LINES[:12_000] + b"\r\n" + b"b" * 65_000,
    "chunks": b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"100\r\n%b\r\n" % (b"c" * 256) * 250,
    "trailers": b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n" + MANY_LINES,
}
RESPONSES = {
    "many empty lines": b"HTTP/1.1 200 OK\r\n" + MANY_LINES,
    "many names": b"HTTP/1.1 200 OK\r\n" + NAMED_LINES,
    "interim": b"HTTP/1.1 103 E\r\n" + MANY_LINES,
    "trailers": b"HTTP/1.1 500 E\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n" + MANY_LINES,
}


@pytest.mark.parametrize(
    ("data", "responses"),
    [*((data, False) for data in PARTS.values()), *((data, True) for data in RESPONSES.values())],
    ids=[*PARTS, *(f"response, {form}" for form in RESPONSES)],
)
@pytest.mark.parametrize("cut", [97, 65_536])
def test_an_incomplete_message_takes_little_more_memory_than_is_counted(data: bytes, responses: bool, cut: int) -> None:
    """Guards against: 0.4 MB for a head of 13 kB in short lines, of which only the bytes were bounded (review/7)."""
    readers = [MessageReader(responses=responses) for _ in range(20)]
    tracemalloc.start()
    try:
        for reader in readers:
            for start in range(0, len(data), cut):
                if not reader.error_status:
                    reader.feed(data[start : start + cut])
        used_bytes = tracemalloc.get_traced_memory()[0] / len(readers)
    finally:
        tracemalloc.stop()
    assert all(reader.held_bytes <= MAX_MESSAGE_BYTES for reader in readers)
    assert used_bytes <= 1.25 * readers[0].held_bytes + SMALL_BYTES


def test_a_head_may_have_as_many_fields_as_are_allowed_and_no_more() -> None:
    for count, error in ((MAX_FIELDS, 0), (MAX_FIELDS + 1, 431)):
        reader = MessageReader()
        complete = reader.feed(b"GET /read HTTP/1.1\r\n" + b"a: b\r\n" * count + b"\r\n")
        assert (reader.error_status, len(complete)) == (error, not error)


async def clients_that_stop(balancer: Client, data: bytes, count: int) -> list[asyncio.StreamWriter]:
    writers = []
    for _ in range(count):
        _, writer = await asyncio.open_connection(HOST, balancer.port)
        writer.write(data)
        writers.append(writer)
    return writers


@pytest.mark.parametrize("form", PARTS)
def test_clients_that_stop_in_a_request_stay_within_the_memory_for_requests(form: str) -> None:
    """Guards against: as many clients as the descriptors allow, each with a whole head or body, over the limit."""
    memory_mb = 8.0

    async def test() -> None:
        upstream = await Upstream(answers(200, b"ok")).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream, memory_mb=memory_mb, system=UnknownMemory()) as client:
            server = client.node.server
            tracemalloc.start()
            writers = await clients_that_stop(client, PARTS[form], CLIENTS)
            await until(lambda: server._accepted_total >= CLIENTS and not server._attaching)
            await asyncio.sleep(0.2)
            used_bytes = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            assert server.account.used_bytes <= memory_mb * MB * LEAST_SHARE
            assert used_bytes <= 1.25 * memory_mb * MB * LEAST_SHARE + CLIENTS * CONNECTION_BYTES
            assert (await client.ask(request())).body == b"ok"  # usual requests are served
            for writer in writers:
                writer.close()
            await until(lambda: server.account.used_by[Holding.REQUESTS] == 0)

    run(test())


def test_complete_requests_count_until_they_are_answered() -> None:
    async def test() -> None:
        upstream = await Upstream(silent).start()
        script = Script()
        sends_first(script)
        body = b"b" * MAX_REQUEST_BODY
        async with node(script, upstream, memory_mb=1.6, system=UnknownMemory()) as client:
            first, second = client.another(), client.another()
            await first.send(request("/pay", method="POST", body=body, deadline_ms=500))
            await until(lambda: client.node.account.used_by[Holding.REQUESTS])
            assert (await second.ask(request("/pay", method="POST", body=body))).status == 503
            assert client.node.held()["calls"] == 1
            assert (await first.read()).status == 504
            assert client.node.account.used_by[Holding.REQUESTS] == 0
            assert client.node.tally.refusals == {"memory": 1}
            first.close()
            second.close()

    run(test())


CALLS = st.lists(
    st.tuples(
        st.sampled_from(("charge", "hold", "release")),
        st.sampled_from(tuple(Holding)),
        st.sampled_from("abc"),
        st.one_of(st.integers(0, 2 * SMALL_BYTES), st.integers(0, 200_000)),
    )
)


@given(calls=CALLS, limit_bytes=st.sampled_from((0, 50_000, 300_000)))
def test_what_is_charged_is_what_is_held_and_never_grows_above_the_limit(
    calls: list[tuple[str, Holding, str, int]], limit_bytes: int
) -> None:
    account = MemoryAccount(limit_bytes)
    held: dict[tuple[Holding, str], int] = {}
    for call, holding, holder, size in calls:
        before = account.used_bytes
        if call == "charge" and account.charge(holding, holder, size) or call == "hold":
            held[holding, holder] = size
        if call == "hold":
            account.hold(holding, holder, size)
        elif call == "release":
            account.release(holding, holder)
            held.pop((holding, holder), None)
        elif limit_bytes:
            assert account.used_bytes <= max(before, limit_bytes)
        assert account.used_bytes == sum(held.values()) == sum(account.used_by.values())
    for holding, holder in held:
        account.release(holding, holder)
    assert account.used_bytes == 0 and not account._charges


def test_large_holders_leave_a_part_of_the_account_to_connections_and_usual_requests() -> None:
    account = MemoryAccount(100_000)
    account.connections_bytes = 25_000
    account.hold(Holding.CLIENT_CONNECTIONS, "large", 5_000)
    assert not account.charge(Holding.REQUESTS, "large", 75_001)
    assert account.charge(Holding.REQUESTS, "large", 75_000)
    account.hold(Holding.CLIENT_CONNECTIONS, "small", 5_000)
    assert account.charge(Holding.REQUESTS, "small", SMALL_BYTES)
    account.exhausted = True
    assert account.charge(Holding.REQUESTS, "large", 60_000)  # one that shrinks is never refused
    assert not account.charge(Holding.REQUESTS, "large", 60_001)
    assert account.charge(Holding.REQUESTS, "another", SMALL_BYTES)


def test_the_account_gets_what_the_process_leaves_of_its_limit_divided_among_the_processes_of_an_upgrade() -> None:
    assert account_limit_bytes(0.0, 20 * MB, 1) == 0
    assert account_limit_bytes(80.0, 20 * MB, 1) == 40 * MB
    assert account_limit_bytes(80.0, 23 * MB, 2) == 10 * MB
    assert account_limit_bytes(32.0, 40 * MB, 1) == 4 * MB
