"""HTTP interfaces of the external services' stand-ins: paths, queries and paging."""

from __future__ import annotations

from typing import Any

from poppyhold.scale.cloud_standin import CloudStandIn
from poppyhold.scale.responses import Status
from poppyhold.scale.state_standin import StateStandIn
from poppyhold.wire.codec import decode

_MAX_LIST_ENTRIES = 500


def parse_query(path: str) -> tuple[str, dict[str, str]]:
    """Split a request target into its path and its query parameters."""
    path, _, query = path.partition("?")
    return path, dict(part.split("=", 1) for part in query.split("&") if part)


def state_route(state: StateStandIn, method: str, path: str, body: bytes) -> Status:
    """Handle a state service request other than `/follow`, which waits for changes."""
    path, query = parse_query(path)
    if path == "/commit":
        return state.commit(decode(body))
    if path == "/leases":
        return state.lease(decode(body)["lifeMs"])
    if path.startswith("/leases/"):
        lease_id = int(path.split("/")[2])
        return state.end(lease_id) if method == "DELETE" else state.extend(lease_id)
    if path == "/kv":
        return state.scan(query["prefix"], query.get("since", ""), int(query.get("most", 1000)))
    return state.get(path.removeprefix("/kv/"))


def cloud_route(cloud: CloudStandIn, method: str, path: str, body: bytes) -> Status:
    """Handle a cloud request; the caller shuts down the workers of deleted machines."""
    path, query = parse_query(path)
    if path == "/machine_types":
        return 200, {"builds": cloud.machine_types}
    if path == "/machines/delete":
        return cloud.delete(decode(body)["boxes"])
    if method == "POST":
        return cloud.launch(decode(body))
    return _page(cloud.listing(), query)


def _page(listing: Status, query: dict[str, str]) -> Status:
    status, body = listing
    if "boxes" not in body:
        return listing
    since, most = query.get("since", ""), min(int(query.get("most", _MAX_LIST_ENTRIES)), _MAX_LIST_ENTRIES)
    later: list[dict[str, Any]] = [box for box in body["boxes"] if box["nameId"] > since]
    return status, {"boxes": later[:most], "more": len(later) > most}
