"""The daemon of an entry VM, which accepts and serves the requests of callers."""
