"""Operators' words between the two processes of one balancer: written to the folder both have, and looked at."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from lanemux.core.cordons import MAX_CORDONS, CordonRecord
from lanemux.core.system import System
from lanemux.takeover.words import ENDING, MAX_WORD, file_name, read, written

log = logging.getLogger(__name__)

LOOK_S = 0.1  # a word told to the other process holds here after this; the grace of the page is 500 ms


class Shared:
    """One folder of words. `heard` is called for each word that is new to this process."""

    def __init__(self, system: System, folder: str, heard: Callable[[CordonRecord], None]) -> None:
        self._system = system
        self._folder = folder
        self._heard = heard
        self._seen: dict[str, bytes] = {}  # file -> its text as last read or written
        self._changed_ns = -1
        self._settled = False  # it has been looked at once more since it changed
        self._looking: asyncio.TimerHandle | None = None
        self._failing = False  # the folder can't be read: said once

    def open(self) -> None:
        """Read what there is, and go on looking. Without effect where the folder can't be had: that is logged."""
        try:
            self._system.make_directory(self._folder)
        except OSError as error:
            log.warning("takeover: %s: %s; words of operators stay in this process", self._folder, error.strerror)
        self._look()

    def tell(self, word: CordonRecord) -> bool:
        """Keep a word for the other process; False if that can't be done."""
        name, text = file_name(word.host), written(word)
        try:
            self._system.write_atomic(f"{self._folder}/{name}", text)
        except OSError as error:
            log.warning("takeover: a word on %.80s can't be kept: %s", word.host, error.strerror)
            return False
        self._seen[name] = text
        return True

    def _look(self) -> None:
        self._looking = asyncio.get_running_loop().call_later(LOOK_S, self._look)
        try:
            changed_ns = self._system.directory_mtime_ns(self._folder)
            # File times are as coarse as the kernel's tick: a word kept in the tick of the last look shows no change.
            same = changed_ns == self._changed_ns
            if same and self._settled:
                return
            names = sorted(n for n in self._system.list_directory(self._folder) if n.endswith(ENDING))[:MAX_CORDONS]
        except OSError as error:
            if not self._failing:
                log.warning("takeover: %s: %s", self._folder, error.strerror)
            self._failing = True
            return
        self._failing = False
        self._changed_ns, self._settled = changed_ns, same
        for name in names:
            self._take(name)
        for gone in self._seen.keys() - set(names):
            del self._seen[gone]

    def _take(self, name: str) -> None:
        try:
            text = self._system.read(f"{self._folder}/{name}", MAX_WORD)
            if text == self._seen.get(name):
                return
            self._seen[name] = text
            word = read(text)
        except (OSError, ValueError) as error:
            log.warning("takeover: %s is left out: %s", name, error)
            return
        self._heard(word)

    def close(self) -> None:
        if self._looking is not None:
            self._looking.cancel()
