"""gRPC and etcd's JSON gateway, each as a client of one unmodified etcd server. By hand:

    python -m bench.etcd_gateway

Each client, in a process of its own: reads a list of 10,000 boxes in pages of 256, follows 5,000 changes, and then asks
on the open watch how far it is. Told: memory, processor, and whether there is an answer.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import resource
import sys
import tempfile
import urllib.request
from pathlib import Path
from typing import Any

from bench.etcd_real import HOST, PREFIX, Cluster, row

BOXES, CHANGES, TXN, PAGE = 10_000, 5_000, 128, 256
SILENT_S = 5.0  # how long the answer to a question for progress may take


def b64(text: str | bytes) -> str:
    return base64.b64encode(text.encode() if isinstance(text, str) else text).decode()


def post(port: int, path: str, body: object) -> Any:
    asked = urllib.request.Request(f"http://{HOST}:{port}{path}", json.dumps(body).encode())
    with urllib.request.urlopen(asked) as answer:
        return json.loads(answer.read())


def write(port: int, first: int, count: int, value: str) -> None:
    """Keys in transactions, as their writers would."""
    for start in range(first, first + count, TXN):
        puts = [{"requestPut": {"key": b64(f"{PREFIX}q-{i:06}"), "value": b64(value)}}
                for i in range(start, min(start + TXN, first + count))]
        post(port, "/v3/kv/txn", {"success": puts})


def spent() -> tuple[float, float]:
    """Processor seconds and most memory (MB) of this process so far."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime, used.ru_maxrss / 1024


async def by_grpc(port: int) -> None:
    from lanemux.etcd.follower import Created, Event, List, News, Page, Progress, Watch
    from lanemux.etcd.member import Member, Target

    target = Target(((HOST, port),), PREFIX)
    member = Member(target, (HOST, port))
    pages: list[Page] = []
    seen, created, progress = 0, asyncio.Event(), asyncio.Event()

    def hear(event: Event) -> None:
        nonlocal seen
        match event:
            case Page():
                pages.append(event)
            case Created():
                created.set()
            case News():
                seen += len(event.pairs)
            case Progress():
                progress.set()

    at = List(b"", 0)
    while not pages or pages[-1].more:
        await member.list(at.start, at.revision, hear)
        at = List(pages[-1].pairs[-1].key + b"\0", pages[0].revision)
    listed = spent()
    watch = asyncio.create_task(member.watch(Watch(pages[0].revision + 1).revision, hear))
    await created.wait()
    print(json.dumps({"boxes": sum(len(p.pairs) for p in pages), "listed": listed}), flush=True)
    while seen < CHANGES:
        await asyncio.sleep(0.005)
    member.ask_progress()
    await asyncio.wait_for(progress.wait(), 5)
    print(json.dumps({"followed": spent(), "progress": "answered when asked"}), flush=True)
    watch.cancel()
    member.close()


async def exchange(port: int, path: str, body: object) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A POST whose answer's head has been read."""
    reader, writer = await asyncio.open_connection(HOST, port, limit=64 * 1024 * 1024)
    data = json.dumps(body).encode()
    writer.write(f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
    return reader, writer


async def chunks(reader: asyncio.StreamReader) -> bytes:
    """One chunk of a chunked body; empty at its end."""
    size = int((await reader.readline()).strip() or b"0", 16)
    data = await reader.readexactly(size)
    await reader.readline()
    return data


async def by_gateway(port: int) -> None:
    begin, end, revision, count = b64(PREFIX), b64("/boxes0"), 0, 0
    while True:
        reader, writer = await exchange(port, "/v3/kv/range", {"key": begin, "range_end": end, "limit": PAGE,
                                                               "revision": revision})
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        if b"chunked" in head:
            data = b""
            while piece := await chunks(reader):
                data += piece
        else:
            data = await reader.readexactly(int(head.partition(b"content-length:")[2].split(b"\r\n")[0]))
        writer.close()
        got = json.loads(data)
        revision = revision or int(got["header"]["revision"])
        pairs = [(base64.b64decode(kv["key"]), base64.b64decode(kv["value"])) for kv in got["kvs"]]
        count += len(pairs)
        if not got.get("more"):
            break
        begin = b64(pairs[-1][0] + b"\0")
    listed = spent()
    create = {"create_request": {"key": b64(PREFIX), "range_end": end, "start_revision": revision + 1,
                                 "progress_notify": True, "fragment": True}}
    reader, writer = await exchange(port, "/v3/watch", create)
    await reader.readuntil(b"\r\n\r\n")
    print(json.dumps({"boxes": count, "listed": listed}), flush=True)
    seen, rest = 0, b""
    while seen < CHANGES:
        rest += await chunks(reader)
        *lines, rest = rest.split(b"\n")
        for line in lines:
            events = json.loads(line)["result"].get("events", ())
            seen += len([(base64.b64decode(e["kv"]["key"]), base64.b64decode(e["kv"].get("value", "")))
                         for e in events])
    used = spent()
    # What a client would have to do to learn whether a quiet watch still lives: ask on the same request.
    writer.write(json.dumps({"progress_request": {}}).encode())
    try:
        said = await asyncio.wait_for(chunks(reader), SILENT_S)
        answer = f"answered {said[:60]!r}"
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer = f"no answer within {SILENT_S:.0f} s ({type(error).__name__})"
    print(json.dumps({"followed": used, "progress": answer}), flush=True)
    writer.close()


async def measure(kind: str, cluster: Cluster) -> None:
    port = cluster.members[0].client
    process = await asyncio.create_subprocess_exec(sys.executable, "-m", "bench.etcd_gateway", kind, str(port),
                                                   stdout=asyncio.subprocess.PIPE)
    assert process.stdout is not None
    first = json.loads(await process.stdout.readline())
    await asyncio.to_thread(write, port, 0, CHANGES, row(2))
    second = json.loads(await process.stdout.readline())
    await process.wait()
    (listed, memory), (followed, most) = first["listed"], second["followed"]
    print(f"{kind}: {first['boxes']} boxes listed with {listed:.2f} s of processor, {memory:.1f} MB; {CHANGES} changes "
          f"followed with {followed - listed:.2f} s more, {most:.1f} MB; progress {second['progress']}",
          flush=True)


async def main() -> None:
    with tempfile.TemporaryDirectory(prefix="etcd-") as folder:
        cluster = Cluster(1, Path(folder))
        await cluster.start()
        try:
            await asyncio.to_thread(write, cluster.members[0].client, 0, BOXES, row(1))
            for kind in ("grpc", "gateway", "grpc", "gateway"):
                await measure(kind, cluster)
        finally:
            await cluster.stop()


if __name__ == "__main__":
    os.environ.setdefault("ETCDCTL_API", "3")
    if len(sys.argv) == 3:
        asyncio.run({"grpc": by_grpc, "gateway": by_gateway}[sys.argv[1]](int(sys.argv[2])))
    else:
        asyncio.run(main())
