"""The state service: its client, its keys and records, and the ways to read and write them."""
