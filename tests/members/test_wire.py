"""Encoding of membership messages, and rejection of invalid ones."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanemux.core.peer_report import MAX_DATAGRAM, REPORT_FORMAT, read_reports
from lanemux.fleet.wire import HEADER, MAX_UPDATES, BadMessage, Kind, Message, Status, Update, decode

NUMBERS, WIDE = st.integers(0, 2**16 - 1), st.integers(0, 2**32 - 1)
UPDATES = st.builds(Update, NUMBERS, st.sampled_from(Status), WIDE, NUMBERS)
MESSAGES = st.builds(
    Message,
    st.sampled_from(Kind),
    WIDE,
    WIDE,
    st.sampled_from(Status),
    WIDE,
    NUMBERS,
    NUMBERS,
    st.lists(UPDATES, max_size=MAX_UPDATES).map(tuple),
)


@settings(derandomize=True, deadline=None)
@given(MESSAGES)
def test_a_message_round_trips_and_an_older_balancer_ignores_it(message: Message) -> None:
    data = message.encode()
    assert decode(data) == message and len(data) <= MAX_DATAGRAM
    assert read_reports(data) == []


@settings(derandomize=True, deadline=None, max_examples=30)
@given(MESSAGES)
def test_a_truncated_message_is_rejected(message: Message) -> None:
    data = message.encode()
    whole = HEADER.size + len(message.updates) * 9
    for length in range(whole):
        with pytest.raises(BadMessage):
            decode(data[:length])


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=300))
def test_any_bytes_are_a_message_or_rejected(data: bytes) -> None:
    try:
        message = decode(data)
    except BadMessage:
        return
    assert decode(message.encode()) == message


def test_a_decision_word_and_another_version_are_rejected() -> None:
    plain = Message(Kind.PING, 1, 2, Status.UP, 3, 4).encode()
    for data in (b"\0" * REPORT_FORMAT.size, plain[:1] + b"\x02" + plain[2:], b"\0" + plain[1:], plain + b"\0" * 9):
        with pytest.raises(BadMessage):
            decode(data)


def test_more_updates_than_fit_in_a_message_are_rejected() -> None:
    updates = (Update(1, Status.UP, 1, 1),) * (MAX_UPDATES + 1)
    with pytest.raises(ValueError, match="news in one message"):
        Message(Kind.PING, 1, 2, Status.UP, 3, 4, 5, updates).encode()
