"""The command line: one module per command."""

from siskinspoke.management.base import execute

__all__ = ["execute"]
