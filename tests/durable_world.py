"""Helpers for tests of durable jobs: the operator's file, submitting and accepting jobs, a blocked store."""

import json
import sqlite3
import threading

from world import job

FILE = """
[durable]
folder = "{folder}"
classes = ["reindex", "charge"]
[leases]
duration = 0.4
"""


def put(world, req_id, key="k1", prefer="respond-async", client=None, **more):
    """Submit a job; with ``prefer`` wait until it is accepted and return its path, else return the client."""
    headers = {"Idempotency_Key": key, "Prefer": prefer, "kind": "reindex", "deadline": "9000m", **more}
    headers = {name: value for name, value in headers.items() if value is not None}
    peer = (client or world.connect()).send(job(req_id, **headers))
    if prefer is None:
        return peer
    first, answered, body = peer.read()
    assert first.split()[1] == "202", (first, body)
    assert answered["location"] == "/v1/jobs/" + json.loads(body)["job"]
    return answered["location"]


def get(world, path, method="GET", prefer="wait=9"):
    first, headers, body = world.ask(f"{method} {path} HTTP/1.1\r\nHost: x\r\nPrefer: {prefer}\r\n\r\n")
    return int(first.split()[1]), body, headers


def take_job(world):
    """Return the next job sent to a worker: the worker's number, the connection and the headers.

    If a start or a commit outlasts a lease, the scheduler withdraws the attempt: that DELETE is answered.
    """
    number, peer, (line, headers, _) = world.next_request()
    while line.startswith("DELETE /jobs/"):
        peer.answer(204)
        number, peer, (line, headers, _) = world.next_request()
    assert line.startswith("POST "), line
    return number, peer, headers


def accept(world, takes_part=True):
    """Accept the next job sent to a worker; return the worker's number, the job's id and its token."""
    number, peer, headers = take_job(world)
    token = int(headers["lease-token"])
    peer.answer(202, **({"Lease_Token": token} if takes_part else {}))
    world.send_callback(headers["req-id"], "started", number, **({"token": token} if takes_part else {}))
    return number, headers["req-id"], token


def lock_store(world):
    """Hold a write transaction on the store, so that its commits fail as on a blocked disk."""
    database = sqlite3.connect(world.store / "jobs.db", isolation_level=None)
    database.execute("BEGIN IMMEDIATE")
    return database


class BlockedDisk:
    """Blocks transactions of a store until the test releases them."""

    def __init__(self, store):
        self.apply, self.released, self.entered = store.apply, threading.Event(), threading.Event()
        store.apply = self

    def __call__(self, batch, time):
        self.entered.set()
        assert self.released.wait(30), "the test did not release the disk"
        return self.apply(batch, time)
