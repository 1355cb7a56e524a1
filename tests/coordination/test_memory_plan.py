"""The division of a VM's memory and descriptors."""

import pytest

from siskinspoke.coordination.memory_plan import (
    BYTES_PER_MEGABYTE,
    CONTROL_SHARES,
    ENTRY_SHARES,
    GATEWAY_SHARES,
    MIN_DESCRIPTORS,
    MIN_MEMORY_MB,
    MIN_OWN_MEMORY_MB,
    REGISTRY_SHARES,
    check_limits,
    memory_plan,
)

PLATFORM_KINDS = [GATEWAY_SHARES, REGISTRY_SHARES]
OWN_KINDS = [ENTRY_SHARES, CONTROL_SHARES]
KINDS = [*PLATFORM_KINDS, *OWN_KINDS]
SIZES_MB = [MIN_OWN_MEMORY_MB, 300.0, 1_000.0]
PLATFORM_SIZES_MB = [MIN_MEMORY_MB, 120.0, *SIZES_MB]
PLANS = [
    *((shares, size) for shares in PLATFORM_KINDS for size in PLATFORM_SIZES_MB),
    *((shares, size) for shares in OWN_KINDS for size in SIZES_MB),
]
# The largest body inside the limits of the platform's deployments.
BODY_BYTES = 4_194_304
# The largest body inside the default limits of the product's own interface.
OWN_BODY_BYTES = 16_000_000
# Requests that wait or run at a small VM of a deployment with more callers than places.
OPEN_REQUESTS = 256


class TestSum:
    """The bounds add up to less than the memory of the VM."""

    @pytest.mark.parametrize(("shares", "memory_mb"), PLANS)
    def test_total_is_within_memory(self, shares, memory_mb):
        """Guards against bounds that exceed the memory only together."""
        plan = memory_plan(shares, memory_mb, descriptors=4_096)
        assert plan.total <= memory_mb * BYTES_PER_MEGABYTE

    @pytest.mark.parametrize("shares", KINDS)
    def test_unknown_limits(self, shares):
        """Guards against a plan without bounds where the settings state no limits."""
        plan = memory_plan(shares)
        assert plan.total <= plan.memory
        assert plan.max_connections * plan.costs.idle <= plan.connections


class TestSoundClients:
    """Clients inside the limits meet no bound of the plan in calm."""

    @pytest.mark.parametrize("shares", PLATFORM_KINDS)
    @pytest.mark.parametrize("memory_mb", PLATFORM_SIZES_MB)
    def test_largest_body_fits(self, shares, memory_mb):
        """Guards against a body that is refused on a VM that holds no other."""
        assert memory_plan(shares, memory_mb).bodies >= BODY_BYTES

    @pytest.mark.parametrize("shares", OWN_KINDS)
    @pytest.mark.parametrize("memory_mb", SIZES_MB)
    def test_largest_body_of_the_own_interface_fits(self, shares, memory_mb):
        """Guards against a body that is refused on a VM that holds no other."""
        assert memory_plan(shares, memory_mb).bodies >= OWN_BODY_BYTES

    @pytest.mark.parametrize(
        ("shares", "memory_mb"),
        [
            *((shares, 200.0) for shares in PLATFORM_KINDS),
            *((shares, 300.0) for shares in OWN_KINDS),
        ],
    )
    def test_open_requests(self, shares, memory_mb):
        """Guards against a bound below the requests that a VM serves at a time."""
        plan = memory_plan(shares, memory_mb)
        assert plan.connections // plan.costs.active >= OPEN_REQUESTS


class TestDescriptors:
    """Clients have a part of the descriptors."""

    @pytest.mark.parametrize("descriptors", [MIN_DESCRIPTORS, 512, 4_096])
    def test_others_keep_theirs(self, descriptors):
        """Guards against a VM whose clients leave no descriptor for servers and files."""
        plan = memory_plan(GATEWAY_SHARES, 300.0, descriptors)
        assert plan.max_connections <= descriptors / 2


class TestChecks:
    """Limits at which no plan is possible are reported at the start."""

    def test_valid(self):
        assert check_limits(0, 0).is_ok()
        assert check_limits(200.0, 4_100, memory_plan(GATEWAY_SHARES, 200.0).buffers).is_ok()

    @pytest.mark.parametrize(
        "limits", [(MIN_MEMORY_MB - 1, 0, 0), (0, MIN_DESCRIPTORS - 1, 0), (200.0, 0, 60_000_000)]
    )
    def test_invalid(self, limits):
        """Guards against a process that starts without memory or descriptors for its clients."""
        assert check_limits(*limits).is_error()
