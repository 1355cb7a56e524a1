"""Benchmarks: routing policies in virtual time, and the cost per message of real processes."""
