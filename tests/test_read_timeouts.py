"""Deadlines of partly received requests, checked for random arrival times of their parts."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from carthinge.net.read_timeouts import MAX_REQUEST_DURATION, MIN_READ_TIME, PartialRequest

STOPPED_CLIENT_LIMIT = timedelta(seconds=3)  # from the operators' acceptance rules, not from the program
MAX_DELAY = timedelta(milliseconds=150)  # of the scheduler
SECOND = timedelta(seconds=1)
DURATIONS = st.integers(0, 20_000).map(lambda count: timedelta(milliseconds=count))


@given(began=DURATIONS, stopped=DURATIONS)
def test_stopped_request_is_overdue_in_time(began, stopped):
    partial = PartialRequest(began, began, began + stopped)
    latest = max(began, partial.progressed) + STOPPED_CLIENT_LIMIT
    assert partial.overdue_at() + MAX_DELAY < latest
    if stopped <= SECOND:
        assert partial.overdue_at() + MAX_DELAY < began + STOPPED_CLIENT_LIMIT


@given(began=DURATIONS, waited=DURATIONS)
def test_late_read_request_gets_minimum_time(began, waited):
    partial = PartialRequest(began, began + waited, began)
    assert partial.overdue_at() >= partial.first_read + MIN_READ_TIME
    assert partial.overdue_at() + MAX_DELAY < max(
        began + STOPPED_CLIENT_LIMIT, partial.first_read + 2 * MIN_READ_TIME
    )


@given(began=DURATIONS, waited=DURATIONS, pauses=st.lists(st.integers(0, 900), max_size=40))
def test_steady_writer_is_not_overdue_early(began, waited, pauses):
    partial = PartialRequest(began, began + waited, began + waited)
    now = partial.first_read
    for pause in pauses:
        now += timedelta(milliseconds=pause)
        if now >= partial.first_read + MAX_REQUEST_DURATION:
            break
        assert partial.overdue_at() > now
        partial.progressed = now
    assert partial.overdue_at() <= max(
        partial.first_read + MAX_REQUEST_DURATION, began + STOPPED_CLIENT_LIMIT
    )
