"""Bad clients: ``crowd.py PORT CONNECTIONS SECONDS``; each sends many large requests at once, and reads."""

import asyncio
import contextlib
import sys
import time

REQUESTS = 7  # at once on a connection
BODY = bytes(64 * 1024)  # the largest that a message may have
PAUSE = 0.02  # seconds before the next connection
REST = 1.0  # seconds for which a client reads on


def request(number):
    """Encode a large job."""
    head = (
        f"POST /api/{number % 997} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: bad-{number}\r\nReq-Kind: query\r\n"
        f"Req-Owner: beta\r\nReq-Deadline: 3000m\r\nContent-Length: {len(BODY)}\r\n\r\n"
    )
    return head.encode() + BODY


async def send_at_once(port, ends, numbers):
    """Connect again and again; send, and read whatever is sent."""
    while time.monotonic() < ends:
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                for _ in range(REQUESTS):
                    writer.write(request(next(numbers)))
                await asyncio.wait_for(reader.read(65536), max(0.01, ends - time.monotonic()))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(REST):
                        while await reader.read(65536):
                            pass
            finally:
                writer.transport.abort()
        await asyncio.sleep(PAUSE)


async def main():
    """Run all clients until the time is over."""
    port, connections, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    numbers = iter(range(time.monotonic_ns(), sys.maxsize))
    ends = time.monotonic() + seconds
    await asyncio.gather(*(send_at_once(port, ends, numbers) for _ in range(connections)))


if __name__ == "__main__":
    asyncio.run(main())
