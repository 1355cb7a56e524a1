"""Measurements of the policy: decisions and engine model in one process, in virtual time."""
