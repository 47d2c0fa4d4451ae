"""Which questions one read answers: those that had arrived when it began, and no later ones."""

from __future__ import annotations

import msgspec


class Round(msgspec.Struct, frozen=True):
    """A read that is about to begin, and how many questions it is for."""

    number: int
    questions: int


class Rounds:
    """Counts questions into rounds, one round at a time. Not safe for use by several threads at a time."""

    def __init__(self) -> None:
        # Number of the round that questions which arrive now wait for, and how many those are.
        self._next = 1
        self._waiting = 0
        self.running = False

    def arrive(self) -> int:
        """A question arrived: the number of its round, the first that begins from now on.

        A round that is under way may have read the store before the question came, and so before another
        controller told its user something newer.
        """
        self._waiting += 1
        return self._next

    def begin(self) -> Round:
        """Begin the round that questions wait for; those that come from now on wait for the next."""
        assert not self.running
        self.running = True
        begun = Round(self._next, self._waiting)
        self._next += 1
        self._waiting = 0
        return begun

    def finish(self) -> None:
        """The round that was under way is over."""
        self.running = False
