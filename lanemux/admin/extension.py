"""Features of a node that the platform's admin address and inherited listener enable."""

from __future__ import annotations

import logging

from lanemux.admin.server import AdminServer
from lanemux.core.clock import now_ns
from lanemux.core.system import System
from lanemux.net.node import Node
from lanemux.takeover import SHARED_FOLDER
from lanemux.takeover.cordon_sync import CordonSync
from lanemux.takeover.pace import stop_pacing
from lanemux.takeover.shared_ids import SharedIds, share_ids

log = logging.getLogger(__name__)


class PlatformExtension:
    """The admin server, and what two processes of one balancer share: cordons, and the ids of requests."""

    def __init__(self, node: Node, system: System, folder: str | None) -> None:
        """`folder`: shared by two processes of this balancer; None: there is none."""
        self._node, self._system, self._folder = node, system, folder
        self._admin = AdminServer(node, system) if node.config.admin is not None else None
        self._cordon_sync = (
            CordonSync(system, f"{folder}/{SHARED_FOLDER}", node.upstream_set.apply_cordon)
            if folder is not None
            else None
        )
        self._shared_ids: SharedIds | None = None

    def start(self) -> None:
        """Start before the node reads its upstream list, so that cordons apply from the first decision on."""
        if self._cordon_sync is not None:
            self._share_ids()
            self._cordon_sync.open()
            self._node.upstream_set.persist_cordon = self._cordon_sync.publish
        if self._admin is not None:
            try:
                self._open_admin()
            except OSError:
                self._node.background.start("operators' address", self._open_admin_later)

    def _share_ids(self) -> None:
        """Share the ids of requests that may have run with the other process."""
        node = self._node
        self._shared_ids = share_ids(
            node.claimed_ids, self._system, f"{self._folder}/{SHARED_FOLDER}", now_ns, node.tally
        )
        if self._shared_ids is not None:
            node.claimed_ids = self._shared_ids

    def _open_admin(self) -> None:
        assert self._admin is not None and self._node.config.admin is not None
        port = self._admin.open(self._node.config.admin)
        log.info("%s: operators' port %d", self._node.config.name, port)

    async def _open_admin_later(self) -> None:
        self._open_admin()

    def close(self) -> None:
        """Close the admin server and stop exchanging cordons."""
        if self._admin is not None:
            self._admin.close()
        if self._cordon_sync is not None:
            self._cordon_sync.close()
        if self._shared_ids is not None:
            self._shared_ids.close()


def make(node: Node, system: System, folder: str | None) -> PlatformExtension:
    """Build what this node's configuration asks for. Cordons are shared only if a second process may follow."""
    stop_pacing()
    return PlatformExtension(node, system, folder if node.config.listen_fd is not None else None)
