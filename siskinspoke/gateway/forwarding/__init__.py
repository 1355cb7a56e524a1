"""Forwarding of requests to a peer that reaches servers which this VM cannot reach.

The sender connects to the peer's forward port and passes the client's request on over HTTP/1.1.
The peer serves it as if its own client had sent it, with limits, admission, retries and quarantine,
but never forwards it again.
"""
