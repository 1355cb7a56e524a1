"""Crowds of clients that exceed limits, against single processes; one test runs at a time."""
