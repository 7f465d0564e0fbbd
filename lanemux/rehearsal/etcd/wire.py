"""Protocol Buffers' wire format, as far as the stand-in speaks it (protobuf.dev, "Encoding"). No I/O.

Kept apart from the balancer's messages on purpose: a field that one side has wrong must not be wrong on both."""

from __future__ import annotations

from collections.abc import Iterable

VARINT, BYTES = 0, 2
MAX_VARINT = 10  # bytes


class Unreadable(Exception):
    """The bytes are no message."""


def number(value: int) -> bytes:
    """A varint; a negative number as its 64-bit complement."""
    value &= 0xFFFFFFFFFFFFFFFF
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def field(tag: int, value: int | bytes | str) -> bytes:
    """One field; what is 0 or empty is left out, as proto3 does."""
    if not value:
        return b""
    if isinstance(value, int):
        return number(tag << 3 | VARINT) + number(value)
    data = value.encode() if isinstance(value, str) else value
    return message(tag, data)


def message(tag: int, data: bytes) -> bytes:
    """A field that is a message, written also when it is empty."""
    return number(tag << 3 | BYTES) + number(len(data)) + data


def messages(tag: int, many: Iterable[bytes]) -> bytes:
    return b"".join(message(tag, data) for data in many)


def parse(data: bytes) -> dict[int, int | bytes]:
    """The fields by their tags; the last of several counts."""
    found: dict[int, int | bytes] = {}
    at = 0
    while at < len(data):
        head, at = _number(data, at)
        if head & 7 == VARINT:
            found[head >> 3], at = _number(data, at)
        elif head & 7 == BYTES:
            size, at = _number(data, at)
            if at + size > len(data):
                raise Unreadable("cut off")
            found[head >> 3], at = data[at : at + size], at + size
        else:
            raise Unreadable(f"wire type {head & 7}")
    return found


def whole(fields: dict[int, int | bytes], tag: int) -> int:
    value = fields.get(tag, 0)
    return value if isinstance(value, int) else 0


def octets(fields: dict[int, int | bytes], tag: int) -> bytes:
    value = fields.get(tag, b"")
    return value if isinstance(value, bytes) else b""


def _number(data: bytes, at: int) -> tuple[int, int]:
    value = 0
    for count in range(MAX_VARINT):
        if at >= len(data):
            raise Unreadable("cut off")
        value |= (data[at] & 0x7F) << 7 * count
        at += 1
        if not data[at - 1] & 0x80:
            return value, at
    raise Unreadable("a number without end")
