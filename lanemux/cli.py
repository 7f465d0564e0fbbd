"""The command line. Each command's code is imported only when it is asked for.

    python -m lanemux [serve] [--operators FILE]          one balancer, from RELAY_CONFIG
    python -m lanemux check [--operators FILE] [CONFIG]   read the files as the daemon would; open nothing
    python -m lanemux fleet show ADDRESS [--json]         who is there, as the balancer of that second address sees it
    python -m lanemux rehearse ...                        a day of service on this machine's loopback
    python -m lanemux soak ...                            seeds of failing system calls, restarts and signals
    python -m lanemux simulate ...                        the real code on a virtual clock, faults from seeds

Exit status 2 means bad use or a file that can't be used, with one line for each fault on standard error.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse

    from lanemux.core.source import MakeSource
    from lanemux.core.system import System
    from lanemux.net.daemon import Extension, MakeModule
    from lanemux.net.node import MakeConnectionAdmission, Node
    from lanemux.operators import Operators

USAGE_STATUS = 2
OPERATORS_VARIABLE = "LANEMUX_OPERATORS"
COMMANDS = ("serve", "check", "fleet", "rehearse", "soak", "simulate")


def main(argv: Sequence[str]) -> int:
    """Run one command and give its exit status."""
    if not argv and not os.environ.get(OPERATORS_VARIABLE):
        return _daemon()  # as the platform starts it: nothing else is imported
    command, rest = (argv[0], argv[1:]) if argv and not argv[0].startswith("--") else ("serve", argv)
    if argv[:1] in (["--help"], ["-h"]):
        print(__doc__)
        return 0
    if command == "serve":
        return _serve(rest)
    if command == "check":
        return _check(rest)
    if command == "fleet":
        from lanemux.fleet.command import main as fleet

        return fleet(rest)
    if command == "rehearse":
        from lanemux.rehearsal.command import main as rehearse

        return rehearse(rest)
    if command == "soak":
        from lanemux.rehearsal.soak.command import main as soak

        return soak(rest)
    if command == "simulate":
        from lanemux.virtual.command import main as simulate

        return simulate(rest)
    print(f"lanemux: no command {command!r}; there are {', '.join(COMMANDS)}", file=sys.stderr)
    return USAGE_STATUS


def preload(argv: Sequence[str]) -> None:
    """Import what a balancer needs to start, where these arguments start one."""
    if not argv or argv[0] == "serve" or argv[0].startswith("--") and argv[0] != "--help":
        import lanemux.net.daemon  # noqa: F401


def _daemon() -> int:
    from lanemux.net.daemon import main as daemon

    return daemon(extend=_extend)


def _extend(node: Node, system: System) -> Extension:
    """The operators' address, and what goes from version to version, where the platform tells of them."""
    from lanemux.admin.extension import make

    return make(node, system, os.environ.get("TMPDIR"))


def _source(operators: Operators) -> MakeSource | None:
    """Where the list comes from, as the operators' file says; None: platform discovery."""
    told = operators.etcd
    if told is None:
        return None
    from lanemux.core.address import read_address
    from lanemux.etcd.member import Target
    from lanemux.etcd.source import EtcdSourceFactory

    return EtcdSourceFactory(
        Target(tuple(map(read_address, told.endpoints)), told.prefix, told.user, told.password_file)
    )


def _storm(operators: Operators) -> tuple[MakeModule, MakeConnectionAdmission | None]:
    """What decides, and who lets connections in, with [storm] or without."""
    from lanemux.policy import Balancer

    if operators.storm is None:
        return Balancer, None
    from lanemux.storm.setup import make

    return make(operators.storm)


def _fleet(operators: Operators) -> Callable[[Node], None]:
    """What adds plugins to the node, with [fleet] or without."""
    if operators.fleet is None:
        return lambda node: None
    from functools import partial

    from lanemux.fleet.setup import add_membership

    return partial(add_membership, fleet=operators.fleet)


def _serve(rest: Sequence[str]) -> int:
    import logging

    from lanemux.net.daemon import main
    from lanemux.net.reload import Lists
    from lanemux.net.startup import Interrupted
    from lanemux.operators import load
    from lanemux.validation import ValidationError

    options = _arguments("serve", rest)

    def read() -> MakeSource | None:
        told = load(options.operators)
        for name in ("storm", "fleet", "log"):
            if getattr(told, name) != getattr(first, name):
                logging.getLogger(__name__).warning("reload: another [%s] needs a restart", name)
        return _source(told)

    try:
        first = _load_when_readable(options.operators)
        lists = Lists(read)
    except ValidationError as error:
        return _faults(error.faults)
    except Interrupted:
        return 0
    if misfits := _misfits(first, options.operators, os.environ.get("RELAY_CONFIG")):
        return _faults(misfits)
    return main(lists, *_storm(first), _extend, first.log.level, _fleet(first))


def _load_when_readable(path: str | None) -> Operators:
    """The operators' file, once it can be read. ValidationError for one that can't be used."""
    from lanemux.core.failures import MomentaryError
    from lanemux.core.system import Machine
    from lanemux.net.startup import wait_for
    from lanemux.operators import load
    from lanemux.validation import ValidationError

    def attempt() -> Operators:
        try:
            return load(path)
        except ValidationError as error:
            if error.momentary:
                raise MomentaryError(str(error)) from None
            raise

    return wait_for("operators' file", attempt, Machine())


def _misfits(operators: Operators, file: str | None, path: str | None) -> list[str]:
    """What of the operators' file does not fit the configuration, a line each."""
    if operators.fleet is None or not path:
        return []
    from lanemux.fleet.setup import config_errors
    from lanemux.net.config import BadConfig, read_config

    try:
        return [f"{file}: {fault}" for fault in config_errors(operators.fleet, read_config(path))]
    except BadConfig:
        return []


def _check(rest: Sequence[str]) -> int:
    from lanemux.net.config import BadConfig, read_config
    from lanemux.operators import load
    from lanemux.validation import ValidationError

    options = _arguments("check", rest)
    faults: list[str] = []
    path = options.config or os.environ.get("RELAY_CONFIG")
    try:
        faults += _misfits(load(options.operators), options.operators, path)
    except ValidationError as error:
        faults += error.faults
    try:
        if path:
            read_config(path)
    except BadConfig as error:
        faults.append(str(error))
    if not path and not options.operators:
        faults.append("nothing to check: name a CONFIG or --operators FILE")
    return _faults(faults)


def _arguments(command: str, rest: Sequence[str]) -> argparse.Namespace:
    """The options of `serve` and `check`; ends the process with status 2 on any other."""
    import argparse

    parser = argparse.ArgumentParser(f"lanemux {command}", allow_abbrev=False)
    parser.add_argument("--operators", metavar="FILE", default=os.environ.get(OPERATORS_VARIABLE))
    if command == "check":
        parser.add_argument("config", nargs="?", metavar="CONFIG")
    return parser.parse_args(rest)


def _faults(faults: Sequence[str]) -> int:
    for fault in faults:
        print(f"lanemux: {fault}", file=sys.stderr)
    return USAGE_STATUS if faults else 0
