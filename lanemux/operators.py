"""The operators' own file (TOML): what this installation switches on beyond the platform.

Named by `--operators FILE` or the variable LANEMUX_OPERATORS. Without it everything in it is off.
`deploy/operators.toml` shows every key with its unit and default.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from lanemux.checked import Faulty, build, parse

MAX_FILE = 1024 * 1024  # bytes; a file by hand has some KiB, and a larger one is the wrong file


@dataclass(frozen=True, slots=True)
class Rehearsal:
    """[rehearsal]: the kit at the operators' desks; the daemon itself does not read it."""

    scenarios_directory: str = ""  # `rehearse NAME` looks for NAME.toml here first; "": nowhere


@dataclass(frozen=True, slots=True)
class Operators:
    """The whole file; an absent section is off."""

    rehearsal: Rehearsal = field(default_factory=Rehearsal)


def load(path: str | None) -> Operators:
    """The file, read and checked whole; with no path, everything off.

    Raises Faulty with one line for each fault: file, key and what is allowed."""
    if not path:
        return Operators()
    return build(Operators, parse(read_text(Path(path)), path), path)


def read_text(path: Path) -> str:
    """A configuration file's text; Faulty where it can't be read, isn't UTF-8 or is absurdly large."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE + 1)
        if len(data) > MAX_FILE:
            raise Faulty([f"{path}: over {MAX_FILE} bytes"])
        return data.decode()
    except OSError as error:
        raise Faulty([f"{path}: {error.strerror}"]) from None
    except UnicodeDecodeError:
        raise Faulty([f"{path}: not UTF-8"]) from None
