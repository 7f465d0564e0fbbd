"""The operators' file (TOML): optional features of this installation beyond what the platform configures.

Its path is given by `--operators FILE` or the variable LANEMUX_OPERATORS. Without it every feature in it is off.
`deploy/operators.toml` shows every key with its unit and default.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from lanemux.core.address import BadAddress, read_address
from lanemux.validation import ValidationError, bounded, build, installed, parse

MAX_FILE_BYTES = 1024 * 1024  # a file written by hand has a few KiB; a larger one is the wrong file


@dataclass(frozen=True, slots=True)
class RehearsalSection:
    """[rehearsal]: settings of the `rehearse` command; the daemon does not use them."""

    scenarios_directory: str = ""  # `rehearse NAME` looks for NAME.toml here first; "": no directory


@dataclass(frozen=True, slots=True)
class EtcdSection:
    """[etcd]: the upstream list comes from etcd instead of platform discovery. Needs the extra `etcd`."""

    endpoints: tuple[str, ...]  # IP:PORT of each member; host names are not resolved
    prefix: str  # a box is stored under the key PREFIX HOST
    user: str = ""  # "": no authentication
    password_file: str = ""  # read for each authentication

    def faults(self) -> list[str]:
        """Return key and reason of each fault that the types and bounds of the fields don't cover."""
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
    """[storm]: retry storms are detected and mitigated. The section's presence switches this on."""

    longest_wait_ms: int = bounded(0, 600_000, 0)  # the longest Retry-After sent; 0: the platform's limit
    whole_seconds: bool = False  # send Retry-After in whole seconds (RFC 9110), for ordinary clients
    source_part: float = bounded(0.01, 1, 0.5)  # share of the connection slots that one source may hold


COUNCIL_SIZES = (0, 1, 3, 5, 7)  # an even size needs one more vote for a quorum but tolerates no more failures


@dataclass(frozen=True, slots=True)
class FleetSection:
    """[fleet]: membership among balancers, exchanged in the peers' datagrams. Its presence switches this on."""

    council: tuple[int, ...] = ()  # indexes in `peers` of the voters that elect the leader; (): no leader
    lease_ms: int = bounded(500, 60_000, 3000)  # how long a leader leads before it must renew its lease

    def faults(self) -> list[str]:
        """Return key and reason of each fault that the types and bounds of the fields don't cover."""
        members = set(self.council)
        if len(self.council) in COUNCIL_SIZES and len(members) == len(self.council) and min(members, default=0) >= 0:
            return []
        return [f"council: {list(self.council)[:8]} is not a list of 1, 3, 5 or 7 different numbers in `peers`"]


LOG_LEVELS = ("debug", "info", "warning")


@dataclass(frozen=True, slots=True)
class LogSection:
    """[log]: the log level. "debug" also logs, once a second, the reasons behind the decisions."""

    level: str = "info"

    def faults(self) -> list[str]:
        """Return key and reason of each fault that the types and bounds of the fields don't cover."""
        return [] if self.level in LOG_LEVELS else [f"level: {self.level[:80]!r} is none of {', '.join(LOG_LEVELS)}"]


@dataclass(frozen=True, slots=True)
class OperatorsFile:
    """The whole file; a section that is absent is switched off."""

    etcd: EtcdSection | None = None
    storm: StormSection | None = None
    fleet: FleetSection | None = None
    rehearsal: RehearsalSection = field(default_factory=RehearsalSection)
    log: LogSection = field(default_factory=LogSection)


def load(path: str | None) -> OperatorsFile:
    """Read and validate the file; without a path, return the defaults with everything off.

    Raises ValidationError with one line for each fault: file, key and allowed values."""
    if not path:
        return OperatorsFile()
    loaded = build(OperatorsFile, parse(read_text(Path(path)), path), path)
    found = [f"{path}: log.{fault}" for fault in loaded.log.faults()]
    if loaded.fleet is not None:
        found += [f"{path}: fleet.{fault}" for fault in loaded.fleet.faults()]
    if loaded.etcd is not None:
        found += [f"{path}: etcd.{fault}" for fault in loaded.etcd.faults()]
    if found:
        raise ValidationError(found)
    return loaded


def read_text(path: Path) -> str:
    """Read a configuration file. Raises ValidationError if it is unreadable, not UTF-8 or far too large."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise ValidationError([f"{path}: over {MAX_FILE_BYTES} bytes"])
        return data.decode()
    except OSError as error:
        permanent = isinstance(error, FileNotFoundError | PermissionError | IsADirectoryError | NotADirectoryError)
        raise ValidationError([f"{path}: {error.strerror}"], temporary=not permanent) from None
    except UnicodeDecodeError:
        raise ValidationError([f"{path}: not UTF-8"]) from None
