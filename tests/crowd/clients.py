"""A crowd of hostile clients: ``python -m crowd.clients KIND HOST PORT SECONDS CONNECTIONS``.

Prints a JSON object when it ends: what became of the connections, and the longest time that one was left
without an answer or a close after its client had stopped writing, and the slowest turn of its own loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import sys
import time
from collections import Counter

BODY_BYTES = 65536  # the largest body that a message may have
MISSING_BYTES = 500  # that a client which stops half way keeps back
SLOW_PART_INTERVAL = 0.3  # seconds
RECONNECT_DELAY = 0.02  # seconds
FLOOD_WINDOW = 8  # requests that a flood has unanswered on its connection
TURN_CHECK_INTERVAL = 0.01  # seconds
PARTS_BYTES = 4096  # of a head that comes in pieces

ID_PREFIX = f"crowd-{sys.argv[3] if len(sys.argv) > 3 else 0}-"  # with the scheduler's port

numbers = itertools.count(time.monotonic_ns())  # no two crowds use an id


def job_head(length, deadline="3000m", kind="query"):
    number = next(numbers)
    return (
        f"POST /api/{number:016x} HTTP/1.1\r\nHost: x\r\nReq-Id: {ID_PREFIX}{number}\r\nReq-Kind: {kind}\r\n"
        f"Req-Owner: acme\r\nReq-Deadline: {deadline}\r\nContent-Length: {length}\r\n"
    ).encode()


def large_job(**more):
    return job_head(BODY_BYTES, **more) + b"\r\n" + bytes(BODY_BYTES)


def many_fields(fields=12000):
    return job_head(2) + b"".join(b"%x:\r\n" % number for number in range(fields))


class Crowd:
    def __init__(self, host, port, seconds):
        self.address = (host, port)
        self.ends = time.monotonic() + seconds
        self.answers = Counter()
        self.longest_wait = 0.0  # seconds from the last byte of a request, or a part of one, to its end
        self.slowest_turn = 0.0  # seconds

    async def measure_turns(self):
        while time.monotonic() < self.ends:
            began = time.monotonic()
            await asyncio.sleep(TURN_CHECK_INTERVAL)
            self.slowest_turn = max(self.slowest_turn, time.monotonic() - began - TURN_CHECK_INTERVAL)

    async def repeat(self, behaviour):
        while time.monotonic() < self.ends:
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection(*self.address, limit=1 << 20)
                self.answers["connected"] += 1
                try:
                    await asyncio.wait_for(
                        behaviour(self, reader, writer), max(0.01, self.ends - time.monotonic())
                    )
                except TimeoutError:
                    pass
                finally:
                    writer.transport.abort()
            await asyncio.sleep(RECONNECT_DELAY)

    async def wait_for_end(self, reader, writing=False):
        """Wait for an answer or a close, and note how long that took unless the client goes on writing."""
        began = time.monotonic()
        try:
            self.count((await reader.readuntil(b"\r\n\r\n")).split(b" ", 2)[1])
        except (asyncio.IncompleteReadError, ConnectionError):
            self.answers["closed"] += 1
        finally:
            if not writing:  # such a client may take 10 s
                self.longest_wait = max(self.longest_wait, time.monotonic() - began)

    def count(self, status):
        self.answers[status.decode()] += 1


async def stop_in_body(crowd, reader, writer):
    writer.write(large_job()[:-MISSING_BYTES])
    await crowd.wait_for_end(reader)


async def write_slowly(crowd, reader, writer):
    data = large_job()
    writer.write(data[:-MISSING_BYTES])
    answer = asyncio.create_task(crowd.wait_for_end(reader, writing=True))
    for at in range(len(data) - MISSING_BYTES, len(data), 8):
        if answer.done():
            return
        writer.write(data[at : at + 8])
        await asyncio.sleep(SLOW_PART_INTERVAL)
    await answer


async def stop_in_fields(crowd, reader, writer):
    writer.write(many_fields())
    await crowd.wait_for_end(reader)


async def write_fields_slowly(crowd, reader, writer):
    data = many_fields()
    answer = asyncio.create_task(crowd.wait_for_end(reader, writing=True))
    for at in range(0, len(data), PARTS_BYTES):
        if answer.done():
            return
        writer.write(data[at : at + PARTS_BYTES])
        await asyncio.sleep(SLOW_PART_INTERVAL / 4)
    await answer


async def long_value(crowd, reader, writer):
    writer.write(job_head(2) + b"X-Long: " + b"y" * 120_000)
    await crowd.wait_for_end(reader)


async def send_ahead(crowd, reader, writer):
    """Send as many large requests at once as a connection may, and leave before they are all answered."""
    for _ in range(7):
        writer.write(large_job())
    await crowd.wait_for_end(reader)
    await asyncio.sleep(1)


async def never_read(crowd, reader, writer):
    """Ask for counters without end and read nothing."""
    writer.transport.pause_reading()
    while True:
        writer.write(b"GET /counters HTTP/1.1\r\nHost: x\r\n\r\n" * 4)
        await writer.drain()
        await asyncio.sleep(0.005)


async def rest_after_large(crowd, reader, writer):
    """Send a large request that is rejected at once, and rest."""
    writer.write(b"POST /nothing HTTP/1.1\r\nHost: x\r\nContent-Length: 65536\r\n\r\n" + bytes(BODY_BYTES))
    await crowd.wait_for_end(reader)
    await asyncio.sleep(2)


async def send_and_leave(crowd, reader, writer):
    writer.write(large_job(deadline="60000m"))
    await writer.drain()
    await asyncio.sleep(0.01)


async def wait_for_job(crowd, reader, writer):
    writer.write(large_job())
    await crowd.wait_for_end(reader)


async def flood(crowd, reader, writer, make, window=FLOOD_WINDOW, batch=1):
    """Send requests at full speed on one connection, ``window`` of them unanswered at most."""
    unanswered = 0
    while time.monotonic() < crowd.ends:
        while unanswered < window:
            writer.write(b"".join(make() for _ in range(batch)))
            unanswered += batch
        await writer.drain()
        data = await reader.read(65536)
        if not data:
            crowd.answers["closed"] += 1
            return
        arrived = data.count(b"HTTP/1.1 ")
        crowd.answers["answers"] += arrived
        unanswered = max(0, unanswered - arrived)


async def blast(crowd, reader, writer, make, batch=512):
    """Send requests without waiting for answers, which are read as they come."""

    async def read():
        while data := await reader.read(65536):
            crowd.answers["answers"] += data.count(b"HTTP/1.1 ")

    reading = asyncio.create_task(read())
    try:
        while not reading.done():
            writer.write(b"".join(make() for _ in range(batch)))
            await writer.drain()
            await asyncio.sleep(0)
    finally:
        reading.cancel()
    crowd.answers["closed"] += 1


def small_up():
    return b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"


def small_unsound():
    number = next(numbers)
    return (
        f"POST /api/{number:x} HTTP/1.1\r\nReq-Id: u-{number}\r\nReq-Kind: k{number}\r\n"
        f"Req-Owner: t{number}\r\nReq-Deadline: 100m\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def small_job():
    return job_head(0, deadline="200m") + b"\r\n"


def small_callback():
    body = json.dumps({"id": f"c-{next(numbers)}", "from": f"w-{next(numbers)}", "state": "done"}).encode()
    return b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def flooding(make, how=flood, **more):
    return lambda crowd, reader, writer: how(crowd, reader, writer, make, **more)


BEHAVIOURS = {
    "stop_in_body": stop_in_body,
    "write_slowly": write_slowly,
    "stop_in_fields": stop_in_fields,
    "write_fields_slowly": write_fields_slowly,
    "long_value": long_value,
    "send_ahead": send_ahead,
    "never_read": never_read,
    "rest_after_large": rest_after_large,
    "send_and_leave": send_and_leave,
    "wait_for_job": wait_for_job,
    "flood_up": flooding(small_up),
    "flood_unsound": flooding(small_unsound),
    "flood_jobs": flooding(small_job),
    "steady_jobs": flooding(small_job, window=1),
    "flood_callbacks": flooding(small_callback),
    "blast_up": flooding(small_up, blast),
    "blast_unsound": flooding(small_unsound, blast),
    "blast_jobs": flooding(small_job, blast),
    "blast_callbacks": flooding(small_callback, blast),
}
SLOW = ("stop_in_body", "write_slowly", "stop_in_fields", "write_fields_slowly", "long_value")
ALL_CROWDS = (*SLOW, "send_ahead", "never_read", "rest_after_large", "send_and_leave", "wait_for_job")


async def main():
    kind, host, port, seconds, count = sys.argv[1:]
    crowd = Crowd(host, int(port), float(seconds))
    kinds = {"mixed": ALL_CROWDS, "slow": SLOW}.get(kind, (kind,))
    await asyncio.gather(
        crowd.measure_turns(),
        *(crowd.repeat(BEHAVIOURS[kinds[number % len(kinds)]]) for number in range(int(count))),
    )
    times = {"longest_wait": round(crowd.longest_wait, 3), "slowest_turn": round(crowd.slowest_turn, 3)}
    print(json.dumps({**times, **crowd.answers}))


if __name__ == "__main__":
    asyncio.run(main())
