"""Decoding of messages that peers send."""

from __future__ import annotations

from typing import Protocol, TypeVar

import msgspec

Message_co = TypeVar("Message_co", covariant=True)


class UndecodableError(ValueError):
    """A message that cannot be decoded; the text says why."""


class Decoder(Protocol[Message_co]):
    """A decoder of msgspec, for JSON or MessagePack."""

    def decode(self, data: bytes, /) -> Message_co:
        """Return the message."""


def decode(decoder: Decoder[Message_co], data: bytes) -> Message_co:
    """Return the message in ``data``; UndecodableError if there is none, however deeply it is nested."""
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise UndecodableError(str(error)) from None
