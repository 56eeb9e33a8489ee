"""Messages on the harness's side of a connection."""

from __future__ import annotations


async def read_message(reader):
    """The first line, the headers and the body; the errors of asyncio's streams."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


def request(asked, extra=()):
    """A job as a client sends it."""
    keyed = [f"Idempotency-Key: {asked.id}"] * (asked.kind == "reindex")
    lines = [
        f"POST /api/{asked.id} HTTP/1.1",
        "Host: app.svc",
        f"Req-Id: {asked.id}",
        f"Req-Kind: {asked.kind}",
        "Req-Owner: acme",
        f"Req-Deadline: {asked.patience * 1000:.0f}m",
        *keyed,
        *extra,
        "Content-Length: 2",
        "",
        "{}",
    ]
    return "\r\n".join(lines).encode()


def answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body
