"""Adapter that hosts many balancers behind the simulator's protocol. It translates messages and decides nothing.

    python -m lanemux.drill < batches > replies

Each line of input and output is one JSON object. An invalid batch ends the process with a message on standard error
and exit status 2; an exception inside a balancer is reported as a `fault` of that balancer.
"""

from __future__ import annotations

import base64
import json
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any, TypeGuard

from lanemux import interface as api
from lanemux.policy import Balancer

Json = dict[str, Any]

EFFECTS = {"read_like": api.Effect.SAFE, "idempotency_key": api.Effect.KEYED, "non_idempotent": api.Effect.UNSAFE}
RESULTS = {
    "delivered": api.Result.OK,
    "app_error": api.Result.ERROR,
    "shed": api.Result.FULL,
    "expired": api.Result.TIMEOUT,
    "dial_failed": api.Result.CONNECT_FAILED,
    "dropped": api.Result.RESET,
    "revoked": api.Result.CANCELLED,
    "unused": api.Result.NOT_SENT,
}
STATES = {0: api.State.GONE, 1: api.State.READY, 2: api.State.DRAINING}
LISTS = {0: api.ListKind.DELTA, 1: api.ListKind.FULL, 2: api.ListKind.CACHED, 3: api.ListKind.FAILED}


class Malformed(Exception):
    """The input violates the protocol."""


def _pick(raw: Json, names: Mapping[str, str]) -> Json:
    """The settings present in `raw`, renamed from protocol to interface names; absent ones keep their defaults."""
    return {ours: raw[theirs] for theirs, ours in names.items() if raw.get(theirs) is not None}


def read_settings(raw: Json) -> api.Settings:
    """Convert the protocol's settings object; unknown keys are ignored."""
    classes = {}
    for row in raw.get("profiles") or ():
        given = _pick(
            row,
            {
                "window_ns": "window_ns",
                "aim_ns": "aim_ns",
                "worth": "worth",
                "late_worth": "late_worth",
                "stream": "stream",
                "aim_stretch": "aim_stretch",
                "hard_limit_ns": "limit_ns",
            },
        )
        for theirs, ours in (("runs_in", "zones"), ("allowed_on", "kinds")):
            if row.get(theirs) is not None:
                given[ours] = frozenset(row[theirs])
        classes[row["name"]] = api.RequestClass(
            row["name"],
            EFFECTS[row.get("repeat", "non_idempotent")],
            api.Scope(row.get("dedup_scope") or "all"),
            **given,
        )
    tenants = {
        row["name"]: api.Tenant(row["name"], **_pick(row, {"share": "share", "quota_per_s": "quota_per_s"}))
        for row in raw.get("realms") or ()
    }
    limits = _pick(
        raw.get("limits") or {},
        {
            "send_cap": "max_attempts",
            "second_copies": "second_copies",
            "may_cancel": "may_cancel",
            "probes": "probes",
            "peers": "peers",
            "retry_after": "retry_after",
            "max_retry_after_ns": "max_retry_after_ns",
            "connect_timeout_ns": "connect_timeout_ns",
            **{
                name: name for name in ("conn_idle_ns", "max_streams", "max_open", "cpu_us_per_s", "cpu_us_per_request")
            },
        },
    )
    rules = _pick(
        raw.get("rules") or {},
        {
            "grace_to_answer_ns": "answer_grace_ns",
            **{
                name: name
                for name in (
                    "stop_sending_within_ns",
                    "ask_within_ns",
                    "cold_from",
                    "cold_ns",
                    "fall_multiple",
                    "overload_for_ns",
                    "full_unproven",
                )
            },
        },
    )
    prices = _pick(
        raw.get("prices") or {},
        {
            "registry_mode": "list_lines",
            **{name: name for name in ("cross_zone", "waste", "probe", "peer", "connection", "handshake", "late_fail")},
        },
    )
    reports = raw.get("load_report") or {}
    return api.Settings(
        me=raw.get("me", 0),
        replicas_of_me=raw.get("replicas_of_me", 1),
        zone=raw.get("locality") or "",
        discovery_push=raw.get("registry_mode", "push") == "push",
        classes=classes,
        tenants=tenants,
        limits=api.Limits(**limits),
        rules=api.Rules(**rules),
        prices=api.Prices(**prices),
        report_columns=tuple(reports.get("columns") or ()),
        reports_in_answers=reports.get("how") == "answers",
        zones=tuple(raw.get("zones") or ()),
        weights=api.Weights(raw.get("weight_source") or "none"),
        retries_marked=bool((raw.get("clients") or {}).get("marks_retry")),
        **_pick(raw, {"over_share_worth": "over_share_worth"}),
    )


