"""Forwarding of requests to a peer that reaches servers which this entry VM cannot reach.

The sender passes the caller's HTTP request on to the peer's public port, with a sealed header. The
peer serves it as if its own caller had sent it, and never forwards it again. A request may be sent
to several peers: one with an idempotency key is claimed by the VM that dispatches it.
"""
