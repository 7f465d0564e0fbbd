"""The preloaded library that makes calls fail: building it, the environment that loads it, and reading its counts."""

from __future__ import annotations

import os
import re
import shutil
import struct
import subprocess
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from lanemux.rehearsal.calls.rules import Rule, format_rules

SOURCE = Path(__file__).with_name("interpose.c")
COMPILERS = ("cc", "gcc", "clang")
_COUNTS = struct.Struct("=III")


class CompilerError(Exception):
    """The library can't be built: no compiler is installed, or it failed."""


@dataclass(frozen=True)
class CallCounts:
    """Calls of one kind: those made before counting began, those since, and how many of the latter were failed."""

    before: int
    since: int
    failed: int


def build_library(folder: Path) -> Path:
    """Build the library into `folder` and return its path. Raises CompilerError."""
    library = folder / "interpose.so"
    compiler = next(filter(None, map(shutil.which, COMPILERS)), None)
    if compiler is None:
        raise CompilerError(f"none of {', '.join(COMPILERS)} is installed")
    command = [compiler, "-shared", "-fPIC", "-O2", "-o", str(library), str(SOURCE), "-ldl"]
    built = subprocess.run(command, capture_output=True, text=True, check=False)
    if built.returncode:
        raise CompilerError(f"{compiler}: {built.stderr.strip()}")
    return library


def environment(library: Path, rules: Sequence[Rule], counts: Path, seed: int = 0) -> dict[str, str]:
    """This process's environment plus the variables that preload and configure the library."""
    settings = {"LD_PRELOAD": str(library), "LANEMUX_FAIL": format_rules(rules), "LANEMUX_FAIL_COUNTS": str(counts)}
    return {**os.environ, **settings, "LANEMUX_FAIL_SEED": str(seed)}


def kinds() -> list[str]:
    """The kinds of calls, in the order in which the library stores their counts."""
    names = SOURCE.read_text().partition("#define KINDS(X)")[2].partition("#define AS_ENUM")[0]
    return re.findall(r"X\((\w+)\)", names)


def read_counts(path: Path) -> dict[str, CallCounts]:
    """The counts by kind of call; empty if the file is missing."""
    data = path.read_bytes() if path.exists() else b""
    size = _COUNTS.size
    return {
        kind: CallCounts(*_COUNTS.unpack_from(data, i * size)) for i, kind in enumerate(kinds()) if len(data) > i * size
    }
