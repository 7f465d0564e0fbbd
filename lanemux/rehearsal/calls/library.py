"""The library that makes calls fail: building it, the environment of a process that it is loaded into, its counts."""

from __future__ import annotations

import os
import re
import shutil
import struct
import subprocess
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from lanemux.rehearsal.calls.rules import Rule, written

SOURCE = Path(__file__).with_name("interpose.c")
COMPILERS = ("cc", "gcc", "clang")
_COUNTS = struct.Struct("=III")


class NoCompiler(Exception):
    """There is nothing that could build the library."""


@dataclass(frozen=True)
class Counts:
    """Of one kind of call: how many came before counting began, since, and how many of these were made to fail."""

    before: int
    since: int
    failed: int


def build(folder: Path) -> Path:
    """The library, built into that folder. Raises NoCompiler."""
    library = folder / "interpose.so"
    compiler = next(filter(None, map(shutil.which, COMPILERS)), None)
    if compiler is None:
        raise NoCompiler(f"none of {', '.join(COMPILERS)} is installed")
    command = [compiler, "-shared", "-fPIC", "-O2", "-o", str(library), str(SOURCE), "-ldl"]
    built = subprocess.run(command, capture_output=True, text=True, check=False)
    if built.returncode:
        raise NoCompiler(f"{compiler}: {built.stderr.strip()}")
    return library


def environment(library: Path, rules: Sequence[Rule], counts: Path, seed: int = 0) -> dict[str, str]:
    """That of this process, with the library loaded and told what fails."""
    told = {"LD_PRELOAD": str(library), "LANEMUX_FAIL": written(rules), "LANEMUX_FAIL_COUNTS": str(counts)}
    return {**os.environ, **told, "LANEMUX_FAIL_SEED": str(seed)}


def kinds() -> list[str]:
    """The kinds of calls, in the order in which the library counts them."""
    names = SOURCE.read_text().partition("#define KINDS(X)")[2].partition("#define AS_ENUM")[0]
    return re.findall(r"X\((\w+)\)", names)


def read_counts(path: Path) -> dict[str, Counts]:
    """What was counted, by kind; empty where nothing was."""
    data = path.read_bytes() if path.exists() else b""
    size = _COUNTS.size
    return {
        kind: Counts(*_COUNTS.unpack_from(data, i * size)) for i, kind in enumerate(kinds()) if len(data) > i * size
    }
