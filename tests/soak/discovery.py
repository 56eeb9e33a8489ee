"""The worker list, a stub discovery for each scheduler, and what each scheduler must know of drains."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from urllib.parse import parse_qs

from soak.http import encode_answer, read_message
from soak.ledger import DISCOVERY_DELAY, TIME_TOLERANCE

AGENT_DELAY = 0.1  # seconds within which an agent's answer arrives


class WorkerList:
    """The list of workers at discovery; each change has a revision."""

    def __init__(self, run):
        self.run, self.revision = run, 10
        self.changed = asyncio.Condition()
        self.changes = []  # (revision, worker)

    async def change(self, worker, phase):
        worker.phase = phase
        self.revision += 1
        self.changes.append((self.revision, worker))
        worker.draining_since = time.monotonic() if phase == "Terminating" else None
        worker.revision = self.revision
        async with self.changed:
            self.changed.notify_all()

    def full_list(self):
        members = [worker.entry() for worker in self.run.workers if worker.phase != "Gone"]
        return {"revision": self.revision, "complete": True, "members": members}

    def changes_since(self, revision):
        changed = {worker.number: worker for known, worker in self.changes if known > revision}
        members = [worker.entry() for worker in changed.values()]
        return {"revision": self.revision, "complete": False, "members": members}


class Discovery:
    """The stub discovery of one scheduler."""

    def __init__(self, run, node):
        self.run, self.node = run, node
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=64)
        self.port = self.server.sockets[0].getsockname()[1]

    def active_fault(self):
        if self.run.plan.settings["membership_mode"] == "automatic":
            kinds = ("down",)  # an agent on the scheduler's own machine is either running or not
        else:
            kinds = ("down", "silent", "unavailable", "slow", "broken")
        return next((w for w in self.run.active(self.run.plan.windows, self.node) if w.kind in kinds), None)

    async def serve(self, reader, writer):
        self.run.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                line, _, _ = await read_message(reader)
                if not await self.answer(line.split()[1], writer):
                    break
        self.run.writers.discard(writer)
        writer.transport.abort()

    async def answer(self, target, writer):
        query = parse_qs(target.partition("?")[2])
        index = int(query["index"][0]) if "index" in query else None
        fault = self.active_fault()
        if fault is not None and fault.kind in ("down", "silent"):
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(max(0.0, self.run.at(fault.ends) - time.monotonic()))
            return False
        if fault is not None and fault.kind == "unavailable":
            writer.write(encode_answer(503))
            return True
        if fault is not None and fault.kind == "slow":
            await asyncio.sleep(self.run.rng.uniform(0.1, 0.8))
        if index is not None:
            await self.wait_for_change(index, float(query["wait"][0]) / 1000)
        update = (
            self.run.worker_list.full_list() if index is None else self.run.worker_list.changes_since(index)
        )
        data = encode_answer(200, json.dumps(update, indent=self.run.rng.choice([None, 2])).encode())
        if fault is not None and fault.kind == "broken":
            writer.write(data[: len(data) // 2])
            return False
        writer.write(data)
        self.run.drains.record_sent(self.node, update["revision"])
        return True

    async def wait_for_change(self, index, wait):
        async def newer_revision():
            async with self.run.worker_list.changed:
                await self.run.worker_list.changed.wait_for(lambda: self.run.worker_list.revision > index)

        down = [w for w in self.run.plan.windows if w.kind == "down" and w.target == self.node]
        until = time.monotonic() + wait
        for window in down:  # a watch ends when discovery goes down
            if self.run.at(window.begins) > time.monotonic():
                until = min(until, self.run.at(window.begins))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(newer_revision(), max(0.0, until - time.monotonic()))


class Drains:
    """Determines when each scheduler must know of a drain, and checks what it sends after that."""

    def __init__(self, run):
        self.run = run
        self.sent_revisions = {}  # by scheduler: lists of (revision, time at which it was sent)
        self.pushed = run.plan.settings["membership_mode"] == "automatic"

    def record_sent(self, node, revision):
        self.sent_revisions.setdefault(node, []).append((revision, time.monotonic()))

    def known_at(self, node, worker):
        """Return when the scheduler had to know of the worker's drain, judged by the events so far.

        A process that starts while its agent is silent does not learn of earlier changes.
        """
        reachable_at = max(worker.draining_since, self.run.nodes[node].started)
        for window in self.run.plan.windows:
            begins, ends = self.run.at(window.begins), self.run.at(window.ends)
            unreachable = window.kind in ("down", "silent", "unavailable", "slow", "broken")
            if unreachable and window.target == node and begins <= reachable_at < ends:
                reachable_at = ends
        if self.pushed:
            return reachable_at + AGENT_DELAY
        started = self.run.nodes[node].started  # a list sent to the previous process does not count
        known = self.sent_revisions.get(node, ())
        sent_at = [at for revision, at in known if revision >= worker.revision and at >= started]
        return min([*sent_at, reachable_at + DISCOVERY_DELAY])

    def check_attempt(self, worker, req_id, began):
        ledger = self.run.ledger
        request = ledger.requests.get(req_id)
        if worker.phase == "Ready" or request is None:
            return
        known_at = self.known_at(request.node, worker)
        if began > known_at + ledger.grace + TIME_TOLERANCE + ledger.arrival_lag:
            ledger.report(
                f"{req_id}: sent to {worker.name} {began - known_at:.3f} s after node {request.node} was told"
            )
