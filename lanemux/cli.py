"""The command line. Each command's code is imported only when that command is run.

    python -m lanemux [serve] [--operators FILE]          run one balancer, configured by RELAY_CONFIG
    python -m lanemux check [--operators FILE] [CONFIG]   validate the files as the daemon does; start nothing
    python -m lanemux fleet show ADDRESS [--json]         fleet members as seen by the balancer at this admin address
    python -m lanemux rehearse ...                        rehearse a day of service on the local loopback
    python -m lanemux soak ...                            inject failing system calls, restarts and signals from seeds
    python -m lanemux simulate ...                        run the real code on a virtual clock, faults from seeds

Exit status 2 means invalid usage or an unusable file; each fault is one line on standard error.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse

    from lanemux.core.source import SourceFactory
    from lanemux.core.system import System
    from lanemux.net.config import Config
    from lanemux.net.daemon import Extension, MakeModule
    from lanemux.net.node import MakeConnectionAdmission, Node
    from lanemux.operators import OperatorsFile

USAGE_STATUS = 2
OPERATORS_VARIABLE = "LANEMUX_OPERATORS"
COMMANDS = ("serve", "check", "fleet", "rehearse", "soak", "simulate")


def main(argv: Sequence[str]) -> int:
    """Run one command and return its exit status."""
    if not argv and not os.environ.get(OPERATORS_VARIABLE):
        return _run_platform_daemon()  # how the platform starts it; imports no optional code
    command, arguments = (argv[0], argv[1:]) if argv and not argv[0].startswith("--") else ("serve", argv)
    if argv[:1] in (["--help"], ["-h"]):
        print(__doc__)
        return 0
    if command == "serve":
        return _serve(arguments)
    if command == "check":
        return _check(arguments)
    if command == "fleet":
        from lanemux.fleet.command import main as fleet

        return fleet(arguments)
    if command == "rehearse":
        from lanemux.rehearsal.command import main as rehearse

        return rehearse(arguments)
    if command == "soak":
        from lanemux.rehearsal.soak.command import main as soak

        return soak(arguments)
    if command == "simulate":
        from lanemux.virtual.command import main as simulate

        return simulate(arguments)
    print(f"lanemux: unknown command {command!r}; available: {', '.join(COMMANDS)}", file=sys.stderr)
    return USAGE_STATUS


def preload(argv: Sequence[str]) -> None:
    """Import what a balancer needs to start, if these arguments start one."""
    if not argv or argv[0] == "serve" or argv[0].startswith("--") and argv[0] != "--help":
        import lanemux.net.daemon  # noqa: F401


def _run_platform_daemon() -> int:
    """Run one balancer as the platform starts it, without an operators' file."""
    from lanemux.net.daemon import main as daemon

    return daemon(extend=_platform_extension)


def _platform_extension(node: Node, system: System) -> Extension:
    """Return the admin address and cordon exchange between versions, as far as the platform configures them."""
    from lanemux.admin.extension import make

    return make(node, system, os.environ.get("TMPDIR"))


def _list_source(operators: OperatorsFile) -> SourceFactory | None:
    """Return the upstream list's source that the operators' file configures; None: platform discovery."""
    etcd = operators.etcd
    if etcd is None:
        return None
    from lanemux.core.address import read_address
    from lanemux.etcd.member import Target
    from lanemux.etcd.source import EtcdSourceFactory

    return EtcdSourceFactory(
        Target(tuple(map(read_address, etcd.endpoints)), etcd.prefix, etcd.user, etcd.password_file)
    )


def _decision_factories(operators: OperatorsFile) -> tuple[MakeModule, MakeConnectionAdmission | None]:
    """Return the factories of the decision module and of connection admission, with or without [storm]."""
    from lanemux.policy import Balancer

    if operators.storm is None:
        return Balancer, None
    from lanemux.storm.setup import make

    return make(operators.storm)


def _plugin_adder(operators: OperatorsFile) -> Callable[[Node], None]:
    """Return the function that adds plugins to the node, with or without [fleet]."""
    if operators.fleet is None:
        return lambda node: None
    from functools import partial

    from lanemux.fleet.setup import add_membership

    return partial(add_membership, fleet=operators.fleet, is_alone=_is_alone)


