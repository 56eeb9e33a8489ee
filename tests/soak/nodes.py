"""The schedulers as processes: started, signalled in series, killed at the earliest that the page allows."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from world import HOST

from soak.http import read_message
from soak.ledger import MOMENT

TESTS = Path(__file__).resolve().parent.parent
LONGEST_GRACE = 3.0  # seconds: a longer deadline does not hold SIGKILL back
AFTER_TERM = 0.7  # seconds after SIGTERM, and the longest deadline, SIGKILL comes
ARRIVING = 0.3  # seconds after SIGTERM for which new connections are still made
START_WITHIN = 30.0  # seconds
READY_EVERY = 0.05  # seconds between looks at whether a process is up
CROWDED_SOCKETS = 128
DURABLE = '[durable]\nfolder = "{folder}"\nclasses = ["reindex"]\n[leases]\nduration = 1.0\n'


class Node:
    """One scheduler; for a while it may be two processes."""

    def __init__(self, run, number, folder, ports):
        """``ports``: its own, its operators' and those of its next process."""
        self.run, self.number, self.folder = run, number, folder
        self.folder.mkdir()
        (self.folder / "tmp").mkdir()
        self.port, self.operator, self.next_operator = ports
        self.held = None
        if number in run.plan.upgraded:
            self.held = socket.create_server((HOST, self.port), backlog=1024)
        self.discovery = None
        self.process = self.old = None
        self.ready = False
        self.started = 0.0
        self.told_to_end = None
        self.deaths = []  # times of kills that no rule softens
        self.killed_after_term = []
        self.expected_exits = set()
        self.alternate = False

    @property
    def durable(self):
        return self.number in self.run.plan.durable

    def write_config(self):
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": CROWDED_SOCKETS if self.run.plan.crowd else 1024}
        settings = self.run.plan.settings
        if self.alternate:
            settings = {
                **settings,
                "caps": {**settings["caps"], "try_limit": settings["caps"]["try_limit"] + 1},
            }
        config = {
            "name": f"n{self.number}",
            "listen": f"{HOST}:{self.port}",
            "seed": f"{self.run.plan.seed}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "operator": f"{HOST}:{self.operator}",
            "limits": limits,
            "known": self.run.list.whole(),
            "settings": settings,
        }
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(config))
        path.with_suffix(".new").rename(path)
        return path

    def spawn(self):
        self.started = time.monotonic()
        config = self.write_config()
        faults = [
            [self.run.at(w.begins), self.run.at(w.ends), w.kind, w.much]
            for w in self.run.plan.windows
            if w.kind in ("sockets", "hold", "wall", "disk") and w.target == self.number
        ]
        (self.folder / "faults.json").write_text(json.dumps(faults))
        environment = {
            **os.environ,
            "PYTHONPATH": f"{TESTS.parent}:{TESTS}",
            "RELAY_CONFIG": str(config),
            "TMPDIR": str(self.folder / "tmp"),
            "SOAK_FAULTS": str(self.folder / "faults.json"),
            "SOAK_SEED": f"{self.run.plan.seed} {self.number}",
        }
        if self.durable:
            file = self.folder / "carthinge.toml"
            file.write_text(DURABLE.replace("{folder}", str(self.folder / "store")))
            environment["CARTHINGE_FILE"] = str(file)
        if self.held is not None:
            environment["RELAY_FD"] = str(self.held.fileno())
        with (self.folder / "log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "soak.scheduler"],
                env=environment,
                stderr=log,
                stdout=log,
                pass_fds=[self.held.fileno()] if self.held else [],
            )

    async def start(self):
        self.told_to_end = None
        self.process = self.spawn()
        await self.wait_until_ready()

    async def wait_until_ready(self):
        began = time.monotonic()
        while time.monotonic() < began + START_WITHIN:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.operator)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line, _, _ = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if " 200 " in line:
                    self.ready = True
                    return
            if self.process.poll() is not None:
                break
            await asyncio.sleep(READY_EVERY)
        self.run.ledger.found(f"node {self.number}: not ready in time, exit code {self.process.poll()}")

    async def kill(self):
        """SIGKILL out of the blue."""
        process, self.ready = self.process, False
        self.expected_exits.add(process.pid)
        self.deaths.append(time.monotonic())
        process.kill()
        await asyncio.to_thread(process.wait)
        self.run.ledger.node_lost(self.number)
        await self.start()

    async def terminate(self, process, series=1):
        """SIGTERM, perhaps some of them with SIGHUP between, and SIGKILL at the page's earliest."""
        self.expected_exits.add(process.pid)
        told = time.monotonic()
        process.send_signal(signal.SIGTERM)
        for _ in range(series - 1):
            await asyncio.sleep(0.02)
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(self.run.rng.choice([signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1]))
        longest = max(spec["hard_limit"] for spec in self.run.plan.settings["services"]) / 1e6
        last = told + min(longest, LONGEST_GRACE) + AFTER_TERM
        while process.poll() is None and time.monotonic() < last:
            await asyncio.sleep(0.01)
        if process.poll() is None:
            self.killed_after_term.append(time.monotonic())
            process.kill()
            await asyncio.to_thread(process.wait)
        elif process.returncode != 0:
            self.run.ledger.found(f"node {self.number}: exit code {process.returncode} after SIGTERM")

    async def restart(self):
        self.told_to_end = time.monotonic()
        self.ready = False
        await self.terminate(self.process, self.run.rng.randint(1, 3))
        self.run.ledger.node_lost(self.number)
        await self.start()

    async def reload(self, times):
        """New configurations in a row; one of them may be cut off, and is not taken then."""
        for _ in range(times):
            self.alternate = not self.alternate
            path = self.write_config()
            if not self.ready:  # by the page it comes to one that is ready
                return
            if self.run.rng.random() < 0.2:
                path.write_text(path.read_text()[:100])
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(self.run.rng.uniform(0.0, 0.15))

    async def stop_for(self, seconds):
        """The whole process is held up."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self.process.send_signal(signal.SIGCONT)

    async def upgrade(self):
        """A new process beside the one that serves; the old one is told to end once the new one is ready."""
        old, self.ready = self.process, False
        self.operator, self.next_operator = self.next_operator, self.operator
        self.process = self.spawn()
        await self.wait_until_ready()
        await self.terminate(old)

    def excused(self, asked, now):
        """Its process was killed outright while it held that, or so late that it cannot have read it."""
        held = any(asked.began - MOMENT <= death <= now for death in self.deaths)
        return held or any(
            asked.began - MOMENT <= death <= asked.sent + MOMENT for death in self.killed_after_term
        )

    def check_alive(self):
        if self.process.poll() is not None and self.process.pid not in self.expected_exits:
            self.run.ledger.found(
                f"node {self.number}: has ended by itself, exit code {self.process.returncode}"
            )
            self.expected_exits.add(self.process.pid)

    def read_log(self):
        """What the program says of itself."""
        for line in (self.folder / "log").read_text(errors="replace").splitlines():
            if "Traceback" in line or "invariant_violated" in line or "store_broken" in line:
                self.run.ledger.found(f"node {self.number}: {line[:400]}")

    def close(self):
        for process in (self.process, self.old):
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        if self.held is not None:
            self.held.close()
