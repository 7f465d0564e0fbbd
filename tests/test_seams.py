"""Production code uses clock, sockets, files and randomness only through abstractions.

So a virtual event loop can run it unchanged.
"""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import lanemux

ROOT = Path(lanemux.__file__).parent
EXEMPT = {"core/system.py"}  # the only module that accesses the operating system directly
# Starts the process: reads the environment, before there is an event loop.
STARTUP_IMPORTS = {"net/daemon.py": {"os", "signal"}}
FORBIDDEN = {
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
ALLOWED_RANDOM = {"Random"}  # a generator with an explicit seed; everything else in `random` uses the global generator


def service_modules() -> list[Path]:
    named = [ROOT / "policy.py", ROOT / "interface.py"]
    return [p for d in ("core", "net", "etcd") for p in sorted((ROOT / d).glob("*.py"))] + named


def violations(text: str, name: str) -> list[str]:
    """Violations in a module's source, one line each."""
    found: list[str] = []
    if name in EXEMPT:
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
            forbidden = {m.partition(".")[0] for m in modules} & (FORBIDDEN - STARTUP_IMPORTS.get(name, set()))
            found += [f"{name}:{node.lineno}: imports {m}" for m in sorted(forbidden)]
            if isinstance(node, ast.ImportFrom) and node.module == "random":
                found.append(f"{name}:{node.lineno}: imports from random")
        elif isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "random":
            if node.attr not in ALLOWED_RANDOM:
                found.append(f"{name}:{node.lineno}: random.{node.attr}")
        elif isinstance(node, ast.Call):
            found += _call_violations(node, name)
    return found


def _call_violations(node: ast.Call, name: str) -> list[str]:
    if isinstance(node.func, ast.Name) and node.func.id == "open":
        return [f"{name}:{node.lineno}: opens a file"]
    seedless = isinstance(node.func, ast.Attribute) and node.func.attr == "Random" and not node.args
    return [f"{name}:{node.lineno}: a generator without a seed"] if seedless else []


def test_production_code_accesses_the_system_only_through_abstractions() -> None:
    modules = service_modules()
    assert len(modules) > 15
    assert [f for p in modules for f in violations(p.read_text(), p.relative_to(ROOT).as_posix())] == []


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
def test_each_kind_of_violation_is_found(text: str) -> None:
    assert len(violations(text, "net/x.py")) == 1
