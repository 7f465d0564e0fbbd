"""One real balancer: reads its configuration, runs the node, ends on a signal.

    RELAY_CONFIG=config.json python -m lanemux
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
import time
from typing import Any

from lanemux.drill import read_settings
from lanemux.net.discovery import BadList, read_address
from lanemux.net.http import read_json
from lanemux.net.node import Config, Node
from lanemux.policy import Balancer

log = logging.getLogger(__name__)

LINES_A_SECOND = 20


class BadConfig(Exception):
    """The configuration is missing or can't be used."""


class RateLimit(logging.Filter):
    """Lets so many log lines a second through, and says how many it kept back."""

    def __init__(self) -> None:
        super().__init__()
        self._second = self._lines = self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            if self._dropped:
                record.msg, record.args = f"{record.getMessage()} ({self._dropped} lines left out)", ()
            self._second, self._lines, self._dropped = second, 0, 0
        self._lines += 1
        self._dropped += self._lines > LINES_A_SECOND
        return self._lines <= LINES_A_SECOND


def read_config(path: str) -> Config:
    try:
        with open(path, encoding="utf-8") as file:
            return _config(read_json(file.read()))
    except OSError as error:
        raise BadConfig(f"{path}: {error.strerror}") from None
    except KeyError as error:
        raise BadConfig(f"{path}: {error} is missing") from None
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise BadConfig(f"{path}: {error}") from None


def _config(raw: Any) -> Config:
    peer_listen, peers_all = raw.get("peer_listen"), raw.get("peers_all")
    return Config(
        name=str(raw["name"]), listen=read_address(raw["listen"]), discovery=read_address(raw["discovery"]),
        seed=int.from_bytes(str(raw["seed"]).encode(), "big"),
        sockets=int((raw.get("limits") or {}).get("sockets") or 1024),
        settings=read_settings(raw["settings"]), known=raw.get("known"),
        peer_listen=read_address(peer_listen) if peer_listen else None,
        peers=[read_address(a) for a in raw.get("peers") or ()],
        peers_all=read_address(peers_all) if peers_all else None)


def reload(path: str, old: Config, node: Node) -> None:
    """Take up a new configuration as far as that goes without a start; a bad one changes nothing."""
    try:
        new = read_config(path)
    except BadConfig as error:
        log.warning("%s: reload: %s; the old configuration stays", old.name, error)
        return
    log.info("%s: reload: discovery at %s:%d", old.name, *new.discovery)
    for name in ("name", "listen", "sockets", "settings", "peer_listen", "peers", "peers_all"):
        if getattr(new, name) != getattr(old, name):
            log.warning("%s: reload: another %s needs a restart", old.name, name)
    node.move_discovery(new.discovery)


async def serve(config: Config, path: str) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = Node(config, Balancer(config.settings, config.seed, time.monotonic_ns()))
    loop.add_signal_handler(signal.SIGHUP, reload, path, config, node)
    port = await node.start()
    log.info("%s: ready on port %d", config.name, port)
    await stop.wait()
    log.info("%s: stopping", config.name)
    await node.drain()


def main() -> int:
    handler = logging.StreamHandler()
    handler.addFilter(RateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler],
                        format="%(asctime)s %(levelname)s %(message)s")
    path = os.environ.get("RELAY_CONFIG")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # so that it ends nothing before there is a node to reload
    try:
        if not path:
            raise BadConfig("RELAY_CONFIG is not set")
        config = read_config(path)
    except BadConfig as error:
        print(f"lanemux: {error}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(config, path))
    except BadList as error:
        print(f"lanemux: {path}: known: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"lanemux: {config.name}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
