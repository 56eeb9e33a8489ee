"""Stub workers: each does what its plan says is wrong with it, and tells the ledger what it gets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time

from world import HOST, member

from soak.http import answer, read_message

CALLS = 5  # of a worker, until its call-back is heard
LOST_ON_ITS_WAY = 0.1  # seconds: a connection that ends so soon after a 202 may have ended before it
RESTS = 0.1  # seconds: so soon a connection counts as idle where the plan says that it is ended
ODD = 0.02  # of the attempts, in any case
ODD_WAYS = ("reset", "decline", "garbage", "mute")


class Worker:
    def __init__(self, run, number):
        self.run, self.number, self.name = run, number, f"s-{number}"
        self.phase, self.since_ms = "Ready", 0
        self.server = None
        self.tasks = set()
        self.told = {}  # when each scheduler counted as told that it leaves

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    def listed(self):
        return member(self.name, self.port, self.phase, self.since_ms)

    def way(self):
        """What it does with the next attempt."""
        for window in self.run.active(self.run.plan.windows, self.number):
            if window.kind in ("hang", "reset", "mute", "decline", "garbage", "lose"):
                return window.kind
        return self.run.rng.choice(ODD_WAYS) if self.run.rng.random() < ODD else "good"

    async def serve(self, reader, writer):
        self.run.streams.add(writer)
        last = None  # the attempt that was taken last on this connection, and when
        with contextlib.suppress(OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            while True:
                first = await self.first_byte(reader, writer)
                began = time.monotonic()
                line, headers, _ = await read_message(reader)
                if (first.decode() + line).startswith("DELETE"):
                    req_id = line.split()[1].removeprefix("/jobs/")
                    self.run.ledger.given_up(req_id, self.number)
                    writer.write(answer(204))
                    last = None
                    continue
                attempt = await self.work(reader, writer, headers, began)
                if attempt is None:
                    break
                last = (headers["req-id"], attempt, time.monotonic())
        if last is not None and time.monotonic() < last[2] + LOST_ON_ITS_WAY:  # so was the 202
            self.run.ledger.ended(*last[:2])
        self.run.streams.discard(writer)
        with contextlib.suppress(OSError):
            writer.close()

    async def first_byte(self, reader, writer):
        """Of the next request; it may close or reset a connection that rests, and sooner than it says."""
        while True:
            with contextlib.suppress(TimeoutError):
                return await asyncio.wait_for(reader.readexactly(1), RESTS)
            if self.run.active_kind("rest", self.number):
                if self.run.rng.random() < 0.5:
                    writer.transport.abort()
                raise EOFError("it is closed here")

    async def work(self, reader, writer, headers, began):
        """One attempt and its number; None where its connection ends here."""
        ledger, req_id = self.run.ledger, headers["req-id"]
        self.run.drains.attempt(self, req_id, began)
        told = float(headers["req-deadline"][:-1]) / 1000
        attempt = ledger.attempt(req_id, self.number, told, began)
        way = self.way()
        if way == "decline":
            ledger.ended(req_id, attempt, ran=False)
            writer.write(answer(503, headers=["Srv-Declined: 1"]))
            return attempt
        if way in ("reset", "garbage"):
            ledger.ended(req_id, attempt)
            if way == "garbage":
                writer.write(b"HTTP/1.1 2x2 \x00\r\n\r\n")
            else:
                writer.transport.abort()
            return None
        if way in ("hang", "mute"):
            if way == "mute":
                self.later(self.finish(req_id, attempt, headers.get("lease-token")))
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                await reader.readexactly(1)  # its end gives the attempt up
            if way == "hang":
                ledger.ended(req_id, attempt)
            return None
        token = headers.get("lease-token")
        taken = answer(202, headers=[f"Lease-Token: {token}"] if token else [])
        if self.run.active_kind("pieces", self.number):
            for at in range(0, len(taken), 9):
                writer.write(taken[at : at + 9])
                await asyncio.sleep(0.01)
        else:
            writer.write(taken)
        if way != "lose":
            self.later(self.finish(req_id, attempt, token))
        return attempt

    def later(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def finish(self, req_id, attempt, token):
        """Its work, and the call-back, which it repeats until it is heard."""
        await asyncio.sleep(self.run.rng.uniform(0.005, 0.06))
        if not self.run.ledger.is_out(req_id, attempt):
            return  # given up
        await self.call_back(req_id, "started", token)
        await asyncio.sleep(self.run.rng.uniform(0.005, 0.06))
        if not self.run.ledger.is_out(req_id, attempt):
            return
        self.run.ledger.ended(req_id, attempt)
        await self.call_back(req_id, "done", token)

    async def call_back(self, req_id, state, token):
        event = {"id": req_id, "from": self.name, "state": state, "result": f"of {req_id}"}
        if token:
            event["token"] = int(token)
        body = json.dumps(event).encode()
        data = b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        node = self.run.nodes[self.run.ledger.asked[req_id].node]
        for _ in range(CALLS):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, node.port)
                try:
                    writer.write(data)
                    await asyncio.wait_for(read_message(reader), 1)
                    return
                finally:
                    writer.close()
            await asyncio.sleep(0.1)
