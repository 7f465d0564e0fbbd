"""Parsing of IP addresses with a port, as used in configuration and upstream lists. No I/O."""

from __future__ import annotations

Address = tuple[str, int]
MAX_PORT = 65_535


class BadAddress(ValueError):
    """The text is not an IP address with a port."""


def read_address(text: str) -> Address:
    """Parse an IP address and a port, IPv6 with or without brackets; BadAddress for anything else.

    Host names are rejected: there is no DNS, and a lookup would block."""
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    valid = _is_v6(host) if ":" in host else _is_v4(host)
    if not (valid and port.isascii() and port.isdigit() and len(port) <= 5 and int(port) <= MAX_PORT):
        raise BadAddress(f"no address: {text!r:.80}")
    return host, int(port)


def _is_v4(host: str) -> bool:
    """Four decimal numbers without leading zeros, which other software reads as octal."""
    parts = host.split(".")
    return len(parts) == 4 and all(
        p.isascii() and p.isdigit() and len(p) <= 3 and str(int(p)) == p and int(p) < 256 for p in parts
    )


def _is_v6(host: str) -> bool:
    import ipaddress  # imported lazily: most installations use no IPv6, and the import would slow down every start

    try:
        return "%" not in host and bool(ipaddress.IPv6Address(host).packed)
    except ValueError:
        return False
