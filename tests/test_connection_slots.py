"""Which connection is evicted when all slots for incoming connections are taken."""

from datetime import timedelta

from carthinge.net.connection_slots import ConnectionSlots, ConnectionTimes
from carthinge.net.read_timeouts import MIN_READ_TIME, READ_TIMEOUT

LATER, FIRST_REQUEST_GRACE = timedelta(minutes=1), timedelta(milliseconds=250)


class Connection:
    def __init__(self, idle=True):
        self.busy = not idle
        self.unread = False

    def idle(self):
        return not self.busy

    def silent(self):
        return not self.unread

    def has_partial_request(self):
        return False

    def close(self, reason):
        raise AssertionError("the slots must not close connections themselves")


def fill_slots(max_connections, fresh=0, kept=0, busy=0):
    slots = ConnectionSlots(max_connections)
    groups = [
        [Connection(idle) for _ in range(count)]
        for count, idle in ((kept, True), (busy, False), (fresh, True))
    ]
    for number, connection in enumerate(connection for group in groups for connection in group):
        slots.add(connection, ConnectionTimes(timedelta(seconds=number), timedelta(seconds=number)))
    for connection in groups[0] + groups[1]:
        slots.mark_used(connection)
    return slots, *groups


def test_connection_with_last_response_is_evicted_first():
    slots, kept, _, _ = fill_slots(4, fresh=3, kept=1)
    slots.mark_ending(kept[0])
    assert slots.choose_eviction(LATER, FIRST_REQUEST_GRACE) is kept[0] and len(slots) == 4
    slots.remove(kept[0])
    assert len(slots) == 3


def test_many_fresh_evict_each_other_else_least_recently_used():
    slots, _, _, fresh = fill_slots(4, fresh=3, kept=1)
    assert slots.choose_eviction(LATER, FIRST_REQUEST_GRACE) is fresh[0]
    slots, kept, _, _ = fill_slots(4, fresh=2, kept=2)
    slots.mark_used(kept[0])
    assert slots.choose_eviction(LATER, FIRST_REQUEST_GRACE) is kept[1]
    slots.evict_first(kept[0])
    assert slots.choose_eviction(LATER, FIRST_REQUEST_GRACE) is kept[0]


def test_busy_connection_is_never_evicted():
    slots, _, _, fresh = fill_slots(4, fresh=1, busy=3)
    assert slots.choose_eviction(LATER, FIRST_REQUEST_GRACE) is fresh[0]
    assert fill_slots(4, busy=4)[0].choose_eviction(LATER, FIRST_REQUEST_GRACE) is None


def test_only_fresh_connections_are_overdue():
    slots, _, _, fresh = fill_slots(9, fresh=3, kept=2)  # the fresh ones began at 2, 3 and 4 s
    assert slots.overdue(timedelta(seconds=2) + READ_TIMEOUT) == fresh[:1]
    assert slots.overdue(timedelta(seconds=3) + READ_TIMEOUT) == fresh[:2]


def test_backlog_wait_counts_towards_timeout():
    """Guards against a timeout that starts at accept, so that a connection is closed too late by its wait."""
    slots = ConnectionSlots(4)
    younger, waited = Connection(), Connection()
    slots.add(younger, ConnectionTimes(timedelta(seconds=9), timedelta(seconds=9)))
    slots.add(waited, ConnectionTimes(timedelta(seconds=7), timedelta(seconds=9)))
    assert slots.overdue(timedelta(seconds=7) + READ_TIMEOUT) == [waited]


def test_long_backlog_wait_leaves_minimum_time():
    slots = ConnectionSlots(4)
    waited = Connection()
    slots.add(waited, ConnectionTimes(timedelta(seconds=1), timedelta(seconds=9)))
    assert slots.overdue(timedelta(seconds=9)) == []
    assert slots.overdue(timedelta(seconds=9) + MIN_READ_TIME) == [waited]


def test_connection_with_unread_input_is_not_evicted():
    """Its request would be lost; if no other connection is left, no room is made."""
    slots, kept, _, fresh = fill_slots(5, fresh=3, kept=2)
    fresh[0].unread = True
    assert slots.choose_eviction(LATER, FIRST_REQUEST_GRACE) is fresh[1]
    slots.mark_ending(fresh[2])
    fresh[2].unread = True
    assert slots.choose_eviction(LATER, FIRST_REQUEST_GRACE) is kept[0]
    kept[0].unread = True
    assert slots.choose_eviction(LATER, FIRST_REQUEST_GRACE) is kept[1]
    kept[1].unread = fresh[1].unread = True
    assert slots.choose_eviction(LATER, FIRST_REQUEST_GRACE) is None
    assert slots.overdue(timedelta(minutes=1)) == []


def test_new_connection_is_spared_for_first_request():
    """Guards against new connections closed without a response; kept ones are not evicted for them either."""
    slots, _, _, fresh = fill_slots(4, fresh=3, kept=1)  # they began at 1, 2 and 3 s
    assert slots.choose_eviction(timedelta(seconds=1.2), FIRST_REQUEST_GRACE) is None
    assert slots.choose_eviction(timedelta(seconds=1.25), FIRST_REQUEST_GRACE) is fresh[0]
    slots, kept, _, fresh = fill_slots(4, fresh=2, kept=2)
    assert slots.choose_eviction(timedelta(seconds=2), FIRST_REQUEST_GRACE) is kept[0]
    slots, _, _, fresh = fill_slots(4, fresh=2, busy=2)
    assert slots.choose_eviction(timedelta(seconds=2), FIRST_REQUEST_GRACE) is None
