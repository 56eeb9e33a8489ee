"""File calls that fail for a while: the store is named as the fault, holds nothing, and opens afterwards."""

import errno
import os

import pytest
from store_shorthands import accepted, at

from carthinge.durable.errors import StoreError
from carthinge.durable.files import Files
from carthinge.durable.store import Store

FAULTS = (errno.ENOSPC, errno.EIO, errno.EROFS, errno.EMFILE)
CALLS = ("make_folder", "open_lock", "lock", "read")


class FaultyFiles(Files):
    """The real calls; one of them fails first."""

    def __init__(self, call, error):
        self.opened = set()
        self._call, self._error = call, error

    def _fault(self, call):
        if call == self._call:
            self._call = None
            raise OSError(self._error, os.strerror(self._error))

    def make_folder(self, folder):
        self._fault("make_folder")
        super().make_folder(folder)

    def open_lock(self, path):
        self._fault("open_lock")
        descriptor = super().open_lock(path)
        self.opened.add(descriptor)
        return descriptor

    def lock(self, descriptor):
        self._fault("lock")
        super().lock(descriptor)

    def note_owner(self, descriptor, owner):
        self._fault("note_owner")
        super().note_owner(descriptor, owner)

    def read(self, path):
        self._fault("read")
        return super().read(path)

    def close(self, descriptor):
        self.opened.discard(descriptor)
        super().close(descriptor)


@pytest.mark.parametrize("error", FAULTS, ids=errno.errorcode.get)
@pytest.mark.parametrize("call", CALLS)
def test_a_store_that_could_not_be_opened_holds_nothing_and_opens_later(tmp_path, call, error):
    files = FaultyFiles(call, error)
    store = Store(tmp_path, 10**9, files=files)
    with pytest.raises(StoreError, match=os.strerror(error)):
        store.open(at(1))
    assert not files.opened
    store.open(at(2))
    store.apply([accepted(1)], at(3))
    store.close()
    assert not files.opened


@pytest.mark.parametrize("error", FAULTS, ids=errno.errorcode.get)
def test_a_full_disk_does_not_keep_a_lock_that_nobody_can_take_again(tmp_path, error):
    """The owner's name could not be written: the lock stayed held by a descriptor that nobody knew."""
    files = FaultyFiles("note_owner", error)
    store = Store(tmp_path, 10**9, files=files)
    store.open(at(1))
    store.close()
    assert not files.opened
    Store(tmp_path, 10**9).open(at(2))
