"""Names of durable jobs that cannot be guessed, and that stay recognisable once the job is forgotten."""

from __future__ import annotations

import hmac
from hashlib import blake2b
from typing import Final

TAG: Final = 12  # bytes: a client that tries a million ids a second finds one in 10^15 years


def job_name(number: int, secret: bytes) -> str:
    """The id that clients know a job by."""
    return f"{number:x}-{_tag(number, secret)}"


def job_number(name: str, secret: bytes) -> int | None:
    """The number of a job by its id; None for one that was never given out here."""
    digits, dash, tag = name.partition("-")
    if not dash or len(digits) > 16 or not digits or set(digits) - set("0123456789abcdef"):
        return None
    number = int(digits, 16)
    good = hmac.compare_digest(tag.encode(), _tag(number, secret).encode())
    return number if good and f"{number:x}" == digits and number < 1 << 63 else None


def key_digest(tenant: str, class_name: str, key: bytes) -> bytes:
    """Where a client's key holds: for its tenant and class."""
    return _digest(tenant.encode(), class_name.encode(), key)


def request_digest(subject: bytes, body: bytes) -> bytes:
    """What was asked for, to tell a repeat from another request with the same key."""
    return _digest(subject, body)


def _digest(*parts: bytes) -> bytes:
    lengths = b"".join([len(part).to_bytes(4, "big") for part in parts])  # so that no two lists look alike
    return blake2b(lengths + b"".join(parts), digest_size=16).digest()


def _tag(number: int, secret: bytes) -> str:
    return blake2b(number.to_bytes(8, "big"), key=secret, digest_size=TAG).hexdigest()