def read_upstream(row: Json) -> api.Upstream:
    """Convert one row of an upstream list."""
    return api.Upstream(
        row["upstream"],
        STATES[row.get("availability", 1)],
        row.get("locality") or "",
        row.get("cohort") or 0,
        row.get("scale") or 1.0,
        row.get("up_since_ns") or 0,
        row.get("class_of_host") or "",
    )


def _is_integer(value: object) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool)


def _integer(event: Json, name: str) -> int:
    value = event[name]
    if not _is_integer(value):
        raise TypeError(f"{name} is no whole number")
    return value


def _string(event: Json, name: str) -> str:
    if not isinstance(event[name], str):
        raise TypeError(f"{name} is no text")
    return str(event[name])


def _metrics(event: Json) -> dict[str, float] | None:
    """The load report, if there is one: a mapping from column names to numbers."""
    report = event.get("metrics")
    if report is None:
        return None
    if not isinstance(report, dict) or not all(isinstance(v, int | float) for v in report.values()):
        raise TypeError("metrics is no object of numbers")
    return report


def _arrival(event: Json) -> api.Event:
    return api.Arrival(
        _string(event, "ticket"),
        _string(event, "kind"),
        str(event.get("user_group") or ""),
        _integer(event, "deadline_ns"),
        event.get("cost_guess_ns") or 0,
        event.get("entity") or "",
        bool(event.get("resent")),
    )


def _outcome(event: Json) -> api.Event:
    return api.Outcome(
        _string(event, "ticket"),
        _integer(event, "attempt"),
        _integer(event, "upstream"),
        RESULTS[event["result"]],
        event.get("took_ns") or 0,
        bool(event.get("complete")),
        _metrics(event),
    )


EVENT_READERS: dict[str, Callable[[Json], api.Event]] = {
    "submit": _arrival,
    "returned": _outcome,
    "timer": lambda e: api.TimerFired(_string(e, "name")),
    "dropped": lambda e: api.ClientGone(_string(e, "ticket")),
    "accepted": lambda e: api.ResponseStarted(
        _string(e, "ticket"), _integer(e, "attempt"), _integer(e, "upstream"), e.get("took_ns") or 0
    ),
    "probe_result": lambda e: api.ProbeResult(
        _integer(e, "upstream"), RESULTS[e["result"]], e.get("took_ns") or 0, _metrics(e)
    ),
    "message": lambda e: api.PeerMessage(_integer(e, "origin_peer"), base64.b64decode(e["blob"], validate=True)),
}
ACTION_WRITERS: dict[type, Callable[[Any], Json]] = {
    api.Send: lambda a: {"t": "submit_to", "ticket": a.request, "upstream": a.upstream, "timeout_ns": a.timeout_ns},
    api.Refuse: lambda a: {"t": "push_back", "ticket": a.request, "backoff_ns": a.retry_after_ns},
    api.Fail: lambda a: {"t": "finish_error", "ticket": a.request},
    api.Cancel: lambda a: {"t": "retract", "ticket": a.request, "attempt": a.attempt},
    api.Probe: lambda a: {"t": "sample", "upstream": a.upstream},
    api.SendToPeer: lambda a: {"t": "announce", "dst": a.peer, "blob": base64.b64encode(a.data).decode()},
    api.CloseIdle: lambda a: {"t": "close", "upstream": a.upstream},
    api.Subscribe: lambda a: {"t": "track", "active": a.on},
    api.FetchList: lambda a: {"t": "fetch"},
    api.SetTimer: lambda a: {"t": "schedule", "wait_ns": a.delay_ns, "name": a.name},
    api.WriteLog: lambda a: {"t": "write_log", "message": a.text},
}


