"""Case 9: an upgrade beside bad clients; both processes together go over the memory of the scheduler."""

import asyncio
import socket
from pathlib import Path

from standins2 import (
    BROKEN,
    HELD,
    HOST,
    ROOT,
    TROUBLE,
    Case,
    Client,
    Discovery,
    Ledger,
    NotRunError,
    Scheduler,
    Worker,
    keyed,
    safe,
    settings,
)

MEMORY_MB = 64
SOCKETS = 1024
CONNECTIONS = 250  # of bad clients; under a third of the descriptors
SECONDS = 12.0  # of bad clients
UPGRADE_AT = 4.0  # seconds after their start
READY_WITHIN = 6.0  # seconds that a new version has
KILL_AFTER = 3.0 + 0.7  # seconds from SIGTERM: the longest deadline (3 s where it is longer) plus 0.7 s
SAMPLE = 0.05  # seconds
INTERVAL = 0.2  # seconds between jobs of sound clients


def memory(pid):
    """Return the memory of a process in MB, its share of what it shares with others included."""
    try:
        lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    except OSError:  # it has ended
        return 0.0
    return next((int(line.split()[1]) / 1024 for line in lines if line.startswith("Pss:")), 0.0)


class Meter:
    """Measures the memory of all processes of the scheduler together, with its files."""

    def __init__(self, case, folder):
        """``folder``: the scheduler's TMPDIR, whose files are counted as memory."""
        self.case, self.folder, self.pids = case, folder, []
        self.peak, self.peak_alone, self.over = 0.0, 0.0, 0

    async def run(self):
        """Sample until the end of the case."""
        while True:
            each = [memory(pid) for pid in self.pids]
            files = sum(path.stat().st_size for path in self.folder.iterdir() if path.is_file()) / (1 << 20)
            total = sum(each) + files
            if len(self.pids) == 1:
                self.peak_alone = max(self.peak_alone, total)
            if total > MEMORY_MB:
                self.over += 1
                self.case.note(f"OVER: {total:.1f} MB of {MEMORY_MB} ({', '.join(f'{x:.1f}' for x in each)})")
            elif total > self.peak:
                self.case.note(f"memory {total:.1f} MB ({', '.join(f'{x:.1f}' for x in each)})")
            self.peak = max(self.peak, total)
            await asyncio.sleep(SAMPLE)


async def play(case):
    """Upgrade the scheduler beside bad clients."""
    ledger, discovery = Ledger(case), Discovery(case)
    workers = [Worker(case, ledger, f"s-{number}", slots=2, room=4, seconds=0.3) for number in range(3)]
    members = [await worker.listen() for worker in workers]
    await discovery.open(members)
    listening = socket.create_server((HOST, 0), backlog=1024)
    scheduler = Scheduler(
        case,
        settings([safe(), keyed()]),
        discovery.port,
        members,
        fd=listening,
        memory_mb=MEMORY_MB,
        sockets=SOCKETS,
    )
    old = await scheduler.start()
    meter = Meter(case, scheduler.tmp)
    meter.pids.append(old.pid)
    case.task(meter.run())
    for worker in workers:
        worker.callback_port = scheduler.port
    if TROUBLE:
        arguments = [str(scheduler.port), str(CONNECTIONS), str(SECONDS)]
        program = str(ROOT / "review" / "9" / "crowd.py")
        crowd = await asyncio.create_subprocess_exec(
            str(ROOT / ".venv" / "bin" / "python"), program, *arguments, stderr=asyncio.subprocess.DEVNULL
        )
        case.processes.append(crowd)
    client, sends = Client(case, scheduler.port), []

    async def traffic():
        while True:
            sends.append(case.task(client.send("query", 5000, cost_us=300_000)))
            await asyncio.sleep(INTERVAL)

    sending = case.task(traffic())
    await asyncio.sleep(UPGRADE_AT)
    began = case.now()
    new = await scheduler.start(wait=False)
    meter.pids.append(new.pid)
    await scheduler.wait_ready()
    if case.now() - began > READY_WITHIN:
        raise NotRunError("the new version was not ready in time")
    old.terminate()
    case.note(f"SIGTERM to the old process {old.pid}")
    try:
        await asyncio.wait_for(old.wait(), KILL_AFTER)
    except TimeoutError:
        old.kill()
        case.note("SIGKILL to the old process")
    await asyncio.sleep(2)
    sending.cancel()
    await asyncio.gather(*sends)
    served = sum(status == 200 for status, _, _ in client.answers.values())
    text = (
        f"limit {MEMORY_MB} MB; before the upgrade {meter.peak_alone:.1f} MB at most, with both processes "
        f"{meter.peak:.1f} MB; {meter.over} samples over the limit; {served} of {len(sends)} jobs served"
    )
    if meter.peak_alone > MEMORY_MB:
        raise NotRunError(f"one process alone is over the limit: {text}")
    return (BROKEN if meter.over else HELD), text


def main():
    """Play the case and exit with its verdict."""
    Case(9).main(play)


if __name__ == "__main__":
    main()
