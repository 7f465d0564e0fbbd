"""Clock, sockets, files and chance go through the seams: what service runs, a virtual loop can run unchanged."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import lanemux

ROOT = Path(lanemux.__file__).parent
SEAMS = {"core/system.py"}  # the only module that touches the machine itself
# Starts the process: reads the environment, and has no loop yet.
STARTERS = {"net/daemon.py": {"os", "signal"}}
BARRED = {
    "time",
    "socket",
    "select",
    "selectors",
    "threading",
    "subprocess",
    "os",
    "signal",
    "datetime",
    "pathlib",
    "secrets",
    "uuid",
}
CHANCE = {"Random"}  # a generator that is handed its seed; all else of `random` draws from the process's own


def service_modules() -> list[Path]:
    named = [ROOT / "policy.py", ROOT / "interface.py"]
    return [p for d in ("core", "net", "etcd") for p in sorted((ROOT / d).glob("*.py"))] + named


def faults(text: str, name: str) -> list[str]:
    """What a module does past the seams, a line each."""
    found: list[str] = []
    if name in SEAMS:
        return found
    tree = ast.parse(text)
    typing_only = {
        n
        for node in ast.walk(tree)
        if isinstance(node, ast.If) and "TYPE_CHECKING" in ast.dump(node.test)
        for n in ast.walk(node)
    }
    for node in ast.walk(tree):
        if node in typing_only:
            continue
        if isinstance(node, ast.Import | ast.ImportFrom):
            modules = [node.module or ""] if isinstance(node, ast.ImportFrom) else [a.name for a in node.names]
            barred = {m.partition(".")[0] for m in modules} & (BARRED - STARTERS.get(name, set()))
            found += [f"{name}:{node.lineno}: imports {m}" for m in sorted(barred)]
            if isinstance(node, ast.ImportFrom) and node.module == "random":
                found.append(f"{name}:{node.lineno}: imports from random")
        elif isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "random":
            if node.attr not in CHANCE:
                found.append(f"{name}:{node.lineno}: random.{node.attr}")
        elif isinstance(node, ast.Call):
            found += _call_faults(node, name)
    return found


def _call_faults(node: ast.Call, name: str) -> list[str]:
    if isinstance(node.func, ast.Name) and node.func.id == "open":
        return [f"{name}:{node.lineno}: opens a file"]
    seedless = isinstance(node.func, ast.Attribute) and node.func.attr == "Random" and not node.args
    return [f"{name}:{node.lineno}: a generator without a seed"] if seedless else []


def test_service_touches_the_machine_only_through_the_seams() -> None:
    modules = service_modules()
    assert len(modules) > 15
    assert [f for p in modules for f in faults(p.read_text(), p.relative_to(ROOT).as_posix())] == []


@pytest.mark.parametrize(
    "text",
    [
        "import time",
        "from time import monotonic",
        "import socket",
        "def f():\n    import os",
        "import random\nrandom.random()",
        "from random import choice",
        "import random\nr = random.Random()",
        "open('x')",
        "import asyncio, selectors",
    ],
)
def test_each_way_past_the_seams_is_found(text: str) -> None:
    assert len(faults(text, "net/x.py")) == 1
