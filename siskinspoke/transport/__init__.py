"""Transports: HTTP servers and clients, datagrams, framed streams and links between replicas."""
