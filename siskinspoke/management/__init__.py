"""The command line interface, with one module per command."""

from siskinspoke.management.base import execute

__all__ = ["execute"]
