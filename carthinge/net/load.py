"""Parsing of workers' load reports."""

from __future__ import annotations

import math
from typing import Final

import msgspec

from carthinge.net.decoding import UndecodableError, decode

_DECODER: Final[msgspec.json.Decoder[dict[str, object]]] = msgspec.json.Decoder(dict[str, object])


def read_load(body: bytes) -> dict[str, float]:
    """Parse a load report, ``name=value,...`` or a JSON object; drop values that are not finite numbers."""
    text = body.decode("latin-1").strip()
    try:
        pairs = (
            decode(_DECODER, body).items()
            if text.startswith("{")
            else (part.split("=", 1) for part in text.split(",") if "=" in part)
        )
    except UndecodableError:
        return {}
    return {name.strip(): value for name, raw in pairs if math.isfinite(value := _number(raw))}


def _number(raw: object) -> float:
    try:
        return float(str(raw))
    except ValueError:
        return math.nan
