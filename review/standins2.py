"""Stand-ins for the cases 6 to 10: schedulers as processes, and clients, workers, discovery and proxies."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
TIME_LIMIT = 110  # seconds
HOST = "127.0.0.1"
BAD_CALLBACK_STATUS = 300


class NotRunError(Exception):
    """The case could not run: nothing is said about the rule."""


def free_port():
    """Return a port that is free now."""
    with socket.create_server((HOST, 0)) as sock:
        return sock.getsockname()[1]


def kill_group(process):
    """Kill a process that this case started."""
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            process.kill()


async def read_message(reader):
    """Read one HTTP message; return its first line, its headers and its body."""
    first = (await reader.readuntil(b"\r\n")).decode("latin-1").strip()
    headers = {}
    while line := (await reader.readuntil(b"\r\n")).decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    return first, headers, await reader.readexactly(length) if length else b""


def answer(status, body=b"", *headers):
    """Encode an HTTP response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Case:
    """One run of a case: its record, its processes and its stand-ins."""

    def __init__(self, number):
        """Open the record of the case with this number."""
        self.folder = ROOT / "review" / str(number)
        self.began = time.monotonic()
        self.record = (self.folder / "record.txt").open("w")
        self.processes = []
        self.servers = []
        self.tasks = set()
        self.writers = set()  # of accepted connections
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.note(f"case {number}, TROUBLE={int(TROUBLE)}")

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def note(self, text):
        """Write a line to the record."""
        self.record.write(f"{self.now():8.3f} {text}\n")
        self.record.flush()

    def task(self, work):
        """Run a coroutine until the case ends."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def serve(self, handle, port=0):
        """Listen on loopback; return the port."""

        async def accepted(reader, writer):
            self.writers.add(writer)
            try:
                await handle(reader, writer)
            finally:
                self.writers.discard(writer)

        server = await asyncio.start_server(accepted, HOST, port, backlog=256)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def close(self):
        """End all processes and remove what was written, but for the record."""
        for process in self.processes:
            kill_group(process)
        for log in sorted(Path(self.temporary.name).glob("*/log.txt")):
            for line in log.read_text(errors="replace").splitlines()[-20:]:
                self.record.write(f"{log.parent.name} logged: {line[:400]}\n")
        self.temporary.cleanup()
        self.record.close()

    def main(self, play):
        """Play the case and exit with its verdict."""

        async def limited():
            loop = asyncio.get_running_loop()
            me = asyncio.current_task()
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, me.cancel)
            try:
                return await asyncio.wait_for(play(self), TIME_LIMIT)
            finally:
                for process in self.processes:
                    kill_group(process)
                for process in self.processes:
                    await process.wait()
                for server in self.servers:
                    server.close()
                for writer in self.writers:
                    writer.transport.abort()
                await asyncio.sleep(0.05)

        try:
            verdict, text = asyncio.run(limited())
        except (NotRunError, OSError, TimeoutError, EOFError, asyncio.CancelledError) as fault:
            verdict, text = NOT_RUN, f"could not run: {fault!r}"
        self.note(f"verdict {verdict}: {text}")
        print(f"{verdict}: {text}", flush=True)
        self.close()
        os._exit(verdict)  # all is closed; connections that are still open here need no farewell


class Scheduler:
    """One scheduler, started by the command of the deploy file."""

    def __init__(self, case, settings, discovery_port, members, **options):
        """``options``: ``name``, ``fd`` (it listens), ``port``, ``file``, ``memory_mb``, ``sockets``."""
        self.case = case
        self.name = options.get("name", "n1")
        self.listening = options.get("fd")
        self.port = options.get("port") or (
            self.listening.getsockname()[1] if self.listening is not None else free_port()
        )
        self.folder = Path(case.temporary.name, self.name)
        self.tmp = self.folder / "tmp"
        self.tmp.mkdir(parents=True)
        self.config_path = self.folder / "config.json"
        self.file = options.get("file", "")
        self.limits = {
            "cores": 1.0,
            "memory_mb": options.get("memory_mb", 192),
            "sockets": options.get("sockets", 1024),
        }
        self.discovery_port = discovery_port
        self.members = members
        self.settings = settings
        self.log = self.folder / "log.txt"
        self.process = None
        self.operator = 0

    def write_config(self, discovery_port=None):
        """Write the configuration file."""
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery_port or self.discovery_port}",
            "seed": os.urandom(8).hex(),
            "limits": self.limits,
            "known": {"revision": 1, "complete": True, "members": self.members},
            "settings": self.settings,
        }
        self.config_path.write_text(json.dumps(config))

    async def start(self, wait=True):
        """Start the process; the platform lets clients in after ``GET /up`` has answered 200."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as deploy:
            command = tomllib.load(deploy)["run"]
        self.write_config()
        self.operator = free_port()
        environment = {
            **os.environ,
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"{HOST}:{self.port}",
            "RELAY_DISCOVERY": f"{HOST}:{self.discovery_port}",
            "RELAY_CONFIG": str(self.config_path),
            "RELAY_OPERATOR": f"{HOST}:{self.operator}",
            "TMPDIR": str(self.tmp),
        }
        environment.pop("CARTHINGE_FILE", None)
        if self.file:
            path = self.folder / "operator.toml"
            path.write_text(self.file)
            environment["CARTHINGE_FILE"] = str(path)
        inherit = {}
        if self.listening is not None:  # the process inherits it as descriptor 5
            number = self.listening.fileno()
            inherit = {"pass_fds": (5,), "preexec_fn": lambda: os.dup2(number, 5, inheritable=True)}
            environment["RELAY_FD"] = "5"
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                **inherit,
            )
        self.case.processes.append(self.process)
        self.case.note(f"scheduler {self.name} started, process {self.process.pid}")
        if wait:
            await self.wait_ready()
        return self.process

    async def wait_ready(self):
        """Wait until the operator address says that this process serves."""
        for _ in range(400):
            with contextlib.suppress(OSError, EOFError):
                if (await self.call("/ready"))[0].split()[1] == "200":
                    self.case.note(f"scheduler {self.name} is ready, process {self.process.pid}")
                    return
            await asyncio.sleep(0.05)
        raise NotRunError(f"scheduler {self.name} did not become ready")

    async def call(self, path, method="GET"):
        """Call the operator address."""
        reader, writer = await asyncio.open_connection(HOST, self.operator)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        try:
            return await asyncio.wait_for(read_message(reader), 3)
        finally:
            writer.close()


