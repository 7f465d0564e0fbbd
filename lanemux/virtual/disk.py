"""A virtual disk: files by path, and how reading and writing them fails. No I/O."""

from __future__ import annotations

import errno
import os


def failure(number: int, path: str) -> OSError:
    return OSError(number, os.strerror(number), path)


class Disk:
    """Files of one machine."""

    def __init__(self, size: int = 1 << 30) -> None:
        self.files: dict[str, bytes] = {}
        self.changes = 0  # files replaced so far
        self.size = size  # bytes that all files may have
        self.unreadable = False  # reading fails
        self.torn: int | None = None  # the next write stops after so many bytes, as at a loss of power

    def read(self, path: str, most: int) -> bytes:
        """The first bytes of a file; OSError as Linux gives it."""
        if self.unreadable:
            raise failure(errno.EIO, path)
        if path not in self.files:
            raise failure(errno.ENOENT, path)
        return self.files[path][:most]

    def write(self, path: str, data: bytes) -> None:
        """The whole file anew. Where that fails, part of it may be there."""
        room = self.size - sum(len(d) for p, d in self.files.items() if p != path)
        part, self.torn = self.torn, None
        if part is not None:
            self.files[path] = data[:part]
            raise failure(errno.EIO, path)
        self.files[path] = data[: max(0, room)]
        if len(data) > room:
            raise failure(errno.ENOSPC, path)

    def replace(self, path: str, data: bytes) -> None:
        """The whole file anew, or the old one where that fails."""
        old = self.files.get(path)
        try:
            self.write(path, data)
        except OSError:
            self.files.pop(path, None)
            if old is not None:
                self.files[path] = old
            raise
        self.changes += 1

    def names(self, folder: str) -> list[str]:
        """The files of a folder; OSError where reading fails."""
        if self.unreadable:
            raise failure(errno.EIO, folder)
        return [path[len(folder) + 1 :] for path in self.files if path.startswith(folder + "/")]
