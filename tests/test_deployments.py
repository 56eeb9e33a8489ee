"""Deployments drawn by seed, with bad workers and a bad discovery, against the real program.

Each request that is taken gets one whole answer within its time, across a SIGKILL of the scheduler itself
(what it held then is gone with it) and for whatever limits, classes, zones and reports the settings name.
"""

import asyncio
import contextlib
import json
import random
import time
from functools import partial

import pytest
from world import HOST, SETTINGS, World

LATE = 0.5  # seconds after its time: by then an answer is lost
GONE = 0.1  # seconds after its client has left: by then no attempt may begin
TOLD = 0.15  # seconds more than its client has left may be told to a worker
LEAVES = 0.2  # of the clients, before they have their answer
CLIENTS, EACH = 16, 5
ANSWERS = {200, 502, 503, 504}  # 200 only with what a worker made for that request
BAD = ["reset", "mute", "silent", "declined", "error", "garbage", "failed", "twice"]
CALLS = 3  # of a worker, until it is heard


def drawn(rng):
    """Settings and limits that the protocol allows, though few days draw them together."""
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
    """Stub workers, each of which does by seed what the protocol lets a bad one do; they watch the rules."""

    def __init__(self, world, rng):
        self.world = world
        self.rng = rng
        self.out = {}  # where attempts are that have not ended and were not given up, by request
        self.ran = {}  # where it may have run
        self.settings = world.config["settings"]
        self.groups = len(self.settings["zones"]) or 1
        self.classes = {spec["name"]: spec for spec in self.settings["services"]}
        self.breaches = []
        self.tasks = set()
        self.due = {}  # when each job's client gives up
        self.left = {}  # when its client left, if it did before its answer
        self.lag = 0.0  # of this process itself, lately, at the most: its own slowness is no breach

    async def feel_lag(self):
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
                    self.out.get(head.split()[1].removeprefix("/jobs/"), set()).discard(number)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif head.startswith("GET /metrics/load"):
                    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 12\r\n\r\nqueue=3,x0=2")
                elif not await self.work(
                    number, fields["req-id"], float(fields["req-deadline"][:-1]) / 1000, writer
                ):
                    break
        writer.close()

    async def work(self, number, job, told, writer):
        """One attempt; False where its connection ends without an answer."""
        out, ran = self.out.setdefault(job, set()), self.ran.setdefault(job, set())
        now = time.monotonic()
        if job in self.left and now > self.left[job] + GONE + self.lag:
            self.breaches.append(f"{job}: begins {now - self.left[job]:.3f} s after its client has left")
        left = self.due.get(job, now) - now
        if job in self.due and told > max(left, 0.0) + TOLD + self.lag:
            self.breaches.append(f"{job}: is told {told:.3f} s where {left:.3f} s are left")
        if number in out or (out and not self.settings["caps"]["second_copies"]):
            self.breaches.append(f"{job}: a second copy, at worker {number} beside {out}")
        if ran and not self.repeatable(job, {*ran, number}):
            self.breaches.append(f"{job}: a repeat at worker {number} after {ran}")
        way = self.rng.choice(["good"] * 8 + BAD)
        answers = {"declined": b"503 X\r\nSrv-Declined: 1", "error": b"500 X", "garbage": b"2x2 \x00"}
        if way not in ("reset", *answers):
            out.add(number)
        if way != "declined":
            ran.add(number)
        if way in answers:
            writer.write(b"HTTP/1.1 " + answers[way] + b"\r\nContent-Length: 0\r\n\r\n")
        if way in ("reset", "garbage"):
            return False
        if way in ("good", "silent", "failed", "twice"):
            writer.write(b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n")
            if way != "silent":
                task = asyncio.create_task(self.call_back(number, job, way))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        return True

    def repeatable(self, job, workers):
        """Whether a job may run at all of these.  Zones and cells are dealt out in turn, and are the same."""
        spec = self.classes[job.split(".")[0]]
        keyed = spec["effect"] == "idempotency_key"
        together = spec["group"] == "all" or len({worker % self.groups for worker in workers}) == 1
        return spec["effect"] == "read_like" or (keyed and together)

    def refusable(self, job):
        """Whether a client may be told that it does no harm to try again."""
        spec = self.classes[job.split(".")[0]]
        keyed = spec["effect"] == "idempotency_key" and spec["group"] == "all"
        return not self.ran.get(job) or spec["effect"] == "read_like" or keyed

    async def call_back(self, number, job, way):
        ending = [(self.rng.uniform(0.0, 0.05), "failed" if way == "failed" else "done")]
        notes = [(0.01, "running")] * (self.settings["extra"]["progress"] == 20_000)
        for wait, state in [(0.005, "started"), *notes, *ending, *ending[: way == "twice"]]:
            await asyncio.sleep(wait)  # its work
            if state in ("done", "failed"):
                self.out.get(job, set()).discard(number)
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
            for _ in range(CALLS):
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    await asyncio.wait_for(exchange(self.world.port, call), 1)
                    break


async def exchange(port, data, kept=None):
    """Status, headers, body and connection of the answer to a request."""
    reader, writer = kept or await asyncio.open_connection(HOST, port)
    writer.write(data)
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    if headers.get("connection") == "close":
        assert await reader.read() == b"", "something follows the last answer"
    if headers.get("connection") == "close" or (kept is None and data.startswith(b"POST /v1")):
        writer.close()
        return int(head[0].split()[1]), headers, body, None
    return int(head[0].split()[1]), headers, body, (reader, writer)


async def leave(port, data, kept, after):
    """Sends a request and goes, before its answer or with it; nothing is left of the connection."""
    with contextlib.suppress(OSError):
        _, writer = kept or await asyncio.open_connection(HOST, port)
        writer.write(data)
        await asyncio.sleep(after)
        writer.transport.abort() if after else writer.close()


async def client(world, number, rng, workers, killed, found):
    """Requests one after the other; notes all that is not one whole answer in time."""
    kept = None
    for step in range(EACH):
        name = rng.choice(list(workers.classes))
        job, patience = f"{name}.{number}-{step}", rng.choice([0.15, 0.4])
        key = [f"Idempotency-Key: {job}"] * (workers.classes[name]["effect"] == "idempotency_key")
        span = rng.choice([f"{patience * 1000:.0f}m", f"{patience * 1e6:.0f}u"])
        lines = [
            f"POST /api/{job} HTTP/1.1",
            "Host: x",
            f"Req-Id: {job}",
            f"Req-Kind: {name}",
            "Req-Owner: acme",
            f"Req-Deadline: {span}",
            *key,
            "Content-Length: 2",
            "",
            "{}",
        ]
        before, sent = killed[0], time.monotonic()
        if rng.random() < 0.3 and kept is not None:
            kept[1].close()
            kept = None
        workers.due[job] = sent + patience
        if rng.random() < LEAVES:
            kept = await leave(world.port, "\r\n".join(lines).encode(), kept, rng.choice([0.0, 0.01, 0.05]))
            workers.left[job] = time.monotonic()
            continue
        call = exchange(world.port, "\r\n".join(lines).encode(), kept)
        try:
            try:
                status, headers, body, kept = await asyncio.wait_for(call, patience + LATE)
            except (OSError, asyncio.IncompleteReadError):
                if kept is None:
                    raise
                # The scheduler may close a kept connection: then the client sends once more on a new one.
                sent = time.monotonic()
                workers.due[job] = sent + patience
                call = exchange(world.port, "\r\n".join(lines).encode())
                status, headers, body, kept = await asyncio.wait_for(call, patience + LATE)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as fault:
            kept = None
            if killed[0] == before != 1 and not isinstance(fault, ConnectionRefusedError):
                took = time.monotonic() - sent
                found.append(f"{job}: {type(fault).__name__} after {took:.3f} s of {patience} s")
            continue
        if status not in ANSWERS or (status == 200 and body.decode() != f"of {job}"):
            found.append(f"{job}: {status} {body!r}")
        if status == 503 and not workers.refusable(job):
            found.append(f"{job}: refused, though it may have run")
        if status == 503 and not 0 < float(headers.get("retry-after", 0)) <= 2:
            found.append(f"{job}: refused with Retry-After {headers.get('retry-after')}")


async def discovery(kind, reader, writer):
    if kind == "503":
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
    elif kind == "well":
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                await asyncio.sleep(0.05)  # nothing new
                body = b'{"revision":7,"complete":false,"members":[]}'
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    elif kind == "silent":
        await reader.read()
    writer.close()


async def play(world, rng):
    workers, killed, found = Workers(world, rng), [0], []
    kind = rng.choice(["503", "silent", "reset", "well"])
    feeling = asyncio.create_task(workers.feel_lag())
    servers = await workers.listen()
    servers.append(await asyncio.start_server(partial(discovery, kind), sock=world.discovery.sock))
    clients = [
        asyncio.create_task(client(world, number, rng, workers, killed, found)) for number in range(CLIENTS)
    ]
    await asyncio.wait(clients[: CLIENTS // 4])
    killed[0] += 1  # up to the next such line nobody is owed anything
    await asyncio.to_thread(world.kill)
    workers.out.clear(), workers.ran.clear()  # another process knows nothing of these
    await asyncio.to_thread(world.restart)
    killed[0] += 1
    await asyncio.gather(*clients)
    for number in range(CLIENTS, CLIENTS + 8):  # with all that the kill left behind
        await client(world, number, rng, workers, killed, found)
    feeling.cancel()
    for server in servers:
        server.close()
    return found + workers.breaches


@pytest.mark.parametrize("seed", range(6))
def test_every_request_has_one_whole_answer_in_time(seed, tmp_path):
    rng = random.Random(seed)
    settings, limits = drawn(rng)
    with World(tmp_path, settings=settings, **limits) as world:
        found = asyncio.run(play(world, rng))
        assert world.process.poll() is None, f"seed {seed}: {world.log()}"
        assert not found, f"seed {seed}, {limits}, {settings}: {found}"
