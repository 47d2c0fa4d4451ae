"""The readiness check: whether the load balancer should route users to this controller."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from http import HTTPStatus

from poppyhold.cluster.peer_client import PeerView
from poppyhold.durable.store import Store
from poppyhold.node.leader_term import LeaderTerm
from poppyhold.node.machine_catalog import MachineCatalog
from poppyhold.settings import Settings
from poppyhold.wire.http_server import HttpResponse, http_response

# Maximum lag of a ready node's last contact with the state service behind any peer's, in leases.
_MAX_CONTACT_LAG_LEASES = 0.35


class ReadinessCheck:
    """Answers GET /ready."""

    def __init__(
        self,
        settings: Settings,
        store: Store,
        catalog: MachineCatalog,
        peer_views: Callable[[], Mapping[str, PeerView]],
        leader_term: Callable[[], LeaderTerm | None],
    ) -> None:
        self._member, self._store, self._catalog = settings.member, store, catalog
        self._peer_views, self._leader_term = peer_views, leader_term
        self._max_lag_s = settings.deployment.workers.lease_s * _MAX_CONTACT_LAG_LEASES
        self._started_at = time.monotonic()

    def store_contact_at(self) -> float:
        """Return when the state service last answered this node, or else when the node started."""
        return max(self._store.contact_at, self._started_at)

    def check(self) -> HttpResponse:
        """Return 200 if this node can serve users, else 503; a leader adds the health of its quota shares."""
        if not self._catalog.types or self._lags_behind_peers():
            return http_response(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "not ready"}, Retry_After="1")
        body: dict[str, object] = {"member": self._member}
        leader_term = self._leader_term()
        endpoint = leader_term.quota_endpoint if leader_term is not None else None
        if endpoint is not None and endpoint.health is not None:
            body["shares"] = endpoint.health._asdict()
        return http_response(HTTPStatus.OK, body)

    def _lags_behind_peers(self) -> bool:
        """Whether a peer's last contact with the state service is much later than this node's.

        In an outage of the state service all nodes stay ready, as load balancers are slow to readmit a node.
        Nodes contact the state service at different times, so only a lag above the threshold counts.
        """
        own_contact_at = self.store_contact_at()
        return any(
            view.store_contact_at - own_contact_at > self._max_lag_s for view in self._peer_views().values()
        )
