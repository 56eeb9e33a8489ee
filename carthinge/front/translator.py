"""Translates client requests into jobs and their terms, using the class and tenant names of the settings."""

from __future__ import annotations

import re
from datetime import timedelta
from hashlib import blake2b
from http import HTTPStatus
from typing import Final

from carthinge.net.http import BadRequestError, Request
from carthinge.net.loop import MICROSECOND, MILLISECOND
from carthinge.net.tracked_request import Job, Terms
from carthinge.rules import Effect
from carthinge.settings import Site

JOBS_PATH: Final = b"/api"  # a further path segment, if present, is the key
REQUEST_ID: Final = re.compile(r"[0-9A-Za-z_.-]{1,128}")
DURATION: Final = re.compile(r"(\d{1,15}(?:\.\d{1,9})?)([mu])")
UNITS: Final = {"m": MILLISECOND, "u": MICROSECOND}
FORWARDED_HEADERS: Final = (b"idempotency-key", b"content-type")


class Translator:
    """Translates requests into jobs and terms, using the class and tenant names of one site."""

    def __init__(self, site: Site) -> None:
        self._classes = {name: index for index, name in enumerate(site.classes)}
        self._tenants = {name: index for index, name in enumerate(site.tenants)}
        self._effects = {
            name: spec.effect
            for name, spec in zip(site.classes, site.dispatcher_settings.classes, strict=True)
        }

    def job_class(self, name: str) -> int | None:
        """Return the index of a class in the settings; None if this site has no such class."""
        return self._classes.get(name)

    def effect(self, name: str) -> Effect:
        """Return the effect of running a job of a class twice; UNSAFE if this site has no such class."""
        return self._effects.get(name, Effect.UNSAFE)

    def tenant(self, name: str) -> int | None:
        """Return the index of a tenant; None if this site has no such tenant."""
        return self._tenants.get(name) if self._tenants else 0

    def read(self, request: Request) -> tuple[Job, Terms]:
        """Parse a request; raises BadRequestError if it is invalid."""
        headers = request.headers
        job_id = header_text(headers, b"req-id")
        if not REQUEST_ID.fullmatch(job_id):  # the id becomes part of a path
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "Req-Id: missing or malformed")
        class_name = header_text(headers, b"req-kind")
        job_class = self._classes.get(class_name)
        if job_class is None:
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "Req-Kind: not a class of this site")
        tenant_name = header_text(headers, b"req-owner")
        tenant = self.tenant(tenant_name)
        if tenant is None:
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "Req-Owner: not a tenant of this site")
        extra = parse_extra(header_text(headers, b"req-extra"))
        hint = header_text(headers, b"req-cost")
        try:
            cost = float(hint) * MICROSECOND if hint else None
        except (ValueError, OverflowError):
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "Req-Cost: not a number") from None
        if cost is not None and cost < timedelta():
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "Req-Cost: negative")
        terms = Terms(
            job_class,
            class_name,
            tenant,
            tenant_name,
            parse_duration(header_text(headers, b"req-deadline")),
            subject_key(request.target),
            cost,
            extra.get("slots", 1.0),
            extra.get("memory", 0.0),
            headers.get(b"req-retry") == b"1",
            self.effect(class_name),
        )
        forwarded = tuple(
            (name.decode().title(), headers[name]) for name in FORWARDED_HEADERS if name in headers
        )
        return Job(job_id, request.target, request.body, forwarded), terms


def header_text(headers: dict[bytes, bytes], name: bytes) -> str:
    """Return a header as text, empty if it is missing."""
    return headers.get(name, b"").decode("latin-1")


def parse_duration(text: str) -> timedelta:
    """Parse a number with the unit ``m`` (milliseconds) or ``u`` (microseconds)."""
    match = DURATION.fullmatch(text)
    if match is None:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "Req-Deadline: not a number with the unit m or u")
    return float(match[1]) * UNITS[match[2]]


def deadline_of(request: Request) -> timedelta | None:
    """Return when the client of a job stops waiting; None if it is no job or has no valid deadline."""
    if request.method != b"POST" or not request.target.startswith(JOBS_PATH):
        return None
    try:
        return request.received_at + parse_duration(header_text(request.headers, b"req-deadline"))
    except (BadRequestError, OverflowError):
        return None


def parse_extra(text: str) -> dict[str, float]:
    """Parse ``name=number,...``."""
    try:
        pairs = [part.split("=", 1) for part in text.split(",") if part]
        values = {name.strip(): float(value) for name, value in pairs}
    except ValueError:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "Req-Extra: not of the form name=number,...") from None
    if not all(0 <= number < 1e9 for number in values.values()):
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "Req-Extra: a figure is out of range")
    return values


def subject_key(target: bytes) -> int:
    """Hash the last segment of the path; every scheduler computes the same key."""
    last = target.split(b"?", 1)[0].removeprefix(JOBS_PATH).rsplit(b"/", 1)[-1]
    return int.from_bytes(blake2b(last, digest_size=8).digest(), "little") if last else 0
