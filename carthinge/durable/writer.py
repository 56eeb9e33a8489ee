"""Group commit: one thread that writes down what has come up, and wakes the loop when it is on disk."""

from __future__ import annotations

import socket
import sqlite3
import time
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from threading import Condition, Thread
from typing import Any, Final

from carthinge.durable.errors import StoreError
from carthinge.durable.records import Accepted, Found, Record
from carthinge.durable.store import Store, Time, Usage
from carthinge.net import log

BATCH: Final = 2000  # records of one transaction at the most: the first of them waits for the last
CROWD: Final = 16  # records of a batch, from where on the next one is given time to grow:
GATHER: Final = timedelta(milliseconds=2)  # each one costs the loop a turn, and the thread its statements
AGAIN_FIRST: Final = timedelta(milliseconds=50)  # after an error, until the same batch is tried again
AGAIN_MOST: Final = timedelta(seconds=2)
FORGET_EVERY: Final = timedelta(seconds=1)
Done = Callable[[Found | None], None]
Read = Callable[[Store], object]


class Writer:
    """The store's only user while the program serves.

    ``write`` and ``ask`` are called from the loop, and what they are given to call is called from the loop
    again, in the order in which it was written.  A batch that fails is kept and tried again until it is
    through: the records in it are owed, and nothing after it may be on disk before it.
    """

    def __init__(
        self,
        store: Store,
        clock: Callable[[], Time],
        register: Callable[[socket.socket, Callable[[int], None]], None],
    ) -> None:
        self.failing = ""  #: the fault while the disk cannot be written, empty while it can
        self.failures = 0
        self.commits = 0
        self.usage = Usage(0, 0)
        self._store = store
        self._clock = clock
        self._changed = Condition()
        self._records: deque[tuple[Record, Done | None]] = deque()
        self._reads: deque[tuple[Read, Callable[[object], None]]] = deque()
        self._done: deque[tuple[Callable[[Any], None], Any]] = deque()
        self._stopping = False
        self._ended = False  # the thread has begun nothing more and will not
        self._resting = False  # the thread waits, or is about to
        self._stuck = 0  # records of a batch that is being written
        self.wake_in, self._wake_out = socket.socketpair()
        self.wake_in.setblocking(False)
        self._wake_out.setblocking(False)
        register(self.wake_in, self._woken)
        self.start()

    # ---- the loop's side ------------------------------------------------------------------

    @property
    def backlog(self) -> int:
        """Records that are not on disk yet."""
        return len(self._records) + self._stuck

    def write(self, record: Record, done: Done | None = None, soon: bool = True) -> None:
        """``done`` hears when it is on disk, or of the job that has its key already.

        ``soon`` False: it may ride along with the next one that is.
        """
        self._records.append((record, done))
        if soon and self._resting:  # else it looks for more by itself
            with self._changed:
                self._changed.notify()

    def ask(self, read: Read, done: Callable[[object], None]) -> None:
        """Reads something; ``done`` hears what ``read`` returned, or the StoreError that it raised."""
        with self._changed:
            self._reads.append((read, done))
            self._changed.notify()

    def start(self) -> None:
        """Begins to write, in a thread of its own."""
        self._stopping = self._ended = False
        self._thread = Thread(target=self._work, name="store", daemon=True)
        self._thread.start()

    def request_stop(self) -> None:
        """The thread is to write what there is and end; ``stopped`` tells when it has.  Does not block."""
        with self._changed:
            self._stopping = True
            self._changed.notify()

    def resume(self) -> None:
        """Goes on after ``request_stop``, whether or not the thread has ended since.

        It may be in the middle of a call that a sick disk holds: there must not be two threads on one store.
        """
        with self._changed:
            ended = self._ended
            self._stopping = False
        if ended:
            self._thread.join()
            self.start()

    def stop(self, patience: timedelta) -> bool:
        """Writes what there is and ends the thread; False where the disk would not take it.  Blocks."""
        self.request_stop()
        self._thread.join(patience.total_seconds())
        return self.stopped and not self._records

    @property
    def stopped(self) -> bool:
        """Whether the thread has ended."""
        return not self._thread.is_alive()

    @property
    def unwritten(self) -> bool:
        """Something that was to be written is not on disk."""
        return bool(self._records)

    def close(self) -> None:
        """Close the sockets that wake the loop; the thread has to have ended."""
        self.wake_in.close()
        self._wake_out.close()

    def _woken(self, _: int) -> None:
        try:
            while self.wake_in.recv(4096):
                pass
        except BlockingIOError:
            pass
        self.deliver()

    def deliver(self) -> None:
        """Makes the calls that are due here."""
        for _ in range(len(self._done)):
            call, result = self._done.popleft()
            call(result)

    # ---- the thread's side ----------------------------------------------------------------

    def _work(self) -> None:
        last_forget = timedelta(microseconds=self._clock().now)
        self._measure()
        while True:
            with self._changed:
                self._resting = True  # before it looks: a record that comes after that notifies
                if not (self._records or self._reads or self._stopping):
                    self._changed.wait(FORGET_EVERY.total_seconds())
                self._resting = False
                batch = [self._records.popleft() for _ in range(min(BATCH, len(self._records)))]
                reads, self._reads = self._reads, deque()
                self._stuck = len(batch)
                stopping = self._stopping and not self._records
            if batch:
                try:
                    written = self._write(batch)
                except Exception as fault:  # a defect: with the thread gone silently, all would wait for ever
                    log.logger().error("store_broken", why=repr(fault), path=str(self._store.path))
                    self.failing = repr(fault)
                    self.failures += 1
                    self._put_back(batch)
                    self._ended = True
                    return
                if not written:
                    self._put_back(batch)
            for read, done in reads:
                self._read(read, done)
            now = timedelta(microseconds=self._clock().now)
            if now >= last_forget + FORGET_EVERY and not stopping:
                last_forget = now
                self._forget()
            with self._changed:
                unwritable = self._records and self.failing
                if self._stopping and not self._reads and (unwritable or not self._records):
                    self._ended = True
                    return

    def _put_back(self, batch: list[tuple[Record, Done | None]]) -> None:
        with self._changed:
            self._records.extendleft(reversed(batch))
            self._stuck = 0

    def _write(self, batch: list[tuple[Record, Done | None]]) -> bool:
        """False where it is not written and the thread was asked to end."""
        again = AGAIN_FIRST
        while True:
            try:
                others = self._store.apply([record for record, _ in batch], self._clock())
                break
            except sqlite3.Error as fault:
                if not self.failing:
                    log.logger().error("store_failing", why=str(fault), path=str(self._store.path))
                self.failing = str(fault)
                self.failures += 1
            self._forget()  # there may be room then
            with self._changed:
                self._changed.wait_for(lambda: self._stopping, again.total_seconds())
                if self._stopping:
                    return False
            again = min(2 * again, AGAIN_MOST)
        if self.failing:
            log.logger().info("store_well", path=str(self._store.path))
            self.failing = ""
        self.commits += 1
        self._stuck = 0
        self._measure()  # each time: the limit is held against it, and a second can fill a small store
        if others:
            self._done.extend(
                (done, others.get(record.number) if isinstance(record, Accepted) else None)
                for record, done in batch
                if done is not None
            )
        else:
            self._done.extend((done, None) for _, done in batch if done is not None)
        self._wake()
        if len(batch) >= CROWD:
            time.sleep(GATHER.total_seconds())
        return True

    def _read(self, read: Read, done: Callable[[object], None]) -> None:
        try:
            result = read(self._store)
        except (StoreError, sqlite3.Error) as fault:
            result = fault if isinstance(fault, StoreError) else StoreError(f"{self._store.path}: {fault}")
        self._done.append((done, result))
        self._wake()

    def _forget(self) -> None:
        try:
            while self._store.forget(self._clock().now) and not self._records:
                pass
            self._measure()
        except sqlite3.Error as fault:
            log.logger().warning("store_not_cleared", why=str(fault))

    def _measure(self) -> None:
        try:
            self.usage = self._store.usage()
        except sqlite3.Error as fault:
            log.logger().warning("store_not_cleared", why=str(fault))

    def _wake(self) -> None:
        try:
            self._wake_out.send(b"x")
        except BlockingIOError:  # it has not been woken from the last one yet
            pass
        except OSError:  # it has ended
            pass
