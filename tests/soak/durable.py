"""Jobs that were taken on by a scheduler whose folder lasts: each is owed its end, whatever happens."""

from __future__ import annotations

import asyncio
import contextlib
import time

from world import HOST

from soak.http import read_message, request
from soak.ledger import Asked

PATIENCE = 30.0  # seconds: of a job that nobody waits for in place
PAUSE = 0.3  # seconds between jobs
COLLECT_WITHIN = 30.0  # seconds after the last fault


class DurableClient:
    """Hands jobs in to one scheduler, and asks for all of them at the end."""

    def __init__(self, run, node):
        self.run, self.node = run, node
        self.taken_on = {}  # where each job that was answered 202 is asked for

    async def go_on(self):
        count = 0
        while not self.run.over:
            count += 1
            asked = Asked(f"reindex.d{self.node.number}-{count}", "reindex", self.node.number, PATIENCE)
            asked.durable, asked.sent = True, time.monotonic()
            self.run.ledger.asked[asked.id] = asked
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                line, headers, body = await self.call(request(asked, ["Prefer: respond-async"]))
                if " 202 " in line:
                    self.taken_on[asked.id] = headers["location"]
                elif " 503 " not in line:
                    self.run.ledger.found(f"{asked.id}: {line} {body[:80]!r}")
            await asyncio.sleep(PAUSE)

    async def call(self, data):
        reader, writer = await asyncio.open_connection(HOST, self.node.port)
        try:
            writer.write(data)
            return await asyncio.wait_for(read_message(reader), 5)
        finally:
            writer.close()

    async def collect(self):
        """Asks for all that were taken on."""
        until = time.monotonic() + COLLECT_WITHIN
        await asyncio.gather(*(self.collect_one(job, until) for job in self.taken_on))

    async def collect_one(self, job, until):
        heard = "was never heard of again"
        call = f"GET {self.taken_on[job]} HTTP/1.1\r\nHost: x\r\nPrefer: wait=3\r\n\r\n".encode()
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                line, headers, body = await self.call(call)
                heard = f"{line} {headers.get('job-state')} {body[:60]!r}"
                if " 200 " in line and body != f"of {job}".encode():
                    break
                if headers.get("job-state", "open") != "open":
                    return
            await asyncio.sleep(0.1)
        self.run.ledger.found(f"{job}: was taken on, and {heard} at node {self.node.number}")
