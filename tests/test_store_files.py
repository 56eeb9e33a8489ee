"""File calls that fail once: opening raises StoreError, leaks no descriptor, and succeeds afterwards."""

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
    """Makes the real calls; the chosen one fails the first time."""

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
def test_failed_open_leaks_nothing_and_can_be_retried(tmp_path, call, error):
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
def test_failed_owner_write_does_not_leak_lock(tmp_path, error):
    """If the owner's name could not be written, the lock stayed held by a leaked descriptor."""
    files = FaultyFiles("note_owner", error)
    store = Store(tmp_path, 10**9, files=files)
    store.open(at(1))
    store.close()
    assert not files.opened
    Store(tmp_path, 10**9).open(at(2))
