"""The content of requests and responses that callers and boxes agree on: paths, bodies, digests. No I/O."""

from __future__ import annotations

import hashlib

from lanemux.rehearsal import framing
from lanemux.rehearsal.plan import Ask, Plan, idempotency_key

MEAN_FILLER_BYTES = 600  # of a response body


def target_path(ask: Ask) -> str:
    """The path of an ask's requests."""
    return f"/{ask.class_name}/{ask.number}"


def request_body(ask: Ask) -> bytes | None:
    """The body of an ask's requests; None for a GET, which has none."""
    return None if ask.effect == "safe" else f"{ask.user} {ask.number}".encode()


def matches_ask(plan: Plan, ask: Ask, message: framing.Message) -> bool:
    """Whether a box received the request as the caller sent it: method, path, body and idempotency key."""
    body = request_body(ask)
    key = idempotency_key(plan.seed, ask.number) if ask.effect == "keyed" else ""
    return (
        message.start_line == f"{'GET' if body is None else 'POST'} {target_path(ask)} HTTP/1.1"
        and message.body == (body or b"")
        and message.headers.get("idempotency-key", "") == key
    )


def response_body(request_id: str, host: str, count: int) -> bytes:
    """A unique response body: it holds the request id, the box and the response's number at that box."""
    filler = hashlib.blake2b(f"{request_id}/{host}/{count}".encode(), digest_size=32).hexdigest()
    return (
        f"{request_id} {host} {count}\n".encode()
        + (filler * (1 + int(filler[:4], 16) % (2 * MEAN_FILLER_BYTES // 64))).encode()
    )


def body_digest(body: bytes) -> str:
    """The digest of a response body, by which boxes' and callers' records are compared."""
    return hashlib.blake2b(body, digest_size=8).hexdigest()
