"""poppyhold: a scheduler for fleets that serve language models."""

__version__ = "0.1.0"
