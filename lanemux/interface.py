"""The interface of the decision module: its settings, the events it takes, the actions it gives.

One `Balancer` (see `policy.py`) is one proxy. It is handed the clock and a seed; it opens no socket, reads
no clock and keeps no thread. All times are whole nanoseconds on the caller's clock. Nothing here decides.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class Effect(Enum):
    """What repeating a request of a class may do."""

    SAFE = "safe"  # may be repeated and refused freely
    KEYED = "keyed"  # carries a key: one group of upstreams drops its repeats for a while
    UNSAFE = "unsafe"  # must never run twice


class Scope(Enum):
    """Which upstreams drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """What discovery says of an upstream."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Weights(Enum):
    """What the weight of a list entry says."""

    NONE = "none"  # always 1
    NOMINAL = "nominal"  # its registered size
    ROUGH = "rough"  # its size, about
    LIVE = "live"  # its size over 1 + the requests it held a core a while ago


class ListKind(Enum):
    """What a list event carries."""

    DELTA = 0  # only changed entries
    FULL = 1  # the whole list
    CACHED = 2  # the whole list as last known before a restart, maybe old
    FAILED = 3  # a call failed or the subscription broke; no entries


class Result(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    FULL = "full"  # turned away unseen; never ran
    TIMEOUT = "timeout"  # may have run, may still run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # called off; may have run
    NOT_SENT = "moot"  # not sent at all; never ran


NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT})


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    window_ns: int = 0  # keyed: how long repeats are dropped, from the first send that may have run
    aim_ns: int = 1_000_000_000  # an answer within this earns the full worth
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth for an answer after the aim
    stream: bool = False
    aim_stretch: float = 0.0  # the aim grows by this multiple of the request's own work
    limit_ns: int = 0  # the client's whole wait over all its tries; 0: not told
    zones: frozenset[str] | None = None  # placement: the sole zones it may be sent to; None: any
    kinds: frozenset[str] | None = None  # and the sole kinds of machine


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    share: float = 1.0
    quota_per_s: float = 0.0  # over all proxies; 0: not told


@dataclass(frozen=True, slots=True)
class Limits:
    max_attempts: int = 1
    second_copies: bool = False
    may_cancel: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 1_000_000_000
    connect_timeout_ns: int = 250_000_000
    conn_idle_ns: int = 0  # idle connections are closed after this; 0: not told
    max_streams: int = 1  # attempts that one connection carries at once
    max_open: int = 0  # requests a proxy may hold open; 0: not told
    cpu_us_per_s: int = 0  # CPU a proxy may use; 0: no limit told
    cpu_us_per_request: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    stop_sending_within_ns: int = 1_000_000_000  # sends to a draining upstream must end within this
    ask_within_ns: int = 10_000_000_000  # without news for this long, a proxy counts as told
    cold_from: float = 0.3  # a started upstream begins at this share of its capacity
    cold_ns: int = 0  # and is warm after this
    fall_multiple: float = 3.0  # sent more than this many times what it can do
    overload_for_ns: int = 2_000_000_000  # for this long, it falls over
    full_unproven: bool = False  # turned away as full is no proof that it never ran
    answer_grace_ns: int = 0  # a final answer this long after the deadline still counts


@dataclass(frozen=True, slots=True)
class Prices:
    cross_zone: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    peer: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0
    late_fail: float = 0.0
    list_lines: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    me: int = 0
    replicas_of_me: int = 1
    zone: str = ""
    zones: Sequence[str] = ()
    discovery_push: bool = True  # list changes come by themselves
    classes: Mapping[str, RequestClass] = field(default_factory=dict)
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)
    report_columns: Sequence[str] = ()  # what load reports hold
    reports_in_answers: bool = False
    weights: Weights = Weights.NONE
    over_share_worth: float = 1.0  # worth of traffic beyond a tenant's share
    retries_marked: bool = False  # clients flag their retries


class Upstream(NamedTuple):
    """An entry of the upstream list."""

    id: int
    state: State = State.READY
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ns: int = 0  # clock time of its last start; 0: long ago
    kind: str = ""


# ---- events --------------------------------------------------------------------------------------------


class ListUpdate(NamedTuple):
    kind: ListKind
    upstreams: Sequence[Upstream] = ()


class Arrival(NamedTuple):
    """A client's request; the proxy now owes it one final answer."""

    request: str
    class_name: str
    tenant: str
    deadline_ns: int
    cost_hint_ns: int = 0
    key: str = ""
    retry: bool = False


class Outcome(NamedTuple):
    """How one attempt ended; every Send gets exactly one."""

    request: str
    attempt: int
    upstream: int
    result: Result
    took_ns: int
    complete: bool = False  # the request is over
    report: Mapping[str, float] | None = None


class ResponseStarted(NamedTuple):
    """A streamed answer has begun; the request's deadline no longer runs."""

    request: str
    attempt: int
    upstream: int
    took_ns: int


class ClientGone(NamedTuple):
    request: str


class ProbeResult(NamedTuple):
    upstream: int
    result: Result
    took_ns: int
    report: Mapping[str, float] | None = None


class PeerMessage(NamedTuple):
    sender: int
    data: bytes


class TimerFired(NamedTuple):
    """A timer set with SetTimer is due."""

    name: str


class HeldRequest(NamedTuple):
    """What the proxy holds for one request."""

    sends: int  # attempts that it was given
    in_flight: bool = False  # the last of them has no outcome yet


class Resync(NamedTuple):
    """What the proxy holds, after a batch that the module did not survive: its events and actions are lost.

    Of the requests named the module goes on with those it knows and ends the others; the whole list follows."""

    requests: Mapping[str, HeldRequest]


Event = ListUpdate | Arrival | Outcome | ResponseStarted | ClientGone | ProbeResult | PeerMessage | TimerFired | Resync

# ---- actions -------------------------------------------------------------------------------------------


class Send(NamedTuple):
    """Start an attempt. A request's attempts are numbered from 0 in the order of their sends."""

    request: str
    upstream: int
    timeout_ns: int = 0  # 0: until the client gives up


class Refuse(NamedTuple):
    """Final answer: turned away; trying again is harmless."""

    request: str
    retry_after_ns: int = 0


class Fail(NamedTuple):
    """Final answer: failed, with no promise about its effect."""

    request: str


class Cancel(NamedTuple):
    request: str
    attempt: int


class Probe(NamedTuple):
    upstream: int


class SendToPeer(NamedTuple):
    data: bytes
    peer: int = -1  # -1: all peers


class CloseIdle(NamedTuple):
    """Close this proxy's idle connections to an upstream."""

    upstream: int


class Subscribe(NamedTuple):
    on: bool = True


class FetchList(NamedTuple):
    pass


class SetTimer(NamedTuple):
    delay_ns: int
    name: str


class WriteLog(NamedTuple):
    text: str


Action = Send | Refuse | Fail | Cancel | Probe | SendToPeer | CloseIdle | Subscribe | FetchList | SetTimer | WriteLog
