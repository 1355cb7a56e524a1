"""Evidence from crashes of servers about what their requests have in common."""
