"""The interface of the decision module: its settings, its input events and its output actions.

One `Balancer` (see `policy.py`) is one proxy. The caller passes in the time and a random seed; the module opens no
socket, reads no clock and starts no thread. All times are integer nanoseconds on the caller's clock. This module
holds data types only and no logic.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class Effect(Enum):
    """Whether a request of a class may be executed more than once."""

    SAFE = "safe"  # idempotent: may be retried and refused freely
    KEYED = "keyed"  # has an idempotency key: upstreams within a `Scope` drop duplicates for a time window
    UNSAFE = "unsafe"  # must never be executed twice


class Scope(Enum):
    """The group of upstreams that share the deduplication of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """State of an upstream as reported by discovery."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Weights(Enum):
    """Meaning of the weight in an upstream list entry."""

    NONE = "none"  # always 1
    NOMINAL = "nominal"  # registered size
    ROUGH = "rough"  # approximate size
    LIVE = "live"  # size / (1 + requests in flight per core), as of some time ago


class ListKind(Enum):
    """Content of a list update."""

    DELTA = 0  # only changed entries
    FULL = 1  # the whole list
    CACHED = 2  # the whole list as known before a restart; may be stale
    FAILED = 3  # a fetch failed or the subscription ended; no entries


class Result(Enum):
    """Outcome of an attempt. "May have run" means that the upstream may have executed the request."""

    OK = "ok"
    ERROR = "error"  # error response; may have run
    FULL = "full"  # rejected by an overloaded upstream before processing; never ran
    TIMEOUT = "timeout"  # may have run, may still run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # connection reset; may have run
    CANCELLED = "cancelled"  # cancelled by the proxy; may have run
    NOT_SENT = "moot"  # the attempt was not sent; never ran


NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT})


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Properties shared by all requests of one class."""

    name: str
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    window_ns: int = 0  # keyed: how long duplicates are dropped, from the first send that may have run
    aim_ns: int = 1_000_000_000  # latency target: a response within it has the full worth
    worth: float = 1.0
    late_worth: float = 0.0  # fraction of the worth for a response after the target
    stream: bool = False
    aim_stretch: float = 0.0  # the latency target grows by this multiple of the request's processing cost
    limit_ns: int = 0  # how long the client waits in total, over all its own retries; 0: unknown
    zones: frozenset[str] | None = None  # placement: the only zones it may be sent to; None: any
    kinds: frozenset[str] | None = None  # placement: the only machine kinds; None: any


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its entitlement."""

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0  # over all proxies; 0: none configured


@dataclass(frozen=True, slots=True)
class Limits:
    """What a proxy is permitted to do, and its resource limits."""

    max_attempts: int = 1
    second_copies: bool = False
    may_cancel: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 1_000_000_000
    connect_timeout_ns: int = 250_000_000
    conn_idle_ns: int = 0  # idle timeout of connections; 0: unknown
    max_streams: int = 1  # concurrent attempts per connection
    max_open: int = 0  # concurrent requests per proxy; 0: unknown
    cpu_us_per_s: int = 0  # CPU time per second that a proxy may use; 0: no limit known
    cpu_us_per_request: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the environment that a proxy is judged by."""

    stop_sending_within_ns: int = 1_000_000_000  # time limit for stopping new sends to a draining upstream
    ask_within_ns: int = 10_000_000_000  # a proxy without a list update for this long counts as informed
    cold_from: float = 0.3  # share of its capacity that a freshly started upstream has
    cold_ns: int = 0  # duration of the warm-up to full capacity
    fall_multiple: float = 3.0  # an upstream that receives more than this multiple of its capacity
    overload_for_ns: int = 2_000_000_000  # for this long, fails
    full_unproven: bool = False  # `Result.FULL` does not prove that the request never ran
    answer_grace_ns: int = 0  # a final response this long after the deadline still counts


@dataclass(frozen=True, slots=True)
class Prices:
    """Costs that are weighed against the worth of requests."""

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
    """Configuration of one balancer."""

    me: int = 0
    replicas_of_me: int = 1
    zone: str = ""
    zones: Sequence[str] = ()
    discovery_push: bool = True  # discovery pushes list changes; otherwise the proxy polls
    classes: Mapping[str, RequestClass] = field(default_factory=dict)
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)
    report_columns: Sequence[str] = ()  # names of the columns in load reports
    reports_in_answers: bool = False
    weights: Weights = Weights.NONE
    over_share_worth: float = 1.0  # factor on the worth of traffic beyond a tenant's share
    retries_marked: bool = False  # clients mark their retries


