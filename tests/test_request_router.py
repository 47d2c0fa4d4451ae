"""Requests that the HTTP API serves, and its responses to all others."""

from __future__ import annotations

from typing import Any

import pytest

from poppyhold.node.request_router import RequestRouter
from poppyhold.wire.http_server import HttpResponse


class RecordingUserApi:
    """Records its calls."""

    def __init__(self) -> None:
        self.calls: list[tuple[object, ...]] = []

    def submit(self, body: bytes) -> HttpResponse:
        return self._record("submit", body)

    def poll(self, job_id: str) -> HttpResponse:
        return self._record("poll", job_id)

    def abort(self, job_id: str) -> HttpResponse:
        return self._record("abort", job_id)

    def heartbeat(self, body: bytes) -> HttpResponse:
        return self._record("heartbeat", body)

    def ready(self) -> HttpResponse:
        return self._record("ready")

    def _record(self, *call: object) -> HttpResponse:
        self.calls.append(call)
        return HttpResponse(200, {}, {})


@pytest.fixture
def api() -> RecordingUserApi:
    return RecordingUserApi()


def router(api: RecordingUserApi) -> RequestRouter:
    users: Any = api
    return RequestRouter(users, api.heartbeat, api.ready)


@pytest.mark.parametrize(
    ("method", "path", "call"),
    [
        ("POST", "/hello", ("heartbeat", b"body")),
        ("GET", "/ready", ("ready",)),
        ("GET", "/ready?verbose=1", ("ready",)),
        ("POST", "/api/jobs", ("submit", b"body")),
        ("GET", "/api/jobs/job-000001", ("poll", "job-000001")),
        ("POST", "/api/jobs/job-000001/abort", ("abort", "job-000001")),
    ],
)
def test_known_requests_reach_their_handler(
    api: RecordingUserApi, method: str, path: str, call: tuple[object, ...]
) -> None:
    assert router(api).route(method, path, b"body") == (200, {}, {})
    assert api.calls == [call]


@pytest.mark.parametrize(
    ("method", "path", "allowed"),
    [
        ("GET", "/hello", "POST"),
        ("POST", "/ready", "GET"),
        ("GET", "/api/jobs", "POST"),
        ("POST", "/api/jobs/job-000001", "GET"),
        ("GET", "/api/jobs/job-000001/abort", "POST"),
    ],
)
def test_other_methods_get_405_with_the_allowed_method(
    api: RecordingUserApi, method: str, path: str, allowed: str
) -> None:
    assert router(api).route(method, path, b"") == (405, {"error": "method"}, {"Allow": allowed})
    assert not api.calls


@pytest.mark.parametrize("path", ["/", "/api", "/api/jobsx", "/api/jobs/job-000001/start", "/hello/"])
def test_unknown_paths_get_404(api: RecordingUserApi, path: str) -> None:
    for method in ("GET", "POST"):
        assert router(api).route(method, path, b"") == (404, {"error": "no such path"}, {})
    assert not api.calls
