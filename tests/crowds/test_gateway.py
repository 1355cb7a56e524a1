"""A gateway process and clients that exceed its limits, or stop short of them."""

import pytest

from siskinspoke.testing.group_site import INTERNAL_PORTS, PUBLIC_PORT, READY_PORT
from tests.crowds.group import DESCRIPTORS, MEMORY_MB, run_gateway_crowd
from tests.crowds.processes import SPARE_DESCRIPTORS

FORWARD_PORT = INTERNAL_PORTS[0] + 3


class TestBodies:
    """Many large bodies at the same time."""

    @pytest.mark.parametrize("form", ["length", "chunks", "expected"])
    @pytest.mark.parametrize("port", [PUBLIC_PORT, FORWARD_PORT], ids=["public", "peers"])
    def test_unfinished_bodies(self, tmp_path, port, form):
        """Guards against a sum of bodies in arrival that exceeds the memory of the VM."""
        result = run_gateway_crowd(tmp_path, port, form, count=40)
        assert result.peak_mb < MEMORY_MB

    @pytest.mark.parametrize("port", [PUBLIC_PORT, FORWARD_PORT], ids=["public", "peers"])
    def test_small_chunks(self, tmp_path, port):
        """Guards against chunks that take up far more memory than their bytes."""
        result = run_gateway_crowd(tmp_path, port, "small chunks", count=100)
        assert result.peak_mb < MEMORY_MB

    def test_announced_body_over_the_limit(self, tmp_path):
        """Guards against a refusal that is lost, as the connection is reset with unread bytes."""
        result = run_gateway_crowd(tmp_path, PUBLIC_PORT, "announced", count=40)
        assert result.peak_mb < MEMORY_MB
        assert result.ended == {"413": 40}

    def test_body_without_end(self, tmp_path):
        """Guards against a client that sees a reset in place of the refusal of its body."""
        result = run_gateway_crowd(tmp_path, PUBLIC_PORT, "endless", count=40)
        assert result.peak_mb < MEMORY_MB
        # The body gives way to others, or reaches the limit first.
        assert set(result.ended) <= {"413", "503"}
        assert sum(result.ended.values()) == 40


class TestConnections:
    """More connections than the VM has descriptors."""

    @pytest.mark.parametrize("form", ["silent", "head"])
    @pytest.mark.parametrize(
        "port", [PUBLIC_PORT, FORWARD_PORT, READY_PORT], ids=["public", "peers", "ready"]
    )
    def test_clients_that_wait(self, tmp_path, port, form):
        """Guards against a VM without a descriptor for servers, peers, control VMs and files."""
        result = run_gateway_crowd(tmp_path, port, form, count=700, served_beside=True)
        assert result.descriptors <= DESCRIPTORS - SPARE_DESCRIPTORS
        assert result.peak_mb < MEMORY_MB
