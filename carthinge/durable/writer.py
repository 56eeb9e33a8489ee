"""Group commit: one thread writes the queued records and wakes the loop once they are on disk."""

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
from carthinge.durable.records import Accepted, FoundJob, Record
from carthinge.durable.store import Store, Time, Usage
from carthinge.net import log

MAX_BATCH_RECORDS: Final = 2000  # per transaction: its first record waits for its last
# After a batch of this size the next one is given time to grow: each batch costs the loop a turn and the
# thread its statements.
LARGE_BATCH_RECORDS: Final = 16
BATCH_DELAY: Final = timedelta(milliseconds=2)
MIN_RETRY_DELAY: Final = timedelta(milliseconds=50)  # before a failed batch is retried; doubles each time
MAX_RETRY_DELAY: Final = timedelta(seconds=2)
FORGET_INTERVAL: Final = timedelta(seconds=1)
Done = Callable[[FoundJob | None], None]
Read = Callable[[Store], object]


class Writer:
    """The store's only user while the program serves.

    ``write`` and ``read_store`` are called from the loop, and their callbacks run on the loop, in the order
    of the writes.  A batch that fails is retried until it succeeds: its records must not be lost, and no
    later one may be on disk before them.
    """

    def __init__(
        self,
        store: Store,
        clock: Callable[[], Time],
        register: Callable[[socket.socket, Callable[[int], None]], None],
    ) -> None:
        self.failing = ""  #: the last error while writing fails, else empty
        self.failures = 0
        self.commits = 0
        self.usage = Usage(0, 0)
        self._store = store
        self._clock = clock
        self._condition = Condition()
        self._records: deque[tuple[Record, Done | None]] = deque()
        self._reads: deque[tuple[Read, Callable[[object], None]]] = deque()
        self._finished: deque[tuple[Callable[[Any], None], Any]] = deque()
        self._stopping = False
        self._exiting = False  # the thread is exiting and takes no more work
        self._idle = False  # the thread waits for work, or is about to
        self._in_write = 0  # records in the batch that is being written
        self.wake_in, self._wake_out = socket.socketpair()
        self.wake_in.setblocking(False)
        self._wake_out.setblocking(False)
        register(self.wake_in, self._on_wake)
        self.start()

    # ---- called from the loop -------------------------------------------------------------

    @property
    def backlog(self) -> int:
        """Number of records that are not on disk yet."""
        return len(self._records) + self._in_write

    def write(self, record: Record, done: Done | None = None, wake: bool = True) -> None:
        """Queue a record; once on disk, ``done`` is called, with the job that already has its key, if any.

        With ``wake`` False the record may wait until the thread wakes for another reason.
        """
        self._records.append((record, done))
        if wake and self._idle:  # else it checks for more records anyway
            with self._condition:
                self._condition.notify()

    def read_store(self, read: Read, done: Callable[[object], None]) -> None:
        """Run ``read`` in the thread; ``done`` gets its result, or the StoreError that it raised."""
        with self._condition:
            self._reads.append((read, done))
            self._condition.notify()

    def start(self) -> None:
        """Start the writing thread."""
        self._stopping = self._exiting = False
        self._thread = Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def request_stop(self) -> None:
        """Ask the thread to write pending records and exit (see ``stopped``).  Does not block."""
        with self._condition:
            self._stopping = True
            self._condition.notify()

    def resume(self) -> None:
        """Continue after ``request_stop``, whether or not the thread has exited since.

        The thread may still be blocked in a disk call, and a store must not have two threads.
        """
        with self._condition:
            exiting = self._exiting
            self._stopping = False
        if exiting:
            self._thread.join()
            self.start()

    def stop(self, timeout: timedelta) -> bool:
        """Write pending records and end the thread; return False if not all could be written.  Blocks."""
        self.request_stop()
        self._thread.join(timeout.total_seconds())
        return self.stopped and not self._records

    @property
    def stopped(self) -> bool:
        """Whether the thread has exited."""
        return not self._thread.is_alive()

    @property
    def unwritten(self) -> bool:
        """Whether records are queued that are not on disk."""
        return bool(self._records)

    def close(self) -> None:
        """Close the sockets that wake the loop; the thread must have exited."""
        self.wake_in.close()
        self._wake_out.close()

    def _on_wake(self, _: int) -> None:
        try:
            while self.wake_in.recv(4096):
                pass
        except BlockingIOError:
            pass
        self.deliver()

    def deliver(self) -> None:
        """Run the callbacks of finished writes and reads."""
        for _ in range(len(self._finished)):
            call, result = self._finished.popleft()
            call(result)

    # ---- run in the thread ----------------------------------------------------------------

    def _run(self) -> None:
        last_forget = timedelta(microseconds=self._clock().now)
        self._update_usage()
        while True:
            with self._condition:
                self._idle = True  # set before the check: a record queued after it notifies
                if not (self._records or self._reads or self._stopping):
                    self._condition.wait(FORGET_INTERVAL.total_seconds())
                self._idle = False
                batch = [self._records.popleft() for _ in range(min(MAX_BATCH_RECORDS, len(self._records)))]
                reads, self._reads = self._reads, deque()
                self._in_write = len(batch)
                stopping = self._stopping and not self._records
            if batch:
                try:
                    written = self._commit(batch)
                except Exception as fault:  # a defect: if the thread died silently, all would wait for ever
                    log.logger().error("store_broken", why=repr(fault), path=str(self._store.path))
                    self.failing = repr(fault)
                    self.failures += 1
                    self._requeue(batch)
                    self._exiting = True
                    return
                if not written:
                    self._requeue(batch)
            for read, done in reads:
                self._run_read(read, done)
            now = timedelta(microseconds=self._clock().now)
            if now >= last_forget + FORGET_INTERVAL and not stopping:
                last_forget = now
                self._forget()
            with self._condition:
                cannot_write = self._records and self.failing
                if self._stopping and not self._reads and (cannot_write or not self._records):
                    self._exiting = True
                    return

    def _requeue(self, batch: list[tuple[Record, Done | None]]) -> None:
        with self._condition:
            self._records.extendleft(reversed(batch))
            self._in_write = 0

    def _commit(self, batch: list[tuple[Record, Done | None]]) -> bool:
        """Commit a batch, with retries; False if it is not written and the thread was asked to stop."""
        retry_delay = MIN_RETRY_DELAY
        while True:
            try:
                existing = self._store.apply([record for record, _ in batch], self._clock())
                break
            except sqlite3.Error as fault:
                if not self.failing:
                    log.logger().error("store_failing", why=str(fault), path=str(self._store.path))
                self.failing = str(fault)
                self.failures += 1
            self._forget()  # which may free space
            with self._condition:
                self._condition.wait_for(lambda: self._stopping, retry_delay.total_seconds())
                if self._stopping:
                    return False
            retry_delay = min(2 * retry_delay, MAX_RETRY_DELAY)
        if self.failing:
            log.logger().info("store_well", path=str(self._store.path))
            self.failing = ""
        self.commits += 1
        self._in_write = 0
        self._update_usage()  # each time: admission checks it, and one second can fill a small store
        if existing:
            self._finished.extend(
                (done, existing.get(record.number) if isinstance(record, Accepted) else None)
                for record, done in batch
                if done is not None
            )
        else:
            self._finished.extend((done, None) for _, done in batch if done is not None)
        self._wake()
        if len(batch) >= LARGE_BATCH_RECORDS:
            time.sleep(BATCH_DELAY.total_seconds())
        return True

    def _run_read(self, read: Read, done: Callable[[object], None]) -> None:
        try:
            result = read(self._store)
        except (StoreError, sqlite3.Error) as fault:
            result = fault if isinstance(fault, StoreError) else StoreError(f"{self._store.path}: {fault}")
        self._finished.append((done, result))
        self._wake()

    def _forget(self) -> None:
        try:
            while self._store.forget(self._clock().now) and not self._records:
                pass
            self._update_usage()
        except sqlite3.Error as fault:
            log.logger().warning("store_not_cleared", why=str(fault))

    def _update_usage(self) -> None:
        try:
            self.usage = self._store.usage()
        except sqlite3.Error as fault:
            log.logger().warning("store_not_cleared", why=str(fault))

    def _wake(self) -> None:
        try:
            self._wake_out.send(b"x")
        except BlockingIOError:  # the loop has wake-ups pending
            pass
        except OSError:  # the sockets are closed
            pass
