"""Rejection of submissions that can never run, and the records of accepted ones."""

from __future__ import annotations

import time

import msgspec

from poppyhold.durable.changes import Data
from poppyhold.durable.store import stored_bytes
from poppyhold.model.constraints import allowed_machine_types
from poppyhold.model.resources import task_resources
from poppyhold.scheduling.quotas import Quotas
from poppyhold.settings import Deployment
from poppyhold.wire import field_names
from poppyhold.wire.cloud_messages import MachineType
from poppyhold.wire.user_messages import Submission


class SubmissionPolicy:
    """Checks submissions against the teams' limits, the machine types, and the maximum record size."""

    def __init__(self, deployment: Deployment) -> None:
        self._quotas = Quotas(deployment.teams)
        self._max_record_bytes = deployment.state.lowest.value_bytes

    def infeasible_reason(self, spec: Submission, machine_types: dict[str, MachineType]) -> str | None:
        """Return why a job can never run; None if it can."""
        if not self._quotas.is_known(spec.team):
            return "unknown team"
        # The tasks of an array can run one after another.
        tasks = 1 if spec.shape == "array" else spec.tasks
        if not self._quotas.fits_limit(spec.team, task_resources(spec), tasks):
            return "above the team's limit"
        if machine_types and not allowed_machine_types(spec, machine_types.values()):
            return "fits no machine type"
        return None

    def make_record(self, spec: Submission, machine_types: dict[str, MachineType]) -> Data:
        """Make the record of a submission; if its machine types are too long for it, only known ones stay."""
        data: Data = {"spec": msgspec.to_builtins(spec), "at": time.time()}
        if spec.machine_types is not None and not self.can_store(data):
            data["spec"][field_names.MACHINE_TYPES] = sorted(machine_types.keys() & set(spec.machine_types))
        return data

    def can_store(self, data: Data) -> bool:
        """Whether a record fits into the state service's lowest size limit, current or announced."""
        return stored_bytes(data) <= self._max_record_bytes
