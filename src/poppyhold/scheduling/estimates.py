"""Estimates of task run times: submitted estimates, corrected by the observed bias of their job class."""

from __future__ import annotations

import math
from typing import NamedTuple

from poppyhold.model.entities import Job

# From this many runs on, each run has a weight of 1 / this in the moving mean.
_MAX_AVERAGED_RUNS = 20
# Runs after which the correction is applied at half of its full weight.
_HALF_CONFIDENCE_RUNS = 4.0
_MIN_ESTIMATE_S = 0.1


class _ClassBias(NamedTuple):
    """A moving mean of log(actual run time / estimate), and the number of runs in it."""

    mean: float
    runs: int


_NO_BIAS = _ClassBias(0.0, 0)


class RunTimeEstimates:
    """Corrects submitted estimates by the observed bias of their job class."""

    def __init__(self) -> None:
        self._bias_by_class: dict[str, _ClassBias] = {}

    def record_run(self, job: Job, ran_s: float) -> None:
        """Update the bias of the job's class with a task's run time from its start to its end."""
        if job.spec.estimate_s <= 0 or ran_s <= 0:
            return
        mean, runs = self._bias_by_class.get(job.spec.job_class, _NO_BIAS)
        ratio = math.log(ran_s / job.spec.estimate_s)
        step = 1.0 / min(runs + 1, _MAX_AVERAGED_RUNS)
        self._bias_by_class[job.spec.job_class] = _ClassBias(mean + step * (ratio - mean), runs + 1)

    def estimate_s(self, job: Job) -> float:
        """Return the corrected estimate in seconds for a task of the job."""
        mean, runs = self._bias_by_class.get(job.spec.job_class, _NO_BIAS)
        confidence = runs / (runs + _HALF_CONFIDENCE_RUNS)
        return max(_MIN_ESTIMATE_S, job.spec.estimate_s * math.exp(mean * confidence))
