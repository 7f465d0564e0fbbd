"""The first module of a process: it brings in the rest, also where calls of the machine fail for a moment.

It imports nothing but what is built into the interpreter, so that no file is read before its own retries are in force.
`ResilientFinder` then finds and reads modules: each call that fails in a way that passes is made again, so that no
module is ever imported in part. `deploy/balancer.toml` reads this file by itself and calls `main`.

No `from __future__ import annotations` here: that reads a file.
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
# Another try would fail the same way.
LASTING = frozenset(
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
PAUSE_S = 0.02  # between two tries
PATIENCE_S = 20.0  # since this module was loaded: after that a failing call is not made again
LIBRARY_TRIES = 100  # of loading a shared object, whose failures do not tell whether they pass
READ_BYTES = 256 * 1024
HELD_SIGNALS = (_signal.SIGHUP, _signal.SIGINT, _signal.SIGTERM)
END_SIGNALS = {_signal.SIGINT, _signal.SIGTERM}
OTHER_WORDS = ("--help",)
INHERITED_VARIABLE = b"RELAY_LISTEN_FD"  # another version may be serving from this socket
TEMPORARY_FAILURE_STATUS = 75  # EX_TEMPFAIL of sysexits.h: the machine did not let the program be loaded

_started_s = time.monotonic()


class Interrupted(BaseException):
    """A signal asks the process to end before the program was there. Not an Exception: modules must not swallow it."""


def _pause() -> None:
    """Wait for the next try. Raises Interrupted."""
    if not _signal.sigpending().isdisjoint(END_SIGNALS):
        raise Interrupted
    time.sleep(PAUSE_S)


def _patient() -> bool:
    return time.monotonic() < _started_s + PATIENCE_S


def retried(call: "Callable[[str], T]", path: str) -> "T":
    """What `call` gives for a path. An OSError is raised if it lasts, or once the patience of the start is over."""
    while True:
        try:
            return call(path)
        except OSError as error:
            if error.errno in LASTING or not _patient():
                raise
        _pause()


def read_file(path: str) -> bytes:
    """A whole file."""
    descriptor = posix.open(path, posix.O_RDONLY | posix.O_CLOEXEC)
    pieces = []
    try:
        while piece := posix.read(descriptor, READ_BYTES):
            pieces.append(piece)
    finally:
        close_descriptor(descriptor)
    return b"".join(pieces)


def close_descriptor(descriptor: int) -> None:
    """Close it, once: it is closed also where `close` fails (close(2))."""
    try:
        posix.close(descriptor)
    except OSError:
        pass


class ResilientSourceLoader(machinery.SourceFileLoader):
    """Loads a module from its source or bytecode."""

    def get_data(self, path: str) -> bytes:
        return retried(read_file, path)

    def path_stats(self, path: str) -> dict[str, float]:
        found = retried(posix.stat, path)
        return {"mtime": found.st_mtime, "size": found.st_size}


class ResilientExtensionLoader(machinery.ExtensionFileLoader):
    """Loads a module from a shared object."""

    def create_module(self, spec: "ModuleSpec") -> "ModuleType":
        for _ in range(LIBRARY_TRIES):
            try:
                return super().create_module(spec)
            except (ImportError, OSError):
                if not _patient():
                    break
            _pause()
        return super().create_module(spec)


class ResilientFinder:
    """Finds modules by what their folders list, read once: a `stat` that fails can't hide a module, or make a package
    without its `__init__.py` of a whole one. What it does not find is left to the interpreter's own finder."""

    def __init__(self) -> None:
        self._listings: dict[str, frozenset[str]] = {}
        self._extensions: Sequence[str] = _imp.extension_suffixes()

    def find_spec(self, name: str, path: "Sequence[str] | None" = None, target: object = None) -> "ModuleSpec | None":
        """Where a module is; None: not in these folders."""
        stem = name.rpartition(".")[2]
        for folder in sys.path if path is None else path:
            if (spec := self._look(name, stem, folder or ".")) is not None:
                return spec
        return None

    def _look(self, name: str, stem: str, folder: str) -> "ModuleSpec | None":
        names, place = self._listing(folder), f"{folder}/{stem}"
        if stem in names and "__init__.py" in self._listing(place):
            loader = ResilientSourceLoader(name, f"{place}/__init__.py")
            return machinery.spec_from_file_location(
                name, loader.path, loader=loader, submodule_search_locations=[place]
            )
        for suffix in self._extensions:
            if stem + suffix in names:
                library = ResilientExtensionLoader(name, place + suffix)
                return machinery.spec_from_file_location(name, library.path, loader=library)
        if f"{stem}.py" in names:
            source = ResilientSourceLoader(name, f"{place}.py")
            return machinery.spec_from_file_location(name, source.path, loader=source)
        return None

    def _listing(self, folder: str) -> frozenset[str]:
        """The names in a folder; none where it is no folder, or may not be read."""
        known = self._listings.get(folder)
        if known is None:
            try:
                known = frozenset(retried(posix.listdir, folder))
            except OSError:
                known = frozenset()
            self._listings[folder] = known
        return known

    def invalidate_caches(self) -> None:
        """Look at the folders again."""
        self._listings.clear()


