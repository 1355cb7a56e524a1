"""Simulated external systems for tests: model engines, plain services and a load balancer."""
