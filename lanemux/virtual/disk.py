"""A virtual disk: files by path, and how reading and writing them fails. No I/O."""

from __future__ import annotations

import errno
import os


def os_error(number: int, path: str) -> OSError:
    return OSError(number, os.strerror(number), path)


class Disk:
    """Files of one machine."""

    def __init__(self, capacity_bytes: int = 1 << 30) -> None:
        self.files: dict[str, bytes] = {}
        self.replacements = 0  # files replaced so far
        self.capacity_bytes = capacity_bytes  # bytes that all files may have
        self.unreadable = False  # reading fails
        self.tear_after_bytes: int | None = None  # the next write stops after so many bytes, as at a loss of power

    def read(self, path: str, most: int) -> bytes:
        """The first bytes of a file; OSError as Linux gives it."""
        if self.unreadable:
            raise os_error(errno.EIO, path)
        if path not in self.files:
            raise os_error(errno.ENOENT, path)
        return self.files[path][:most]

    def write(self, path: str, data: bytes) -> None:
        """The whole file anew. Where that fails, part of it may be there."""
        free_bytes = self.capacity_bytes - sum(len(d) for p, d in self.files.items() if p != path)
        part, self.tear_after_bytes = self.tear_after_bytes, None
        if part is not None:
            self.files[path] = data[:part]
            raise os_error(errno.EIO, path)
        self.files[path] = data[: max(0, free_bytes)]
        if len(data) > free_bytes:
            raise os_error(errno.ENOSPC, path)

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
        self.replacements += 1

    def list_directory(self, directory: str) -> list[str]:
        """The files of a folder; OSError where reading fails."""
        if self.unreadable:
            raise os_error(errno.EIO, directory)
        return [path[len(directory) + 1 :] for path in self.files if path.startswith(directory + "/")]
