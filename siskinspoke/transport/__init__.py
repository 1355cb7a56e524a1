"""Sockets: HTTP servers and clients, datagrams, and links between replicas."""

from siskinspoke.transport.http import HttpServer, make_app, make_client, serve

__all__ = ["HttpServer", "make_app", "make_client", "serve"]
