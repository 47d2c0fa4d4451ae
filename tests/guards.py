"""Mutation of guards: a scenario must fail once the method that guards a rule is replaced by a stub."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

import pytest

from scenario import play, variants


class Guard(NamedTuple):
    """A method that guards a rule, the stub that replaces it, and the scenario that must then fail."""

    scenario: str
    owner: type
    method: str
    stub: Callable[..., object]

    def __str__(self) -> str:
        return f"{self.scenario}-{self.owner.__name__}.{self.method}"


def replace_guard(
    monkeypatch: pytest.MonkeyPatch, owner: type, method: str, stub: Callable[..., object]
) -> None:
    """Replace a method by a stub, bound like the method."""
    is_static = isinstance(owner.__dict__[method], staticmethod)
    monkeypatch.setattr(owner, method, staticmethod(stub) if is_static else stub)


def violations_without(
    guard: Guard, folder: Path, seeds: Iterable[int], monkeypatch: pytest.MonkeyPatch
) -> list[str]:
    """Failures of the guard's scenario while the stub replaces the guard."""
    replace_guard(monkeypatch, guard.owner, guard.method, guard.stub)
    texts = [text for _, text in variants(folder / f"{guard.scenario}.txt")]
    return [found for text in texts for seed in seeds for found in play(text, seed)]
