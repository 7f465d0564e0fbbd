"""IP addresses with a port, as configuration and lists give them. No I/O."""

from __future__ import annotations

Address = tuple[str, int]
MOST_PORT = 65_535


class BadAddress(ValueError):
    """No IP address with a port."""


def read_address(text: str) -> Address:
    """An IP address and a port, IPv6 with or without brackets; BadAddress for all else.

    A name is none: looking it up would block, and there is no DNS."""
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    known = _is_v6(host) if ":" in host else _is_v4(host)
    if not (known and port.isascii() and port.isdigit() and len(port) <= 5 and int(port) <= MOST_PORT):
        raise BadAddress(f"no address: {text!r:.80}")
    return host, int(port)


def _is_v4(host: str) -> bool:
    """Four decimal numbers; a leading zero would be read as octal elsewhere."""
    parts = host.split(".")
    return len(parts) == 4 and all(
        p.isascii() and p.isdigit() and len(p) <= 3 and str(int(p)) == p and int(p) < 256 for p in parts
    )


def _is_v6(host: str) -> bool:
    import ipaddress  # only here: most installations have none, and it would make every start slower

    try:
        return "%" not in host and bool(ipaddress.IPv6Address(host).packed)
    except ValueError:
        return False
