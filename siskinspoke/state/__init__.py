"""Durable state on disk."""