class Upstream(NamedTuple):
    """One entry of the upstream list."""

    id: int
    state: State = State.READY
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ns: int = 0  # clock time of its last start; 0: long ago
    kind: str = ""


# ---- events --------------------------------------------------------------------------------------------


class ListUpdate(NamedTuple):
    """A full upstream list, changes to it, or a failed fetch."""

    kind: ListKind
    upstreams: Sequence[Upstream] = ()


class Arrival(NamedTuple):
    """A client request. The proxy must give exactly one final response to it."""

    request: str
    class_name: str
    tenant: str
    deadline_ns: int
    cost_hint_ns: int = 0
    key: str = ""
    retry: bool = False


class Outcome(NamedTuple):
    """The result of one attempt. Every `Send` is followed by exactly one outcome."""

    request: str
    attempt: int
    upstream: int
    result: Result
    took_ns: int
    complete: bool = False  # the whole request has ended
    report: Mapping[str, float] | None = None


class ResponseStarted(NamedTuple):
    """A streamed response has started. The request's deadline no longer applies."""

    request: str
    attempt: int
    upstream: int
    took_ns: int


class ClientGone(NamedTuple):
    """The client disconnected before the final response."""

    request: str


class ProbeResult(NamedTuple):
    """The result of one probe."""

    upstream: int
    result: Result
    took_ns: int
    report: Mapping[str, float] | None = None


class PeerMessage(NamedTuple):
    """A datagram from another balancer."""

    sender: int
    data: bytes


class TimerFired(NamedTuple):
    """A timer set with `SetTimer` has expired."""

    name: str


class HeldRequest(NamedTuple):
    """State that the proxy has for one open request."""

    sends: int  # number of attempts sent
    in_flight: bool = False  # the last attempt has no outcome yet


class Resync(NamedTuple):
    """The proxy's open requests, sent after the module raised an exception: that batch's events and actions are lost.

    The module continues with the listed requests that it knows and ends the others. A full list update follows."""

    requests: Mapping[str, HeldRequest]


Event = ListUpdate | Arrival | Outcome | ResponseStarted | ClientGone | ProbeResult | PeerMessage | TimerFired | Resync

# ---- actions -------------------------------------------------------------------------------------------


class Send(NamedTuple):
    """Start an attempt. The attempts of a request are numbered from 0 in the order in which they are sent."""

    request: str
    upstream: int
    # 0: no timeout before the client gives up. A response of which bytes are coming in then may still go on until the
    # client's deadline; one of unknown length starts to be streamed.
    timeout_ns: int = 0
    # From the decision on; 0: no limit. An attempt whose last byte is not written by then is not sent, and never ran.
    write_within_ns: int = 0


class Refuse(NamedTuple):
    """Final response: rejected without being executed; a retry is safe."""

    request: str
    retry_after_ns: int = 0


class Fail(NamedTuple):
    """Final response: failed; the request may or may not have been executed."""

    request: str


class Cancel(NamedTuple):
    """Cancel an attempt."""

    request: str
    attempt: int


class Probe(NamedTuple):
    """Send a probe to an upstream."""

    upstream: int


class SendToPeer(NamedTuple):
    """Send a datagram to other balancers."""

    data: bytes
    peer: int = -1  # -1: all peers


class CloseIdle(NamedTuple):
    """Close this proxy's idle connections to an upstream."""

    upstream: int


class Subscribe(NamedTuple):
    """Start or stop the subscription to list changes."""

    on: bool = True


class FetchList(NamedTuple):
    """Fetch the whole upstream list once."""


class SetTimer(NamedTuple):
    """Set a timer; `TimerFired` with its name follows after the delay."""

    delay_ns: int
    name: str


class WriteLog(NamedTuple):
    """Write a line to the log."""

    text: str


Action = Send | Refuse | Fail | Cancel | Probe | SendToPeer | CloseIdle | Subscribe | FetchList | SetTimer | WriteLog
