"""How long tasks run: the owners' estimates, corrected by what was seen of their class."""

from __future__ import annotations

import math
from typing import NamedTuple

from poppyhold.model.entities import Job

# The mean moves by one part in so many with each run, once it has seen as many.
_MAX_AVERAGED_RUNS = 20
# So many runs give the mean half of its weight.
_HALF_CONFIDENCE_RUNS = 4.0
_MIN_ESTIMATE_S = 0.1


class _ClassBias(NamedTuple):
    """A moving mean of the logarithm of actual run time to estimate, and how many runs it has seen."""

    mean: float
    runs: int


_NO_BIAS = _ClassBias(0.0, 0)


class RunTimeEstimates:
    """Corrects owners' estimates by how far off those of their class were."""

    def __init__(self) -> None:
        self._bias_by_class: dict[str, _ClassBias] = {}

    def record_run(self, job: Job, ran_s: float) -> None:
        """Learn from a task of the job that ran this long from its start to its end."""
        if job.spec.estimate_s <= 0 or ran_s <= 0:
            return
        mean, runs = self._bias_by_class.get(job.spec.job_class, _NO_BIAS)
        ratio = math.log(ran_s / job.spec.estimate_s)
        step = 1.0 / min(runs + 1, _MAX_AVERAGED_RUNS)
        self._bias_by_class[job.spec.job_class] = _ClassBias(mean + step * (ratio - mean), runs + 1)

    def estimate_s(self, job: Job) -> float:
        """The seconds to plan with for a task of the job."""
        mean, runs = self._bias_by_class.get(job.spec.job_class, _NO_BIAS)
        confidence = runs / (runs + _HALF_CONFIDENCE_RUNS)
        return max(_MIN_ESTIMATE_S, job.spec.estimate_s * math.exp(mean * confidence))
