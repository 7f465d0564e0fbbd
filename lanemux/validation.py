"""Builds dataclasses from TOML tables and validates them completely: every fault is reported, one line each.

A dataclass is the schema of a table: its field names are the keys, the types the allowed values, and the defaults
apply to absent keys; `bounded` adds a minimum and a maximum. No I/O: tables are passed in.
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
MAX_LIST_ITEMS = 4096  # four times the largest fleet planned for; limits the faults, since each item may add one


class ValidationError(ValueError):
    """The input is invalid; `faults` has one line for each reason."""

    def __init__(self, faults: Sequence[str], temporary: bool = False) -> None:
        """`temporary`: a later attempt to read the same input may succeed."""
        super().__init__("; ".join(faults))
        self.faults = list(faults)
        self.temporary = temporary


def bounded(low: float, high: float, default: Any = dataclasses.MISSING) -> Any:
    """Declare a dataclass field for numbers in [low, high], both ends included."""
    return dataclasses.field(default=default, metadata={"low": low, "high": high})


def one_of(choices: Sequence[str], default: Any = dataclasses.MISSING) -> Any:
    """Declare a dataclass field for text that is one of `choices`."""
    return dataclasses.field(default=default, metadata={"choices": tuple(choices)})


def parse(text: str, source: str) -> dict[str, Any]:
    """Parse TOML text into a table; `source` names it in the fault."""
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise ValidationError([f"{source}: {error or 'nested too deep'}"]) from None


def build(cls: type[T], table: Mapping[str, Any], source: str) -> T:
    """Build the dataclass `cls` from a table.

    Raises ValidationError with a line for each unknown, missing or invalid key: source, key and allowed values."""
    faults: list[str] = []
    built = _build_table(cls, table, source, "", faults)
    if faults:
        raise ValidationError(faults)
    return cast(T, built)


def _build_table(cls: Any, value: Any, source: str, path: str, faults: list[str]) -> Any:
    if not isinstance(value, Mapping):
        faults.append(f"{source}: {path} must be a table")
        return None
    hints, values = get_type_hints(cls), {}
    fields = {spec.name: spec for spec in dataclasses.fields(cls)}
    prefix = f"{path}." if path else ""
    for key in value:
        if key not in fields:
            faults.append(f"{source}: {prefix}{str(key)[:80]}: unknown key; allowed: {', '.join(fields)}")
    for name, spec in fields.items():
        if name in value:
            values[name] = _build_value(hints[name], value[name], spec.metadata, source, prefix + name, faults)
        elif spec.default is dataclasses.MISSING and spec.default_factory is dataclasses.MISSING:
            faults.append(f"{source}: {prefix}{name}: missing; it takes {_allowed(hints[name], spec.metadata)}")
    return None if faults else cls(**values)


def _build_value(hint: Any, value: Any, meta: Mapping[str, Any], source: str, path: str, faults: list[str]) -> Any:
    if isinstance(hint, types.UnionType):  # an optional section: TABLE | None
        hint = get_args(hint)[0]
    if dataclasses.is_dataclass(hint):
        return _build_table(hint, value, source, path, faults)
    if get_origin(hint) is tuple:
        hints = get_args(hint)
        if isinstance(value, list) and len(value) <= MAX_LIST_ITEMS and (hints[-1] is ... or len(value) == len(hints)):
            return tuple(
                _build_value(hints[0], item, meta, source, f"{path}[{n}]", faults) for n, item in enumerate(value)
            )
    elif _is_valid_scalar(hint, value, meta):
        return float(value) if hint is float else value
    faults.append(f"{source}: {path}: {str(value)[:80]!r} is not {_allowed(hint, meta)}")
    return None


def _is_valid_scalar(hint: Any, value: Any, meta: Mapping[str, Any]) -> bool:
    if hint is bool:
        return isinstance(value, bool)
    if hint is str:
        return isinstance(value, str) and ("choices" not in meta or value in meta["choices"])
    if isinstance(value, bool) or not isinstance(value, int if hint is int else (int, float)):
        return False
    return math.isfinite(value) and meta.get("low", -math.inf) <= value <= meta.get("high", math.inf)


def _allowed(hint: Any, meta: Mapping[str, Any]) -> str:
    if dataclasses.is_dataclass(hint):
        return "a table"
    if get_origin(hint) is tuple:
        hints = get_args(hint)
        list_form = "a list, each" if hints[-1] is ... else f"a list of {len(hints)}, each"
        return f"{list_form} {_allowed(hints[0], meta)}"
    if hint is bool:
        return "true or false"
    if hint is str:
        return "one of " + ", ".join(meta["choices"]) if "choices" in meta else "text"
    number = "a whole number" if hint is int else "a number"
    return f"{number} from {meta['low']:g} to {meta['high']:g}" if "low" in meta else number


def installed(name: str) -> bool:
    """Whether an optional library is installed. It is searched for but not imported."""
    try:
        return find_spec(name) is not None
    except (ModuleNotFoundError, ValueError):  # its package is missing, or its import is blocked
        return False
