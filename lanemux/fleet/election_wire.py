"""The form of what seats of the council tell one another (`fleet/election.py`). No I/O and no clock."""

from __future__ import annotations

import struct

from lanemux.fleet.election import Ballot, Step, Word
from lanemux.fleet.wire import MAGIC, NOBODY, VERSION, BadMessage

FORM = struct.Struct(">BBBBHIHIIHI")  # no length that words between the decisions have
KIND = 2  # the byte that tells which message of the fleet it is


def is_ballot(data: bytes) -> bool:
    """Is this message of the fleet one between seats?"""
    return len(data) > KIND and data[KIND] >= Step.PREPARE


def written(word: Word) -> bytes:
    """The datagram."""
    leads = word.leads if word.leads >= 0 else NOBODY
    return FORM.pack(MAGIC, VERSION, word.step, 0, leads, *word.ballot, *word.seen)


def read(data: bytes) -> Word:
    """The word in a datagram; BadMessage with a reason for anything else."""
    if len(data) != FORM.size or data[0] != MAGIC or data[1] != VERSION:
        raise BadMessage(f"{len(data)} bytes are no word between seats")
    _, _, step, _, leads, *numbers = FORM.unpack(data)
    try:
        return Word(Step(step), Ballot(*numbers[:3]), Ballot(*numbers[3:]), -1 if leads == NOBODY else leads)
    except ValueError as error:
        raise BadMessage(str(error)) from None
