"""The first module of a process: imports the rest of the program, retrying system calls that fail temporarily.

It imports only modules built into the interpreter, so that no file is read before its own retries are active.
`ResilientFinder` then finds and reads modules: each call that fails with a temporary error is retried, so that no
module is ever partly imported. `deploy/balancer.toml` reads and executes this file directly and calls `main`.

No `from __future__ import annotations` here: that import reads a file.
"""

import _frozen_importlib_external as machinery
import _imp
import _signal  # type: ignore[import-not-found]
import errno
import posix
import sys
import time

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from importlib.machinery import ModuleSpec
    from types import ModuleType
    from typing import NoReturn, TypeVar

    T = TypeVar("T")

PACKAGE = "lanemux"
# Errors that a retry can't fix.
PERMANENT_ERRNOS = frozenset(
    {
        errno.ENOENT,
        errno.ENOTDIR,
        errno.EISDIR,
        errno.EACCES,
        errno.EPERM,
        errno.ELOOP,
        errno.ENAMETOOLONG,
        errno.EINVAL,
    }
)
RETRY_PAUSE_S = 0.02  # between two attempts
RETRY_PERIOD_S = 20.0  # from the loading of this module; after that a failing call is not retried
LIBRARY_LOAD_ATTEMPTS = 100  # for a shared object: its load errors do not show whether they are temporary
READ_CHUNK_BYTES = 256 * 1024
BLOCKED_SIGNALS = (_signal.SIGHUP, _signal.SIGINT, _signal.SIGTERM)
TERMINATION_SIGNALS = {_signal.SIGINT, _signal.SIGTERM}
OTHER_FLAGS = ("--help",)
INHERITED_VARIABLE = b"RELAY_LISTEN_FD"  # if set, another version may be serving from this listener
# Modules of the cryptography library, which takes 4.6 MB of memory. asyncio does without; nothing here uses it.
CRYPTOGRAPHY_MODULES = ("_ssl", "_hashlib")
TEMPORARY_FAILURE_STATUS = 75  # EX_TEMPFAIL of sysexits.h: system errors prevented loading the program

_started_s = time.monotonic()


class Interrupted(BaseException):
    """A termination signal arrived before the program was loaded. A BaseException, so that no module swallows it."""


def _pause_before_retry() -> None:
    """Sleep before the next attempt. Raises Interrupted if a termination signal is pending."""
    if not _signal.sigpending().isdisjoint(TERMINATION_SIGNALS):
        raise Interrupted
    time.sleep(RETRY_PAUSE_S)


def _may_retry() -> bool:
    """Whether the retry period of the start is still running."""
    return time.monotonic() < _started_s + RETRY_PERIOD_S


def call_with_retries(call: "Callable[[str], T]", path: str) -> "T":
    """Return `call(path)`, retrying temporary errors. Raises OSError if it is permanent or the retry period is over."""
    while True:
        try:
            return call(path)
        except OSError as error:
            if error.errno in PERMANENT_ERRNOS or not _may_retry():
                raise
        _pause_before_retry()


def read_file(path: str) -> bytes:
    """Return the contents of a file."""
    descriptor = posix.open(path, posix.O_RDONLY | posix.O_CLOEXEC)
    pieces = []
    try:
        while piece := posix.read(descriptor, READ_CHUNK_BYTES):
            pieces.append(piece)
    finally:
        close_descriptor(descriptor)
    return b"".join(pieces)


def close_descriptor(descriptor: int) -> None:
    """Close a descriptor, only once: it is closed even if `close` reports an error (close(2))."""
    try:
        posix.close(descriptor)
    except OSError:
        pass


class ResilientSourceLoader(machinery.SourceFileLoader):
    """Loads a module from its source or bytecode, with retries."""

    def get_data(self, path: str) -> bytes:
        return call_with_retries(read_file, path)

    def path_stats(self, path: str) -> dict[str, float]:
        found = call_with_retries(posix.stat, path)
        return {"mtime": found.st_mtime, "size": found.st_size}


class ResilientExtensionLoader(machinery.ExtensionFileLoader):
    """Loads a module from a shared object, with retries."""

    def create_module(self, spec: "ModuleSpec") -> "ModuleType":
        for _ in range(LIBRARY_LOAD_ATTEMPTS):
            try:
                return super().create_module(spec)
            except (ImportError, OSError):
                if not _may_retry():
                    break
            _pause_before_retry()
        return super().create_module(spec)


