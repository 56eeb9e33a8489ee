"""Clients: most of them well-behaved, some that leave, write slowly, stop in the middle, or say nothing."""

from __future__ import annotations

import asyncio
import contextlib
import time

from world import HOST

from soak.http import read_message, request
from soak.ledger import OWED_END, Asked
from soak.nodes import ARRIVING

KEPT_MOST = 6  # connections of one client
PAUSE = 0.05  # seconds between requests of one client, in the mean
WAYS = ("usual",) * 12 + ("leave", "slow", "half", "silent", "tiny", "ahead")


class Client:
    def __init__(self, run, number):
        self.run, self.number = run, number
        self.rng = run.rng
        self.kept = {}  # connections, by node
        self.count = 0

    async def go_on(self):
        while not self.run.over:
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE))
            way = self.rng.choice(WAYS)
            if way in ("half", "silent"):
                await self.misbehave(way)
            else:
                await self.ask(way)
        for _, writer in self.kept.values():
            writer.close()

    def new_asked(self, node, way, like=None):
        self.count += 1
        kind = self.rng.choice(list(self.run.ledger.classes))
        most = self.run.ledger.classes[kind]["hard_limit"] / 1e6
        patience = self.rng.uniform(0.02, 0.06) if way == "tiny" else most * self.rng.uniform(0.4, 1.0)
        if like is not None:
            kind, patience = like.kind, like.patience
        asked = Asked(f"{kind}.{self.run.plan.seed}-{self.number}-{self.count}", kind, node.number, patience)
        asked.durable = kind == "reindex" and node.durable
        self.run.ledger.asked[asked.id] = asked
        return asked

    async def connection(self):
        """A node, a connection to it, and whether that is a new one."""
        if self.kept and self.rng.random() < 0.7:
            number = self.rng.choice(list(self.kept))
            return self.run.nodes[number], self.kept.pop(number), False
        now = time.monotonic()
        open_nodes = [
            node
            for node in self.run.nodes
            if node.ready or (node.told_to_end is not None and now < node.told_to_end + ARRIVING)
        ]
        node = self.rng.choice(open_nodes or self.run.nodes)
        return node, await asyncio.open_connection(HOST, node.port), True

    async def ask(self, way):
        began = time.monotonic()
        try:
            node, (reader, writer), new = await self.connection()
        except OSError:
            return  # refused: its machine says so, nothing was taken
        self.run.streams.add(writer)
        batch = [self.new_asked(node, way)]
        if way == "ahead":  # answers keep the order of requests, so that these have the same time
            batch += [self.new_asked(node, way, batch[0]) for _ in range(2)]
        try:
            keep = await self.exchange(way, batch, node, reader, writer, new, began)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            keep = False
        if keep and len(self.kept) < KEPT_MOST and node.number not in self.kept:
            self.kept[node.number] = (reader, writer)
        else:
            self.run.streams.discard(writer)
            writer.close()

    async def exchange(self, way, batch, node, reader, writer, new, began):
        """Whether the connection can be used again."""
        data = b"".join(request(asked) for asked in batch)
        if way == "slow":
            while len(data) > 1:
                size = self.rng.randint(1, len(data) - 1)
                writer.write(data[:size])
                data = data[size:]
                await asyncio.sleep(self.rng.uniform(0.0, 0.4))
                if self.rng.random() < 0.3:
                    break
        for asked in batch:
            asked.began, asked.sent = began, time.monotonic()
        writer.write(data)
        if way == "leave":
            await asyncio.sleep(self.rng.choice([0.0, 0.005, 0.05, 0.3]))
            writer.transport.abort()
            for asked in batch:
                asked.left = time.monotonic()
            return False
        keep = True
        for at, asked in enumerate(batch):
            keep = await self.hear(asked, node, reader, new and at == 0)
            if not keep:
                self.unheard(batch[at + 1 :])
                break
        return keep

    async def hear(self, asked, node, reader, new):
        """Waits for one answer; whether another may come."""
        ledger = self.run.ledger
        while True:
            try:
                line, headers, body = await asyncio.wait_for(read_message(reader), 0.25)
                break
            except TimeoutError:
                if ledger.late(asked, time.monotonic()):
                    if not node.excused(asked, time.monotonic()):
                        ledger.found(f"{asked.id}: no final answer in its time at node {node.number}")
                    return False
            except (OSError, asyncio.IncompleteReadError) as fault:
                self.broken(asked, node, new, fault)
                return False
        now = time.monotonic()
        if ledger.late(asked, now):
            ledger.found(f"{asked.id}: answered {now - asked.sent - asked.patience:.3f} s after its time")
        ledger.answered(asked, int(line.split()[1]), body)
        return headers.get("connection") != "close"

    def broken(self, asked, node, new, fault):
        """The connection has ended with no answer."""
        ledger, now = self.run.ledger, time.monotonic()
        if node.excused(asked, now):
            return
        asked.unread = asked.forwarded is None
        if asked.forwarded is not None:
            ledger.found(
                f"{asked.id}: its connection ended unanswered at node {node.number}, and it was sent on"
            )
        elif new and not self.run.plan.crowd:  # where idle clients fill the descriptors it may be shut unread
            took = f"{fault!r} after {now - asked.sent:.3f} s"
            ledger.found(f"{asked.id}: a new connection ended unanswered at node {node.number}: {took}")

    def unheard(self, batch):
        """What was sent ahead, behind an answer that ended the connection."""
        for asked in batch:
            asked.left = time.monotonic()

    # ---- the others -------------------------------------------------------------------------

    async def misbehave(self, way):
        try:
            node, (reader, writer), new = await self.connection()
        except OSError:
            return
        self.run.streams.add(writer)
        began = time.monotonic()
        with contextlib.suppress(OSError):
            if way == "half":
                data = request(Asked(f"half-{self.number}", "query", node.number, 1.0))
                writer.write(data[: self.rng.randint(1, len(data) - 1)])
            if way == "half" or new:
                await self.wait_for_end(reader, node, way, began)
        self.run.streams.discard(writer)
        writer.close()

    async def wait_for_end(self, reader, node, way, began):
        with contextlib.suppress(TimeoutError, OSError):
            await asyncio.wait_for(reader.read(1), OWED_END + 3)
        took = time.monotonic() - began
        if took > OWED_END + self.run.ledger.lag:
            self.run.ledger.found(
                f"a {way} client at node {node.number} has neither error nor close in {took:.3f} s"
            )


async def crowd(run):
    """Idle clients that hold connections, as many as there may be, and come again where they are shut out."""

    async def hold():
        while not run.over:
            with contextlib.suppress(OSError, TimeoutError):
                node = run.rng.choice(run.nodes)
                reader, writer = await asyncio.open_connection(HOST, node.port)
                run.streams.add(writer)
                writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                with contextlib.suppress(asyncio.IncompleteReadError):
                    await asyncio.wait_for(reader.read(-1), run.rng.uniform(0.5, 5.0))
                run.streams.discard(writer)
                writer.close()
            await asyncio.sleep(0.01)

    await asyncio.gather(*(hold() for _ in range(run.plan.crowd * 20)))
