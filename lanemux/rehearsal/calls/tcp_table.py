"""What the kernel knows of one loopback connection, from both of its ends (Linux, /proc/net/tcp)."""

from __future__ import annotations

import ipaddress
import sys
from collections.abc import Iterable
from pathlib import Path

Address = tuple[str, int]
STATES = {
    "01": "established",
    "02": "connecting",
    "04": "closed by it",
    "05": "closed by it",
    "06": "over",
    "08": "closed by the other",
    "09": "closed by the other",
    "0A": "listening",
}


def told_of(client: Address, balancer: Address) -> str:
    """Both ends of a connection: state, bytes that wait to be read, whether a process has it."""
    try:
        lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    except OSError:
        return "the kernel's table can't be read"
    return describe(lines, client, balancer)


def describe(lines: Iterable[str], client: Address, balancer: Address) -> str:
    """The same from the lines of the kernel's table."""
    ends = {(_hexadecimal(client), _hexadecimal(balancer)): "client's end"}
    ends[_hexadecimal(balancer), _hexadecimal(client)] = "balancer's end"
    found = dict.fromkeys(ends.values(), "gone")
    for line in lines:
        fields = line.split()
        name = ends.get((fields[1], fields[2]))
        if name is not None:
            unread = int(fields[4].partition(":")[2], 16)
            held = "" if fields[9] != "0" else ", no process has it"
            found[name] = f"{STATES.get(fields[3], fields[3])}, {unread} bytes unread{held}"
    return "; ".join(f"{name} {state}" for name, state in found.items())


def _hexadecimal(address: Address) -> str:
    """As the kernel writes it: the bytes of the address in the order of this machine."""
    number = int.from_bytes(ipaddress.IPv4Address(address[0]).packed, sys.byteorder)
    return f"{number:08X}:{address[1]:04X}"
