"""Bounds on what a single peer can make the program keep; see docs/incidents/81aa6e.md for all of them."""

import pytest
from in_process import UP_REQUEST, read_next

from carthinge.net.http import MAX_HEAD_BYTES, MAX_HEADER_FIELDS, BadRequestError, RequestReader


def head_with_fields(count):
    return b"GET /up HTTP/1.1\r\n" + b"".join(b"%x:\r\n" % number for number in range(count))


def test_head_of_very_many_fields_is_rejected(serve, dial):
    program = serve()
    assert (
        read_next(dial(program).send(head_with_fields(MAX_HEADER_FIELDS + 2)), program)[0].split()[1] == "431"
    )
    sound = dial(program).send(head_with_fields(MAX_HEADER_FIELDS) + b"\r\n")
    assert read_next(sound, program)[0].endswith("200 OK")


@pytest.mark.parametrize("before", [b"", UP_REQUEST], ids=["first", "behind another"])
def test_endless_header_field_is_not_collected(before):
    reader = RequestReader()
    reader.feed(before + b"GET /up HTTP/1.1\r\nX: ")
    with pytest.raises(BadRequestError):
        reader.feed(b"x" * (MAX_HEAD_BYTES + 16 * 1024))


def test_requests_complete_before_garbage_are_answered(serve, dial):
    program = serve()
    client = dial(program).send(UP_REQUEST + UP_REQUEST + b"garbage\r\n\r\n")
    assert [read_next(client, program)[0].split()[1] for _ in range(2)] == ["400", "400"]


def test_complete_request_is_not_kept_by_its_reader():
    reader = RequestReader()
    (request,) = reader.feed(b"POST /api HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + bytes(60000))
    assert len(request.body) == 60000 and b"content-length" in request.headers
    assert not reader.body and not reader.headers
