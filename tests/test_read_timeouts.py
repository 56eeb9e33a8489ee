"""Until when a request that has begun has to be whole, drawn at random over how its parts may come."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from carthinge.net.read_timeouts import LAST_CHANCE, MAX_REQUEST_DURATION, PartialRequest

OWED_WITHIN = timedelta(seconds=3)  # by the standing test's page, and not by the program
HELD_UP = timedelta(milliseconds=150)  # so long a scheduler may be, at the most
SECOND = timedelta(seconds=1)
SPANS = st.integers(0, 20_000).map(lambda count: timedelta(milliseconds=count))


@given(began=SPANS, stopped=SPANS)
def test_one_that_stops_is_overdue_within_what_is_owed_from_its_beginning_and_its_last_part(began, stopped):
    partial = PartialRequest(began, began, began + stopped)
    owed = max(began, partial.progressed) + OWED_WITHIN
    assert partial.overdue_at() + HELD_UP < owed
    if stopped <= SECOND:
        assert partial.overdue_at() + HELD_UP < began + OWED_WITHIN


@given(began=SPANS, waited=SPANS)
def test_one_that_waited_to_be_read_has_its_last_chance_and_no_more_than_what_is_owed(began, waited):
    partial = PartialRequest(began, began + waited, began)
    assert partial.overdue_at() >= partial.first_read + LAST_CHANCE
    assert partial.overdue_at() + HELD_UP < max(began + OWED_WITHIN, partial.first_read + 2 * LAST_CHANCE)


@given(began=SPANS, waited=SPANS, pauses=st.lists(st.integers(0, 900), max_size=40))
def test_a_writer_that_goes_on_is_never_overdue_before_its_whole_time(began, waited, pauses):
    partial = PartialRequest(began, began + waited, began + waited)
    now = partial.first_read
    for pause in pauses:
        now += timedelta(milliseconds=pause)
        if now >= partial.first_read + MAX_REQUEST_DURATION:
            break
        assert partial.overdue_at() > now
        partial.progressed = now
    assert partial.overdue_at() <= max(partial.first_read + MAX_REQUEST_DURATION, began + OWED_WITHIN)
