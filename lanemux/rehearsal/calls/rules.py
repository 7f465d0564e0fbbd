"""Rules that say which calls of a process fail with which documented error. No I/O, no clock."""

from __future__ import annotations

import errno
import random
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

# By kind of call as `interpose.c` names them: the errors that Linux documents for it and that may be transient.
TRANSIENT_ERRORS: Mapping[str, Sequence[str]] = {
    "open": ("ENFILE", "EMFILE", "EIO", "EINTR", "ENOMEM"),
    "opendir": ("ENFILE", "EMFILE", "ENOMEM"),
    "readdir": ("EIO",),
    "read": ("EIO", "EINTR"),
    "stat": ("EIO", "ENOMEM"),
    "close": ("EINTR", "EIO"),
    "write": ("EIO", "ENOSPC", "EAGAIN", "EINTR"),
    "fcntl": ("EIO", "EINTR"),
    "ioctl": ("EIO",),
    "socket": ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "socketpair": ("EMFILE", "ENFILE", "ENOBUFS"),
    "bind": ("EADDRINUSE", "EADDRNOTAVAIL", "ENOMEM"),
    "listen": ("EADDRINUSE", "ENOBUFS"),
    "accept": ("ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPROTO", "EINTR"),
    "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EAGAIN", "ETIMEDOUT", "EINTR"),
    "setsockopt": ("ENOBUFS", "ENOMEM"),
    "getsockopt": ("ENOBUFS",),
    "getsockname": ("ENOBUFS",),
    "getpeername": ("ENOBUFS",),
    "shutdown": ("ENOBUFS",),
    "send": ("ENOBUFS", "ENOMEM", "EINTR", "EAGAIN"),
    "recv": ("ENOMEM", "ENOBUFS", "EINTR", "EAGAIN"),
    "recvfrom": ("ENOMEM", "ENOBUFS"),
    "epoll_create": ("EMFILE", "ENFILE", "ENOMEM"),
    "epoll_ctl": ("ENOMEM", "ENOSPC"),
    "epoll_wait": ("EINTR",),
    "getrandom": ("EINTR", "EAGAIN"),
    "dlopen": ("ENOMEM",),
    "mmap": ("ENOMEM",),
    "lseek": ("EIO",),
    "sigaction": ("ENOMEM",),
}
WHOLE_RUN_MS = 60_000
SPANS_MS = (
    (0, 100),
    (0, 400),
    (0, 1500),
    (700, 1500),
)  # since counting began, at the program's first call
_RULE_PATTERN = re.compile(r"(\w+):(\d+):([kt])(\d+)-(\d+)(?::(\d+))?")


class BadRules(ValueError):
    """The text is not a list of rules."""


@dataclass(frozen=True)
class Rule:
    """Calls of one kind that fail: numbers `first` to `last`, or all in that span of ms since counting began."""

    kind: str
    error: str
    first: int
    last: int
    timed: bool = False  # `first` and `last` are ms, not call numbers
    per_mille: int = 1000  # how many of 1000 calls in the span fail

    @property
    def text(self) -> str:
        """The rule in the syntax that `interpose.c` parses."""
        number = getattr(errno, self.error)
        return f"{self.kind}:{number}:{'t' if self.timed else 'k'}{self.first}-{self.last}:{self.per_mille}"

    def __str__(self) -> str:
        span = f"{self.first} to {self.last} ms" if self.timed else f"call {self.first}"
        if not self.timed and self.last != self.first:
            span += f" to {self.last}"
        share = f", {self.per_mille} of 1000" if self.per_mille < 1000 else ""
        return f"{self.kind} {self.error} {span}{share}"


def format_rules(rules: Sequence[Rule]) -> str:
    """The rules in the syntax of the variable LANEMUX_FAIL."""
    return ";".join(rule.text for rule in rules)


def parse_rules(text: str) -> list[Rule]:
    """The inverse of `format_rules`. Raises BadRules."""
    rules = []
    for part in filter(None, text.split(";")):
        match = _RULE_PATTERN.fullmatch(part)
        if match is None or match[1] not in TRANSIENT_ERRORS or int(match[2]) not in errno.errorcode:
            raise BadRules(f"{part!r} is no rule")
        per_mille = 1000 if match[6] is None else int(match[6])
        rules.append(
            Rule(match[1], errno.errorcode[int(match[2])], int(match[4]), int(match[5]), match[3] == "t", per_mille)
        )
    return rules


def call_error_pairs() -> list[tuple[str, str]]:
    """Every (call, error) pair."""
    return [(kind, error) for kind, errors in TRANSIENT_ERRORS.items() for error in errors]


def spread_positions(calls: int, most: int) -> list[int]:
    """The numbers of the calls to fail, out of `calls`: all of them, or `most` that are evenly spaced."""
    if calls <= most:
        return list(range(1, calls + 1))
    return sorted({1 + round(i * (calls - 1) / (most - 1)) for i in range(most)})


def single_failures(calls: Mapping[str, int], most: int) -> list[list[Rule]]:
    """One rule for each run: every error at each chosen call and in each span, for all kinds that a run makes.

    `calls`: how many calls of each kind the baseline run made."""
    rule_sets: list[list[Rule]] = []
    for kind, error in call_error_pairs():
        if calls.get(kind, 0):
            rule_sets += [[Rule(kind, error, number, number)] for number in spread_positions(calls[kind], most)]
            rule_sets += [[Rule(kind, error, *span, timed=True)] for span in SPANS_MS]
    return rule_sets


def random_combination(seed: int, calls: Mapping[str, int]) -> list[Rule]:
    """Two or three rules for one run, drawn from a seed: single calls, spans, and shares of all calls."""
    rng = random.Random(f"calls/{seed}")
    rules = []
    for kind, error in rng.sample(
        [pair for pair in call_error_pairs() if calls.get(pair[0], 0)], rng.choice((2, 2, 3))
    ):
        form = rng.random()
        if form < 0.4:
            first = rng.randint(1, calls[kind])
            rules.append(Rule(kind, error, first, first + rng.choice((0, 0, 3))))
        elif form < 0.7:
            from_ms = rng.choice((0, 0, rng.randint(0, 1500)))
            rules.append(Rule(kind, error, from_ms, from_ms + rng.randint(50, 800), timed=True))
        else:
            rules.append(Rule(kind, error, 0, WHOLE_RUN_MS, True, rng.choice((10, 50, 100))))
    return rules
