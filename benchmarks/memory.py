"""Memory of a scheduler under load, with short and with long deadlines: ended jobs must not use memory.

    python benchmarks/memory.py [--quick]

Closed loop, 200 clients, 40 workers that serve at once.  The last line is JSON: megabytes at rest, in the
middle and at the end of each run, and its jobs per second.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import shutil
import time

from harness import Connection, FleetProcess, Scheduler


async def run(deadline_ms: int, seconds: float) -> dict[str, float]:
    fleet = FleetProcess(40)
    scheduler = Scheduler(fleet.members)
    fleet.set_callback_address(scheduler.host, scheduler.port)
    scheduler.start()
    await scheduler.wait_until_up()
    result: dict[str, float] = {"rest_mb": round(scheduler.rss_mb(), 1)}
    began, served = time.monotonic(), 0

    async def client(number: int) -> None:
        nonlocal served
        connection, step = Connection(scheduler.host, scheduler.port), 0
        while time.monotonic() < began + seconds:
            step += 1
            status, _, _ = await connection.call(
                "POST",
                "/api/x",
                {
                    "Req-Id": f"{number}-{step}",
                    "Req-Kind": "query",
                    "Req-Owner": "acme",
                    "Req-Deadline": f"{deadline_ms}m",
                },
                b"{}",
            )
            served += status == 200
        connection.close()

    async def sample() -> None:
        for fraction, name in ((0.5, "middle_mb"), (0.95, "end_mb")):
            await asyncio.sleep(began + fraction * seconds - time.monotonic())
            result[name] = round(scheduler.rss_mb(), 1)

    await asyncio.gather(sample(), *(client(number) for number in range(200)))
    scheduler.kill()
    fleet.stop()
    shutil.rmtree(scheduler.folder)
    return {**result, "jobs_per_s": round(served / seconds)}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    seconds = 8.0 if parser.parse_args().quick else 25.0
    result = {f"deadline_{deadline}_s": asyncio.run(run(deadline * 1000, seconds)) for deadline in (5, 60)}
    for name, figures in result.items():
        print(name, figures)
    print(json.dumps({"seconds": seconds, **result}))


if __name__ == "__main__":
    main()
