"""The operators' own file (TOML): what this installation switches on beyond the platform.

Named by `--operators FILE` or the variable LANEMUX_OPERATORS. Without it everything in it is off.
`deploy/operators.toml` shows every key with its unit and default.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from lanemux.core.address import BadAddress, read_address
from lanemux.validation import ValidationError, bounded, build, installed, parse

MAX_FILE = 1024 * 1024  # bytes; a file by hand has some KiB, and a larger one is the wrong file


@dataclass(frozen=True, slots=True)
class RehearsalSection:
    """[rehearsal]: the kit at the operators' desks; the daemon itself does not read it."""

    scenarios_directory: str = ""  # `rehearse NAME` looks for NAME.toml here first; "": nowhere


@dataclass(frozen=True, slots=True)
class EtcdSection:
    """[etcd]: the list comes from etcd and not from platform discovery. Needs the extra `etcd`."""

    endpoints: tuple[str, ...]  # IP:PORT of each member; names are not looked up
    prefix: str  # a box is the key PREFIX HOST
    user: str = ""  # "": no authentication
    password_file: str = ""  # read at each authentication

    def faults(self) -> list[str]:
        """What is wrong beyond the kinds of values: key and reason."""
        found = [] if self.endpoints else ["endpoints: [] is not a list of at least one IP:PORT"]
        for number, endpoint in enumerate(self.endpoints):
            try:
                read_address(endpoint)
            except BadAddress:
                found.append(f"endpoints[{number}]: {endpoint[:80]!r} is not IP:PORT (names are not looked up)")
        if not self.prefix or not self.prefix.isprintable():
            found.append(f"prefix: {self.prefix[:80]!r} is not printable text of at least one character")
        if bool(self.user) != bool(self.password_file):
            found.append("user, password_file: one without the other; give both or neither")
        elif self.password_file and not Path(self.password_file).is_file():
            found.append(f"password_file: {self.password_file[:80]!r} is not a file that can be read")
        if not (installed("grpclib") and installed("google.protobuf")):
            found.append("needs the extra `etcd`: pip install '.[etcd]'")
        return found


@dataclass(frozen=True, slots=True)
class StormSection:
    """[storm]: retry storms are noticed and softened. The section's presence switches it on."""

    longest_wait_ms: int = bounded(0, 600_000, 0)  # that Retry-After tells; 0: the platform's limit
    whole_seconds: bool = False  # Retry-After in whole seconds (RFC 9110), for ordinary clients
    source_part: float = bounded(0.01, 1, 0.5)  # of the places for connections, that one source may hold


COUNCILS = (0, 1, 3, 5, 7)  # an even one more adds a vote that is needed and none that can be missed


@dataclass(frozen=True, slots=True)
class FleetSection:
    """[fleet]: balancers tell one another who is there, in the peers' datagrams. Its presence switches it on."""

    council: tuple[int, ...] = ()  # numbers in `peers` of those who settle who leads; (): nobody leads
    lease_ms: int = bounded(500, 60_000, 3000)  # for so long one leads without asking again

    def faults(self) -> list[str]:
        """What is wrong beyond the kinds of values: key and reason."""
        seats = set(self.council)
        if len(self.council) in COUNCILS and len(seats) == len(self.council) and min(seats, default=0) >= 0:
            return []
        return [f"council: {list(self.council)[:8]} is not a list of 1, 3, 5 or 7 different numbers in `peers`"]


LEVELS = ("debug", "info", "warning")


@dataclass(frozen=True, slots=True)
class LogSection:
    """[log]: what the log holds. At "debug" also, once a second, why the decisions do what they do."""

    level: str = "info"

    def faults(self) -> list[str]:
        """What is wrong beyond the kinds of values: key and reason."""
        return [] if self.level in LEVELS else [f"level: {self.level[:80]!r} is none of {', '.join(LEVELS)}"]


@dataclass(frozen=True, slots=True)
class OperatorsFile:
    """The whole file; an absent section is off."""

    etcd: EtcdSection | None = None
    storm: StormSection | None = None
    fleet: FleetSection | None = None
    rehearsal: RehearsalSection = field(default_factory=RehearsalSection)
    log: LogSection = field(default_factory=LogSection)


def load(path: str | None) -> OperatorsFile:
    """The file, read and checked whole; with no path, everything off.

    Raises ValidationError with one line for each fault: file, key and what is allowed."""
    if not path:
        return OperatorsFile()
    made = build(OperatorsFile, parse(read_text(Path(path)), path), path)
    found = [f"{path}: log.{fault}" for fault in made.log.faults()]
    if made.fleet is not None:
        found += [f"{path}: fleet.{fault}" for fault in made.fleet.faults()]
    if made.etcd is not None:
        found += [f"{path}: etcd.{fault}" for fault in made.etcd.faults()]
    if found:
        raise ValidationError(found)
    return made


def read_text(path: Path) -> str:
    """A configuration file's text; ValidationError where it can't be read, isn't UTF-8 or is absurdly large."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE + 1)
        if len(data) > MAX_FILE:
            raise ValidationError([f"{path}: over {MAX_FILE} bytes"])
        return data.decode()
    except OSError as error:
        lasting = isinstance(error, FileNotFoundError | PermissionError | IsADirectoryError | NotADirectoryError)
        raise ValidationError([f"{path}: {error.strerror}"], momentary=not lasting) from None
    except UnicodeDecodeError:
        raise ValidationError([f"{path}: not UTF-8"]) from None
