"""Open-loop load generator that verifies responses and reports latency histograms."""