def _is_alone(config: Config) -> Callable[[], bool]:
    """Return the function that tells whether no other process of this balancer runs."""
    folder = os.environ.get("TMPDIR")
    if config.listen_fd is None or folder is None:
        return lambda: True  # its addresses are its own
    from lanemux.takeover import SHARED_FOLDER
    from lanemux.takeover.process_lock import ProcessLock

    return ProcessLock(f"{folder}/{SHARED_FOLDER}").acquire


def _serve(arguments: Sequence[str]) -> int:
    """Run one balancer, with the options of `serve`."""
    import logging

    from lanemux.net.daemon import main
    from lanemux.net.reload import ListSourceSetting
    from lanemux.net.startup import Interrupted
    from lanemux.operators import load
    from lanemux.validation import ValidationError

    options = _parse_options("serve", arguments)

    def read() -> SourceFactory | None:
        operators = load(options.operators)
        for name in ("storm", "fleet", "log"):
            if getattr(operators, name) != getattr(initial, name):
                logging.getLogger(__name__).warning("reload: the change of [%s] needs a restart", name)
        return _list_source(operators)

    try:
        initial = _load_with_retries(options.operators)
        lists = ListSourceSetting(read)
    except ValidationError as error:
        return _report_faults(error.faults)
    except Interrupted:
        return 0
    if mismatches := _config_mismatches(initial, options.operators, os.environ.get("RELAY_CONFIG")):
        return _report_faults(mismatches)
    return main(lists, *_decision_factories(initial), _platform_extension, initial.log.level, _plugin_adder(initial))


def _load_with_retries(path: str | None) -> OperatorsFile:
    """Load the operators' file, retrying temporary read errors. Raises ValidationError if the file is unusable."""
    from lanemux.core.failures import TransientError
    from lanemux.core.system import Machine
    from lanemux.net.startup import wait_for
    from lanemux.operators import load
    from lanemux.validation import ValidationError

    def read_once() -> OperatorsFile:
        try:
            return load(path)
        except ValidationError as error:
            if error.temporary:
                raise TransientError(str(error)) from None
            raise

    return wait_for("operators' file", read_once, Machine())


def _config_mismatches(operators: OperatorsFile, operators_path: str | None, config_path: str | None) -> list[str]:
    """Return one line for each setting of the operators' file that contradicts the configuration."""
    if operators.fleet is None or not config_path:
        return []
    from lanemux.fleet.setup import config_errors
    from lanemux.net.config import BadConfig, read_config

    try:
        return [f"{operators_path}: {fault}" for fault in config_errors(operators.fleet, read_config(config_path))]
    except BadConfig:
        return []


def _check(arguments: Sequence[str]) -> int:
    """Validate the configuration and the operators' file; the exit status is 2 if either has a fault."""
    from lanemux.net.config import BadConfig, read_config
    from lanemux.operators import load
    from lanemux.validation import ValidationError

    options = _parse_options("check", arguments)
    faults: list[str] = []
    config_path = options.config or os.environ.get("RELAY_CONFIG")
    try:
        faults += _config_mismatches(load(options.operators), options.operators, config_path)
    except ValidationError as error:
        faults += error.faults
    try:
        if config_path:
            read_config(config_path)
    except BadConfig as error:
        faults.append(str(error))
    if not config_path and not options.operators:
        faults.append("nothing to check: name a CONFIG or --operators FILE")
    return _report_faults(faults)


def _parse_options(command: str, arguments: Sequence[str]) -> argparse.Namespace:
    """Parse the options of `serve` and `check`; an unknown option exits the process with status 2."""
    import argparse

    parser = argparse.ArgumentParser(f"lanemux {command}", allow_abbrev=False)
    parser.add_argument("--operators", metavar="FILE", default=os.environ.get(OPERATORS_VARIABLE))
    if command == "check":
        parser.add_argument("config", nargs="?", metavar="CONFIG")
    return parser.parse_args(arguments)


def _report_faults(faults: Sequence[str]) -> int:
    """Print each fault to standard error and return the exit status."""
    for fault in faults:
        print(f"lanemux: {fault}", file=sys.stderr)
    return USAGE_STATUS if faults else 0
