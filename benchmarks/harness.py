"""A scheduler process, stub workers and clients for the benchmarks, on loopback and asyncio.

The workers log the jobs that they ran and the clients the answers that they got; the benchmarks compare the
two.  No code here is shared with the scheduler.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

KEY_WINDOW_SECONDS = 15.0  # the workers drop repeats of a key for this long
MAX_CALLBACKS = 10
CALLBACK_RETRY_SECONDS = 0.15

#: The site of the tests, with higher quotas and a longer wait for a list.
SITE: dict[str, Any] = json.loads((Path(__file__).parents[1] / "tests" / "site.json").read_text())
SITE["tenants"] = [{**tenant, "quota_per_s": 100000.0} for tenant in SITE["tenants"]]
SITE["rules"]["ask_within"] = 10000000


def free_port(host: str) -> int:
    with socket.create_server((host, 0)) as listener:
        return int(listener.getsockname()[1])


class Scheduler:
    """The scheduler as a process with its own folder."""

    def __init__(
        self,
        workers: list[tuple[str, str]],
        options: str = "",
        site: dict[str, Any] | None = None,
        sockets: int = 4096,
    ) -> None:
        """``workers``: names and addresses; ``{store}`` in ``options`` is replaced by the store's folder."""
        self.folder = Path(tempfile.mkdtemp(prefix="carthinge-bench"))
        self.store = self.folder / "store"
        self.host = "127.78.{}.{}".format(*divmod(os.getpid() % 65000 + 256, 256))
        self.port, self.operator = free_port(self.host), free_port(self.host)
        self.log = self.folder / "log"
        (self.folder / "tmp").mkdir()
        options_path = self.folder / "carthinge.toml"
        options_path.write_text(options.replace("{store}", str(self.store)))
        members = [
            {
                "id": name,
                "host_port": address,
                "locality": "hall",
                "flavor": "m",
                "cell": 0,
                "phase": "Ready",
                "size": 1.0,
                "up_since_ms": 0,
            }
            for name, address in workers
        ]
        config = {
            "name": "n0",
            "listen": f"{self.host}:{self.port}",
            "seed": "8c1f",
            "discovery": f"{self.host}:{free_port(self.host)}",
            "operator": f"{self.host}:{self.operator}",
            "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": sockets},
            "known": {"revision": 1, "complete": True, "members": members},
            "settings": site or SITE,
        }
        config_path = self.folder / "config.json"
        config_path.write_text(json.dumps(config))
        self._environment = {
            **os.environ,
            "RELAY_CONFIG": str(config_path),
            "TMPDIR": str(self.folder / "tmp"),
            "CARTHINGE_FILE": str(options_path),
        }
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "carthinge"], env=self._environment, stderr=log
            )

    async def wait_until_up(self) -> None:
        while True:
            assert self.process is not None and self.process.poll() is None, self.log.read_text()[-2000:]
            with contextlib.suppress(OSError):
                if (await call(self.host, self.port, "GET", "/up"))[0]:
                    return
            await asyncio.sleep(0.005)

    def kill(self) -> None:
        if self.process is not None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def rss_mb(self) -> float:
        assert self.process is not None
        prefix = "RssAnon:"  # without the pages of shared libraries
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(prefix):
                return int(line.split()[1]) / 1024
        raise AssertionError("no memory figure")

    async def metrics(self) -> dict[str, Any]:
        result: dict[str, Any] = json.loads((await call(self.host, self.operator, "GET", "/metrics"))[2])
        return result