class ResilientFinder:
    """Finds modules in directory listings that are read once and cached.

    A failing `stat` can therefore neither hide a module nor turn a package into a namespace package without its
    `__init__.py`. Modules not found here are left to the interpreter's own finder."""

    def __init__(self) -> None:
        self._listings: dict[str, frozenset[str]] = {}
        self._extensions: Sequence[str] = _imp.extension_suffixes()

    def find_spec(self, name: str, path: "Sequence[str] | None" = None, target: object = None) -> "ModuleSpec | None":
        """Return the spec of a module, or None if it is not in these folders."""
        stem = name.rpartition(".")[2]
        for folder in sys.path if path is None else path:
            if (spec := self._find_in_folder(name, stem, folder or ".")) is not None:
                return spec
        return None

    def _find_in_folder(self, name: str, stem: str, folder: str) -> "ModuleSpec | None":
        names, path = self._listing(folder), f"{folder}/{stem}"
        if stem in names and "__init__.py" in self._listing(path):
            loader = ResilientSourceLoader(name, f"{path}/__init__.py")
            return machinery.spec_from_file_location(
                name, loader.path, loader=loader, submodule_search_locations=[path]
            )
        for suffix in self._extensions:
            if stem + suffix in names:
                library = ResilientExtensionLoader(name, path + suffix)
                return machinery.spec_from_file_location(name, library.path, loader=library)
        if f"{stem}.py" in names:
            source = ResilientSourceLoader(name, f"{path}.py")
            return machinery.spec_from_file_location(name, source.path, loader=source)
        return None

    def _listing(self, folder: str) -> frozenset[str]:
        """Return the names in a folder; empty if it is not a folder or can't be read."""
        known = self._listings.get(folder)
        if known is None:
            try:
                known = frozenset(call_with_retries(posix.listdir, folder))
            except OSError:
                known = frozenset()
            self._listings[folder] = known
        return known

    def invalidate_caches(self) -> None:
        """Forget the listings, so that the folders are read again."""
        self._listings.clear()


def install_finder() -> None:
    """Put the finder with retries before the interpreter's own path finder."""
    finder = ResilientFinder()
    for index, existing in enumerate(sys.meta_path):
        if existing is machinery.PathFinder:
            sys.meta_path.insert(index, finder)
            return
    sys.meta_path.append(finder)


def add_site_packages() -> None:
    """Add the virtual environment's site-packages to the path if the interpreter was started without `site`."""
    if sys.flags.no_site:
        version = "python{}.{}".format(*sys.version_info)
        environment = sys.executable.rpartition("/bin/")[0]
        sys.path.append(f"{environment}/lib/{version}/site-packages")


def _import_without_cryptography() -> None:
    """Import asyncio and hashlib without the cryptography library; later imports may load it."""
    hidden = [name for name in CRYPTOGRAPHY_MODULES if name not in sys.modules]
    sys.modules.update(dict.fromkeys(hidden))  # type: ignore[arg-type]  # None: an import fails with ImportError
    try:
        import asyncio  # noqa: F401
        import hashlib  # noqa: F401
    finally:
        for name in hidden:
            del sys.modules[name]


def _unload_program() -> None:
    """Remove the program's modules, also partly imported ones, from `sys.modules`; the standard library's stay."""
    for name in list(sys.modules):
        if name == PACKAGE or (name.startswith(PACKAGE + ".") and name != __name__):
            del sys.modules[name]


def _starts_balancer(arguments: "Sequence[str]") -> bool:
    """Whether these arguments start a balancer."""
    return not arguments or arguments[0] == "serve" or arguments[0] not in OTHER_FLAGS and arguments[0].startswith("--")


def _load_command_line(arguments: "Sequence[str]") -> "Callable[[Sequence[str]], int]":
    """Import the command line and what its command needs to start, retrying failures during the retry period."""
    while True:
        try:
            _import_without_cryptography()
            from lanemux.cli import main, preload

            preload(arguments)
            return main
        except Exception:
            if not _may_retry():
                raise
        _pause_before_retry()
        _unload_program()


def _load_and_run(arguments: "Sequence[str]") -> int:
    """Load the program, run its command line and return the exit status."""
    try:
        command = _load_command_line(arguments)
    except Interrupted:
        return 0
    except Exception as error:
        write_error_line(f"{PACKAGE}: the program can't be loaded: {type(error).__name__}: {error}")
        return TEMPORARY_FAILURE_STATUS
    return command(arguments)


def _load_and_run_paced(arguments: "Sequence[str]") -> int:
    """As `_load_and_run`, paced: another version may be serving, and its clients take precedence."""
    from lanemux.takeover.pace import start_pacing, stop_pacing

    start_pacing()
    try:
        return _load_and_run(arguments)
    finally:
        stop_pacing()  # a start that fails may not have stopped it


def write_error_line(line: str) -> None:
    """Write a line to standard error, ignoring write errors."""
    try:
        posix.write(2, line.encode() + b"\n")
    except OSError:
        pass


def _run_balancer(arguments: "Sequence[str]") -> "NoReturn":
    """Run one balancer, losing no signal that arrives while it loads and ignoring errors after it has ended."""
    _signal.pthread_sigmask(_signal.SIG_BLOCK, BLOCKED_SIGNALS)
    sys.dont_write_bytecode = True
    try:
        status = (_load_and_run_paced if posix.environ.get(INHERITED_VARIABLE) else _load_and_run)(arguments)
    except Interrupted:
        status = 0
    posix._exit(status)


def main() -> "NoReturn":
    """Run the command line of this process and exit."""
    add_site_packages()
    install_finder()
    arguments = sys.argv[1:]
    if _starts_balancer(arguments):
        _run_balancer(arguments)
    sys.exit(_load_and_run(arguments))
