"""A virtual disk: in-memory files with injectable read and write failures. No I/O."""

from __future__ import annotations

import errno
import os


def os_error(number: int, path: str) -> OSError:
    """The OSError that Linux raises for an errno."""
    return OSError(number, os.strerror(number), path)


class Disk:
    """The files of one machine."""

    def __init__(self, capacity_bytes: int = 1 << 30) -> None:
        self.files: dict[str, bytes] = {}
        self.replacements = 0  # number of files replaced so far
        self.capacity_bytes = capacity_bytes  # total size that the files may reach
        self.unreadable = False  # every read fails with EIO
        self.tear_after_bytes: int | None = None  # the next write fails after this many bytes, as in a power loss

    def read(self, path: str, most: int) -> bytes:
        """The first `max_bytes` bytes of a file; raises OSError as Linux would."""
        if self.unreadable:
            raise os_error(errno.EIO, path)
        if path not in self.files:
            raise os_error(errno.ENOENT, path)
        return self.files[path][:most]

    def write(self, path: str, data: bytes) -> None:
        """Overwrite a file in place. If that fails, part of the new data may remain."""
        free_bytes = self.capacity_bytes - sum(len(d) for p, d in self.files.items() if p != path)
        part, self.tear_after_bytes = self.tear_after_bytes, None
        if part is not None:
            self.files[path] = data[:part]
            raise os_error(errno.EIO, path)
        self.files[path] = data[: max(0, free_bytes)]
        if len(data) > free_bytes:
            raise os_error(errno.ENOSPC, path)

    def replace(self, path: str, data: bytes) -> None:
        """Replace a file atomically: if that fails, the old content stays."""
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
        """Names of the files in a directory; raises OSError while the disk is unreadable."""
        if self.unreadable:
            raise os_error(errno.EIO, directory)
        return [path[len(directory) + 1 :] for path in self.files if path.startswith(directory + "/")]
