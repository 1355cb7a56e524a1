"""Test support: site processes, a fault-injecting proxy, simulations and invariant checks."""
