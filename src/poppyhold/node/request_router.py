"""Routing of HTTP requests to the components of a controller."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from poppyhold.node.user_api import UserApi
from poppyhold.wire.http_server import DeferredResponse, HttpResponse, http_response

JOBS_PATH = "/api/jobs"


class RequestRouter:
    """Routes requests of users, workers and the load balancer by path and method."""

    def __init__(
        self,
        user_api: UserApi,
        handle_heartbeat: Callable[[bytes], HttpResponse | DeferredResponse],
        check_readiness: Callable[[], HttpResponse],
    ) -> None:
        self._user_api = user_api
        self._handle_heartbeat, self._check_readiness = handle_heartbeat, check_readiness

    def route(self, method: str, path: str, body: bytes) -> HttpResponse | DeferredResponse:
        """Answer a request; 404 or 405 if no route matches."""
        path = path.partition("?")[0]
        if path == "/hello":
            return self._handle_heartbeat(body) if method == "POST" else _method_not_allowed("POST")
        if path == "/ready":
            return self._check_readiness() if method == "GET" else _method_not_allowed("GET")
        if path == JOBS_PATH:
            return self._user_api.submit(body) if method == "POST" else _method_not_allowed("POST")
        if path.startswith(JOBS_PATH + "/"):
            return self._route_job(method, path.removeprefix(JOBS_PATH + "/"))
        return _no_such_path()

    def _route_job(self, method: str, path: str) -> HttpResponse:
        job_id, _, action = path.partition("/")
        if not action:
            return self._user_api.poll(job_id) if method == "GET" else _method_not_allowed("GET")
        if action == "abort":
            return self._user_api.abort(job_id) if method == "POST" else _method_not_allowed("POST")
        return _no_such_path()


def _method_not_allowed(allowed: str) -> HttpResponse:
    return http_response(HTTPStatus.METHOD_NOT_ALLOWED, {"error": "method"}, Allow=allowed)


def _no_such_path() -> HttpResponse:
    return http_response(HTTPStatus.NOT_FOUND, {"error": "no such path"})
