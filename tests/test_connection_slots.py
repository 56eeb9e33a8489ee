"""Who makes room when all slots for connections that come in are taken."""

from datetime import timedelta

from carthinge.net.connection_slots import ConnectionSlots, Opened
from carthinge.net.read_timeouts import LAST_CHANCE, READ_TIMEOUT

LATER, GREETING = timedelta(minutes=1), timedelta(milliseconds=250)


class Connection:
    def __init__(self, idle=True):
        self.at_work = not idle
        self.unread = False

    def idle(self):
        return not self.at_work

    def silent(self):
        return not self.unread

    def began(self):
        return False

    def close(self, reason):
        raise AssertionError("the slots close nobody themselves")


def filled(most, fresh=0, kept=0, busy=0):
    slots = ConnectionSlots(most)
    groups = [
        [Connection(idle) for _ in range(count)]
        for count, idle in ((kept, True), (busy, False), (fresh, True))
    ]
    for number, connection in enumerate(connection for group in groups for connection in group):
        slots.enter(connection, Opened(timedelta(seconds=number), timedelta(seconds=number)))
    for connection in groups[0] + groups[1]:
        slots.used(connection)
    return slots, *groups


def test_a_connection_whose_last_answer_is_written_goes_first():
    slots, kept, _, _ = filled(4, fresh=3, kept=1)
    slots.end(kept[0])
    assert slots.make_room(LATER, GREETING) is kept[0] and len(slots) == 4
    slots.leave(kept[0])
    assert len(slots) == 3


def test_fresh_ones_push_out_each_other_where_they_are_many_and_else_the_longest_unused_goes():
    slots, _, _, fresh = filled(4, fresh=3, kept=1)
    assert slots.make_room(LATER, GREETING) is fresh[0]
    slots, kept, _, _ = filled(4, fresh=2, kept=2)
    slots.used(kept[0])
    assert slots.make_room(LATER, GREETING) is kept[1]
    slots.misused(kept[0])
    assert slots.make_room(LATER, GREETING) is kept[0]


def test_one_at_work_is_never_closed():
    slots, _, _, fresh = filled(4, fresh=1, busy=3)
    assert slots.make_room(LATER, GREETING) is fresh[0]
    assert filled(4, busy=4)[0].make_room(LATER, GREETING) is None


def test_only_those_that_have_sent_no_request_are_overdue():
    slots, _, _, fresh = filled(9, fresh=3, kept=2)  # the fresh ones began at 2, 3 and 4 s
    assert slots.overdue(timedelta(seconds=2) + READ_TIMEOUT) == fresh[:1]
    assert slots.overdue(timedelta(seconds=3) + READ_TIMEOUT) == fresh[:2]


def test_one_that_waited_to_be_accepted_has_its_close_when_its_client_is_owed_it():
    """Its time began with its accept, so that it was closed as much too late as it had waited."""
    slots = ConnectionSlots(4)
    younger, waited = Connection(), Connection()
    slots.enter(younger, Opened(timedelta(seconds=9), timedelta(seconds=9)))
    slots.enter(waited, Opened(timedelta(seconds=7), timedelta(seconds=9)))
    assert slots.overdue(timedelta(seconds=7) + READ_TIMEOUT) == [waited]


def test_one_that_waited_for_longer_than_that_has_the_time_to_send_something():
    slots = ConnectionSlots(4)
    waited = Connection()
    slots.enter(waited, Opened(timedelta(seconds=1), timedelta(seconds=9)))
    assert slots.overdue(timedelta(seconds=9)) == []
    assert slots.overdue(timedelta(seconds=9) + LAST_CHANCE) == [waited]


def test_one_with_something_unread_is_passed_over_in_every_order():
    """Its request would be lost with it; and where nothing else is left, nobody makes room."""
    slots, kept, _, fresh = filled(5, fresh=3, kept=2)
    fresh[0].unread = True
    assert slots.make_room(LATER, GREETING) is fresh[1]
    slots.end(fresh[2])
    fresh[2].unread = True
    assert slots.make_room(LATER, GREETING) is kept[0]
    kept[0].unread = True
    assert slots.make_room(LATER, GREETING) is kept[1]
    kept[1].unread = fresh[1].unread = True
    assert slots.make_room(LATER, GREETING) is None
    assert slots.overdue(timedelta(minutes=1)) == []


def test_one_that_has_just_come_is_not_closed_before_its_first_request_can_be_here():
    """It was closed with no answer: a lost request to its client.  Kept ones do not pay for it."""
    slots, _, _, fresh = filled(4, fresh=3, kept=1)  # they began at 1, 2 and 3 s
    assert slots.make_room(timedelta(seconds=1.2), GREETING) is None
    assert slots.make_room(timedelta(seconds=1.25), GREETING) is fresh[0]
    slots, kept, _, fresh = filled(4, fresh=2, kept=2)
    assert slots.make_room(timedelta(seconds=2), GREETING) is kept[0]
    slots, _, _, fresh = filled(4, fresh=2, busy=2)
    assert slots.make_room(timedelta(seconds=2), GREETING) is None
