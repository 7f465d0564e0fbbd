"""Exchanges cordons between the two processes of one balancer, through files in a shared folder that is polled."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from lanemux.core.cordons import MAX_CORDONS, CordonRecord
from lanemux.core.system import System
from lanemux.takeover.cordon_file import FILE_SUFFIX, MAX_FILE_BYTES, decode, encode, file_name

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.1  # a change made in the other process applies here after this; 500 ms are allowed


class CordonSync:
    """The shared folder of cordons. `on_change` is called for each change that is new to this process."""

    def __init__(self, system: System, folder: str, on_change: Callable[[CordonRecord], None]) -> None:
        self._system = system
        self._folder = folder
        self._on_change = on_change
        self._known_texts: dict[str, bytes] = {}  # file name -> content as last read or written
        self._folder_changed_ns = -1
        self._polled_since_change = False  # the folder was polled once more since it changed
        self._poll_timer: asyncio.TimerHandle | None = None
        self._read_failing = False  # the folder can't be read; logged once

    def open(self) -> None:
        """Read the folder now and poll it from then on. A folder that can't be created is logged and has no effect."""
        try:
            self._system.make_directory(self._folder)
        except OSError as error:
            log.warning("takeover: %s: %s; cordons are not shared with another version", self._folder, error.strerror)
        self._poll()

    def publish(self, change: CordonRecord) -> bool:
        """Write a change for the other process; return False if it can't be written."""
        name, text = file_name(change.host), encode(change)
        try:
            self._system.write_atomic(f"{self._folder}/{name}", text)
        except OSError as error:
            log.warning("takeover: the cordon of %.80s can't be stored: %s", change.host, error.strerror)
            return False
        self._known_texts[name] = text
        return True

    def _poll(self) -> None:
        self._poll_timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._poll)
        try:
            changed_ns = self._system.directory_mtime_ns(self._folder)
            # File times have the resolution of a kernel tick: a write in the tick of the last poll is not visible.
            unchanged = changed_ns == self._folder_changed_ns
            if unchanged and self._polled_since_change:
                return
            names = sorted(n for n in self._system.list_directory(self._folder) if n.endswith(FILE_SUFFIX))[
                :MAX_CORDONS
            ]
        except OSError as error:
            if not self._read_failing:
                log.warning("takeover: %s: %s", self._folder, error.strerror)
            self._read_failing = True
            return
        self._read_failing = False
        self._folder_changed_ns, self._polled_since_change = changed_ns, unchanged
        for name in names:
            self._read_file(name)
        for removed in self._known_texts.keys() - set(names):
            del self._known_texts[removed]

    def _read_file(self, name: str) -> None:
        try:
            text = self._system.read(f"{self._folder}/{name}", MAX_FILE_BYTES)
            if text == self._known_texts.get(name):
                return
            self._known_texts[name] = text
            change = decode(text)
        except (OSError, ValueError) as error:
            log.warning("takeover: %s is ignored: %s", name, error)
            return
        self._on_change(change)

    def close(self) -> None:
        """Stop polling."""
        if self._poll_timer is not None:
            self._poll_timer.cancel()
