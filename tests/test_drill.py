"""The adapter as a subprocess: round trip, invalid input, and actions independent of the hash seed."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from lanemux import interface as api
from lanemux.drill import read_settings, read_upstream

Json = dict[str, Any]
SETTINGS: Json = {
    "me": 0,
    "replicas_of_me": 2,
    "locality": "north",
    "unknown_key": {"deep": 1},
    "registry_mode": "ask",
    "profiles": [{"name": "look", "repeat": "read_like", "aim_ns": 300_000_000}],
    "realms": [{"name": "elm", "share": 0.6}, {"name": "fir", "share": 0.4}],
    "limits": {"send_cap": 3, "may_cancel": True, "second_copies": True, "retry_after": True},
    "rules": {"ask_within_ns": 10_000_000_000, "cold_from": 0.3, "cold_ns": 5_000_000_000},
    "load_report": {"columns": ["util", "strange"], "how": "answers"},
}
ROWS = [{"upstream": i, "locality": "north", "cohort": 1, "availability": 1, "extra": 3} for i in (11, 12, 13)]


def run(lines: list[str], hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "lanemux.drill"],
        input="".join(f"{x}\n" for x in lines),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )


def batch(number: int, now: int, *happened: Json) -> str:
    return json.dumps({"sim_time_ns": now, "round": number, "happened": list(happened)})


def start(balancer: int = 0) -> list[Json]:
    return [
        {"t": "new_instance", "balancer": balancer, "seed": 5, "settings": SETTINGS},
        {"t": "directory", "buffer": 0, "rows_in": ROWS},
        {"t": "membership", "balancer": balancer, "form": 2, "stamp": 1, "buffer": 0},
    ]


def submit(ticket: str, now: int, balancer: int = 0) -> Json:
    return {
        "t": "submit",
        "balancer": balancer,
        "ticket": ticket,
        "kind": "look",
        "user_group": "elm",
        "deadline_ns": now + 400_000_000,
    }


def day() -> list[str]:
    lines = [batch(1, 10**9), batch(2, 2 * 10**9, *start(0), *start(1))]
    for i in range(40):
        now = 2 * 10**9 + i * 10**7
        lines.append(batch(3 + i, now, *(submit(f"t{i}-{j}-{b}", now, b) for j in range(3) for b in (0, 1))))
    return lines


def test_round_trip() -> None:
    now = 2 * 10**9
    done = run(
        [
            batch(1, now, *start(), submit("t1", now)),
            batch(
                2,
                now + 10**7,
                {
                    "t": "returned",
                    "balancer": 0,
                    "ticket": "t1",
                    "attempt": 0,
                    "upstream": 11,
                    "result": "delivered",
                    "took_ns": 10**7,
                    "complete": True,
                    "metrics": {"util": 0.2, "strange": 1},
                },
            ),
        ]
    )
    assert done.returncode == 0 and not done.stderr
    first, second = (json.loads(line) for line in done.stdout.splitlines())
    sends = [c for c in first["cmds"] if c["t"] == "submit_to"]
    assert len(sends) == 1 and sends[0]["upstream"] in (11, 12, 13) and sends[0]["balancer"] == 0
    assert second["round"] == 2


def test_same_actions_whatever_the_hash_seed() -> None:
    assert run(day(), "1").stdout == run(day(), "2").stdout != ""


def test_power_off_forgets_the_balancer() -> None:
    now = 2 * 10**9
    done = run(
        [
            batch(1, now, *start(), submit("t1", now)),
            batch(2, now + 1, {"t": "power_off", "balancer": 0}),
            batch(3, now + 2, {"t": "timer", "balancer": 0, "name": "1"}),
        ]
    )
    assert done.returncode == 2 and "not started" in done.stderr


@pytest.mark.parametrize(
    ("line", "says"),
    [
        ("{", "not JSON"),
        ("[]", "must be an object"),
        ('{"round":1,"happened":[]}', "sim_time_ns"),
        ('{"sim_time_ns":1,"happened":[]}', "round"),
        ('{"sim_time_ns":1,"round":1}', "happened"),
        (batch(1, 1, {"t": "strange", "balancer": 0}), "not started"),
        (batch(1, 1, {"balancer": 0}), "KeyError"),
        (batch(1, 1, *start(), {"t": "strange", "balancer": 0}), "unknown event 'strange'"),
        (batch(1, 1, *start(), {"t": "submit", "balancer": 0, "ticket": "t1"}), "KeyError 'kind'"),
        (batch(1, 1, *start(), {**submit("t1", 1), "deadline_ns": "soon"}), "deadline_ns is no whole number"),
        (batch(1, 1, *start(), {**submit("t1", 1), "ticket": 7}), "ticket is no text"),
        (batch(1, 1, *start(), {"t": "membership", "balancer": 0, "form": 1, "stamp": 2, "buffer": 9}), "KeyError 9"),
        (batch(1, 1, *start(), {"t": "membership", "balancer": 0, "form": 7, "stamp": 2, "buffer": 0}), "KeyError 7"),
        (
            batch(
                1,
                1,
                *start(),
                {
                    "t": "probe_result",
                    "balancer": 0,
                    "result": "delivered",
                    "upstream": 11,
                    "metrics": {"util": "high"},
                },
            ),
            "metrics is no object of numbers",
        ),
    ],
)
def test_malformed_input_stops_with_a_plain_message(line: str, says: str) -> None:
    done = run([line])
    assert done.returncode == 2 and says in done.stderr and "Traceback" not in done.stderr


def test_an_exception_in_the_module_is_a_fault() -> None:
    done = run(
        [
            batch(
                1,
                1,
                {
                    "t": "new_instance",
                    "balancer": 3,
                    "seed": "no number",
                    "settings": {"rules": {"ask_within_ns": "soon"}, "registry_mode": "ask"},
                },
            )
        ]
    )
    assert done.returncode == 0
    fault = json.loads(done.stdout)["cmds"][0]
    assert fault["t"] == "fault" and fault["balancer"] == 3 and "TypeError" in fault["message"]


def test_every_setting_that_a_decision_can_use_is_carried() -> None:
    raw = {
        **SETTINGS,
        "zones": ["north", "south"],
        "weight_source": "live",
        "over_share_worth": 0.2,
        "clients": {"marks_retry": True},
        "load_report": {"columns": ["inflight"], "how": "probe"},
        "prices": {"cross_zone": 0.01, "connection": 0.03, "registry_mode": 0.5, "late_fail": 0.02},
        "profiles": [
            {
                "name": "look",
                "repeat": "idempotency_key",
                "dedup_scope": "cell",
                "aim_ns": 5,
                "window_ns": 7,
                "aim_stretch": 1.5,
                "hard_limit_ns": 9,
                "runs_in": ["north"],
                "allowed_on": ["big"],
            }
        ],
        "rules": {"full_unproven": True, "grace_to_answer_ns": 3, "stop_sending_within_ns": 4},
        "limits": {"conn_idle_ns": 6, "max_streams": 8, "max_open": 10, "cpu_us_per_s": 12},
    }
    known = read_settings(raw)
    look = known.classes["look"]
    assert (look.zones, look.kinds, look.scope) == (frozenset({"north"}), frozenset({"big"}), api.Scope.CELL)
    assert (look.aim_stretch, look.limit_ns, look.window_ns) == (1.5, 9, 7)
    assert known.rules.full_unproven and known.rules.answer_grace_ns == 3
    assert known.weights is api.Weights.LIVE and known.over_share_worth == 0.2 and known.retries_marked
    assert not known.reports_in_answers and known.zones == ("north", "south")
    assert (known.prices.connection, known.prices.list_lines, known.prices.late_fail) == (0.03, 0.5, 0.02)
    assert (known.limits.conn_idle_ns, known.limits.max_streams, known.limits.max_open) == (6, 8, 10)
    row = {"upstream": 5, "class_of_host": "big", "scale": 0.25, "up_since_ns": 3, "cohort": 2}
    assert read_upstream(row) == api.Upstream(5, cell=2, weight=0.25, started_ns=3, kind="big")


def test_starts_as_the_deploy_file_says() -> None:
    root = Path(__file__).parent.parent
    deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
    subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=root, check=True, timeout=600)
    assert all((root / name).is_file() for name in deploy["policy"])
    done = subprocess.run(
        ["/bin/sh", "-c", deploy["sim"]],
        cwd=root,
        input="".join(f"{x}\n" for x in day()),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    replies = [json.loads(line) for line in done.stdout.splitlines()]
    assert done.returncode == 0 and [r["round"] for r in replies] == list(range(1, 43))
    assert any(c["t"] == "submit_to" for r in replies for c in r["cmds"])
    assert done.stdout == run(day()).stdout
