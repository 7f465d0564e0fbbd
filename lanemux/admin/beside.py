"""What the platform's second address and inherited listener switch on beside a node."""

from __future__ import annotations

import logging

from lanemux.admin.door import Door
from lanemux.core.system import System
from lanemux.net.node import Node
from lanemux.takeover.pace import end
from lanemux.takeover.shared import Shared

log = logging.getLogger(__name__)

FOLDER = "lanemux-words"  # in $TMPDIR, which both processes of a balancer have


class Beside:
    """The operators' door, and their words between two processes."""

    def __init__(self, node: Node, system: System, folder: str | None) -> None:
        """`folder`: what two processes of this balancer share; None: nothing."""
        self._node = node
        self._door = Door(node, system) if node.config.admin is not None else None
        self._shared = Shared(system, f"{folder}/{FOLDER}", node.roster.hear_word) if folder is not None else None

    def start(self) -> None:
        """Before the node takes up its list: whoever is out by hand is so from the first decision on."""
        if self._shared is not None:
            self._shared.open()
            self._node.roster.keep_word = self._shared.tell
        if self._door is not None:
            try:
                self._open_door()
            except OSError:
                self._node.background.start("operators' address", self._open_door_later)

    def _open_door(self) -> None:
        assert self._door is not None and self._node.config.admin is not None
        port = self._door.open(self._node.config.admin)
        log.info("%s: operators' port %d", self._node.config.name, port)

    async def _open_door_later(self) -> None:
        self._open_door()

    def close(self) -> None:
        if self._door is not None:
            self._door.close()
        if self._shared is not None:
            self._shared.close()


def make(node: Node, system: System, folder: str | None) -> Beside:
    """What this node's configuration asks for. Words go over only where a second process may come."""
    end()
    return Beside(node, system, folder if node.config.listen_fd is not None else None)