class Host:
    """The balancers of one process and the numbered upstream lists that protocol messages refer to."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, Sequence[api.Upstream]] = {}

    def batch(self, line: str) -> str:
        """Process one batch and return the reply; Malformed if it is invalid."""
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise Malformed(f"not JSON: {error}") from None
        if not isinstance(batch, dict):
            raise Malformed("a batch must be an object")
        now, number, happened = (batch.get(k) for k in ("sim_time_ns", "round", "happened"))
        if not _is_integer(now):
            raise Malformed("batch without a whole-number sim_time_ns")
        if not _is_integer(number):
            raise Malformed("batch without a whole-number round")
        if not isinstance(happened, list):
            raise Malformed("batch without the array happened")
        # Each balancer gets all its events of a batch in one call, so that it decides with all of them known.
        pending: dict[int, list[api.Event]] = {}
        commands: list[Json] = []
        for event in happened:
            try:
                self._read_event(event, now, pending, commands)
            except Malformed:
                raise
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                raise Malformed(f"event {json.dumps(event)[:200]}: {type(error).__name__} {error}") from None
        for balancer_number, events in pending.items():
            self._run_balancer(balancer_number, now, events, commands)
        return json.dumps({"round": number, "cmds": commands}, separators=(",", ":"))

    def _read_event(self, event: Json, now: int, pending: dict[int, list[api.Event]], commands: list[Json]) -> None:
        kind = event["t"]
        if kind == "directory":
            self.lists[event["buffer"]] = [read_upstream(row) for row in event["rows_in"]]
            return
        number = event["balancer"]
        if kind == "new_instance":
            pending.pop(number, None)
            settings = read_settings(event["settings"])
            try:
                self.balancers[number] = Balancer(settings, event["seed"], now)
            except Exception as error:
                commands.append(_fault(number, error))
            return
        if kind == "power_off":
            self.balancers.pop(number, None)
            pending.pop(number, None)
            return
        if number not in self.balancers:
            raise Malformed(f"event {kind} for balancer {number}, which was not started")
        if kind == "membership":
            form = LISTS[event["form"]]
            rows = () if form is api.ListKind.FAILED else self.lists[event["buffer"]]
            pending.setdefault(number, []).append(api.ListUpdate(form, rows))
        elif kind in EVENT_READERS:
            pending.setdefault(number, []).append(EVENT_READERS[kind](event))
        else:
            raise Malformed(f"unknown event {kind!r}")

    def _run_balancer(self, number: int, now: int, events: list[api.Event], commands: list[Json]) -> None:
        try:
            for action in self.balancers[number].handle(now, events):
                command = ACTION_WRITERS[type(action)](action)
                command["balancer"] = number
                commands.append(command)
        except Exception as error:
            commands.append(_fault(number, error))


def _fault(number: int, error: Exception) -> Json:
    """A `fault` command for an exception in the decision module, with the function and line where it was raised."""
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    where = f" at {traceback.tb_frame.f_code.co_name}:{traceback.tb_lineno}" if traceback is not None else ""
    return {"t": "fault", "balancer": number, "message": f"{type(error).__name__}: {error}{where}"}


def main() -> int:
    """Process batches from standard input until it ends; returns the exit status."""
    host = Host()
    for count, line in enumerate(sys.stdin, 1):
        try:
            reply = host.batch(line)
        except Malformed as error:
            print(f"drill: line {count}: {error}", file=sys.stderr)
            return 2
        sys.stdout.write(reply + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
