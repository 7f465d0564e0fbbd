"""Responses without a length whose head comes at once and whose body comes late. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass

from lanemux.rehearsal.plan import MS

LONG_BODY_BYTES = 70_000  # more than the balancer buffers
MEDIUM_BODY_BYTES = 20_000  # more than the smaller buffers of the virtual network
# A body begins at most this much after the time limit that the balancer stated, which may be the client's deadline.
LATEST_BEGIN_NS = 150 * MS
PADDED_SHARE = 0.7  # of the bodies
CHUNKED_SHARE = 0.7  # the others end with the connection, which is not used again then
MAX_PIECES, MAX_GAP_NS = 3, 20 * MS
STATED_SHARES = (0.2, 1.0)  # of the time limit that the balancer stated
UNSTATED_LIMIT_NS = 200 * MS  # used if it has stated none


@dataclass(frozen=True, slots=True)
class LateBody:
    """The parts of one response, serialized, and when they are sent."""

    body: bytes
    head: bytes
    pieces: tuple[bytes, ...]
    due_ns: int  # of the first piece, from when the request was received
    gap_ns: int  # between the pieces
    closes: bool  # the end of the connection marks the end of the body


def draw_late_body(rng: random.Random, body: bytes, long: bool, stated_ms: int) -> LateBody:
    """Draw framing, pieces and pauses. Most bodies are padded; `long`: to more than what is buffered.

    `stated_ms`: the time limit that the balancer has stated, 0 if none; the first piece may come after it."""
    if rng.random() < PADDED_SHARE:
        size = LONG_BODY_BYTES if long else MEDIUM_BODY_BYTES
        body = (body * (size // len(body) + 1))[:size]
    chunked = rng.random() < CHUNKED_SHARE
    limit_ns = stated_ms * MS or UNSTATED_LIMIT_NS
    size = -(-len(body) // rng.randint(1, MAX_PIECES))
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    if chunked:
        pieces = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces]
        pieces[-1] += b"0\r\n\r\n"
    return LateBody(
        body,
        b"HTTP/1.1 200 OK\r\n" + (b"Transfer-Encoding: chunked\r\n" if chunked else b"") + b"\r\n",
        tuple(pieces),
        int(limit_ns * rng.uniform(*STATED_SHARES) + rng.uniform(0, LATEST_BEGIN_NS)),
        int(rng.uniform(0, MAX_GAP_NS)),
        not chunked,
    )
