"""The fake boxes (one server) and the clients of `bench.etcd_follow`, in a process of their own.

    python -m bench.programs.crowd PORT RATE SECONDS

Prints the boxes' port, waits for a line on standard input, sends requests to the balancer's port, and prints
[time in ns, seconds taken] of each answer with status 200.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time

HOST = "127.0.0.1"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REPORT = b'HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{"inflight":0,"queue":0}'
IdleConnections = list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer every request at once, for all boxes."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            writer.write(REPORT if head.startswith(b"GET /stats") else ANSWER)
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


async def send_request(port: int, request_id: str, idle: IdleConnections, answered: list[tuple[int, float]]) -> None:
    """Send one request on an idle or new connection, and record its answer."""
    began = time.monotonic()
    try:
        reader, writer = idle.pop() if idle else await asyncio.open_connection(HOST, port)
        writer.write(
            f"GET /read/1 HTTP/1.1\r\nHost: x\r\nReq-Id: {request_id}\r\nReq-Owner: a\r\n"
            "Req-Deadline-Ms: 2000\r\n\r\n".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0]))
    except (OSError, asyncio.IncompleteReadError):
        return  # the balancer closed the connection because of its age
    if head.split()[1] == b"200":
        answered.append((time.monotonic_ns(), time.monotonic() - began))
    idle.append((reader, writer))


async def main(port: int, rate: float, seconds: float) -> None:
    """Serve the boxes, then send requests at random intervals for this time."""
    server = await asyncio.start_server(serve, HOST, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    rng, idle, answered = random.Random(1), IdleConnections(), list[tuple[int, float]]()
    at = time.monotonic()
    end, tasks, count = at + seconds, set[asyncio.Task[None]](), 0
    while at < end:
        at += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        count += 1
        task = asyncio.create_task(send_request(port, f"{count:016x}", idle, answered))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    print(json.dumps(answered))


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3])))
