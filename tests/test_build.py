"""The deploy file's `build`: the program then starts without compiling, even if an earlier build was interrupted."""

from __future__ import annotations

import os
import shutil
import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def built(folder: Path) -> str:
    """Build a copy of the delivered files, start it, and return the interpreter's verbose log of imports."""
    for name in ("lanemux", "deploy"):
        shutil.copytree(ROOT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "requirements.txt", folder)
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=folder, check=True, timeout=600)
    for source in folder.glob("lanemux/**/*.py"):
        os.utime(source, (1, 1))  # copying the folder changes modification times
    env = {"PATH": "/usr/bin:/bin", "PYTHONDONTWRITEBYTECODE": "1"}
    done = subprocess.run(
        [".venv/bin/python", "-v", "-m", "lanemux"],
        cwd=folder,
        env=env,
        text=True,
        timeout=60,
        capture_output=True,
        check=False,
    )
    assert done.returncode == 2 and "RELAY_CONFIG is not set" in done.stderr
    return done.stderr


def test_a_start_compiles_nothing_and_a_half_built_place_is_built_anew(tmp_path: Path) -> None:
    (tmp_path / ".venv" / "bin").mkdir(parents=True)  # left by an interrupted build
    imports = built(tmp_path)
    assert "lanemux/net/__pycache__/daemon" in imports
    compiled = [line for line in imports.splitlines() if line.startswith("# code object from") and line.endswith(".py")]
    assert [line for line in compiled if "/lanemux/" in line] == []
