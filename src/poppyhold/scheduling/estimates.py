"""How long tasks run: the owners' estimates, corrected by what was seen of their class."""

from __future__ import annotations

import math

from poppyhold.model.entities import Job


class Estimates:
    """How far owners' estimates are off, by class: a moving mean of the ratio's logarithm."""

    def __init__(self) -> None:
        self._bias_by_class: dict[str, tuple[float, int]] = {}

    def record_run(self, job: Job, ran_s: float) -> None:
        """A task of the job ran this long from its start to its end."""
        if job.spec.estimate_s <= 0 or ran_s <= 0:
            return
        mean, count = self._bias_by_class.get(job.spec.job_class, (0.0, 0))
        ratio = math.log(ran_s / job.spec.estimate_s)
        step = 1.0 / min(count + 1, 20)
        self._bias_by_class[job.spec.job_class] = (mean + step * (ratio - mean), count + 1)

    def estimate_s(self, job: Job) -> float:
        """The estimate to plan with."""
        mean, count = self._bias_by_class.get(job.spec.job_class, (0.0, 0))
        confidence = count / (count + 4.0)
        return max(0.1, job.spec.estimate_s * math.exp(mean * confidence))
