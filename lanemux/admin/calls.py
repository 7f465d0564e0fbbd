"""The operators' calls: what each means and what is answered (operators' page on days). No I/O and no clock."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import unquote_to_bytes

from lanemux.core.tally import Tally

PREFIX = "/admin/"
MAX_TARGET = 1024  # bytes of a call's target; no host has so long a name


class UpstreamSet(Protocol):
    """The balancer's list."""

    def knows(self, host: str) -> bool:
        """Is this upstream in the list, or has it a ban?"""

    def cordon(self, host: str, out: bool) -> bool:
        """Leave the upstream out or use it again, from now on; False where no further ban can be kept."""


class Frontend(Protocol):
    """The balancer's front."""

    @property
    def ready(self) -> bool:
        """Is this process ready to serve?"""

    def quiesce(self) -> None:
        """Send clients away. Without effect where that is so already."""

    def resume(self) -> bool:
        """Back to work; False for a process that ends."""


class PluginHost(Protocol):
    """What is plugged into the balancer."""

    def section(self, name: str) -> Mapping[str, object] | None:
        """What one of that name tells; None: there is none."""


class Balancer(Protocol):
    """What the calls act on."""

    tally: Tally

    @property
    def upstream_set(self) -> UpstreamSet: ...

    @property
    def frontend(self) -> Frontend: ...

    @property
    def plugins(self) -> PluginHost: ...

    @property
    def outstanding(self) -> int:
        """Requests taken and not ended."""

    @property
    def discovered(self) -> int:
        """Upstreams in the list."""

    @property
    def ejected(self) -> int:
        """Listed upstreams that the balancer avoids now, by hand or by choice."""

    def standing(self) -> Mapping[str, object]:
        """Why the decisions do what they do, in figures."""


@dataclass(frozen=True, slots=True)
class Reply:
    """What a call is answered: a status, and one line or the figures."""

    status: int
    body: bytes = b""
    allow: bytes = b""  # the method that is allowed, with 405


def figures(balancer: Balancer) -> dict[str, object]:
    """All counts since the start of the process, and what is held now."""
    tally = balancer.tally
    results = {
        name: {"succeeded": tally.succeeded[name], "declined": tally.declined[name], "aborted": tally.aborted[name]}
        for name in tally.succeeded
    }
    return {
        "results": results,
        "forwards": tally.forwards,
        "outstanding": balancer.outstanding,
        "discovered": balancer.discovered,
        "ejected": balancer.ejected,
        "sighup_applied": tally.reloads,
        "sighup_rejected": tally.reloads_refused,
        "failed_calls": tally.failed_calls,
        "standing": balancer.standing(),
    }


def _said(status: int, text: str) -> Reply:
    return Reply(status, text.encode() + b"\n")


def _health(balancer: Balancer) -> Reply:
    return _said(200, "ready") if balancer.frontend.ready else _said(503, "not ready")


def _stats(balancer: Balancer) -> Reply:
    return Reply(200, json.dumps(figures(balancer), separators=(",", ":")).encode())


def _quiesce(balancer: Balancer) -> Reply:
    balancer.frontend.quiesce()
    return _said(200, "sending clients away")


def _resume(balancer: Balancer) -> Reply:
    return _said(200, "back to work") if balancer.frontend.resume() else _said(409, "this process ends")


PLAIN = {
    "health": (b"GET", _health),
    "stats": (b"GET", _stats),
    "quiesce": (b"PUT", _quiesce),
    "resume": (b"PUT", _resume),
}
OF_ONE = {"cordon": True, "uncordon": False}


def answer(balancer: Balancer, method: bytes, target: bytes) -> Reply:
    """Carry out one call."""
    path = target.partition(b"?")[0]
    if len(target) > MAX_TARGET or not path.startswith(PREFIX.encode()):
        return _said(404, "no such call")
    name, _, rest = path[len(PREFIX) :].decode("latin-1").partition("/")
    if name in PLAIN and not rest:
        wanted, act = PLAIN[name]
        return act(balancer) if method == wanted else Reply(405, b"another method\n", wanted)
    if name not in OF_ONE:
        section = balancer.plugins.section(name) if not rest else None
        if section is None:
            return _said(404, "no such call")
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
        return _said(404, "no upstream of that id")
    if not balancer.upstream_set.cordon(host, OF_ONE[name]):
        return _said(507, "too many upstreams are out by hand, or it can't be kept for a new version")
    return _said(200, "left out" if OF_ONE[name] else "used again")
