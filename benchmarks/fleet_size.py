"""Cost of a whole list, a change of it and a selection with 200, 500 and 1,100 workers and schedulers.

    python benchmarks/fleet_size.py [--quick]

Runs without sockets: the worker directory reads discovery's JSON and the module applies the list, then jobs
are sent and served one after the other.  Each size runs in its own process.  The last line is JSON, by size:
milliseconds for the first whole list, for an unchanged one and for a change of ten workers; microseconds for
a job's two calls of the module, and for the three calls of a job with a retry; the same with free
connections, where each scheduler selects from the whole fleet and not from its subset; resident megabytes at
the end.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import time
from collections.abc import Callable
from statistics import median

from harness import SITE

from carthinge import Dispatcher
from carthinge import interface as io
from carthinge.net.discovery import _LISTS
from carthinge.net.loop import Clock
from carthinge.net.worker_directory import WorkerDirectory
from carthinge.settings import SettingsTable, read_site

SIZES = (200, 500, 1100)


def encode_list(count: int, first: int = 0) -> bytes:
    members = [
        {
            "id": f"s-{number:08x}",
            "host_port": f"10.1.{number >> 8}.{number & 255}:9000",
            "locality": "hall",
            "flavor": f"m{number % 3}",
            "cell": number // 8,
            "phase": "Ready",
            "size": 1.0 + number % 3,
            "up_since_ms": 0,
        }
        for number in range(first, first + count)
    ]
    return json.dumps({"revision": 1, "complete": first == 0, "members": members}).encode()


def median_time(call: Callable[[], object], times: int) -> float:
    """Return the median duration of ``times`` calls, in seconds."""
    durations = []
    for _ in range(times):
        began = time.perf_counter()
        call()
        durations.append(time.perf_counter() - began)
    return median(durations)


def measure(size: int, jobs: int) -> dict[str, float]:
    subset, whole = run(size, jobs, price=0.02), run(size, jobs, price=0.0)
    with open("/proc/self/statm") as statm:
        pages = int(statm.read().split()[1])
    return {
        **subset,
        "job_whole_us": whole["job_us"],
        "job_tried_again_whole_us": whole["job_tried_again_us"],
        "rss_mb": round(pages * 4096 / 1e6, 1),
    }


def run(size: int, jobs: int, price: float) -> dict[str, float]:
    site = read_site(
        SettingsTable.from_nested(
            {**SITE, "instances": size, "machine_types": ["m0", "m1", "m2"], "prices": {"handshake": price}}
        )
    )
    table, module = WorkerDirectory(site, Clock()), Dispatcher(site.dispatcher_settings, 7)
    now = 100_000_000

    def apply(body: bytes, listing: io.Listing) -> None:
        module.handle(now, [table.apply_list(_LISTS.decode(body), listing)])

    whole, change = encode_list(size), encode_list(10, 1)
    first = median_time(lambda: apply(whole, io.Listing.CACHED), 1)
    same = median_time(lambda: apply(whole, io.Listing.WHOLE), 9)
    changed = median_time(lambda: apply(change, io.Listing.CHANGES), 9)
    single_times, retried_times, number = [], [], 0
    for step in range(2 * jobs):
        number, now = number + 1, now + 20_000
        began = time.perf_counter()
        result = io.Result.FULL if step % 2 else io.Result.OK  # every second job needs a retry
        attempt, finished = 0, False
        actions = module.handle(now, [io.Arrival(number, 0, now + 5_000_000, step % 2, hint=20_000)])
        while not finished:
            sent = [action for action in actions if isinstance(action, io.Send)]
            if not sent:
                raise SystemExit(f"{size} workers: job {number} was not sent")
            finished = result is io.Result.OK or attempt > 0
            outcome = io.Outcome(
                number,
                attempt,
                sent[0].worker,
                io.Result.OK if finished else result,
                15_000,
                finished,
                (0.5, 10.0, 2.0),
            )
            now, attempt = now + 15_000, attempt + 1
            actions = module.handle(now, [outcome])
        (retried_times if step % 2 else single_times).append(time.perf_counter() - began)
    return {
        "first_list_ms": round(first * 1e3, 2),
        "same_list_ms": round(same * 1e3, 2),
        "change_ms": round(changed * 1e3, 2),
        "job_us": round(median(single_times) * 1e6, 1),
        "job_tried_again_us": round(median(retried_times) * 1e6, 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--size", type=int, help="run only this size, in this process")
    options = parser.parse_args()
    jobs = 300 if options.quick else 3000
    if options.size:
        print(json.dumps(measure(options.size, jobs)))
        return
    result = {}
    for size in SIZES:
        command = [sys.executable, __file__, "--size", str(size), *(["--quick"] if options.quick else [])]
        result[size] = json.loads(subprocess.run(command, capture_output=True, text=True, check=True).stdout)
        print(size, result[size])
    print(json.dumps({"jobs": jobs, **result}))


if __name__ == "__main__":
    main()
