"""Coordination logic without I/O: membership, routing, limits, retries, claims and replication."""
