"""Limits on durable jobs, the rate of readmission after a restart, and job names."""

from datetime import timedelta

from carthinge.durable.job_names import job_name, job_number
from carthinge.durable.limits import Limits, ShedReason
from carthinge.durable.recovery import RecoveryQueue


def test_limits_give_shed_reason_and_count_open_jobs():
    limits = Limits(
        max_open=3, max_open_per_tenant=2, max_open_bytes=100, max_store_bytes=10_000, max_backlog=5
    )
    accepted = {"tenant": "a", "size": 10, "backlog": 0, "store_bytes": 0, "failing": False}
    assert limits.shed_reason(**accepted) is None
    assert limits.shed_reason(**{**accepted, "failing": True}) is ShedReason.FAILING
    assert limits.shed_reason(**{**accepted, "backlog": 5}) is ShedReason.BACKLOG
    assert limits.shed_reason(**{**accepted, "store_bytes": 8_500}) is ShedReason.FULL
    assert limits.shed_reason(**{**accepted, "size": 101}) is ShedReason.BYTES
    limits.add("a", 10)
    limits.add("a", 10)
    assert (
        limits.shed_reason(**accepted) is ShedReason.TENANT
        and limits.shed_reason(**{**accepted, "tenant": "b"}) is None
    )
    limits.add("b", 10)
    assert limits.shed_reason(**{**accepted, "tenant": "c"}) is ShedReason.OPEN
    limits.remove("a", 10)
    assert limits.shed_reason(**accepted) is None and limits.bytes == 20


def test_open_jobs_fit_the_memory_whatever_the_file_allows():
    """Guards against bodies and records beyond the process's limit, which the file's default exceeds."""
    limits = Limits(1000, 1000, 1 << 30, 1 << 30, 1000, max_memory_bytes=20_000)
    accepted = {"tenant": "a", "size": 5_000, "backlog": 0, "store_bytes": 0, "failing": False}
    while limits.shed_reason(**accepted) is None:
        limits.add("a", 5_000)
    assert limits.shed_reason(**accepted) is ShedReason.BYTES and limits.open == 2
    assert limits.shed_reason(**{**accepted, "size": 1_000}) is None


def test_recovered_jobs_are_readmitted_at_the_rate_or_deadline():
    queue = RecoveryQueue(per_s=100)
    for job in range(50):
        queue.add(job, timedelta(seconds=1000))
    queue.add("late", timedelta(seconds=1))
    assert queue.pop_due(timedelta(seconds=0)) == []
    readmitted, now = [], timedelta()
    while now < timedelta(milliseconds=300):
        due = queue.next_due(now)
        assert now < due <= now + timedelta(milliseconds=20)
        now = due
        readmitted += queue.pop_due(now)
    assert 28 <= len(readmitted) <= 32 and readmitted == list(range(len(readmitted)))
    assert queue.remove(40) and not queue.remove(40)
    at_deadline = queue.pop_due(timedelta(seconds=1))
    assert at_deadline[0] == "late"
    readmitted += at_deadline[1:]
    while len(queue):
        readmitted += queue.pop_due(now := queue.next_due(now))
    assert set(readmitted) == set(range(50)) - {40} and queue.next_due(now) is None


def test_forged_job_names_are_rejected():
    name = job_name(12345, b"secret")
    assert job_number(name, b"secret") == 12345 and job_number(name, b"other") is None
    for bad in ("", "-", "3039", "03039" + name[4:], name.upper(), name[:-1], "x" * 300, name + "\u00e9"):
        assert job_number(bad, b"secret") is None