class Connection:
    """A persistent connection that makes one call at a time."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(
        self, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> tuple[int, dict[str, str], bytes]:
        """Make a call; raises OSError if the connection ends before the whole response is received."""
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._address)
        reader, writer = self._streams
        lines = [f"{method} {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            pairs = (line.split(": ", 1) for line in head[1:] if line)
            response_headers = {name.lower(): value for name, value in pairs}
            response_body = await reader.readexactly(int(response_headers.get("content-length", 0)))
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            raise ConnectionError(str(error)) from None
        if response_headers.get("connection") == "close":
            self.close()
        return int(head[0].split()[1]), response_headers, response_body

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def call(
    host: str, port: int, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b""
) -> tuple[int, dict[str, str], bytes]:
    connection = Connection(host, port)
    try:
        return await connection.call(method, path, headers, body)
    finally:
        connection.close()


@dataclass
class Run:
    """A job that a worker ran."""

    worker: str
    req_id: str
    key: str
    began: float
    ended: float | None = None


@dataclass
class Fleet:
    """Stub workers with leases: they run jobs, renew leases, and repeat a callback until it is answered."""

    size: int
    work: Callable[[random.Random], float]
    seed: int = 1
    supports_leases: bool = True
    runs: list[Run] = field(default_factory=list)
    dropped_repeats: int = 0  #: repeats of a key that were not run
    posts: int = 0
    conflicts: int = 0  #: callbacks answered 409
    undelivered: int = 0  #: callbacks given up

    def __post_init__(self) -> None:
        self.host = "127.79.{}.{}".format(*divmod(os.getpid() % 65000 + 256, 256))
        self.members: list[tuple[str, str]] = []
        self.scheduler: tuple[str, int] = ("", 0)
        self._rng = random.Random(self.seed)
        self._results_by_key: dict[str, tuple[float, asyncio.Future[str]]] = {}
        self._jobs: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._connections: list[Connection] = []
        self._servers: list[asyncio.Server] = []

    async def start(self) -> None:
        for number in range(self.size):
            name = f"s-{number}"
            server = await asyncio.start_server(lambda r, w, name=name: self._serve(name, r, w), self.host, 0)
            self._servers.append(server)
            self.members.append((name, f"{self.host}:{server.sockets[0].getsockname()[1]}"))

    async def stop(self) -> None:
        for task in self._jobs.values():
            task.cancel()
        for server in self._servers:
            server.close()

    async def _serve(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                pairs = (line.split(": ", 1) for line in head[1:] if line)
                headers = {key.lower(): value for key, value in pairs}
                await reader.readexactly(int(headers.get("content-length", 0)))
                method, path, _ = head[0].split()
                if method == "DELETE":
                    task = self._jobs.pop((name, path.rsplit("/", 1)[1]), None)
                    if task is not None:
                        task.cancel()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.posts += 1
                req_id, token = headers["req-id"], headers.get("lease-token", "")
                lease_header = f"Lease-Token: {token}\r\n" if token and self.supports_leases else ""
                writer.write(f"HTTP/1.1 202 Accepted\r\n{lease_header}Content-Length: 0\r\n\r\n".encode())
                self._jobs[name, req_id] = asyncio.create_task(
                    self._run(
                        name,
                        req_id,
                        headers.get("idempotency-key", ""),
                        token,
                        float(headers.get("lease-duration", "0m")[:-1]) / 1000,
                    )
                )
        writer.close()

    async def _run(self, name: str, req_id: str, key: str, token: str, lease: float) -> None:
        now = time.monotonic()
        earlier = self._results_by_key.get(key) if key else None
        if earlier is not None and now < earlier[0] + KEY_WINDOW_SECONDS:  # a repeat gets the first result
            self.dropped_repeats += 1
            result = await asyncio.shield(earlier[1])
        else:
            done: asyncio.Future[str] = asyncio.get_running_loop().create_future()
            if key:
                self._results_by_key[key] = (now, done)
            run = Run(name, req_id, key, now)
            self.runs.append(run)
            renewal = (
                asyncio.create_task(self._renew(name, req_id, token, lease)) if token and lease else None
            )
            try:
                duration = self.work(self._rng)
                if duration:
                    await asyncio.sleep(duration)
            finally:
                if renewal is not None:
                    renewal.cancel()
            run.ended = time.monotonic()
            result = f"{req_id} by {name} at {run.ended:.6f}"
            done.set_result(result)
        await self._call_back(name, req_id, token, "done", result)
        self._jobs.pop((name, req_id), None)

    async def _renew(self, name: str, req_id: str, token: str, lease: float) -> None:
        while True:
            await self._call_back(name, req_id, token, "heartbeat", once=True)
            await asyncio.sleep(lease / 3)

    async def _call_back(
        self, name: str, req_id: str, token: str, state: str, result: str = "", once: bool = False
    ) -> None:
        event: dict[str, Any] = {"id": req_id, "from": name, "state": state}
        if token and self.supports_leases:
            event["token"] = int(token)
        if result:
            event["result"] = result
        body = json.dumps(event).encode()
        for _ in range(1 if once else MAX_CALLBACKS):
            connection = self._connections.pop() if self._connections else Connection(*self.scheduler)
            try:
                status, _, _ = await connection.call("POST", "/v1/job-events", body=body)
            except OSError:
                await asyncio.sleep(CALLBACK_RETRY_SECONDS)
                continue
            self._connections.append(connection)
            self.conflicts += status == 409
            return
        self.undelivered += 1


def percentile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else float("nan")


class FleetProcess:
    """A fleet that serves at once, in its own process so that clients and workers do not slow each other."""

    def __init__(self, size: int) -> None:
        self._process = subprocess.Popen(
            [sys.executable, __file__, str(size)], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        assert self._process.stdout is not None
        listed = json.loads(self._process.stdout.readline())
        self.members: list[tuple[str, str]] = [tuple(pair) for pair in listed]

    def set_callback_address(self, host: str, port: int) -> None:
        """Set the address of the callbacks."""
        assert self._process.stdin is not None
        self._process.stdin.write(json.dumps([host, port]).encode() + b"\n")
        self._process.stdin.flush()

    def stop(self) -> None:
        self._process.kill()
        self._process.wait()


async def _run_fleet(size: int) -> None:
    fleet = Fleet(size, lambda rng: 0.0, supports_leases=False)
    await fleet.start()
    print(json.dumps(fleet.members), flush=True)
    line = await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    if line:  # empty if the parent process is gone
        host, port = json.loads(line)
        fleet.scheduler = (host, port)
        await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(_run_fleet(int(sys.argv[1])))
