"""Clients of durable jobs give up early, then ask twice at once; each request must get its answer."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HOST,
    ROOT,
    Discovery,
    Record,
    Scheduler,
    Worker,
    read_message,
    run_case,
)

WORKERS = 4
JOBS, INTERVAL = 24, 0.8  # seconds between first tries
WORK = 0.3  # seconds that a job runs
GIVES_UP_AFTER = 0.1  # seconds; the job is on disk by then and goes on
RETRY_AFTER = 2.0  # seconds after the first try: the job has long ended
DEADLINE = 4.0
LATE = 0.5  # seconds after its time from which on an answer counts as lost
DURABLE = '[durable]\nfolder = "{folder}"\nclasses = ["reindex"]\n'


class Requests:
    """Sends requests for durable jobs and notes their answers."""

    def __init__(self, scheduler: Scheduler, record: Record) -> None:
        """``scheduler``: whom they go to."""
        self._scheduler, self._record = scheduler, record
        self._count = 0

    async def ask(self, commit: str, prefer: str, wait: float) -> tuple[str, int, bytes]:
        """Send a request for a commit; return its id, and the answer's status, 0 for none, and body."""
        self._count += 1
        req_id = f"{commit}-{self._count}"
        body = json.dumps({"work": WORK}).encode()
        lines = [
            f"POST /api/{commit} HTTP/1.1",
            "Host: app.svc",
            f"Req-Id: {req_id}",
            "Req-Kind: reindex",
            "Req-Owner: acme",
            f"Req-Deadline: {DEADLINE * 1000:.0f}m",
            f"Idempotency-Key: {commit}",
            *([f"Prefer: {prefer}"] if prefer else []),
            f"Content-Length: {len(body)}",
        ]
        reader, writer = await asyncio.open_connection(HOST, self._scheduler.port)
        self._record.note("request", id=req_id, commit=commit, prefer=prefer)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        status, answer = 0, b""
        try:
            line, _, answer = await asyncio.wait_for(read_message(reader), wait)
            status = int(line.split()[1])
            self._record.note("answer", id=req_id, status=status, body=answer.decode("latin-1")[:80])
        except (OSError, EOFError, TimeoutError) as fault:
            self._record.note("client left", id=req_id, why=repr(fault))
        writer.close()
        return req_id, status, answer


async def play(record: Record, scratch: Path, trouble: bool) -> list[str]:
    """Play the case; return what breaks the rule."""
    settings = json.loads((ROOT / "tests" / "site.json").read_text())
    scheduler = Scheduler(0, settings, record, scratch)
    scheduler.operator_file = scratch / "carthinge.toml"
    scheduler.operator_file.write_text(DURABLE.replace("{folder}", str(scratch / "store")))
    workers = [Worker(f"s-{number}", record, lambda _: scheduler.port) for number in range(WORKERS)]
    for worker in workers:
        await worker.open()

    def members() -> list[dict[str, object]]:
        return [
            {
                "id": worker.name,
                "host_port": f"{HOST}:{worker.port}",
                "locality": "hall",
                "flavor": "m",
                "cell": 0,
                "phase": "Ready",
                "size": 1.0,
                "up_since_ms": 0,
            }
            for worker in workers
        ]

    discovery = Discovery(members)
    await discovery.open()
    found: list[str] = []
    try:
        scheduler.start(discovery.port, discovery.full_list())
        await scheduler.wait_until_up()
        requests = Requests(scheduler, record)
        rng = random.Random(7)
        tasks = []
        for number in range(JOBS):
            prefer = "respond-async, wait=2" if number % 2 else ""
            tasks.append(asyncio.create_task(push(requests, f"c{number:03d}", prefer, 2 if trouble else 1)))
            await asyncio.sleep(INTERVAL * rng.uniform(0.5, 1.5))
        for task in tasks:
            found += await task
        if not scheduler.alive():
            found.append("the scheduler has ended")
    finally:
        await scheduler.stop()
    return found


async def push(requests: Requests, commit: str, prefer: str, retries: int) -> list[str]:
    """Ask for a commit, give up early, and ask again later; return what breaks the rule."""
    await requests.ask(commit, prefer, GIVES_UP_AFTER)
    await asyncio.sleep(RETRY_AFTER)
    wait = DEADLINE + LATE
    answers = await asyncio.gather(*(requests.ask(commit, prefer, wait) for _ in range(retries)))
    found = [
        f"{req_id}: no final answer by {LATE} s after its deadline"
        for req_id, status, _ in answers
        if not status
    ]
    served = {answer for _, status, answer in answers if status == 200}
    found += [
        f"{req_id}: answered {status}, though the job has ended as served"
        for req_id, status, _ in answers
        if served and status not in (0, 200, 202, 429, 503)  # a refusal is harmless
    ]
    return found


def main() -> int:
    """Play the case and return its exit code."""
    return run_case(FOLDER, play, 110.0)


if __name__ == "__main__":
    sys.exit(main())
