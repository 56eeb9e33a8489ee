"""Case 6: a worker repeats a call whose answer was lost, and the repeat ends a later attempt."""

import asyncio
import random

from standins2 import (
    BROKEN,
    HELD,
    TROUBLE,
    CallbackProxy,
    Case,
    Client,
    Discovery,
    Ledger,
    NotRunError,
    Scheduler,
    Worker,
    settings,
    unsafe,
)

JOBS = 200
INTERVAL = 0.19  # seconds between jobs, in the mean
DEADLINE_MS = 5000


class TurningAway(Worker):
    """A worker that takes a job and turns it away by a call when it finds that it has no room for it."""

    ports = None  # by scheduler: where its calls go

    async def tell(self, attempt, state, port=None, **more):
        """Call the scheduler that sent the job."""
        return await super().tell(attempt, state, self.ports[attempt.job.split("-")[0]], **more)

    async def take(self, attempt, reader, writer):
        """Answer 202 to every attempt; hand back, unstarted, what does not fit."""
        writer.write(b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n")
        if self.running >= self.slots and len(self.waiting) >= self.room:
            attempt.state = "returned"
            self.case.note(f"{self.name} hands back {attempt.job}, attempt {attempt.number}, unstarted")
            self.case.task(self.tell(attempt, "returned"))
        else:
            self.queue(attempt)


async def play(case):
    """Send jobs somewhat faster than the workers can run them."""
    ledger, discovery = Ledger(case), Discovery(case)
    workers = [TurningAway(case, ledger, f"s-{number}", slots=3, room=0, seconds=1.2) for number in range(2)]
    members = [await worker.listen() for worker in workers]
    await discovery.open(members)
    schedulers = []
    for position in range(2):
        site = settings(
            [unsafe()],
            membership_mode="automatic",
            instances=2,
            position=position,
            caps__second_copies=True,
            caps__try_limit=4,
            rules__drain_grace=500_000,
        )
        schedulers.append(Scheduler(case, site, discovery.port, members, name=f"n{position}"))
    for scheduler in schedulers:
        await scheduler.start()
    calls = {"returned": 0, "lost": 0}

    def loses(event):
        if not TROUBLE or event["state"] != "returned":
            return False
        calls["returned"] += 1
        lost = calls["returned"] % 2 == 1  # every second one
        calls["lost"] += lost
        return lost

    clients = [Client(case, scheduler.port, prefix=scheduler.name) for scheduler in schedulers]
    for worker in workers:
        worker.ports = {
            scheduler.name: await CallbackProxy(case, scheduler.port, loses).open()
            for scheduler in schedulers
        }
    sends, rng = [], random.Random(6)
    for _ in range(JOBS):
        sends.append(case.task(clients[rng.randrange(2)].send("assign-job", DEADLINE_MS, cost_us=1_000_000)))
        await asyncio.sleep(rng.expovariate(1 / INTERVAL))
    await asyncio.gather(*sends)
    await asyncio.sleep(0.5)
    handed_back = sum(a.state == "returned" for known in ledger.attempts.values() for a in known)
    twice = sorted(job for job, count in ledger.runs.items() if count > 1)
    served = sum(status == 200 for client in clients for status, _, _ in client.answers.values())
    text = (
        f"{JOBS} jobs, {served} served, {handed_back} attempts handed back, {calls['lost']} answers lost; "
        f"copies out at once: {len(ledger.copies)}; jobs run twice: {len(twice)} {twice[:5]}"
    )
    if not handed_back or served < JOBS // 4 or (TROUBLE and not calls["lost"]):
        raise NotRunError(text)
    return (BROKEN if twice or ledger.copies else HELD), text


def main():
    """Play the case and exit with its verdict."""
    Case(6).main(play)


if __name__ == "__main__":
    main()
