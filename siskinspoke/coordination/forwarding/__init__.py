"""Decisions about requests that an entry VM forwards to a peer, without input or output."""