def install() -> None:
    """From now on modules are found and read with retries, the interpreter's own finder behind."""
    finder = ResilientFinder()
    for place, other in enumerate(sys.meta_path):
        if other is machinery.PathFinder:
            sys.meta_path.insert(place, finder)
            return
    sys.meta_path.append(finder)


def add_libraries() -> None:
    """Make the virtual environment's libraries importable, where the interpreter was started without `site`."""
    if sys.flags.no_site:
        version = "python{}.{}".format(*sys.version_info)
        environment = sys.executable.rpartition("/bin/")[0]
        sys.path.append(f"{environment}/lib/{version}/site-packages")


def _forget_program() -> None:
    """Drop what was imported of the program, in part or whole; the standard library's modules stay."""
    for name in list(sys.modules):
        if name == PACKAGE or (name.startswith(PACKAGE + ".") and name != __name__):
            del sys.modules[name]


def _serves(arguments: "Sequence[str]") -> bool:
    """Do these start a balancer?"""
    return not arguments or arguments[0] == "serve" or arguments[0] not in OTHER_WORDS and arguments[0].startswith("--")


def _load(arguments: "Sequence[str]") -> "Callable[[Sequence[str]], int]":
    """The command line, with all that its command needs to start. What fails is tried again until patience is over."""
    while True:
        try:
            from lanemux.cli import main, preload

            preload(arguments)
            return main
        except Exception:
            if not _patient():
                raise
        _pause()
        _forget_program()


def _run(arguments: "Sequence[str]") -> int:
    """Load the program and run its command line; gives the exit status."""
    try:
        command = _load(arguments)
    except Interrupted:
        return 0
    except Exception as error:
        say(f"{PACKAGE}: the program can't be loaded: {type(error).__name__}: {error}")
        return TEMPORARY_FAILURE_STATUS
    return command(arguments)


def _run_paced(arguments: "Sequence[str]") -> int:
    """The same beside another version that may be serving: its clients come first."""
    from lanemux.takeover.pace import begin, end

    begin()
    try:
        return _run(arguments)
    finally:
        end()  # a start may fail before it has ended


def say(line: str) -> None:
    """A line on standard error, if it can be had."""
    try:
        posix.write(2, line.encode() + b"\n")
    except OSError:
        pass


def _serve(arguments: "Sequence[str]") -> "NoReturn":
    """Be one balancer: no signal is lost while it is loaded, and nothing that fails after it has ended counts."""
    _signal.pthread_sigmask(_signal.SIG_BLOCK, HELD_SIGNALS)
    sys.dont_write_bytecode = True
    try:
        status = (_run_paced if posix.environ.get(INHERITED_VARIABLE) else _run)(arguments)
    except Interrupted:
        status = 0
    posix._exit(status)


def main() -> "NoReturn":
    """Run the process's command line, and end it."""
    add_libraries()
    install()
    arguments = sys.argv[1:]
    if _serves(arguments):
        _serve(arguments)
    sys.exit(_run(arguments))
