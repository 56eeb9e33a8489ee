"""Encodes messages between schedulers as MessagePack, with a MAC if the installation has a key.

The MAC authenticates the sender as a holder of the key; messages are not encrypted.
"""

from __future__ import annotations

import hmac
from typing import Final

import msgspec

from carthinge.fleet.packets import MAX_PACKET_BYTES, Packet

VERSION: Final = b"c1"
MAC_BYTES: Final = 16

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final[msgspec.msgpack.Decoder[Packet]] = msgspec.msgpack.Decoder(Packet)


class BadPacketError(Exception):
    """A packet that cannot be decoded or has no valid MAC; the text says which."""


def encode(packet: Packet, key: bytes) -> bytes:
    """Return at most ``MAX_PACKET_BYTES``, or raise ValueError.  With an empty ``key`` there is no MAC."""
    body = VERSION + _ENCODER.encode(packet)
    data = _mac(body, key) + body
    if len(data) > MAX_PACKET_BYTES:
        raise ValueError(f"the packet has {len(data)} bytes, the maximum is {MAX_PACKET_BYTES}")
    return data


def decode(data: bytes, key: bytes) -> Packet:
    """Return the packet; raise BadPacketError for anything that ``encode`` with this key did not make."""
    if len(data) > MAX_PACKET_BYTES:
        raise BadPacketError("the packet is too long")
    mac_bytes = MAC_BYTES if key else 0
    body = data[mac_bytes:]
    if key and not hmac.compare_digest(_mac(body, key), data[:mac_bytes]):
        raise BadPacketError("the MAC is not valid for this key")
    if body[:2] != VERSION:
        raise BadPacketError("unknown version, or not a packet")
    try:
        return _DECODER.decode(body[2:])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BadPacketError(str(error)) from None


def _mac(body: bytes, key: bytes) -> bytes:
    return hmac.digest(key, body, "sha256")[:MAC_BYTES] if key else b""
