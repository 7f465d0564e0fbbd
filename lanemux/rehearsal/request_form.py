"""The form of requests and answers, as callers and boxes know it: paths, bodies, digests. No I/O."""

from __future__ import annotations

import hashlib

from lanemux.rehearsal import framing
from lanemux.rehearsal.plan import Ask, Plan, idempotency_key

FILLER = 600  # bytes of an answer on average


def target_of(ask: Ask) -> str:
    """The path that an ask's requests have."""
    return f"/{ask.class_name}/{ask.number}"


def sent_body(ask: Ask) -> bytes | None:
    """The body that an ask's requests have; None: they are GETs and have none."""
    return None if ask.effect == "safe" else f"{ask.user} {ask.number}".encode()


def as_sent(plan: Plan, ask: Ask, message: framing.Message) -> bool:
    """A box has the request in the form in which a caller sent it."""
    body = sent_body(ask)
    key = idempotency_key(plan.seed, ask.number) if ask.effect == "keyed" else ""
    return (
        message.start_line == f"{'GET' if body is None else 'POST'} {target_of(ask)} HTTP/1.1"
        and message.body == (body or b"")
        and message.headers.get("idempotency-key", "") == key
    )


def body_of(name: str, host: str, serial: int) -> bytes:
    """An answer that is like no other: it names its request, its box and its number there."""
    h = hashlib.blake2b(f"{name}/{host}/{serial}".encode(), digest_size=32).hexdigest()
    return f"{name} {host} {serial}\n".encode() + (h * (1 + int(h[:4], 16) % (2 * FILLER // 64))).encode()


def digest_of(body: bytes) -> str:
    return hashlib.blake2b(body, digest_size=8).hexdigest()
