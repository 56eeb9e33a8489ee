"""Stub workers: they fail as the plan says, and record what they receive in the ledger."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time

from world import HOST, member

from soak.http import encode_answer, read_message

MAX_CALLBACK_TRIES = 5  # tries of a worker to deliver a callback
LOST_ANSWER_TIME = 0.1  # seconds: if a connection ends this soon after a 202, the 202 may be lost
IDLE_AFTER = 0.1  # seconds after which the fault "rest" treats a connection as idle
RANDOM_FAULT_SHARE = 0.02  # share of the attempts that fail outside fault windows
CROWD_PREFIX = "crowd-"
RANDOM_FAULTS = ("reset", "decline", "garbage", "mute")


class Worker:
    def __init__(self, run, number):
        self.run, self.number, self.name = run, number, f"s-{number}"
        self.phase, self.since_ms = "Ready", 0
        self.server = None
        self.tasks = set()
        self.known_at = {}  # by scheduler: when it had to know of the drain

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        return member(self.name, self.port, self.phase, self.since_ms)

    def next_behaviour(self):
        """Return what the worker does with the next attempt."""
        for window in self.run.active(self.run.plan.windows, self.number):
            if window.kind in ("hang", "reset", "mute", "decline", "garbage", "lose"):
                return window.kind
        return self.run.rng.choice(RANDOM_FAULTS) if self.run.rng.random() < RANDOM_FAULT_SHARE else "good"

    async def serve(self, reader, writer):
        self.run.writers.add(writer)
        last = None  # the last attempt accepted on this connection, and when
        with contextlib.suppress(OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            while True:
                first = await self.read_first_byte(reader, writer)
                began = time.monotonic()
                line, headers, _ = await read_message(reader)
                if (first.decode() + line).startswith("DELETE"):
                    req_id = line.split()[1].removeprefix("/jobs/")
                    self.run.ledger.attempts_withdrawn(req_id, self.number)
                    writer.write(encode_answer(204))
                    last = None
                    continue
                attempt = await self.handle_attempt(reader, writer, headers, began)
                if attempt is None:
                    break
                last = (headers["req-id"], attempt, time.monotonic())
        if last is not None and time.monotonic() < last[2] + LOST_ANSWER_TIME:  # the 202 may be lost
            self.run.ledger.attempt_ended(*last[:2])
        self.run.writers.discard(writer)
        with contextlib.suppress(OSError):
            writer.close()

    async def read_first_byte(self, reader, writer):
        """Read a request's first byte; may close or reset an idle connection before its idle timeout."""
        while True:
            with contextlib.suppress(TimeoutError):
                return await asyncio.wait_for(reader.readexactly(1), IDLE_AFTER)
            if self.run.active_kind("rest", self.number):
                if self.run.rng.random() < 0.5:
                    writer.transport.abort()
                raise EOFError("the worker closes the connection")

    async def handle_attempt(self, reader, writer, headers, began):
        """Handle one attempt; return its number, or None if the connection is to be closed."""
        ledger, req_id = self.run.ledger, headers["req-id"]
        if req_id.startswith(CROWD_PREFIX):
            writer.write(encode_answer(202))
            self.start_task(self.end_crowd_job(req_id))
            return 0
        self.run.drains.check_attempt(self, req_id, began)
        remaining = float(headers["req-deadline"][:-1]) / 1000
        attempt = ledger.record_attempt(req_id, self.number, remaining, began)
        behaviour = self.next_behaviour()
        if behaviour == "decline":
            ledger.attempt_ended(req_id, attempt, ran=False)
            writer.write(encode_answer(503, headers=["Srv-Declined: 1"]))
            return attempt
        if behaviour in ("reset", "garbage"):
            ledger.attempt_ended(req_id, attempt)
            if behaviour == "garbage":
                writer.write(b"HTTP/1.1 2x2 \x00\r\n\r\n")
            else:
                writer.transport.abort()
            return None
        if behaviour in ("hang", "mute"):
            if behaviour == "mute":
                self.start_task(self.run_job(req_id, attempt, headers.get("lease-token")))
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                await reader.readexactly(1)  # the end of the connection withdraws the attempt
            if behaviour == "hang":
                ledger.attempt_ended(req_id, attempt)
            return None
        token = headers.get("lease-token")
        accepted = encode_answer(202, headers=[f"Lease-Token: {token}"] if token else [])
        if self.run.active_kind("pieces", self.number):
            for at in range(0, len(accepted), 9):
                writer.write(accepted[at : at + 9])
                await asyncio.sleep(0.01)
        else:
            writer.write(accepted)
        if behaviour != "lose":
            self.start_task(self.run_job(req_id, attempt, token))
        return attempt

    async def end_crowd_job(self, req_id):
        """Report the end of a crowd's job, once; nothing of it is recorded."""
        body = json.dumps({"id": req_id, "from": self.name, "state": "done", "result": ""}).encode()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            reader, writer = await asyncio.open_connection(HOST, int(req_id.split("-")[1]))
            writer.write(b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            with contextlib.suppress(asyncio.IncompleteReadError, TimeoutError):
                await asyncio.wait_for(read_message(reader), 1)
            writer.close()

    def start_task(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_job(self, req_id, attempt, token):
        """Run the job and send its callbacks, each repeated until it is answered."""
        await asyncio.sleep(self.run.rng.uniform(0.005, 0.06))
        if not self.run.ledger.is_open(req_id, attempt):
            return  # withdrawn
        await self.send_callback(req_id, "started", token)
        await asyncio.sleep(self.run.rng.uniform(0.005, 0.06))
        if not self.run.ledger.is_open(req_id, attempt):
            return
        self.run.ledger.attempt_ended(req_id, attempt)
        await self.send_callback(req_id, "done", token)

    async def send_callback(self, req_id, state, token):
        event = {"id": req_id, "from": self.name, "state": state, "result": f"of {req_id}"}
        if token:
            event["token"] = int(token)
        body = json.dumps(event).encode()
        data = b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        node = self.run.nodes[self.run.ledger.requests[req_id].node]
        for _ in range(MAX_CALLBACK_TRIES):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, node.port)
                try:
                    writer.write(data)
                    await asyncio.wait_for(read_message(reader), 1)
                    return
                finally:
                    writer.close()
            await asyncio.sleep(0.1)