class Discovery:
    """The discovery service: the whole list, or a watch from a version."""

    def __init__(self, case):
        """``members`` and ``revision`` are what it has."""
        self.case = case
        self.revision = 1
        self.members = {}
        self.changes = []  # (revision, member)
        self.changed = asyncio.Event()
        self.port = 0

    async def open(self, members):
        """Begin to serve."""
        self.members = {member["id"]: member for member in members}
        self.port = await self.case.serve(self._serve)

    def change(self, member):
        """Tell a changed entry."""
        self.revision += 1
        self.changes.append((self.revision, member))
        self.members[member["id"]] = member
        self.case.note(f"discovery has {member['id']} {member['phase']}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError):
            while True:
                first, _, _ = await read_message(reader)
                query = dict(
                    part.split("=") for part in first.split()[1].partition("?")[2].split("&") if "=" in part
                )
                if "index" in query:
                    index = int(query["index"])
                    if index >= self.revision:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self.changed.wait(), int(query.get("wait", 0)) / 1000)
                    found = [member for revision, member in self.changes if revision > index]
                    body = {"revision": self.revision, "complete": False, "members": found}
                else:
                    listed = [member for member in self.members.values() if member["phase"] != "Gone"]
                    body = {"revision": self.revision, "complete": True, "members": listed}
                writer.write(answer(200, json.dumps(body).encode()))
                await writer.drain()
        writer.close()


class Attempt:
    """One attempt that a worker has received."""

    def __init__(self, job, number, at, headers):
        """``number`` counts the attempts of the job over all workers."""
        self.job, self.number, self.at, self.headers = job, number, at, headers
        self.state = "received"  # then running, done, failed, returned, declined, withdrawn or broken
        self.task = None

    @property
    def over(self):
        """Whether the worker has ended it or was told to give it up."""
        return self.state not in ("received", "running")


class Ledger:
    """What all workers have received and run."""

    def __init__(self, case):
        """Start with nothing."""
        self.case = case
        self.attempts = {}  # job: attempts
        self.runs = {}  # job: how often it was started at a worker
        self.copies = []  # attempts that came while an earlier one was out

    def receive(self, job, worker, headers):
        """Record an attempt; note if an earlier one is neither over nor given up."""
        known = self.attempts.setdefault(job, [])
        attempt = Attempt(job, len(known) + 1, self.case.now(), headers)
        out = [f"{other.number} ({other.state})" for other in known if not other.over]
        known.append(attempt)
        self.case.note(f"{worker} received {job}, attempt {attempt.number}")
        if out:
            self.copies.append((job, attempt.number, out))
            self.case.note(f"COPY: {job} attempt {attempt.number} while {', '.join(out)} is out")
        return attempt

    def run(self, attempt, worker):
        """Record that a job begins to run."""
        attempt.state = "running"
        self.runs[attempt.job] = self.runs.get(attempt.job, 0) + 1
        again = f", RUN {self.runs[attempt.job]}" if self.runs[attempt.job] > 1 else ""
        self.case.note(f"{worker} runs {attempt.job}, attempt {attempt.number}{again}")


