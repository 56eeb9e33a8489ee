"""Messages between schedulers as bytes: MessagePack, and a seal where an installation has a key.

A seal says that whoever sent it has the key; it does not hide anything.
"""

from __future__ import annotations

import hmac
from typing import Final

import msgspec

from carthinge.fleet.packets import PACKET_MOST, Packet

VERSION: Final = b"c1"
SEAL: Final = 16  # bytes of it

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final[msgspec.msgpack.Decoder[Packet]] = msgspec.msgpack.Decoder(Packet)


class BadPacketError(Exception):
    """It cannot be read, or has not the seal that it should have; the text says which."""


def encode(packet: Packet, key: bytes) -> bytes:
    """At most ``PACKET_MOST`` bytes; ValueError where it would be more.  ``key``: empty for no seal."""
    body = VERSION + _ENCODER.encode(packet)
    sealed = _seal(body, key) + body
    if len(sealed) > PACKET_MOST:
        raise ValueError(f"a message of {len(sealed)} bytes")
    return sealed


def decode(data: bytes, key: bytes) -> Packet:
    """BadPacketError for whatever ``encode`` with the same key did not make."""
    if len(data) > PACKET_MOST:
        raise BadPacketError("too long")
    at = SEAL if key else 0
    body = data[at:]
    if key and not hmac.compare_digest(_seal(body, key), data[:at]):
        raise BadPacketError("not sealed with this key")
    if body[:2] != VERSION:
        raise BadPacketError("another version, or no message")
    try:
        return _DECODER.decode(body[2:])
    except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
        raise BadPacketError(str(fault)) from None


def _seal(body: bytes, key: bytes) -> bytes:
    return hmac.digest(key, body, "sha256")[:SEAL] if key else b""
