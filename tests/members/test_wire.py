"""What goes between balancers on who is there: its form, and what is refused."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanemux.core.words import FORM, MESSAGE, read_words
from lanemux.fleet.wire import HEAD, MOST_NEWS, BadMessage, Kind, Message, News, Status, read

NUMBERS, WIDE = st.integers(0, 2**16 - 1), st.integers(0, 2**32 - 1)
NEWS = st.builds(News, NUMBERS, st.sampled_from(Status), WIDE, NUMBERS)
MESSAGES = st.builds(
    Message,
    st.sampled_from(Kind),
    WIDE,
    WIDE,
    st.sampled_from(Status),
    WIDE,
    NUMBERS,
    NUMBERS,
    st.lists(NEWS, max_size=MOST_NEWS).map(tuple),
)


@settings(derandomize=True, deadline=None)
@given(MESSAGES)
def test_a_message_is_read_as_it_was_written_and_an_older_balancer_reads_no_word_in_it(message: Message) -> None:
    data = message.data()
    assert read(data) == message and len(data) <= MESSAGE
    assert read_words(data) == []


@settings(derandomize=True, deadline=None, max_examples=30)
@given(MESSAGES)
def test_no_cut_of_a_message_is_taken_for_a_whole_one(message: Message) -> None:
    data = message.data()
    whole = HEAD.size + len(message.news) * 9
    for length in range(whole):
        with pytest.raises(BadMessage):
            read(data[:length])


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=300))
def test_whatever_comes_is_a_message_or_refused(data: bytes) -> None:
    try:
        message = read(data)
    except BadMessage:
        return
    assert read(message.data()) == message


def test_a_word_and_another_version_are_refused() -> None:
    plain = Message(Kind.ASK, 1, 2, Status.UP, 3, 4).data()
    for data in (b"\0" * FORM.size, plain[:1] + b"\x02" + plain[2:], b"\0" + plain[1:], plain + b"\0" * 9):
        with pytest.raises(BadMessage):
            read(data)


def test_more_news_than_a_message_holds_are_not_written() -> None:
    news = (News(1, Status.UP, 1, 1),) * (MOST_NEWS + 1)
    with pytest.raises(ValueError, match="news in one message"):
        Message(Kind.ASK, 1, 2, Status.UP, 3, 4, 5, news).data()
