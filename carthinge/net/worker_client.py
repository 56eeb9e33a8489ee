"""WorkerClient: attempts as HTTP calls to workers, over connections that are kept and used again."""

from __future__ import annotations

import socket
from collections import OrderedDict
from collections.abc import Callable, Iterator
from datetime import timedelta
from http import HTTPStatus
from typing import Final

from carthinge.interface import Result
from carthinge.net import log
from carthinge.net.caller import Caller
from carthinge.net.close_reason import CloseReason
from carthinge.net.counters import Counters
from carthinge.net.deadlines import deadline_header
from carthinge.net.http import Address, Answer, call_bytes
from carthinge.net.load import read_load
from carthinge.net.loop import MILLISECOND, Loop
from carthinge.net.request_tracker import RequestTracker
from carthinge.net.tracked_request import Attempt
from carthinge.settings import Site

IDLE_MARGIN: Final = timedelta(milliseconds=300)  # idle connections are closed so long before workers do
DELETE_AGAIN: Final = timedelta(milliseconds=20)  # after one that was reset or could not be sent
DELETE_AGAIN_MOST: Final = timedelta(milliseconds=320)  # after several in a row
ARRIVES_WITHIN: Final = 0.4  # of the time to connect, in which the network goes to and fro: a written DELETE
ARRIVES_LEAST: Final = timedelta(milliseconds=100)  # on a fast one it is the worker that may be slow to read
LEFT: Final = "its worker leaves"
CLIENT_LEFT: Final = "its client has left"
UNUSABLE: Final = (HTTPStatus.BAD_REQUEST, HTTPStatus.NOT_FOUND)  # the request's fault, not the worker's
NEEDED: Final = ("free_slots",)  # of a load report
LATE_ANSWER: Final = 8  # times that: for an answer on which nothing depends any more


