"""Memory of a scheduler under load, with short and with long deadlines: a job that has ended costs nothing.

    python benchmarks/memory.py [--quick]

Closed loop, 200 clients, 40 workers that serve at once.  The last line is JSON: megabytes at rest, in the
middle and at the end of each run, and the jobs of it.
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
    scheduler = Scheduler(fleet.names)
    fleet.serve(scheduler.host, scheduler.port)
    scheduler.start()
    await scheduler.up()
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

    async def watch() -> None:
        for part, name in ((0.5, "middle_mb"), (0.95, "end_mb")):
            await asyncio.sleep(began + part * seconds - time.monotonic())
            result[name] = round(scheduler.rss_mb(), 1)

    await asyncio.gather(watch(), *(client(number) for number in range(200)))
    scheduler.kill()
    fleet.stop()
    shutil.rmtree(scheduler.folder)
    return {**result, "jobs_per_s": round(served / seconds)}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    seconds = 8.0 if parser.parse_args().quick else 25.0
    result = {f"deadline_{span}_s": asyncio.run(run(span * 1000, seconds)) for span in (5, 60)}
    for name, figures in result.items():
        print(name, figures)
    print(json.dumps({"seconds": seconds, **result}))


if __name__ == "__main__":
    main()
