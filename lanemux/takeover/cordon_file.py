"""File format of the cordons shared with another process of this balancer. No I/O and no clock."""

from __future__ import annotations

import hashlib
import json

from lanemux.core.cordons import CordonRecord

FORMAT_VERSION = 1
FILE_SUFFIX = ".word"
MAX_FILE_BYTES = 8192


def file_name(host: str) -> str:
    """Return the file name for a host: one file per host, so that two writers never overwrite each other's changes."""
    return hashlib.blake2b(host.encode(errors="surrogatepass"), digest_size=16).hexdigest() + FILE_SUFFIX


def encode(change: CordonRecord) -> bytes:
    """Encode a change as the content of its file."""
    return json.dumps(
        {"version": FORMAT_VERSION, "host": change.host, "out": change.cordoned, "at_ns": change.at_ns}
    ).encode()


def decode(text: bytes) -> CordonRecord:
    """Decode the content of a file. Raises ValueError if it is truncated, foreign or of another version."""
    try:
        content = json.loads(text)
    except RecursionError:
        raise ValueError("nested too deep") from None
    if not isinstance(content, dict) or content.get("version") != FORMAT_VERSION:
        raise ValueError("unsupported version")
    host, out, at_ns = content.get("host"), content.get("out"), content.get("at_ns")
    if not (isinstance(host, str) and host and isinstance(out, bool) and type(at_ns) is int and at_ns > 0):
        raise ValueError("host, out or at_ns is missing or invalid")
    return CordonRecord(host, out, at_ns)
