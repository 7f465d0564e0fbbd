"""The configuration of one balancer, from the platform's file and environment variables."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from lanemux import interface as api
from lanemux.core.address import Address, read_address
from lanemux.core.failures import TransientError, is_permanent
from lanemux.core.system import Machine, System
from lanemux.drill import read_settings
from lanemux.net.http import read_json

MAX_CONFIG_BYTES = 16 * 1024 * 1024  # a cached list of 10,000 upstreams takes about 2 MiB
INCOMPLETE_PATIENCE_S = 1.0  # a file that is being written is complete by then
DEFAULT_SOCKETS = 1024

ADMIN_VARIABLE = "RELAY_ADMIN_ADDR"
LISTEN_FD_VARIABLE = "RELAY_LISTEN_FD"


class BadConfig(Exception):
    """The configuration is missing or unusable."""


class UnreadableConfig(BadConfig, TransientError):
    """Reading the file failed with a transient error."""


class IncompleteConfig(BadConfig, TransientError):
    """The file is missing or truncated: it may still be being written."""

    retry_for_s = INCOMPLETE_PATIENCE_S


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration that a balancer starts with."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: api.Settings
    known: object = None  # the cached list of upstreams, in discovery's format
    peer_listen: Address | None = None
    peers: list[Address] = field(default_factory=list)
    peers_all: Address | None = None
    cores: float = 0.0  # processor quota in cores; 0: unknown
    memory_mb: float = 0.0  # memory limit in MiB; 0: unknown
    admin: Address | None = None  # address of the admin interface
    listen_fd: int | None = None  # descriptor of the client listener, if the platform passes one on


def read_config(path: str, system: System | None = None) -> Config:
    """Read the configuration from a file.

    Raises UnreadableConfig or IncompleteConfig if a later attempt may succeed, else BadConfig."""
    try:
        text = (system or Machine()).read(path, MAX_CONFIG_BYTES).decode()
    except FileNotFoundError as error:
        raise IncompleteConfig(f"{path}: {error.strerror}") from None
    except OSError as error:
        kind = BadConfig if is_permanent(error) else UnreadableConfig
        raise kind(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise IncompleteConfig(f"{path}: {error}") from None
    try:
        raw = read_json(text)
    except ValueError as error:
        raise IncompleteConfig(f"{path}: {error}") from None
    try:
        return _build(raw)
    except KeyError as error:
        raise BadConfig(f"{path}: {error} is missing") from None
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise BadConfig(f"{path}: {error}") from None


def _build(raw: Any) -> Config:
    peer_listen, peers_all, admin = raw.get("peer_listen"), raw.get("peers_all"), raw.get("admin_addr")
    limits = raw.get("limits") or {}
    return Config(
        name=str(raw["name"]),
        listen=read_address(raw["listen"]),
        discovery=read_address(raw["discovery"]),
        seed=int.from_bytes(str(raw["seed"]).encode(), "big"),
        sockets=int(limits.get("sockets") or DEFAULT_SOCKETS),
        settings=read_settings(raw["settings"]),
        known=raw.get("known"),
        peer_listen=read_address(peer_listen) if peer_listen else None,
        peers=[read_address(a) for a in raw.get("peers") or ()],
        peers_all=read_address(peers_all) if peers_all else None,
        cores=float(limits.get("cores") or 0.0),
        memory_mb=float(limits.get("memory_mb") or 0.0),
        admin=read_address(admin) if admin else None,
    )


def from_environment(config: Config, environment: Mapping[str, str]) -> Config:
    """Apply the settings that the platform passes in environment variables.

    They differ between the two processes of a balancer, which read the same file. Raises BadConfig for an invalid
    variable."""
    admin, descriptor = environment.get(ADMIN_VARIABLE), environment.get(LISTEN_FD_VARIABLE)
    try:
        if admin:
            config = replace(config, admin=read_address(admin))
        if descriptor:
            config = replace(config, listen_fd=int(descriptor))
    except ValueError as error:
        raise BadConfig(f"{ADMIN_VARIABLE} or {LISTEN_FD_VARIABLE}: {error}") from None
    return config
