"""Offline analysis of decision logs."""
