"""The admin API's calls and replies (see the operators' page on days). No I/O and no clock."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import unquote_to_bytes

from lanemux.core.memory_account import MemoryAccount
from lanemux.core.tally import Tally

PREFIX = "/admin/"
MAX_TARGET_BYTES = 1024  # of a call's target; no host has so long a name


class UpstreamSet(Protocol):
    """The balancer's upstream list."""

    def knows(self, host: str) -> bool:
        """Whether this upstream is in the list or cordoned."""

    def cordon(self, host: str, cordoned: bool) -> bool:
        """Cordon (`cordoned`) or uncordon the upstream at once; return False if the change can't be stored."""


class Frontend(Protocol):
    """The balancer's client side."""

    @property
    def ready(self) -> bool:
        """Whether this process is ready to serve."""

    def quiesce(self) -> None:
        """Start sending clients away. Has no effect if that has already begun."""

    def resume(self) -> bool:
        """Return to service; return False if the process is shutting down."""


class PluginHost(Protocol):
    """The balancer's plugins."""

    def section(self, name: str) -> Mapping[str, object] | None:
        """Return the section of the plugin of that name; None if there is none."""


class Balancer(Protocol):
    """The balancer that the calls act on."""

    tally: Tally
    account: MemoryAccount

    @property
    def upstream_set(self) -> UpstreamSet: ...

    @property
    def frontend(self) -> Frontend: ...

    @property
    def plugins(self) -> PluginHost: ...

    @property
    def outstanding(self) -> int:
        """Requests accepted and not yet ended."""

    @property
    def discovered(self) -> int:
        """Upstreams in the list."""

    @property
    def ejected(self) -> int:
        """Listed upstreams that the balancer avoids now, cordoned or by its own decision."""

    def standing(self) -> Mapping[str, object]:
        """Return the figures behind the current decisions."""


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a call: a status, and one line of text or JSON."""

    status: int
    body: bytes = b""
    allow: bytes = b""  # with status 405: the allowed method


def statistics(balancer: Balancer) -> dict[str, object]:
    """Return all counters since the start of the process, and the current gauges."""
    tally = balancer.tally
    results = {
        name: {"succeeded": tally.succeeded[name], "declined": tally.declined[name], "aborted": tally.aborted[name]}
        for name in tally.succeeded
    }
    return {
        "results": results,
        "forwards": tally.forwards,
        "failed_attempts": tally.failed_attempts,
        "outstanding": balancer.outstanding,
        "discovered": balancer.discovered,
        "ejected": balancer.ejected,
        "sighup_applied": tally.reloads,
        "sighup_rejected": tally.reloads_refused,
        "failed_calls": tally.failed_calls,
        "refusals": tally.refusals,
        "memory": balancer.account.figures(),
        "standing": balancer.standing(),
    }


def _text_reply(status: int, text: str) -> Reply:
    return Reply(status, text.encode() + b"\n")


def _health(balancer: Balancer) -> Reply:
    return _text_reply(200, "ready") if balancer.frontend.ready else _text_reply(503, "not ready")


def _stats(balancer: Balancer) -> Reply:
    return Reply(200, json.dumps(statistics(balancer), separators=(",", ":")).encode())


def _quiesce(balancer: Balancer) -> Reply:
    balancer.frontend.quiesce()
    return _text_reply(200, "sending clients away")


def _resume(balancer: Balancer) -> Reply:
    return _text_reply(200, "back to work") if balancer.frontend.resume() else _text_reply(409, "this process ends")


SIMPLE_CALLS = {
    "health": (b"GET", _health),
    "stats": (b"GET", _stats),
    "quiesce": (b"PUT", _quiesce),
    "resume": (b"PUT", _resume),
}
UPSTREAM_CALLS = {"cordon": True, "uncordon": False}


def handle_call(balancer: Balancer, method: bytes, target: bytes) -> Reply:
    """Execute one call and return its reply."""
    path = target.partition(b"?")[0]
    if len(target) > MAX_TARGET_BYTES or not path.startswith(PREFIX.encode()):
        return _text_reply(404, "no such call")
    name, _, rest = path[len(PREFIX) :].decode("latin-1").partition("/")
    if name in SIMPLE_CALLS and not rest:
        allowed_method, handler = SIMPLE_CALLS[name]
        return handler(balancer) if method == allowed_method else Reply(405, b"another method\n", allowed_method)
    if name not in UPSTREAM_CALLS:
        section = balancer.plugins.section(name) if not rest else None
        if section is None:
            return _text_reply(404, "no such call")
        if method != b"GET":
            return Reply(405, b"another method\n", b"GET")
        return Reply(200, json.dumps(section, separators=(",", ":")).encode())
    if method != b"PUT":
        return Reply(405, b"another method\n", b"PUT")
    try:
        host = unquote_to_bytes(rest).decode()
    except UnicodeDecodeError:
        host = ""
    if not host or not balancer.upstream_set.knows(host):
        return _text_reply(404, "no upstream of that id")
    if not balancer.upstream_set.cordon(host, UPSTREAM_CALLS[name]):
        return _text_reply(507, "too many upstreams are out by hand, or it can't be kept for a new version")
    return _text_reply(200, "left out" if UPSTREAM_CALLS[name] else "used again")
