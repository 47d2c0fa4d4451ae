"""Taking a guard out: what it kept from happening must then be found."""

from __future__ import annotations

from collections.abc import Callable

import pytest


def take_out(monkeypatch: pytest.MonkeyPatch, owner: type, method: str, stub: Callable[..., object]) -> None:
    """Put a stub in a method's place, bound as that is."""
    is_static = isinstance(owner.__dict__[method], staticmethod)
    monkeypatch.setattr(owner, method, staticmethod(stub) if is_static else stub)
