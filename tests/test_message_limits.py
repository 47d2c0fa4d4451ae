"""Every message stays within its size limit, whatever a machine's tasks are, and larger ones are handled."""

from __future__ import annotations

import http.client
import logging
import threading
import time

import pytest

from poppyhold.wire.codec import MAX_BODY_BYTES, encode
from poppyhold.wire.http_server import HttpServer, http_response
from poppyhold.wire.partial_body import text_field


def _refusals(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.getMessage() for record in caplog.records if "body too large" in record.getMessage()]


def test_a_refused_body_is_logged_with_its_sender_and_size(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against tasks that are killed again and again without a line that says why.
    server = HttpServer(("127.0.0.1", 0), lambda method, path, body: http_response(200), 10)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    body = encode({"box": "vm-000231", "chores": ["x" * 100] * 10 * (MAX_BODY_BYTES // 100)})
    client = http.client.HTTPConnection("127.0.0.1", server.server_port)
    with caplog.at_level(logging.WARNING):
        client.request("POST", "/hello", body)
        assert client.getresponse().status == 413
        deadline = time.monotonic() + 5.0
        while not _refusals(caplog) and time.monotonic() < deadline:
            time.sleep(0.01)
    server.close_all()
    (line,) = _refusals(caplog)
    assert "path=/hello machine=vm-000231" in line
    assert f"bytes={len(body)} limit={MAX_BODY_BYTES}" in line


@pytest.mark.parametrize("fields_before", [0, 3, 30])
def test_a_field_is_found_in_the_beginning_of_a_body(fields_before: int) -> None:
    body = {f"f{number}": number for number in range(fields_before)}
    encoded = encode({**body, "box": "vm-000231", "chores": ["x" * 100] * 100})
    assert text_field(encoded[:1024], "box") == "vm-000231"
    assert text_field(encoded[:1024], "endpoint") is None


@pytest.mark.parametrize(
    "beginning", [b"", b"\xa1", b"\xff\xff", b"\x83\x01\x02", encode({"box": 7}), b"\xb9\x00"]
)
def test_no_field_is_found_in_other_bodies(beginning: bytes) -> None:
    assert text_field(beginning, "box") is None