class Worker:
    """A sound worker with some slots and a waiting room; a case overrides what it does."""

    def __init__(self, case, ledger, name, slots=2, room=2, seconds=0.4):
        """``room``: how many jobs may wait; ``seconds``: how long a job runs."""
        self.case, self.ledger, self.name = case, ledger, name
        self.slots, self.room, self.seconds = slots, room, seconds
        self.running = 0
        self.rng = random.Random(name)
        self.waiting = []
        self.open = {}  # job: its attempt here
        self.callback_port = 0
        self.port = 0
        self.zone, self.cell = "hall", 0

    async def listen(self):
        """Begin to serve; return the entry for the list."""
        self.port = await self.case.serve(self._serve)
        return self.entry()

    def entry(self, phase="Ready", up_since_ms=0):
        """Return the entry for the list."""
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": self.zone,
            "flavor": "m",
            "cell": self.cell,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": up_since_ms,
        }

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError):
            while True:
                first, headers, _ = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                if method == "DELETE":
                    self.withdraw(path.rsplit("/", 1)[-1])
                    writer.write(answer(204))
                else:
                    attempt = self.ledger.receive(headers["req-id"], self.name, headers)
                    await self.take(attempt, reader, writer)
                await writer.drain()
        writer.close()

    def withdraw(self, job):
        """Drop a job that waits; a running one goes on, though its attempt is given up."""
        attempt = self.open.pop(job, None)
        self.case.note(f"{self.name} is told to give up {job}")
        if attempt is not None and not attempt.over:
            if attempt in self.waiting:
                self.waiting.remove(attempt)
            attempt.state = "withdrawn"

    async def take(self, attempt, reader, writer):
        """Answer an attempt: 202, or declined if the waiting room is full."""
        if self.running >= self.slots and len(self.waiting) >= self.room:
            attempt.state = "declined"
            self.case.note(f"{self.name} declines {attempt.job}, attempt {attempt.number}")
            writer.write(answer(503, b"", "Srv-Declined: 1"))
            return
        writer.write(answer(202))
        self.queue(attempt)

    def queue(self, attempt):
        """Run an attempt now or later."""
        self.open[attempt.job] = attempt
        self.waiting.append(attempt)
        self.start_next()

    def start_next(self):
        """Start waiting jobs in order."""
        while self.waiting and self.running < self.slots:
            attempt = self.waiting.pop(0)
            self.running += 1
            attempt.task = self.case.task(self._run(attempt))

    async def _run(self, attempt):
        self.ledger.run(attempt, self.name)
        await self.tell(attempt, "started")
        await asyncio.sleep(self.seconds * self.rng.uniform(0.6, 1.4))
        self.running -= 1
        if attempt.state == "running":
            attempt.state = "done"
            self.open.pop(attempt.job, None)
            self.case.note(f"{self.name} has done {attempt.job}, attempt {attempt.number}")
            self.case.task(self.tell(attempt, "done", result=self.result(attempt)))
        self.start_next()

    def result(self, attempt):
        """Return the result of a job."""
        return f"{attempt.job} by {self.name}"

    def load(self):
        """Return the load report."""
        return {"util": self.running / self.slots, "qps": 1.0, "x0": max(0, self.slots - self.running)}

    async def tell(self, attempt, state, port=None, **more):
        """Call the scheduler until it answers, at most ten times."""
        event = {"id": attempt.job, "from": self.name, "state": state, **more}
        if state in ("done", "failed", "returned", "lost"):
            event["load"] = self.load()
        body = json.dumps(event).encode()
        data = (
            f"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        )
        for count in range(1, 11):
            try:
                reader, writer = await asyncio.open_connection(HOST, port or self.callback_port)
                try:
                    writer.write(data)
                    first, _, _ = await asyncio.wait_for(read_message(reader), 1)
                    if int(first.split()[1]) < BAD_CALLBACK_STATUS:
                        return count
                finally:
                    writer.close()
            except (OSError, EOFError, TimeoutError):
                self.case.note(f"{self.name} got no answer to {state} of {attempt.job}, call {count}")
            await asyncio.sleep(0.25)
        return 0


class Client:
    """Sends jobs, one at a time on a connection, and records their answers."""

    def __init__(self, case, port, prefix="j"):
        """``answers`` holds, by job, the status, the body and the time of each answer."""
        self.case, self.port, self.prefix = case, port, prefix
        self.answers = {}
        self.count = 0

    def new_id(self):
        """Return an id that no request had."""
        self.count += 1
        return f"{self.prefix}-{os.getpid():x}-{self.count}"

    async def send(self, kind, deadline_ms, job=None, owner="acme", cost_us=400_000, body=b"{}", key=None):
        """Send a job on a connection of its own; return the status, or 0 if there was no answer."""
        job = job or self.new_id()
        lines = [
            f"POST /api/{job[-2:]} HTTP/1.1",
            "Host: app.svc",
            f"Req-Id: {job}",
            f"Req-Kind: {kind}",
            f"Req-Owner: {owner}",
            f"Req-Deadline: {deadline_ms}m",
            f"Req-Cost: {cost_us}",
            f"Content-Length: {len(body)}",
        ]
        if key is not None:
            lines.append(f"Idempotency-Key: {key}")
        status, found, began = 0, b"", self.case.now()
        self.case.note(f"client sends {job} ({kind}, {deadline_ms} ms)")
        writer = None
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, _, found = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 0.55)
            status = int(first.split()[1])
        except TimeoutError:
            self.case.note(f"client: {job} got no answer within its time and 0.55 s")
        except (OSError, EOFError) as fault:
            self.case.note(f"client: {job} lost its connection without an answer ({fault!r})")
        finally:
            if writer is not None:
                writer.close()
        self.answers[job] = (status, found, self.case.now() - began)
        self.case.note(
            f"client: {job} was answered {status} after {self.case.now() - began:.3f} s: {found[:60]!r}"
        )
        return status


