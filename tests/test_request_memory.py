"""Memory of what clients and upstreams send of a message: bounded for each, and for all clients together."""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest

from lanemux.net.http import FIELD_OVERHEAD_BYTES, MAX_FIELDS, MAX_HEAD, MAX_REQUEST_BODY, MessageReader
from lanemux.net.receive_budget import BUDGET_SHARE, FREE_BYTES, MIB, ReceiveBudget
from tests.sockets import HOST, Client, Script, Upstream, answers, node, request, run, silent, until
from tests.test_node import sends_first

MAX_MESSAGE_BYTES = MAX_HEAD + MAX_FIELDS * FIELD_OVERHEAD_BYTES + MAX_REQUEST_BODY
CONNECTION_BYTES = 16 * 1024  # of a connection without its message: socket, transport, parser
CLIENTS = 60
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
    assert used_bytes <= 1.25 * readers[0].held_bytes + FREE_BYTES


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
        async with node(script, upstream, memory_mb=memory_mb) as client:
            server = client.node.server
            tracemalloc.start()
            writers = await clients_that_stop(client, PARTS[form], CLIENTS)
            await until(lambda: server._accepted_total >= CLIENTS and not server._attaching)
            await asyncio.sleep(0.2)
            used_bytes = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            assert server.budget.used_bytes <= memory_mb * MIB * BUDGET_SHARE
            assert used_bytes <= 1.25 * memory_mb * MIB * BUDGET_SHARE + CLIENTS * (FREE_BYTES + CONNECTION_BYTES)
            assert (await client.ask(request())).body == b"ok"  # usual requests are served
            for writer in writers:
                writer.close()
            await until(lambda: server.budget.used_bytes == 0)

    run(test())


def test_complete_requests_count_until_they_are_answered() -> None:
    async def test() -> None:
        upstream = await Upstream(silent).start()
        script = Script()
        sends_first(script)
        body = b"b" * MAX_REQUEST_BODY
        async with node(script, upstream, memory_mb=0.8) as client:
            first, second = client.another(), client.another()
            await first.send(request("/pay", method="POST", body=body, deadline_ms=500))
            await until(lambda: client.node.server.budget.used_bytes)
            assert (await second.ask(request("/pay", method="POST", body=body))).status == 503
            assert client.node.held()["calls"] == 1
            assert (await first.read()).status == 504
            assert client.node.server.budget.used_bytes == 0
            first.close()
            second.close()

    run(test())


def test_the_budget_counts_what_exceeds_the_free_part_and_refuses_only_growth() -> None:
    budget = ReceiveBudget(1.0)
    assert budget.charge("a", FREE_BYTES) and budget.used_bytes == 0
    assert budget.charge("a", FREE_BYTES + budget.limit_bytes)
    assert not budget.charge("b", FREE_BYTES + 1) and budget.charge("b", FREE_BYTES)
    assert budget.charge("a", FREE_BYTES + 10) and budget.used_bytes == 10
    budget.release("a")
    budget.release("a")
    assert budget.used_bytes == 0
    assert ReceiveBudget(0).charge("a", 1 << 40)
