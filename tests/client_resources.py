"""Limits for the clients of servers that a test runs in its own process."""

from siskinspoke.coordination.memory_plan import REGISTRY_SHARES, memory_plan
from siskinspoke.core.counters import Counters
from siskinspoke.transport.client_resources import ClientResources, client_resources


def unlogged_resources(counters: Counters | None = None) -> ClientResources:
    """Return the limits of a VM of unknown size, whose log lines are dropped."""
    plan = memory_plan(REGISTRY_SHARES)
    return client_resources(plan, counters or Counters(), lambda event, **fields: None)
