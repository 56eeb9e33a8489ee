"""HTTP messages of the stub clients, workers and discovery."""

from __future__ import annotations


async def read_message(reader):
    """Return the start line, the headers and the body; raises the errors of asyncio's streams."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


def encode_request(request, extra=()):
    """Encode a job as a client sends it."""
    keyed = [f"Idempotency-Key: {request.id}"] * (request.kind == "reindex")
    lines = [
        f"POST /api/{request.id} HTTP/1.1",
        "Host: app.svc",
        f"Req-Id: {request.id}",
        f"Req-Kind: {request.kind}",
        "Req-Owner: acme",
        f"Req-Deadline: {request.timeout * 1000:.0f}m",
        *keyed,
        *extra,
        "Content-Length: 2",
        "",
        "{}",
    ]
    return "\r\n".join(lines).encode()


def encode_answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body
