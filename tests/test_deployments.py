"""Random deployments with faulty workers and a faulty discovery, against the real program.

Each accepted request gets exactly one complete answer in time, whatever limits, classes, zones and reports
the settings name, and also after a SIGKILL of the scheduler (which loses the requests it held).
"""

import asyncio
import contextlib
import json
import random
import time
from functools import partial

import pytest
from world import HOST, SETTINGS, World

ANSWER_GRACE_S = 0.5  # seconds after the deadline at which an answer counts as missing
START_GRACE_S = 0.1  # seconds after its client has left, from which no attempt may begin
DEADLINE_GRACE_S = 0.15  # seconds by which the deadline sent to a worker may exceed the client's
DISCONNECT_SHARE = 0.2  # share of the clients that disconnect before the answer
CLIENTS, REQUESTS_PER_CLIENT = 16, 5
EXPECTED_STATUSES = {200, 502, 503, 504}  # 200 only with the result of that request
FAULTS = ["reset", "mute", "silent", "declined", "error", "garbage", "failed", "twice"]
MAX_CALLBACK_TRIES = 3  # attempts to deliver a callback


def random_deployment(rng):
    """Return random settings and limits within what the protocol allows."""
    effects = rng.sample(["read_like", "idempotency_key", "non_idempotent"], rng.randint(1, 3))
    deadlines = [rng.choice([400_000, 900_000, 25_000_000]) for _ in effects]
    classes = [
        {
            "name": f"c{number}",
            "effect": effect,
            "objective": deadline // 4,
            "hard_limit": deadline,
            "value": float(rng.choice([1, 10])),
            "late_worth": rng.choice([0.0, 0.5]),
            "window": rng.choice([100_000, 40_000_000]),
            "group": rng.choice(["all", "zone", "cell"]),
        }
        for number, (effect, deadline) in enumerate(zip(effects, deadlines, strict=True))
    ]
    reports = {
        "how": rng.choice(["inline", "on_probe", "off"]),
        "fields": rng.choice([["util", "qps", "x0"], ["queue", "x0"], ["q"]]),
    }
    caps = {
        "try_limit": rng.choice([1, 3, 6]),
        "second_copies": rng.random() < 0.6,
        "probing": reports["how"] == "on_probe" or rng.random() < 0.5,
        "peers": rng.random() < 0.2,
        "idle_close": rng.choice([500_000, 5_000_000, 60_000_000]),
        "dial_timeout": rng.choice([25_000, 250_000, 2_500_000]),
    }
    settings = {
        **SETTINGS,
        "services": classes,
        "load_info": reports,
        "instances": rng.choice([1, 2, 230]),
        "membership_mode": rng.choice(["automatic", "subscribe"]),
        "zones": rng.choice([[], ["a", "b"], ["a", "b", "c"]]),
        "tenants": rng.choice([[], SETTINGS["tenants"]]),
        "caps": {**SETTINGS["caps"], **caps},
        "extra": {
            **SETTINGS["extra"],
            "class_kind": [-1] * len(classes),
            "class_stretch": [2.0] * len(classes),
            "tells_start": rng.random() < 0.7,
            "progress": rng.choice([0, 20_000, 2_000_000]),
        },
        "rules": {**SETTINGS["rules"], "drain_grace": rng.choice([100_000, 500_000, 10_000_000])},
        "prices": {"handshake": rng.choice([0.0, 0.02]), "cross_zone": rng.choice([0.0, 0.025])},
    }
    return settings, {"sockets": rng.choice([64, 96, 1024]), "workers": rng.choice([1, 3, 17])}


