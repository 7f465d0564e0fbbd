"""The adapter: hosts many balancers on the simulator's wire. It translates and decides nothing.

    python -m lanemux.drill < batches > replies

One JSON object a line each way. A line that is not a batch ends the process with a message on standard
error and exit status 2; an exception inside a balancer is reported as that balancer's `fault`.
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
    """The input is not what the wire allows."""


def _pick(known: Json, names: Mapping[str, str]) -> Json:
    """The known settings among those sent, under the interface's names; the rest keep their defaults."""
    return {ours: known[theirs] for theirs, ours in names.items() if known.get(theirs) is not None}


def read_settings(raw: Json) -> api.Settings:
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
    return api.Upstream(
        row["upstream"],
        STATES[row.get("availability", 1)],
        row.get("locality") or "",
        row.get("cohort") or 0,
        row.get("scale") or 1.0,
        row.get("up_since_ns") or 0,
        row.get("class_of_host") or "",
    )


def _is_whole(value: object) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool)


def _whole(e: Json, name: str) -> int:
    value = e[name]
    if not _is_whole(value):
        raise TypeError(f"{name} is no whole number")
    return value


def _text(e: Json, name: str) -> str:
    if not isinstance(e[name], str):
        raise TypeError(f"{name} is no text")
    return str(e[name])


def _metrics(e: Json) -> dict[str, float] | None:
    """The load report, if there is one: an object of numbers."""
    report = e.get("metrics")
    if report is None:
        return None
    if not isinstance(report, dict) or not all(isinstance(v, int | float) for v in report.values()):
        raise TypeError("metrics is no object of numbers")
    return report


def _arrival(e: Json) -> api.Event:
    return api.Arrival(
        _text(e, "ticket"),
        _text(e, "kind"),
        str(e.get("user_group") or ""),
        _whole(e, "deadline_ns"),
        e.get("cost_guess_ns") or 0,
        e.get("entity") or "",
        bool(e.get("resent")),
    )


def _outcome(e: Json) -> api.Event:
    return api.Outcome(
        _text(e, "ticket"),
        _whole(e, "attempt"),
        _whole(e, "upstream"),
        RESULTS[e["result"]],
        e.get("took_ns") or 0,
        bool(e.get("complete")),
        _metrics(e),
    )


READ: dict[str, Callable[[Json], api.Event]] = {
    "submit": _arrival,
    "returned": _outcome,
    "timer": lambda e: api.TimerFired(_text(e, "name")),
    "dropped": lambda e: api.ClientGone(_text(e, "ticket")),
    "accepted": lambda e: api.ResponseStarted(
        _text(e, "ticket"), _whole(e, "attempt"), _whole(e, "upstream"), e.get("took_ns") or 0
    ),
    "probe_result": lambda e: api.ProbeResult(
        _whole(e, "upstream"), RESULTS[e["result"]], e.get("took_ns") or 0, _metrics(e)
    ),
    "message": lambda e: api.PeerMessage(_whole(e, "origin_peer"), base64.b64decode(e["blob"], validate=True)),
}
WRITE: dict[type, Callable[[Any], Json]] = {
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
    """The balancers of one process, and the numbered upstream lists that they share on the wire."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, Sequence[api.Upstream]] = {}

    def batch(self, line: str) -> str:
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise Malformed(f"not JSON: {error}") from None
        if not isinstance(batch, dict):
            raise Malformed("a batch must be an object")
        now, number, happened = (batch.get(k) for k in ("sim_time_ns", "round", "happened"))
        if not _is_whole(now):
            raise Malformed("batch without a whole-number sim_time_ns")
        if not _is_whole(number):
            raise Malformed("batch without a whole-number round")
        if not isinstance(happened, list):
            raise Malformed("batch without the array happened")
        # A balancer's events are gathered and handed over together, so that it sees all that a batch brings.
        waiting: dict[int, list[api.Event]] = {}
        commands: list[Json] = []
        for event in happened:
            try:
                self._take(event, now, waiting, commands)
            except Malformed:
                raise
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                raise Malformed(f"event {json.dumps(event)[:200]}: {type(error).__name__} {error}") from None
        for number_of, events in waiting.items():
            self._run(number_of, now, events, commands)
        return json.dumps({"round": number, "cmds": commands}, separators=(",", ":"))

    def _take(self, event: Json, now: int, waiting: dict[int, list[api.Event]], commands: list[Json]) -> None:
        kind = event["t"]
        if kind == "directory":
            self.lists[event["buffer"]] = [read_upstream(row) for row in event["rows_in"]]
            return
        number = event["balancer"]
        if kind == "new_instance":
            waiting.pop(number, None)
            settings = read_settings(event["settings"])
            try:
                self.balancers[number] = Balancer(settings, event["seed"], now)
            except Exception as error:
                commands.append(_fault(number, error))
            return
        if kind == "power_off":
            self.balancers.pop(number, None)
            waiting.pop(number, None)
            return
        if number not in self.balancers:
            raise Malformed(f"event {kind} for balancer {number}, which was not started")
        if kind == "membership":
            form = LISTS[event["form"]]
            rows = () if form is api.ListKind.FAILED else self.lists[event["buffer"]]
            waiting.setdefault(number, []).append(api.ListUpdate(form, rows))
        elif kind in READ:
            waiting.setdefault(number, []).append(READ[kind](event))
        else:
            raise Malformed(f"unknown event {kind!r}")

    def _run(self, number: int, now: int, events: list[api.Event], commands: list[Json]) -> None:
        try:
            for action in self.balancers[number].handle(now, events):
                command = WRITE[type(action)](action)
                command["balancer"] = number
                commands.append(command)
        except Exception as error:
            commands.append(_fault(number, error))


def _fault(number: int, error: Exception) -> Json:
    """A failure of the decision code, told to the simulator with the place where it happened."""
    place = error.__traceback__
    while place is not None and place.tb_next is not None:
        place = place.tb_next
    where = f" at {place.tb_frame.f_code.co_name}:{place.tb_lineno}" if place is not None else ""
    return {"t": "fault", "balancer": number, "message": f"{type(error).__name__}: {error}{where}"}


def main() -> int:
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
