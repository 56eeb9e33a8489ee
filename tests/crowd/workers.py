"""Stub workers: ``python -m crowd.workers COUNT BEHAVIOUR``.

Prints their ports, reads the scheduler's host and port from its standard input, runs until that is closed,
and prints the ids that were sent to a worker while an earlier attempt had neither ended nor been given up.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys

RUN_TIME = 0.02  # seconds
ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
    await reader.readexactly(int(fields.get("Content-Length", 0)))
    method, target = head.split(" ", 2)[:2]
    return method, fields.get("Req-Id", target.removeprefix("/jobs/"))


class Worker:
    def __init__(self, behaviour, open_ids, copies):
        """``open_ids``: of the attempts at all workers.  ``copies``: ids sent beside an open attempt."""
        self.behaviour, self.open_ids, self.copies = behaviour, open_ids, copies
        self.scheduler = self.server = None
        self.tasks = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20, backlog=512)
        return self.port

    @property
    def port(self):
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                method, req_id = await read_request(reader)
                if method == "DELETE":
                    self.open_ids.discard(req_id)
                    if self.behaviour != "hang":
                        writer.write(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")
                    continue
                if req_id in self.open_ids:
                    self.copies.append(req_id)
                self.open_ids.add(req_id)
                if self.behaviour == "hang":
                    await reader.read()
                    self.open_ids.discard(req_id)
                    return
                writer.write(ACCEPTED)
                if self.behaviour != "silent":
                    task = asyncio.create_task(self.run(req_id))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
        writer.close()

    async def run(self, req_id):
        await asyncio.sleep(RUN_TIME)
        self.open_ids.discard(req_id)
        event = {"id": req_id, "from": f"s-extra-{self.port}", "state": "done", "result": f"of {req_id}"}
        body = json.dumps(event).encode()
        for _ in range(10):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(*self.scheduler)
                writer.write(b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                try:
                    await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
                    return
                finally:
                    writer.close()
            await asyncio.sleep(0.1)


async def main():
    count, behaviour = sys.argv[1:]
    open_ids, copies = set(), []
    workers = [Worker(behaviour, open_ids, copies) for _ in range(int(count))]
    print(json.dumps([await worker.open() for worker in workers]), flush=True)
    host, port = (await asyncio.to_thread(sys.stdin.readline)).split()
    for worker in workers:
        worker.scheduler = (host, int(port))
    await asyncio.to_thread(sys.stdin.read)
    print(json.dumps(copies), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
