"""A registry process and clients that exceed its limits, or stop short of them."""

import pytest

from siskinspoke.testing.group_site import INTERNAL_PORTS, OPERATORS_PORT
from tests.crowds.client_crowd import Target
from tests.crowds.group import DESCRIPTORS, MEMORY_MB, run_registry_crowd
from tests.crowds.processes import SPARE_DESCRIPTORS

LINK_PORT, FEED_PORT = INTERNAL_PORTS[0], INTERNAL_PORTS[0] + 1
OPERATORS = Target("", OPERATORS_PORT, "/config/replace", ("Host: c1",))


class TestBodies:
    """Many large bodies at the same time."""

    @pytest.mark.parametrize("form", ["length", "chunks", "small chunks"])
    def test_unfinished_bodies(self, tmp_path, form):
        """Guards against a sum of bodies in arrival that exceeds the memory of the VM."""
        result = run_registry_crowd(tmp_path, OPERATORS, form, count=40)
        assert result.peak_mb < MEMORY_MB

    def test_announced_body_over_the_limit(self, tmp_path):
        """Guards against a refusal that is lost, as the connection is reset with unread bytes."""
        result = run_registry_crowd(tmp_path, OPERATORS, "announced", count=20)
        assert result.peak_mb < MEMORY_MB
        assert result.ended == {"413": 20}

    def test_body_without_end(self, tmp_path):
        """Guards against a client that sees a reset in place of the refusal of its body."""
        result = run_registry_crowd(tmp_path, OPERATORS, "endless", count=20)
        assert result.peak_mb < MEMORY_MB
        # The body gives way to others, or reaches the limit first.
        assert set(result.ended) <= {"413", "503"}
        assert sum(result.ended.values()) == 20


class TestFrames:
    """Many large frames at the same time, of senders that have not proved who they are."""

    @pytest.mark.parametrize("port", [LINK_PORT, FEED_PORT], ids=["links", "feed"])
    def test_unfinished_frames(self, tmp_path, port):
        """Guards against a sum of frames in arrival that exceeds the memory of the VM."""
        result = run_registry_crowd(tmp_path, Target("", port), "frame", count=10)
        assert result.peak_mb < MEMORY_MB


class TestConnections:
    """More connections than the VM has descriptors."""

    @pytest.mark.parametrize(
        "port", [OPERATORS_PORT, LINK_PORT, FEED_PORT], ids=["operators", "links", "feed"]
    )
    def test_silent_clients(self, tmp_path, port):
        """Guards against a VM without a descriptor for entry VMs, control VMs and files."""
        result = run_registry_crowd(tmp_path, Target("", port), "silent", count=700)
        assert result.descriptors <= DESCRIPTORS - SPARE_DESCRIPTORS
        assert result.peak_mb < MEMORY_MB
