"""What the platform's second address and inherited listener switch on beside a node."""

from __future__ import annotations

import logging

from lanemux.admin.server import AdminServer
from lanemux.core.system import System
from lanemux.net.node import Node
from lanemux.takeover.pace import end
from lanemux.takeover.shared import Shared

log = logging.getLogger(__name__)

FOLDER = "lanemux-words"  # in $TMPDIR, which both processes of a balancer have


class PlatformExtension:
    """The operators' address, and their words between two processes."""

    def __init__(self, node: Node, system: System, folder: str | None) -> None:
        """`folder`: what two processes of this balancer share; None: nothing."""
        self._node = node
        self._admin = AdminServer(node, system) if node.config.admin is not None else None
        self._shared = (
            Shared(system, f"{folder}/{FOLDER}", node.upstream_set.apply_cordon) if folder is not None else None
        )

    def start(self) -> None:
        """Before the node takes up its list: whoever is out by hand is so from the first decision on."""
        if self._shared is not None:
            self._shared.open()
            self._node.upstream_set.persist_cordon = self._shared.tell
        if self._admin is not None:
            try:
                self._open_admin()
            except OSError:
                self._node.background.start("operators' address", self._open_admin_later)

    def _open_admin(self) -> None:
        assert self._admin is not None and self._node.config.admin is not None
        port = self._admin.open(self._node.config.admin)
        log.info("%s: operators' port %d", self._node.config.name, port)

    async def _open_admin_later(self) -> None:
        self._open_admin()

    def close(self) -> None:
        if self._admin is not None:
            self._admin.close()
        if self._shared is not None:
            self._shared.close()


def make(node: Node, system: System, folder: str | None) -> PlatformExtension:
    """What this node's configuration asks for. Words go over only where a second process may come."""
    end()
    return PlatformExtension(node, system, folder if node.config.listen_fd is not None else None)
