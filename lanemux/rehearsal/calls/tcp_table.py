"""The kernel's state of both ends of one loopback connection (Linux, /proc/net/tcp)."""

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


def describe_connection(client: Address, balancer: Address) -> str:
    """For both ends of a connection: the state, the unread bytes, and whether a process owns the socket."""
    try:
        lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    except OSError:
        return "the kernel's table can't be read"
    return describe_rows(lines, client, balancer)


def describe_rows(lines: Iterable[str], client: Address, balancer: Address) -> str:
    """Like `describe_connection`, from rows of /proc/net/tcp."""
    ends = {(_hexadecimal(client), _hexadecimal(balancer)): "client's end"}
    ends[_hexadecimal(balancer), _hexadecimal(client)] = "balancer's end"
    found = dict.fromkeys(ends.values(), "gone")
    for line in lines:
        fields = line.split()
        name = ends.get((fields[1], fields[2]))
        if name is not None:
            unread = int(fields[4].partition(":")[2], 16)
            owner = "" if fields[9] != "0" else ", no process has it"  # inode 0: no process holds the socket
            found[name] = f"{STATES.get(fields[3], fields[3])}, {unread} bytes unread{owner}"
    return "; ".join(f"{name} {state}" for name, state in found.items())


def _hexadecimal(address: Address) -> str:
    """The address as /proc/net/tcp prints it: the IPv4 address as a number in this machine's byte order."""
    number = int.from_bytes(ipaddress.IPv4Address(address[0]).packed, sys.byteorder)
    return f"{number:08X}:{address[1]:04X}"
