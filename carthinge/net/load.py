"""Load reports as workers word them."""

from __future__ import annotations

import math

import msgspec


def read_load(body: bytes) -> dict[str, float]:
    """A load report as ``name=value,...`` or as a JSON object; what is no finite number is left out."""
    text = body.decode("latin-1").strip()
    try:
        pairs = (
            msgspec.json.decode(body).items()
            if text.startswith("{")
            else (part.split("=", 1) for part in text.split(",") if "=" in part)
        )
    except msgspec.MsgspecError:
        return {}
    return {name.strip(): figure for name, raw in pairs if math.isfinite(figure := _figure(raw))}


def _figure(raw: object) -> float:
    try:
        return float(str(raw))
    except ValueError:
        return math.nan
