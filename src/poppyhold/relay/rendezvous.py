"""Rendezvous hashing: each worker ranks the relays in an order of its own."""

from __future__ import annotations

import random


def rendezvous_weight(member: str, machine: str) -> float:
    """A figure that every process draws alike.

    A string as a seed is hashed with SHA-512, which `random` has loaded; `hashlib` would bring all of OpenSSL
    into each controller, for 6 ms of its start and 3 MB.
    """
    return random.Random(f"{member} {machine}").random()
