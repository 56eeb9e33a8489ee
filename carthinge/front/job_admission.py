"""Admission of jobs that are not durable: rejected, refused, or given to the request tracker."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from http import HTTPStatus
from math import inf
from typing import Protocol

from carthinge.fleet.retry_after import compute_retry_after
from carthinge.front.frontend_protocol import FrontendProtocol
from carthinge.net import log
from carthinge.net.http import BadRequestError, Request
from carthinge.net.loop import MICROSECOND, MILLISECOND
from carthinge.net.tracked_request import Client, Job, Terms, TrackedRequest
from carthinge.records import mix


class Applicant(Client, Protocol):
    """The connection of a client that sends a job."""

    number: int

    def awaits_answer_to(self, request: Request) -> bool:
        """Whether the client still waits for the answer to a request."""

    def wait_for_result(self, tracked: TrackedRequest) -> None:
        """Wait for the result of the job."""

    def refuse(self, retry_after: timedelta, keep_alive: bool = True) -> None:
        """Answer that the job is refused."""

    def refuse_bad_request(self, error: BadRequestError) -> None:
        """Answer the request with an error."""


def admit(applicant: Applicant, request: Request, frontend: FrontendProtocol) -> None:
    """Reject, refuse or accept a job; raises BadRequestError if it is invalid."""
    job, terms = frontend.translator.read(request)
    if frontend.job_ids.in_use(job.id):  # callbacks identify their job by this id
        raise _id_in_use()
    if frontend.refuses_jobs():
        _refuse(applicant, terms, frontend)
        return

    def accept(known_elsewhere: bool) -> None:
        if not applicant.awaits_answer_to(request):  # the client has left meanwhile
            return
        if known_elsewhere or frontend.job_ids.in_use(job.id):
            applicant.refuse_bad_request(_id_in_use())
        else:
            _accept(applicant, request, job, terms, frontend)

    frontend.job_ids.ask_other_process(job.id, accept)


def _accept(
    applicant: Applicant, request: Request, job: Job, terms: Terms, frontend: FrontendProtocol
) -> None:
    terms = replace(terms, timeout=frontend.remaining_time(terms.timeout, request.received_at))
    log.logger().debug(
        "request_taken",
        id=job.id,
        connection=applicant.number,
        job_class=terms.class_name,
        left_ms=terms.timeout // MILLISECOND,
    )
    applicant.wait_for_result(frontend.tracker.take(job, terms, applicant))


def _refuse(applicant: Applicant, terms: Terms, frontend: FrontendProtocol) -> None:
    counters = frontend.counters
    counters.taken += 1
    counters.shed += 1
    frontend.tracker.outcome_counts.refused[terms.class_name] += 1
    jitter = mix(counters.shed)  # when slots become free cannot be predicted
    max_retry_after = frontend.max_retry_after // MICROSECOND
    retry_after = compute_retry_after(inf, 0, max_retry_after, jitter) * MICROSECOND
    applicant.refuse(retry_after, keep_alive=False)


def _id_in_use() -> BadRequestError:
    return BadRequestError(HTTPStatus.BAD_REQUEST, "Req-Id: in use by another request")
