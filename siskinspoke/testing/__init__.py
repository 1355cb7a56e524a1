"""Scaffolding of demonstrations and tests: processes, a fault-injecting proxy, checks."""