class CallbackProxy:
    """Stands before a scheduler for workers' calls; may lose an answer."""

    def __init__(self, case, port, loses):
        """``loses`` is given each call's object and says whether its answer is lost."""
        self.case, self.target, self.loses = case, port, loses

    async def open(self):
        """Begin to serve; return the port."""
        return await self.case.serve(self._serve)

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError):
            first, headers, body = await read_message(reader)
            lost = self.loses(json.loads(body))
            back, forth = await asyncio.open_connection(HOST, self.target)
            forth.write(
                f"{first}\r\nHost: x\r\nContent-Length: {headers['content-length']}\r\n\r\n".encode() + body
            )
            status, _, content = await read_message(back)
            forth.close()
            if lost:
                self.case.note(f"the answer {status.split()[1]} to {body[:80]!r} is lost: silence")
                await reader.read()  # until the worker stops waiting
                return
            writer.write(answer(int(status.split()[1]), content))
            await writer.drain()
        writer.close()


def settings(services, **changes):
    """Return the settings of a small deployment."""
    base = {
        "az": 0,
        "zones": ["hall"],
        "machine_types": ["m"],
        "instances": 1,
        "position": 0,
        "tier": 0,
        "membership_mode": "subscribe",
        "over_share_worth": 0.2,
        "counted_by": "work",
        "weights": "rough",
        "caps": {
            "cancel": True,
            "dial_timeout": 250_000,
            "idle_close": 5_000_000,
            "max_retry_after": 2_000_000,
            "retry_after": True,
            "second_copies": False,
            "try_limit": 3,
            "probing": False,
            "peers": False,
            "streams_per_conn": 1,
            "max_open": 20_000,
        },
        "services": services,
        "extra": {
            "class_kind": [-1] * len(services),
            "class_priority": [0] * len(services),
            "class_stretch": [2.0] * len(services),
            "report_x0": "free slots",
            "tells_start": True,
            "progress": 0,
        },
        "load_info": {"how": "inline", "fields": ["util", "qps", "x0"]},
        "tenants": [
            {"name": "acme", "share": 0.6, "quota_per_s": 50.0},
            {"name": "beta", "share": 0.4, "quota_per_s": 50.0},
        ],
        "prices": {"handshake": 0.02, "waste": 0.045, "late_fail": 0.088},
        "rules": {
            "ask_within": 10_000_000,
            "drain_grace": 2_500_000,
            "grace_to_answer": 20_000,
            "cold": 8_800_000,
            "fall": 2_000_000,
            "fall_multiple": 4.0,
            "start_capacity": 0.31,
        },
    }
    for path, value in changes.items():
        part, _, name = path.partition("__")
        if name:
            base[part][name] = value
        else:
            base[part] = value
    return base


def safe(name="query", **more):
    """Return a class that may be repeated."""
    return {
        "name": name,
        "effect": "read_like",
        "objective": 300_000,
        "hard_limit": 5_000_000,
        "value": 1.0,
        "late_worth": 0.2,
        **more,
    }


def keyed(name="reindex", **more):
    """Return a class whose repeats all workers drop for a while."""
    return {
        "name": name,
        "effect": "idempotency_key",
        "group": "all",
        "window": 15_000_000,
        "objective": 600_000,
        "hard_limit": 10_000_000,
        "value": 10.0,
        "late_worth": 0.5,
        **more,
    }


def unsafe(name="assign-job", **more):
    """Return a class that must never run twice."""
    return {
        "name": name,
        "effect": "non_idempotent",
        "objective": 250_000,
        "hard_limit": 5_000_000,
        "value": 2.0,
        "late_worth": 0.5,
        **more,
    }
