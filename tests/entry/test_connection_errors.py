"""What a failed connection to a backend server proves about the server."""

import resource
from contextlib import contextmanager

import pytest
import trio

from siskinspoke.core.counters import Counters
from siskinspoke.entry.backend import Backend
from siskinspoke.protocol.claims import Target

# An address of a documentation network, which this machine does not have.
FOREIGN_ADDRESS = "203.0.113.7"
# Descriptors that are always open, so none with a number below this is free.
STANDARD_STREAMS = 3
NO_SERVER = Target("s-1", 1, "127.0.0.1", 1)


@contextmanager
def without_descriptors():
    """Leave this process no file descriptor for another connection."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (STANDARD_STREAMS, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def refuses_connections(local_host: str | None = None) -> bool:
    """Return what a VM concludes from a failed connection to an address without a listener."""

    async def run() -> bool:
        async with Backend(Counters(), local_host) as backend:
            return await backend.refuses_connections(NO_SERVER)

    return trio.run(run)


class TestRefusal:
    """Only a connection that the other machine refuses shows that the process there is gone."""

    def test_closed_port_refuses(self):
        """Guards against a crash that is never noticed."""
        assert refuses_connections()

    @pytest.mark.parametrize("local_host", [FOREIGN_ADDRESS])
    def test_missing_local_address_is_no_refusal(self, local_host):
        """Guards against a server recorded as crashed since this VM has lost its own address."""
        assert not refuses_connections(local_host)

    def test_lack_of_descriptors_is_no_refusal(self):
        """Guards against all servers recorded as crashed by a VM that has no descriptor left."""

        async def run() -> bool:
            async with Backend(Counters()) as backend:
                with without_descriptors():
                    return await backend.refuses_connections(NO_SERVER)

        assert not trio.run(run)
