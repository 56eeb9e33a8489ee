"""Durable jobs: each one that a scheduler has accepted must end, whatever faults occur."""

from __future__ import annotations

import asyncio
import contextlib
import time

from world import HOST

from soak.http import encode_request, read_message
from soak.ledger import Request

JOB_TIMEOUT = 30.0  # seconds; the client does not wait on the connection
SUBMIT_INTERVAL = 0.3  # seconds between jobs
COLLECT_TIMEOUT = 30.0  # seconds after the last fault


class DurableClient:
    """Submits jobs to one scheduler and collects the results at the end."""

    def __init__(self, run, node):
        self.run, self.node = run, node
        self.accepted = {}  # by job answered with 202: the path of its state

    async def send_requests(self):
        count = 0
        while not self.run.finished:
            count += 1
            request = Request(
                f"reindex.d{self.node.number}-{count}", "reindex", self.node.number, JOB_TIMEOUT
            )
            request.durable, request.sent = True, time.monotonic()
            self.run.ledger.requests[request.id] = request
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                line, headers, body = await self.send(encode_request(request, ["Prefer: respond-async"]))
                if " 202 " in line:
                    self.accepted[request.id] = headers["location"]
                elif " 503 " not in line:
                    self.run.ledger.report(f"{request.id}: {line} {body[:80]!r}")
            await asyncio.sleep(SUBMIT_INTERVAL)

    async def send(self, data):
        reader, writer = await asyncio.open_connection(HOST, self.node.port)
        try:
            writer.write(data)
            return await asyncio.wait_for(read_message(reader), 5)
        finally:
            writer.close()

    async def collect(self):
        """Wait for the end of all accepted jobs."""
        deadline = time.monotonic() + COLLECT_TIMEOUT
        await asyncio.gather(*(self.collect_one(job, deadline) for job in self.accepted))

    async def collect_one(self, job, deadline):
        last_answer = "never answered"
        query = f"GET {self.accepted[job]} HTTP/1.1\r\nHost: x\r\nPrefer: wait=3\r\n\r\n".encode()
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                line, headers, body = await self.send(query)
                last_answer = f"{line} {headers.get('job-state')} {body[:60]!r}"
                if " 200 " in line and body != f"of {job}".encode():
                    break
                if headers.get("job-state", "open") != "open":
                    return
            await asyncio.sleep(0.1)
        self.run.ledger.report(f"{job}: was accepted, then {last_answer} at node {self.node.number}")
