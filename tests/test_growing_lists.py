"""Ever new names of workers must not make the program's memory grow."""

import pytest
from in_process import set_workers
from world import member

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
