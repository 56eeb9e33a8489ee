"""Runs a scheduler beside a crowd and measures its memory and the answers that other clients get."""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from world import HOST, World, job

TESTS = Path(__file__).resolve().parent.parent
MEMORY_MB, SOCKETS, CORES = 80, 384, 0.85  # limits of the operators' run
WORKERS = 20
PROBE_INTERVAL = 0.1  # seconds
SAMPLE_INTERVAL = 0.02  # seconds
KILOBYTES_PER_MB = 1024


@dataclass
class Report:
    """What was seen in a run."""

    peak_mb: float = 0.0
    peak_together_mb: float = 0.0  # of both processes of an upgrade
    answers: Counter = field(default_factory=Counter)  # of the probing client, by status
    latencies: list = field(default_factory=list)  # seconds, of the probing client
    crowd: dict = field(default_factory=dict)
    copies: list = field(default_factory=list)  # ids sent to a worker beside an open attempt
    counters: dict = field(default_factory=dict)


def peak_mb(process):
    """Return the peak of the resident memory of a process."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / KILOBYTES_PER_MB


def resident_mb(process):
    """Return the resident memory of a process: its own, and that of the files that it has mapped."""
    try:
        status = Path(f"/proc/{process.pid}/status").read_text()
    except OSError:  # it has ended, and its parent has noticed
        status = ""
    values = [status.partition(f"{name}:")[2].split() for name in ("RssAnon", "RssFile")]
    return [int(value[0]) / KILOBYTES_PER_MB if value else 0.0 for value in values]


class MemoryMeter(threading.Thread):
    """Samples the memory of all processes of a scheduler together; they map the same files."""

    def __init__(self, processes):
        super().__init__(daemon=True)
        self.processes, self.peak_mb, self.done = processes, 0.0, threading.Event()

    def run(self):
        while not self.done.wait(SAMPLE_INTERVAL):
            own, files = zip(*map(resident_mb, self.processes), strict=True)
            self.peak_mb = max(self.peak_mb, sum(own) + max(files))


def _python(*arguments):
    return subprocess.Popen(
        [sys.executable, "-m", *map(str, arguments)],
        cwd=TESTS,
        env={**os.environ, "PYTHONPATH": str(TESTS)},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )


@contextlib.contextmanager
def crowded_world(folder, behaviour="good", workers=WORKERS, **more):
    """Start a scheduler with the limits of the operators' run and workers in a process of their own."""
    stubs = _python("crowd.workers", workers, behaviour)
    try:
        ports = json.loads(stubs.stdout.readline())
        more = {"memory_mb": MEMORY_MB, "sockets": SOCKETS, "log_level": "info", **more}
        with World(folder, workers=0, extra_ports=ports, **more) as world:
            stubs.stdin.write(f"{HOST} {world.port}\n".encode())
            stubs.stdin.flush()
            yield world, stubs
    finally:
        stubs.kill()
        stubs.wait()


def run(folder, kind, connections, seconds, behaviour="good", upgrade_after=None, **more):
    """Run a crowd beside a probing client, and an upgrade so many seconds after its start, if any."""
    report = Report()
    more["inherited_socket"] = upgrade_after is not None
    with crowded_world(folder, behaviour, **more) as (world, stubs):
        meter = MemoryMeter(world.processes)
        meter.start()
        crowd = _python("crowd.clients", kind, HOST, world.port, seconds, connections)
        began, number = time.monotonic(), 0
        while time.monotonic() < began + seconds:
            if upgrade_after is not None and time.monotonic() > began + upgrade_after:
                upgrade_after = None
                world.upgrade()[0].terminate()
            number += 1
            _probe(world, f"probe-{number}", report)
            time.sleep(PROBE_INTERVAL)
        meter.done.set()
        meter.join()
        report.peak_together_mb = meter.peak_mb
        report.crowd = json.loads(crowd.communicate()[0])
        assert world.process.poll() is None, world.log()
        report.counters = world.counters()
        report.peak_mb = peak_mb(world.process)
        report.copies = json.loads(stubs.communicate()[0])
    return report


def _probe(world, req_id, report):
    began = time.monotonic()
    status = "none"
    with contextlib.suppress(OSError, EOFError):
        peer = world.connect()
        status = peer.send(job(req_id)).status()
        peer.close()
    report.answers[status] += 1
    report.latencies.append(time.monotonic() - began)


def main():
    """``python -m crowd.bench KIND:CONNECTIONS:SECONDS[:BEHAVIOUR] ...``."""
    import tempfile

    for text in sys.argv[1:]:
        kind, connections, seconds, *behaviour = text.split(":")
        with tempfile.TemporaryDirectory() as folder:
            report = run(Path(folder), kind, int(connections), float(seconds), *behaviour)
        latencies = sorted(report.latencies)
        print(
            f"{text}: peak {report.peak_mb:.1f} MB, probes {dict(report.answers)}, median "
            f"{latencies[len(latencies) // 2]:.3f} s, longest {latencies[-1]:.3f} s, crowd {report.crowd}",
            flush=True,
        )


if __name__ == "__main__":
    main()
