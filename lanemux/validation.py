"""Reading tables (TOML) into dataclasses, checked whole: every fault is found, each told in one line.

A dataclass states what a table may hold: its fields are the keys, their types what a key takes, their
defaults what holds where it is left out; `bounded` adds the least and the most. No I/O: tables come parsed.
"""

from __future__ import annotations

import dataclasses
import math
import tomllib
import types
from collections.abc import Mapping, Sequence
from importlib.util import find_spec
from typing import Any, TypeVar, cast, get_args, get_origin, get_type_hints

T = TypeVar("T")
MAX_ITEMS = 4096  # of one list: four times the members of the largest fleet foreseen; each is a fault at worst


class ValidationError(ValueError):
    """What was read can't be used; `faults` has a line for each reason."""

    def __init__(self, faults: Sequence[str], momentary: bool = False) -> None:
        """`momentary`: a later try may succeed."""
        super().__init__("; ".join(faults))
        self.faults = list(faults)
        self.momentary = momentary


def bounded(low: float, high: float, default: Any = dataclasses.MISSING) -> Any:
    """A dataclass field whose numbers lie in [low, high] (both ends allowed)."""
    return dataclasses.field(default=default, metadata={"low": low, "high": high})


def one_of(choices: Sequence[str], default: Any = dataclasses.MISSING) -> Any:
    """A dataclass field of text that is one of these."""
    return dataclasses.field(default=default, metadata={"choices": tuple(choices)})


def parse(text: str, where: str) -> dict[str, Any]:
    """A TOML text as a table; `where` names it in the fault."""
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise ValidationError([f"{where}: {error or 'nested too deep'}"]) from None


def build(kind: type[T], table: Mapping[str, Any], where: str) -> T:
    """The dataclass that a table spells out.

    Raises ValidationError with a line for each unknown, missing or wrong key: place, key and what is allowed."""
    faults: list[str] = []
    made = _table(kind, table, where, "", faults)
    if faults:
        raise ValidationError(faults)
    return cast(T, made)


def _table(kind: Any, raw: Any, where: str, path: str, faults: list[str]) -> Any:
    if not isinstance(raw, Mapping):
        faults.append(f"{where}: {path} must be a table")
        return None
    hints, given = get_type_hints(kind), {}
    fields = {f.name: f for f in dataclasses.fields(kind)}
    dot = f"{path}." if path else ""
    for key in raw:
        if key not in fields:
            faults.append(f"{where}: {dot}{str(key)[:80]}: unknown key; allowed: {', '.join(fields)}")
    for name, f in fields.items():
        if name in raw:
            given[name] = _value(hints[name], raw[name], f.metadata, where, dot + name, faults)
        elif f.default is dataclasses.MISSING and f.default_factory is dataclasses.MISSING:
            faults.append(f"{where}: {dot}{name}: missing; it takes {_allowed(hints[name], f.metadata)}")
    return None if faults else kind(**given)


def _value(hint: Any, raw: Any, meta: Mapping[str, Any], where: str, path: str, faults: list[str]) -> Any:
    if isinstance(hint, types.UnionType):  # a section that may be absent: TABLE | None
        hint = get_args(hint)[0]
    if dataclasses.is_dataclass(hint):
        return _table(hint, raw, where, path, faults)
    if get_origin(hint) is tuple:
        inner = get_args(hint)
        if isinstance(raw, list) and len(raw) <= MAX_ITEMS and (inner[-1] is ... or len(raw) == len(inner)):
            return tuple(_value(inner[0], v, meta, where, f"{path}[{i}]", faults) for i, v in enumerate(raw))
    elif _plain(hint, raw, meta):
        return float(raw) if hint is float else raw
    faults.append(f"{where}: {path}: {str(raw)[:80]!r} is not {_allowed(hint, meta)}")
    return None


def _plain(hint: Any, raw: Any, meta: Mapping[str, Any]) -> bool:
    if hint is bool:
        return isinstance(raw, bool)
    if hint is str:
        return isinstance(raw, str) and ("choices" not in meta or raw in meta["choices"])
    if isinstance(raw, bool) or not isinstance(raw, int if hint is int else (int, float)):
        return False
    return math.isfinite(raw) and meta.get("low", -math.inf) <= raw <= meta.get("high", math.inf)


def _allowed(hint: Any, meta: Mapping[str, Any]) -> str:
    if dataclasses.is_dataclass(hint):
        return "a table"
    if get_origin(hint) is tuple:
        inner = get_args(hint)
        many = "a list, each" if inner[-1] is ... else f"a list of {len(inner)}, each"
        return f"{many} {_allowed(inner[0], meta)}"
    if hint is bool:
        return "true or false"
    if hint is str:
        return "one of " + ", ".join(meta["choices"]) if "choices" in meta else "text"
    number = "a whole number" if hint is int else "a number"
    return f"{number} from {meta['low']:g} to {meta['high']:g}" if "low" in meta else number


def installed(name: str) -> bool:
    """Is an optional library there? It is looked for and not imported."""
    try:
        return find_spec(name) is not None
    except (ModuleNotFoundError, ValueError):  # its package is missing, or barred
        return False
