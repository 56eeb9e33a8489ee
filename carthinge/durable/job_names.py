"""Names of durable jobs, which cannot be guessed and can be verified after the job is deleted."""

from __future__ import annotations

import hmac
from hashlib import blake2b
from typing import Final

TAG_BYTES: Final = 12  # a client that tries a million names a second finds one in 10^15 years


def job_name(number: int, secret: bytes) -> str:
    """Return the name by which clients refer to a job."""
    return f"{number:x}-{_tag(number, secret)}"


def job_number(name: str, secret: bytes) -> int | None:
    """Return the number of a job by its name; None if the name was never issued by this store."""
    digits, separator, tag = name.partition("-")
    if not separator or len(digits) > 16 or not digits or set(digits) - set("0123456789abcdef"):
        return None
    number = int(digits, 16)
    authentic = hmac.compare_digest(tag.encode(), _tag(number, secret).encode())
    return number if authentic and f"{number:x}" == digits and number < 1 << 63 else None


def key_digest(tenant: str, class_name: str, key: bytes) -> bytes:
    """Return the digest of a client's key, which is unique per tenant and class."""
    return _digest(tenant.encode(), class_name.encode(), key)


def request_digest(subject: bytes, body: bytes) -> bytes:
    """Return the digest of a request, to distinguish a repeat from another request with the same key."""
    return _digest(subject, body)


def _digest(*parts: bytes) -> bytes:
    # Without the lengths, different lists of parts could have the same encoding.
    lengths = b"".join([len(part).to_bytes(4, "big") for part in parts])
    return blake2b(lengths + b"".join(parts), digest_size=16).digest()


def _tag(number: int, secret: bytes) -> str:
    return blake2b(number.to_bytes(8, "big"), key=secret, digest_size=TAG_BYTES).hexdigest()
