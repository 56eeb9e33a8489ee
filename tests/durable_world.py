"""Shorthands for tests of durable jobs: the operator's file, jobs handed in and accepted, a disk at rest."""

import json
import sqlite3

from world import job

FILE = """
[durable]
folder = "{folder}"
classes = ["reindex", "charge"]
[leases]
duration = 0.4
"""


def put(world, req_id, key="k1", prefer="respond-async", client=None, **more):
    """Hands a job in; with ``prefer`` its name is returned once it is taken on."""
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
    """The next job that comes to a worker: its worker, the connection and the headers.

    Where a start or a commit outlasts a lease, the scheduler withdraws the attempt: that DELETE is answered.
    """
    number, peer, (line, headers, _) = world.take()
    while line.startswith("DELETE /jobs/"):
        peer.answer(204)
        number, peer, (line, headers, _) = world.take()
    assert line.startswith("POST "), line
    return number, peer, headers


def accept(world, takes_part=True):
    """The next job that comes to a worker, accepted: its worker, its id and its token."""
    number, peer, headers = take_job(world)
    token = int(headers["lease-token"])
    peer.answer(202, **({"Lease_Token": token} if takes_part else {}))
    world.tell(headers["req-id"], "started", number, **({"token": token} if takes_part else {}))
    return number, headers["req-id"], token


def locked(world):
    """Somebody else writes to the store, as a disk that stands still would have it."""
    database = sqlite3.connect(world.store / "jobs.db", isolation_level=None)
    database.execute("BEGIN IMMEDIATE")
    return database
