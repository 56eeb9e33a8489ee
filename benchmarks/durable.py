"""Durable jobs: kills of the scheduler at random points, throughput compared to plain jobs, recovery.

    python benchmarks/durable.py [--quick] [--kills N] [--seed N]

The last line is JSON.  Exit code 1 if a job was lost, answered twice or repeated against its class.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import shutil
import sys
import time
from itertools import pairwise
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))
sys.path.insert(0, str(Path(__file__).parent))
import msgspec
from harness import KEY_WINDOW_SECONDS, Connection, Fleet, FleetProcess, Scheduler, percentile

from carthinge.durable.records import Accepted, Terms
from carthinge.durable.store import Store, Time

OPTIONS = """
[durable]
folder = "{store}"
classes = ["reindex", "charge"]
[leases]
duration = 1
"""
HEADERS = {"Req-Owner": "acme", "Req-Cost": "50000", "Req-Deadline": "9000m"}


class Audit:
    """The answers that clients got, to compare with what the workers ran."""

    def __init__(self) -> None:
        self.accepted: dict[str, str] = {}  # key -> path of the job
        self.answers: dict[str, set[tuple[int, bytes]]] = {}  # key -> all different answers
        self.unsafe: set[str] = set()  # keys of the class whose jobs must not be repeated
        self.shed = 0

    def answered(self, key: str, status: int, body: bytes) -> None:
        if status not in (202, 503):  # a refused job was neither accepted nor run
            self.answers.setdefault(key, set()).add((status, body))

    def verdict(self, fleet: Fleet, final: dict[str, tuple[int, bytes]]) -> dict[str, Any]:
        """Return the counts; ``final`` holds, by key, the answers of the accepted jobs at the end."""
        runs: dict[str, list[float]] = {}
        for run in fleet.runs:
            runs.setdefault(run.key, []).append(run.began)
        gaps = [later - first for starts in runs.values() for first, later in pairwise(starts)]
        served = [key for key, (status, _) in final.items() if status == 200]
        return {
            "accepted": len(self.accepted),
            "answered_once": sum(
                1 for key, answer in final.items() if self.answers.get(key, {answer}) == {answer}
            ),
            "lost": sum(1 for key in self.accepted if key not in final or final[key][0] in (202, 404, 410)),
            "answered_twice": sum(
                1
                for key, seen in self.answers.items()
                if len(seen | ({final[key]} if key in final else set())) > 1
            ),
            "served": len(served),
            "served_by_nobody": sum(1 for key in served if key not in runs),
            "keyed_repeats_in_window": sum(1 for gap in gaps if gap < KEY_WINDOW_SECONDS),
            "run_again_after_window": sum(1 for gap in gaps if gap >= KEY_WINDOW_SECONDS),
            "unsafe_run_twice": sum(1 for key in self.unsafe if len(runs.get(key, ())) > 1),
            "shed": self.shed,
        }


async def kills(count: int, seed: int) -> dict[str, Any]:  # noqa: PLR0915  (a linear script)
    """Kill the scheduler at points drawn from the seed while clients send jobs, and audit the result."""
    rng = random.Random(seed)
    fleet = Fleet(6, lambda worker_rng: worker_rng.choice((0.0, 0.005, 0.02, 0.2)), seed)
    await fleet.start()
    scheduler = Scheduler(fleet.members, OPTIONS)
    fleet.scheduler = (scheduler.host, scheduler.port)
    audit = Audit()
    stopping = asyncio.Event()

    async def client(number: int) -> None:
        """Send jobs; if the connection breaks, the job is sent again with the same key."""
        client_rng = random.Random(seed * 1000 + number)
        connection = Connection(scheduler.host, scheduler.port)
        step = requests = 0
        while not stopping.is_set():
            step += 1
            kind = "charge" if client_rng.random() < 0.25 else "reindex"
            key = f"{number}-{step}"
            if kind == "charge":
                audit.unsafe.add(key)
            asynchronous = client_rng.random() < 0.6
            until = time.monotonic() + 8.0
            while time.monotonic() < until:
                requests += 1
                headers = {
                    **HEADERS,
                    "Req-Id": f"c{number}-{requests}",
                    "Req-Kind": kind,
                    "Idempotency-Key": key,
                }
                if asynchronous:
                    headers["Prefer"] = "respond-async"
                try:
                    status, response_headers, body = await connection.call(
                        "POST", "/api/x", headers, key.encode()
                    )
                except OSError:
                    await asyncio.sleep(0.02)
                    continue
                audit.shed += status == 503
                audit.answered(key, status, body)
                if "location" in response_headers and status != 503:
                    audit.accepted[key] = response_headers["location"]
                break
            await asyncio.sleep(client_rng.random() * 0.05)
        connection.close()

    scheduler.start()
    await scheduler.wait_until_up()
    clients = [asyncio.create_task(client(number)) for number in range(12)]
    for _ in range(count):
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        scheduler.kill()
        scheduler.start()
        if rng.random() < 0.7:  # otherwise the next kill may interrupt start or recovery
            await scheduler.wait_until_up()
    await scheduler.wait_until_up()
    stopping.set()
    await asyncio.gather(*clients)
    final: dict[str, tuple[int, bytes]] = {}

    async def ask(keys: list[str]) -> None:
        connection = Connection(scheduler.host, scheduler.port)
        for key in keys:
            for _ in range(2):  # the second answer must be the same
                status, _, body = await connection.call("GET", audit.accepted[key], {"Prefer": "wait=20"})
                final[key] = (status, body)
                audit.answered(key, status, body)
                if status == 503:  # refused after it was accepted: nothing ran
                    audit.answers.setdefault(key, set()).add((status, body))
        connection.close()

    names = sorted(audit.accepted)
    await asyncio.gather(*(ask(names[part::16]) for part in range(16)))
    figures = (await scheduler.metrics())["durable"]
    scheduler.kill()
    await fleet.stop()
    shutil.rmtree(scheduler.folder)
    verdict = audit.verdict(fleet, final)
    return {
        "kills": count,
        **verdict,
        "sent": fleet.posts,
        "dropped_repeats": fleet.dropped_repeats,
        "conflicts": fleet.conflicts,
        "unheard_calls": fleet.undelivered,
        "leases_expired_last_start": figures["leases_expired"],
    }


async def throughput(
    options: str, seconds: float, asynchronous: bool = False, clients: int = 64
) -> tuple[float, list[float]]:
    """Return the jobs per second of clients in a closed loop, and the latencies."""
    fleet = FleetProcess(12)
    scheduler = Scheduler(fleet.members, options)
    fleet.set_callback_address(scheduler.host, scheduler.port)
    scheduler.start()
    await scheduler.wait_until_up()
    latencies: list[float] = []
    until = time.monotonic() + seconds
    run_id = f"{time.monotonic_ns():x}"

    async def client(number: int) -> None:
        connection = Connection(scheduler.host, scheduler.port)
        step = 0
        while (began := time.monotonic()) < until:
            step += 1
            headers = {
                **HEADERS,
                "Req-Id": f"{run_id}-{number}-{step}",
                "Req-Kind": "reindex",
                "Idempotency-Key": f"{run_id}-{number}-{step}",
            }
            if asynchronous:
                headers["Prefer"] = "respond-async"
            status, _, _ = await connection.call("POST", "/api/x", headers, b"x" * 200)
            assert status in (200, 202), status
            latencies.append(time.monotonic() - began)
            if asynchronous:
                await asyncio.sleep(0.05)  # avoids a queue, so that only accepting is measured
        connection.close()

    began = time.monotonic()
    await asyncio.gather(*(client(number) for number in range(clients)))
    rate = len(latencies) / (time.monotonic() - began)
    scheduler.kill()
    fleet.stop()
    shutil.rmtree(scheduler.folder)
    return rate, latencies


async def recovery(jobs: int) -> dict[str, float]:
    """Start on a store with this many open jobs, and call /up meanwhile."""
    scheduler = Scheduler([("s-0", "127.0.0.1:1")], OPTIONS)  # no worker at this address: no job is sent
    scheduler.start()
    await scheduler.wait_until_up()
    empty_mb = scheduler.rss_mb()
    scheduler.kill()
    now = time.monotonic_ns() // 1000 + 86_400_000_000  # the scheduler's clock
    boot = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    moment = Time(now, time.time_ns() // 1000, boot)
    store = Store(scheduler.store, 4 << 30)
    store.open(moment)
    for start in range(0, jobs, 5000):
        store.apply(
            [
                Accepted(
                    number + 1,
                    f"old-{number}",
                    "acme",
                    "reindex",
                    number.to_bytes(16, "big"),
                    b"d" * 16,
                    b"/api/x",
                    b"x" * 200,
                    (("Idempotency-Key", b"k%d" % number),),
                    Terms(1, 50_000, 1.0, 0.0),
                    now,
                    now + 3_600_000_000,
                )
                for number in range(start, min(jobs, start + 5000))
            ],
            moment,
        )
    store.close()
    began = time.monotonic()
    scheduler.start()
    await scheduler.wait_until_up()
    up_after = time.monotonic() - began
    connection, slowest_call = Connection(scheduler.host, scheduler.port), 0.0
    while True:
        call_started = time.monotonic()
        await connection.call("GET", "/up")
        slowest_call = max(slowest_call, time.monotonic() - call_started)
        if "event=store_loaded" in (log := scheduler.log.read_text()) and f"jobs={jobs} " in log:
            break
        assert time.monotonic() < began + 60, log[-2000:]
    took = time.monotonic() - began
    figures = (await scheduler.metrics())["durable"]
    assert figures["open"] >= jobs * 0.99, figures
    used_mb = scheduler.rss_mb()
    connection.close()
    scheduler.kill()
    shutil.rmtree(scheduler.folder)
    return {
        "recovery_s_100k": took,
        "up_after_s": up_after,
        "up_slowest_ms": slowest_call * 1000,
        "bytes_per_open_job": (used_mb - empty_mb) * 1024 * 1024 / jobs,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="10 kills, shorter loads; under 50 s")
    parser.add_argument("--kills", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    count = arguments.kills or (10 if arguments.quick else 100)
    seconds = 3.0 if arguments.quick else 10.0
    result: dict[str, Any] = {"seed": arguments.seed}
    result |= asyncio.run(kills(count, arguments.seed))
    print("kills:", msgspec.json.encode(result).decode(), flush=True)
    rates: dict[str, list[float]] = {OPTIONS: [], "": []}
    for _ in range(2 if arguments.quick else 4):  # alternate, since the speed of the machine varies
        for options, seen in rates.items():
            seen.append(asyncio.run(throughput(options, seconds / 2))[0])
    durable, plain = (sum(seen) / len(seen) for seen in rates.values())
    rate, latencies = asyncio.run(throughput(OPTIONS, seconds, asynchronous=True))
    result |= {
        "durable_jobs_per_s": round(durable),
        "plain_jobs_per_s": round(plain),
        "ratio": round(durable / plain, 3),
        "accept_p50_ms": round(percentile(latencies, 0.5) * 1000, 2),
        "accept_p99_ms": round(percentile(latencies, 0.99) * 1000, 2),
        "accepts_per_s": round(rate),
    }
    print("throughput:", result["durable_jobs_per_s"], "of", result["plain_jobs_per_s"], flush=True)
    result |= {name: round(value, 3) for name, value in asyncio.run(recovery(100_000)).items()}
    print(json.dumps(result))
    violations = (
        "lost",
        "answered_twice",
        "keyed_repeats_in_window",
        "run_again_after_window",
        "unsafe_run_twice",
        "served_by_nobody",
    )
    if any(result[name] for name in violations) or result["answered_once"] != result["accepted"]:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
