"""Ever new names of workers and schedulers must not make the program's memory grow."""

from datetime import timedelta

import pytest
from in_process import set_workers
from world import member

from carthinge.fleet import membership_limits
from carthinge.fleet.membership import Membership
from carthinge.fleet.packets import MemberState, Packet, PacketKind
from carthinge.interface import Listing
from carthinge.net.members import Member, MemberList
from carthinge.worker_list import MAX_GONE_WORKERS, MAX_LISTED_WORKERS


def members(prefix, count, phase="Ready"):
    return [Member(f"{prefix}{number}", "127.0.0.1:9", phase) for number in range(count)]


def apply(program, listed, listing=Listing.WHOLE):
    program.tracker.emit(program.directory.apply_list(MemberList(99, True, listed), listing))
    program.tracker.decide()


def test_workers_under_ever_new_names_are_forgotten(serve):
    program = serve()
    for generation in range(12):
        apply(program, members(f"s-{generation}-", 1000))
    directory, fleet = program.directory, program.dispatcher.fleet
    known = 1000 + MAX_GONE_WORKERS
    assert len(directory.targets) == known and len(directory._members) <= known
    assert len(directory._starts) <= known and len(directory.listed) == 1000
    assert len(fleet.workers) <= MAX_LISTED_WORKERS + MAX_GONE_WORKERS
    assert len(fleet.pool(-1)) == 1000


def test_list_of_too_many_workers_is_rejected(serve):
    program = serve()
    apply(program, members("s-", 10))
    with pytest.raises(ValueError, match="workers"):
        apply(program, members("t-", MAX_LISTED_WORKERS + 1))
    assert len(program.directory.listed) == 10


def test_changes_that_add_too_many_workers_are_rejected(serve):
    program = serve()
    apply(program, members("s-", MAX_LISTED_WORKERS - 1))
    apply(program, members("t-", 1), Listing.CHANGES)
    with pytest.raises(ValueError, match="workers"):
        apply(program, members("u-", 1), Listing.CHANGES)
    apply(program, members("t-", 1, "Gone"), Listing.CHANGES)
    apply(program, members("u-", 1), Listing.CHANGES)


def test_forgotten_worker_may_be_listed_again(serve):
    program = serve()
    set_workers(program, member("s-first", 9))
    for generation in range(8):
        apply(program, members(f"s-{generation}-", 1000))
    apply(program, members("s-first", 1), Listing.CHANGES)
    assert "s-first0" in program.directory.ready


def packet(number, name, incarnation=1):
    return Packet(PacketKind.GOSSIP, name, f"127.0.0.1:{1 + number}", incarnation)


def make_membership():
    return Membership("own", "127.0.0.1:1", (), timedelta(seconds=1), 1, 1, timedelta())


def test_schedulers_under_ever_new_names_are_bounded():
    membership = make_membership()
    for number in range(3 * membership_limits.MAX_MEMBERS):
        membership.handle_packet(timedelta(milliseconds=number), packet(number % 60000, f"n{number}"))
        if number % 100 == 0:  # most of them are dead soon
            for known in list(membership.members.values())[:-50]:
                membership._set_state(timedelta(milliseconds=number), known, MemberState.DEAD)
    limit = membership_limits.MAX_MEMBERS
    assert len(membership.members) <= limit
    assert len(membership._ping_order) <= 2 * limit and len(membership._gossip_order) <= 2 * limit
    assert len(membership._by_address) <= 2 * limit


def test_scheduler_under_ever_new_addresses_is_bounded():
    membership = make_membership()
    for number in range(5000):
        membership.handle_packet(timedelta(milliseconds=number), packet(number, "n1", incarnation=number + 1))
    assert len(membership._by_address) <= 2
