"""Durable files: the file is synced before its rename, the folder after it, and a failure is reported."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Any

import pytest

from lanemux.core.system import Machine

OLD, NEW = b"old", b"new" * 1000


def make_call_fail(monkeypatch: pytest.MonkeyPatch, call: str, nth: int, error: int) -> None:
    """Make the nth call of `os.<call>` fail."""
    original, calls_left = getattr(os, call), [nth]

    def fail(*arguments: Any, **options: Any) -> Any:
        calls_left[0] -= 1
        if calls_left[0] == 0:
            raise OSError(error, os.strerror(error))
        return original(*arguments, **options)

    monkeypatch.setattr(os, call, fail)


def test_a_file_is_synced_before_it_is_renamed_and_its_folder_after(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls: list[str] = []
    fsync, replace = os.fsync, os.replace

    def synced(descriptor: int) -> None:
        calls.append("folder" if os.path.isdir(f"/proc/self/fd/{descriptor}") else "file")
        fsync(descriptor)

    def renamed(old: str, new: str) -> None:
        calls.append("rename")
        replace(old, new)

    monkeypatch.setattr(os, "fsync", synced)
    monkeypatch.setattr(os, "replace", renamed)
    Machine().write_atomic(str(tmp_path / "word"), NEW)
    assert calls == ["file", "rename", "folder"]
    assert (tmp_path / "word").read_bytes() == NEW


@pytest.mark.parametrize(("call", "nth"), [("fsync", 1), ("replace", 1), ("fsync", 2)])
@pytest.mark.parametrize("error", [errno.EIO, errno.ENOSPC])
def test_a_failed_write_is_reported_and_leaves_the_old_or_the_new_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str, nth: int, error: int
) -> None:
    path = tmp_path / "word"
    path.write_bytes(OLD)
    make_call_fail(monkeypatch, call, nth, error)
    with pytest.raises(OSError):
        Machine().write_atomic(str(path), NEW)
    assert path.read_bytes() in (OLD, NEW)
    assert [p.name for p in tmp_path.iterdir()] == ["word"]  # no partial file is left
