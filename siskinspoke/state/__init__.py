"""Durable state: files that last only once they are synced."""
