"""The part of the Protocol Buffers wire format that the fake etcd needs (protobuf.dev, "Encoding"). No I/O.

It shares no code with the balancer's messages on purpose: otherwise both sides could have the same wrong field."""

from __future__ import annotations

from collections.abc import Iterable

VARINT, BYTES = 0, 2
MAX_VARINT = 10  # bytes


class Unreadable(Exception):
    """The bytes are not a message that this module supports."""


def varint(value: int) -> bytes:
    """Encode a varint; negative numbers as 64-bit two's complement."""
    value &= 0xFFFFFFFFFFFFFFFF
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def field(tag: int, value: int | bytes | str) -> bytes:
    """Encode one field; 0 and empty values are omitted, as in proto3."""
    if not value:
        return b""
    if isinstance(value, int):
        return varint(tag << 3 | VARINT) + varint(value)
    data = value.encode() if isinstance(value, str) else value
    return message(tag, data)


def message(tag: int, data: bytes) -> bytes:
    """Encode a length-delimited field, even if it is empty."""
    return varint(tag << 3 | BYTES) + varint(len(data)) + data


def messages(tag: int, many: Iterable[bytes]) -> bytes:
    """Encode a repeated length-delimited field."""
    return b"".join(message(tag, data) for data in many)


def parse(data: bytes) -> dict[int, int | bytes]:
    """Decode the fields by tag; of a repeated field, the last value counts."""
    fields: dict[int, int | bytes] = {}
    at = 0
    while at < len(data):
        key, at = _varint(data, at)
        if key & 7 == VARINT:
            fields[key >> 3], at = _varint(data, at)
        elif key & 7 == BYTES:
            size, at = _varint(data, at)
            if at + size > len(data):
                raise Unreadable("message is truncated")
            fields[key >> 3], at = data[at : at + size], at + size
        else:
            raise Unreadable(f"unsupported wire type {key & 7}")
    return fields


def int_field(fields: dict[int, int | bytes], tag: int) -> int:
    """The integer in a field; 0 if there is none."""
    value = fields.get(tag, 0)
    return value if isinstance(value, int) else 0


def bytes_field(fields: dict[int, int | bytes], tag: int) -> bytes:
    """The bytes in a field; empty if there are none."""
    value = fields.get(tag, b"")
    return value if isinstance(value, bytes) else b""


def _varint(data: bytes, at: int) -> tuple[int, int]:
    value = 0
    for count in range(MAX_VARINT):
        if at >= len(data):
            raise Unreadable("message is truncated")
        value |= (data[at] & 0x7F) << 7 * count
        at += 1
        if not data[at - 1] & 0x80:
            return value, at
    raise Unreadable("varint is too long")