class Workers:
    """Stub workers that misbehave at random as the protocol allows, and record violations of its rules."""

    def __init__(self, world, rng):
        self.world = world
        self.rng = rng
        self.open_at = {}  # workers with an open attempt that was not withdrawn, by request
        self.ran = {}  # workers where it may have run, by request
        self.settings = world.config["settings"]
        self.groups = len(self.settings["zones"]) or 1
        self.classes = {spec["name"]: spec for spec in self.settings["services"]}
        self.violations = []
        self.tasks = set()
        self.deadlines = {}  # deadline of each job's client
        self.disconnected_at = {}  # when its client disconnected, if before its answer
        self.lag = 0.0  # decaying maximum of this process's own delay, which is no violation

    async def measure_lag(self):
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.005)
            self.lag = max(time.monotonic() - began - 0.005, self.lag * 0.98)

    async def listen(self):
        return [
            await asyncio.start_server(partial(self.serve, number), sock=stub.sock)
            for number, stub in enumerate(self.world.workers)
        ]

    async def serve(self, number, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line)
                await reader.readexactly(int(fields.get("content-length", 0)))
                if head.startswith("DELETE"):
                    self.open_at.get(head.split()[1].removeprefix("/jobs/"), set()).discard(number)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif head.startswith("GET /metrics/load"):
                    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 12\r\n\r\nqueue=3,x0=2")
                elif not await self.work(
                    number, fields["req-id"], float(fields["req-deadline"][:-1]) / 1000, writer
                ):
                    break
        writer.close()

    async def work(self, number, job, sent_deadline, writer):
        """Handle one attempt; return False if its connection ends without an answer."""
        open_at, ran = self.open_at.setdefault(job, set()), self.ran.setdefault(job, set())
        now = time.monotonic()
        if job in self.disconnected_at and now > self.disconnected_at[job] + START_GRACE_S + self.lag:
            self.violations.append(
                f"{job}: begins {now - self.disconnected_at[job]:.3f} s after its client has left"
            )
        remaining = self.deadlines.get(job, now) - now
        if job in self.deadlines and sent_deadline > max(remaining, 0.0) + DEADLINE_GRACE_S + self.lag:
            self.violations.append(
                f"{job}: deadline of {sent_deadline:.3f} s sent where {remaining:.3f} s are left"
            )
        if number in open_at or (open_at and not self.settings["caps"]["second_copies"]):
            self.violations.append(f"{job}: a second copy, at worker {number} beside {open_at}")
        if ran and not self.may_repeat(job, {*ran, number}):
            self.violations.append(f"{job}: a repeat at worker {number} after {ran}")
        behaviour = self.rng.choice(["good"] * 8 + FAULTS)
        answers = {"declined": b"503 X\r\nSrv-Declined: 1", "error": b"500 X", "garbage": b"2x2 \x00"}
        if behaviour not in ("reset", *answers):
            open_at.add(number)
        if behaviour != "declined":
            ran.add(number)
        if behaviour in answers:
            writer.write(b"HTTP/1.1 " + answers[behaviour] + b"\r\nContent-Length: 0\r\n\r\n")
        if behaviour in ("reset", "garbage"):
            return False
        if behaviour in ("good", "silent", "failed", "twice"):
            writer.write(b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n")
            if behaviour != "silent":
                task = asyncio.create_task(self.send_callback(number, job, behaviour))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        return True

    def may_repeat(self, job, workers):
        """Return whether a job may run at all of these.  Zones and cells coincide: worker number % groups."""
        spec = self.classes[job.split(".")[0]]
        keyed = spec["effect"] == "idempotency_key"
        together = spec["group"] == "all" or len({worker % self.groups for worker in workers}) == 1
        return spec["effect"] == "read_like" or (keyed and together)

    def may_refuse(self, job):
        """Return whether a client may be told that a retry is safe."""
        spec = self.classes[job.split(".")[0]]
        keyed = spec["effect"] == "idempotency_key" and spec["group"] == "all"
        return not self.ran.get(job) or spec["effect"] == "read_like" or keyed

    async def send_callback(self, number, job, behaviour):
        final_callback = [(self.rng.uniform(0.0, 0.05), "failed" if behaviour == "failed" else "done")]
        progress_reports = [(0.01, "running")] * (self.settings["extra"]["progress"] == 20_000)
        for wait, state in [
            (0.005, "started"),
            *progress_reports,
            *final_callback,
            *final_callback[: behaviour == "twice"],
        ]:
            await asyncio.sleep(wait)  # running time
            if state in ("done", "failed"):
                self.open_at.get(job, set()).discard(number)
            body = json.dumps(
                {
                    "id": job,
                    "from": f"s-{number}",
                    "state": state,
                    "result": f"of {job}",
                    "load": {"util": 0.5, "qps": 9.0, "queue": 1, "x0": 2.0},
                }
            ).encode()
            head = f"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
            call = head.encode() + body
            for _ in range(MAX_CALLBACK_TRIES):
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    await asyncio.wait_for(exchange(self.world.port, call), 1)
                    break


async def exchange(port, data, connection=None):
    """Send a request; return the status, headers, body and connection of its answer."""
    reader, writer = connection or await asyncio.open_connection(HOST, port)
    writer.write(data)
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    if headers.get("connection") == "close":
        assert await reader.read() == b"", "something follows the last answer"
    if headers.get("connection") == "close" or (connection is None and data.startswith(b"POST /v1")):
        writer.close()
        return int(head[0].split()[1]), headers, body, None
    return int(head[0].split()[1]), headers, body, (reader, writer)


async def disconnect(port, data, connection, after):
    """Send a request and disconnect at once or after a while."""
    with contextlib.suppress(OSError):
        _, writer = connection or await asyncio.open_connection(HOST, port)
        writer.write(data)
        await asyncio.sleep(after)
        writer.transport.abort() if after else writer.close()


async def client(world, number, rng, workers, kill_steps, problems):
    """Send requests one after the other; record all that lack one complete answer in time."""
    connection = None
    for step in range(REQUESTS_PER_CLIENT):
        name = rng.choice(list(workers.classes))
        job, timeout = f"{name}.{number}-{step}", rng.choice([0.15, 0.4])
        key = [f"Idempotency-Key: {job}"] * (workers.classes[name]["effect"] == "idempotency_key")
        deadline = rng.choice([f"{timeout * 1000:.0f}m", f"{timeout * 1e6:.0f}u"])
        lines = [
            f"POST /api/{job} HTTP/1.1",
            "Host: x",
            f"Req-Id: {job}",
            f"Req-Kind: {name}",
            "Req-Owner: acme",
            f"Req-Deadline: {deadline}",
            *key,
            "Content-Length: 2",
            "",
            "{}",
        ]
        before, sent = kill_steps[0], time.monotonic()
        if rng.random() < 0.3 and connection is not None:
            connection[1].close()
            connection = None
        workers.deadlines[job] = sent + timeout
        if rng.random() < DISCONNECT_SHARE:
            connection = await disconnect(
                world.port, "\r\n".join(lines).encode(), connection, rng.choice([0.0, 0.01, 0.05])
            )
            workers.disconnected_at[job] = time.monotonic()
            continue
        call = exchange(world.port, "\r\n".join(lines).encode(), connection)
        try:
            try:
                status, headers, body, connection = await asyncio.wait_for(call, timeout + ANSWER_GRACE_S)
            except (OSError, asyncio.IncompleteReadError):
                if connection is None:
                    raise
                # The scheduler may close an idle connection: then the client retries once on a new one.
                sent = time.monotonic()
                workers.deadlines[job] = sent + timeout
                call = exchange(world.port, "\r\n".join(lines).encode())
                status, headers, body, connection = await asyncio.wait_for(call, timeout + ANSWER_GRACE_S)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as fault:
            connection = None
            if kill_steps[0] == before != 1 and not isinstance(fault, ConnectionRefusedError):
                took = time.monotonic() - sent
                problems.append(f"{job}: {type(fault).__name__} after {took:.3f} s of {timeout} s")
            continue
        if status not in EXPECTED_STATUSES or (status == 200 and body.decode() != f"of {job}"):
            problems.append(f"{job}: {status} {body!r}")
        if status == 503 and not workers.may_refuse(job):
            problems.append(f"{job}: refused, though it may have run")
        if status == 503 and not 0 < float(headers.get("retry-after", 0)) <= 2:
            problems.append(f"{job}: refused with Retry-After {headers.get('retry-after')}")


async def discovery(kind, reader, writer):
    if kind == "503":
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
    elif kind == "healthy":
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                await asyncio.sleep(0.05)  # no change
                body = b'{"revision":7,"complete":false,"members":[]}'
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    elif kind == "silent":
        await reader.read()
    writer.close()


async def run_clients(world, rng):
    workers, kill_steps, problems = Workers(world, rng), [0], []
    kind = rng.choice(["503", "silent", "reset", "healthy"])
    lag_task = asyncio.create_task(workers.measure_lag())
    servers = await workers.listen()
    servers.append(await asyncio.start_server(partial(discovery, kind), sock=world.discovery.sock))
    clients = [
        asyncio.create_task(client(world, number, rng, workers, kill_steps, problems))
        for number in range(CLIENTS)
    ]
    await asyncio.wait(clients[: CLIENTS // 4])
    kill_steps[0] += 1  # until the next increment answers may be missing
    await asyncio.to_thread(world.kill)
    workers.open_at.clear(), workers.ran.clear()  # the new process does not know of these
    await asyncio.to_thread(world.restart)
    kill_steps[0] += 1
    await asyncio.gather(*clients)
    for number in range(CLIENTS, CLIENTS + 8):  # against the state that the kill left behind
        await client(world, number, rng, workers, kill_steps, problems)
    lag_task.cancel()
    for server in servers:
        server.close()
    return problems + workers.violations


@pytest.mark.parametrize("seed", range(6))
def test_every_request_gets_one_answer(seed, tmp_path):
    rng = random.Random(seed)
    settings, limits = random_deployment(rng)
    with World(tmp_path, settings=settings, **limits) as world:
        problems = asyncio.run(run_clients(world, rng))
        assert world.process.poll() is None, f"seed {seed}: {world.log()}"
        assert not problems, f"seed {seed}, {limits}, {settings}: {problems}"