class WorkerClient:
    """The pool of connections to workers and the calls that are on them."""

    def __init__(
        self, loop: Loop, site: Site, tracker: RequestTracker, counters: Counters, most: int
    ) -> None:
        self._loop = loop
        self._site = site
        self._tracker = tracker
        self._counters = counters
        self.most = most
        self.lease = timedelta()  # how long a lease holds, where attempts have one
        self._open: set[Caller] = set()
        self._idle: OrderedDict[Caller, timedelta] = OrderedDict()  # idle since, the longest first
        self._calls: dict[Attempt, _AttemptCall] = {}
        self._sweeping = False

    def retune(self, site: Site) -> None:
        """Take other settings for calls from now on."""
        self._site = site

    def report(self, values: dict[str, float]) -> tuple[float, ...]:
        """A load report in the module's order; none where a figure is missing that the module reads."""
        site = self._site
        # Guards against a figure that nobody reads, left out or worded otherwise, taking the others with it.
        if not values or any(
            read in NEEDED and name not in values
            for name, read in zip(site.report_fields, site.decisions.report_fields, strict=True)
        ):
            return ()
        return tuple(values.get(name, 0.0) for name in site.report_fields)

    # ---- attempts -------------------------------------------------------------------------

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        caller = self._connection(attempt.target.address)
        call = self._calls[attempt] = _AttemptCall(self, caller, attempt)
        caller.start(call)

    def request_of(self, attempt: Attempt) -> bytes | None:
        """An attempt as it is written now that its connection is up; None where it must not go out any more.

        It is put together no earlier: connections come up late, and what its worker is told of the time that
        is left has to be true when it goes out.
        """
        why_not = self._tracker.why_not_sent(attempt)
        if why_not is not None:
            self._calls.pop(attempt, None)
            self.ended(attempt, Result.NOT_SENT, None, why_not)
            return None
        job = attempt.tracked.job
        headers = [
            ("Req-Id", job.id.encode()),
            deadline_header(attempt.due, self._loop.clock.now()),
            *job.headers,
        ]
        if attempt.token:
            headers += [
                ("Lease-Token", b"%d" % attempt.token),
                ("Lease-Duration", b"%dm" % (self.lease // MILLISECOND)),
            ]
        return call_bytes("POST", job.subject, str(attempt.target.address), headers, job.body)

    def stop_unsent(self) -> None:
        """Of the attempts at workers that leave, those whose connection is not up yet.

        Guards against a connection that takes longer to come up than the grace for drains is: with its
        first byte after that, the attempt would be new work for a worker that takes none.
        """
        for attempt, call in list(self._calls.items()):
            if attempt.target.left and call.caller.connecting:
                self._stop_unsent(attempt, call, LEFT)

    def client_left(self, attempt: Attempt) -> None:
        """Of an attempt whose connection is not up yet nothing may go out any more, whatever the settings
        say of withdrawals: its worker has not heard of it."""
        call = self._calls.get(attempt)
        if call is not None and call.caller.connecting:
            self._stop_unsent(attempt, call, CLIENT_LEFT)

    def _stop_unsent(self, attempt: Attempt, call: _AttemptCall, why: str) -> None:
        del self._calls[attempt]
        self._drop(call.caller, CloseReason.NOT_WANTED)
        self.ended(attempt, Result.NOT_SENT, None, why)

    def withdraw(self, attempt: Attempt, gone: Callable[[], None]) -> None:
        """Give an attempt up; ``gone`` is called once its worker cannot miss that."""
        call = self._calls.pop(attempt, None)
        if call is not None:  # before its 202 has come, closing is enough; but that may be lost on its way
            self._drop(call.caller, CloseReason.NOT_WANTED)
            if not attempt.arrived:
                self.withdrawn(attempt, "never sent")
                gone()
                return
        self._counters.withdrawn += 1
        self._delete(attempt, gone, DELETE_AGAIN)

    def _delete(self, attempt: Attempt, gone: Callable[[], None], again: timedelta) -> None:
        caller = self._connection(attempt.target.address)
        connect = self._site.connect_timeout
        within = max(ARRIVES_LEAST, ARRIVES_WITHIN * connect)
        withdrawal = _Withdrawal(self._loop, self, caller, attempt, gone, again, within)
        self._loop.call_after(LATE_ANSWER * connect, withdrawal.cut)
        caller.start(withdrawal)

    def not_withdrawn(self, attempt: Attempt, gone: Callable[[], None], again: timedelta, why: str) -> None:
        """Guards against a DELETE that was reset on its way, or never sent since its worker cannot be reached
        from here or, draining, takes no further connection: it runs the attempt all the same, and the next
        one would be a second copy.  Sent ``again`` after so long; where a worker has died, its agent tells.
        """
        log.logger().debug("not_withdrawn", id=attempt.tracked.job.id, worker=attempt.target.id, why=why)
        give_up = attempt.tracked.give_up
        if not attempt.open:
            gone()
        elif self._loop.clock.now() + again < give_up:
            self._counters.withdrawn_again += 1
            later = min(2 * again, DELETE_AGAIN_MOST)
            self._loop.call_after(again, lambda: self._delete(attempt, gone, later))
        else:  # not before: in the time that is left another attempt could follow
            self._loop.call_at(give_up, gone)

    def withdrawn(self, attempt: Attempt, how: str) -> None:
        """Its worker knows, or will before it can hear of anything sent later."""
        log.logger().debug("withdrawn", id=attempt.tracked.job.id, worker=attempt.target.id, how=how)

    def ended(self, attempt: Attempt, result: Result, answer: Answer | None, why: str) -> None:
        """The call of an attempt has told its end."""
        self._tracker.end(attempt, result, self._report_of(answer), why=why)

    def unusable(self, attempt: Attempt, why: str) -> None:
        """Hear that a worker cannot use the request."""
        self._tracker.reject(attempt, why)

    def arrived(self, attempt: Attempt) -> None:
        """Hear that the last byte of an attempt is written."""
        self._tracker.arrived(attempt)

    def takes_part(self, attempt: Attempt) -> None:
        """Its worker knows of leases, and holds one from now on."""
        keeper = attempt.tracked.keeper
        if keeper is not None and attempt.open:
            keeper.renew(attempt, False)

    def calling(self, attempt: Attempt) -> bool:
        """Its POST is under way, up to the 202."""
        return attempt in self._calls

    def over(self, attempt: Attempt) -> None:
        """The call of an attempt is over, whether or not the attempt is."""
        self._calls.pop(attempt, None)

    def forsake(self, attempt: Attempt) -> None:
        """An attempt has ended by a call-back; its 202 may be on its way still, but not for long."""
        call = self._calls.get(attempt)
        if call is not None:
            self._loop.call_after(LATE_ANSWER * self._site.connect_timeout, call.cut)

    def _report_of(self, answer: Answer | None) -> tuple[float, ...]:
        raw = answer.headers.get(b"srv-load") if answer is not None else None
        if raw is None:
            return ()
        return self.report(read_load(raw))

    # ---- connections ----------------------------------------------------------------------

    def connection(self, address: Address) -> Caller:
        """For a call that is no attempt; ``free`` takes it back."""
        return self._connection(address)

    def _connection(self, address: Address) -> Caller:
        """An idle connection, the one used last before all others, or a new one."""
        for caller in reversed(self._idle):
            if caller.address == address:
                del self._idle[caller]
                if caller.usable():
                    return caller
                # Its worker has closed it: a call on it would end as a reset, which proves nothing.
                self._drop(caller, CloseReason.WORKER_CLOSED)
                return self._connection(address)
        caller = Caller(self._loop, address, self._site.connect_timeout)
        caller.admitted = lambda: self._admit(caller)
        caller.open()
        return caller

    def _admit(self, caller: Caller) -> bool:
        """Whether one more connection may be opened; one that nobody uses makes room."""
        if caller in self._open:  # it was, and this machine was short of something else
            return True
        if len(self._open) >= self.most:
            if not self._idle:
                return False
            self._drop(next(iter(self._idle)), CloseReason.POOL_FULL)
        self._open.add(caller)
        self._counters.connections_out += 1
        return True

    def close_idle(self, address: Address) -> None:
        """Guards against connections to a worker that is restarted by hand: what is sent on them is lost."""
        for caller in [caller for caller in self._idle if caller.address == address]:
            self._drop(caller, CloseReason.WORKER_OUT)

    def adopt(self, sock: socket.socket, address: Address, idle_since: timedelta) -> None:
        """An idle connection of the process before this one."""
        caller = Caller(self._loop, address, self._site.connect_timeout)
        caller.adopt(sock)
        self._open.add(caller)
        self._keep_idle(caller, idle_since)

    def release_idle(self) -> Iterator[tuple[socket.socket, Address, timedelta]]:
        """Lets go of the connections on which nothing is under way."""
        idle, self._idle = self._idle, OrderedDict()
        for caller, since in idle.items():
            self._open.discard(caller)
            if caller.usable():
                yield caller.release(), caller.address, since
            else:
                caller.close()

    def free(self, caller: Caller) -> None:
        """A call is over: its connection is kept for the next one, if it still stands."""
        if caller.closed:
            self._drop(caller, CloseReason.UNUSABLE)
        else:
            self._keep_idle(caller, self._loop.now)

    def unused(self, caller: Caller) -> None:
        """It has come up for a call that is not wanted any more: kept from the next turn on."""
        self._loop.soon(lambda: self.free(caller))

    def _keep_idle(self, caller: Caller, since: timedelta) -> None:
        self._idle[caller] = since
        if not self._sweeping:
            self._sweeping = True
            self._loop.call_after(self._keep(), self._sweep)

    def _drop(self, caller: Caller, reason: CloseReason) -> None:
        log.logger().debug("worker_connection_closed", address=str(caller.address), why=reason.value)
        caller.close()
        self._idle.pop(caller, None)
        self._open.discard(caller)

    def _keep(self) -> timedelta:
        return max(self._site.idle_close - IDLE_MARGIN, self._site.idle_close / 2)

    def _sweep(self) -> None:
        """Closes what would soon be closed by its worker; comes again when the next one is due."""
        now = self._loop.clock.now()
        while self._idle:
            caller, since = next(iter(self._idle.items()))
            if not caller.closed and now < since + self._keep():
                self._loop.call_at(since + self._keep(), self._sweep)
                return
            self._drop(caller, CloseReason.IDLE_TOO_LONG)
        self._sweeping = False


class _AttemptCall:
    """The POST of an attempt: until its 202 the connection speaks for it, then call-backs do."""

    def __init__(self, worker_client: WorkerClient, caller: Caller, attempt: Attempt) -> None:
        self._worker_client = worker_client
        self.caller = caller
        self._attempt = attempt

    def request(self) -> bytes | None:
        data = self._worker_client.request_of(self._attempt)
        if data is None:
            self._worker_client.unused(self.caller)
        return data

    def written(self) -> None:
        self._worker_client.arrived(self._attempt)

    def answered(self, answer: Answer) -> None:
        self._worker_client.over(self._attempt)
        self._worker_client.free(self.caller)
        if answer.status == HTTPStatus.ACCEPTED:
            token = self._attempt.token
            if token and answer.headers.get(b"lease-token") == b"%d" % token:
                self._worker_client.takes_part(self._attempt)
            return
        if answer.status in UNUSABLE:
            self._worker_client.unusable(self._attempt, f"status {answer.status}")
            return
        declined = answer.headers.get(b"srv-declined") == b"1"
        unstarted = declined and answer.status in (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)
        result = Result.FULL if unstarted else Result.ERROR
        self._worker_client.ended(self._attempt, result, answer, f"status {answer.status}")

    def broken(self, written: bool, why: str) -> None:
        """Before its last byte was written an attempt cannot have run; afterwards nobody knows.

        A worker that was never tried, as this machine was short of something, is not to blame.
        """
        self._worker_client.over(self._attempt)
        self._worker_client.free(self.caller)
        unsent = Result.NOT_SENT if self.caller.short else Result.CONNECT_FAILED
        self._worker_client.ended(self._attempt, Result.RESET if written else unsent, None, why)

    def cut(self) -> None:
        if self.caller.call is self:
            self.caller.close()
            self._worker_client.over(self._attempt)
            self._worker_client.free(self.caller)


class _Withdrawal:
    """A DELETE; what the worker answers does not matter, but that it has got there does."""

    def __init__(
        self,
        loop: Loop,
        worker_client: WorkerClient,
        caller: Caller,
        attempt: Attempt,
        gone: Callable[[], None],
        again: timedelta,
        arrives_within: timedelta,
    ) -> None:
        self._loop = loop
        self._worker_client = worker_client
        self._caller = caller
        self._attempt = attempt
        self._gone = gone
        self._again = again
        self._arrives_within = arrives_within
        self._over = False

    def request(self) -> bytes:
        path = f"/jobs/{self._attempt.tracked.job.id}".encode()
        return call_bytes("DELETE", path, str(self._attempt.target.address))

    def written(self) -> None:
        """On its way, on a connection of its own: it must not be overtaken by an attempt elsewhere."""
        self._loop.call_after(self._arrives_within, lambda: self._arrived("written"))

    def answered(self, answer: Answer) -> None:
        self._arrived(f"answered {answer.status}")
        self._worker_client.free(self._caller)

    def broken(self, written: bool, why: str) -> None:
        if not self._over and (self._caller.reset or not written):
            self._over = True
            self._worker_client.not_withdrawn(self._attempt, self._gone, self._again, why)
        else:
            self._arrived(why)
        self._worker_client.free(self._caller)

    def cut(self) -> None:
        """Guards against a worker that answers nothing: its connection would be held for good."""
        if self._caller.call is self:
            self._caller.close()
            self.broken(self._over, "no answer in time")

    def _arrived(self, how: str) -> None:
        if not self._over:
            self._over = True
            self._worker_client.withdrawn(self._attempt, how)
            self._gone()
