"""Rendezvous hashing: each worker has its own order of the relays."""

from __future__ import annotations

import random


def rendezvous_weight(member: str, machine: str) -> float:
    """Return a weight that is the same in every process.

    `random` hashes a string seed with SHA-512, which it has loaded; importing `hashlib` would load OpenSSL
    into each controller, which costs 6 ms at start and 3 MB.
    """
    return random.Random(f"{member} {machine}").random()
