"""The form in which operators' words on upstreams are kept for a process beside this one. No I/O and no clock."""

from __future__ import annotations

import hashlib
import json

from lanemux.core.cordons import CordonRecord

VERSION = 1
ENDING = ".word"
MAX_WORD = 8192  # bytes of a file


def file_name(host: str) -> str:
    """Where the word on a host is kept: one file a host, so that two writers never undo one another's words."""
    return hashlib.blake2b(host.encode(errors="surrogatepass"), digest_size=16).hexdigest() + ENDING


def written(word: CordonRecord) -> bytes:
    """The file's text."""
    return json.dumps({"version": VERSION, "host": word.host, "out": word.cordoned, "at_ns": word.at_ns}).encode()


def read(text: bytes) -> CordonRecord:
    """The word of a file; ValueError for one that is torn, foreign or of another version."""
    try:
        told = json.loads(text)
    except RecursionError:
        raise ValueError("nested too deep") from None
    if not isinstance(told, dict) or told.get("version") != VERSION:
        raise ValueError("of another version")
    host, out, at_ns = told.get("host"), told.get("out"), told.get("at_ns")
    if not (isinstance(host, str) and host and isinstance(out, bool) and type(at_ns) is int and at_ns > 0):
        raise ValueError("no host, out or at_ns")
    return CordonRecord(host, out, at_ns)
