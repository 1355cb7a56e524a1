"""Divide the memory and the descriptors of a VM among all that grows with its clients.

The bounds of a plan and the memory of the process itself add up to less than the memory of the VM,
at any number of clients.  All functions are pure; sizes are in bytes.
"""

from typing import NamedTuple

from expression import Error, Ok, Result

from siskinspoke.coordination.socket_buffers import BACKLOG, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES
from siskinspoke.core.codes import Failure, ResultCode

BYTES_PER_MEGABYTE = 1_000_000
# Memory of a VM whose settings do not state it, and the least that a VM may have.
DEFAULT_MEMORY_MB = 300
MIN_MEMORY_MB = 96
# The same for the product's own interface.
MIN_OWN_MEMORY_MB = 200
# Connections that wait to be accepted may already have filled their receive buffers.
ACCEPT_QUEUE_BYTES = BACKLOG * RECEIVE_BUFFER_BYTES
# One read from a client, and the most that is read ahead of the request that is being served.
READ_BYTES = 16_384
KERNEL_BUFFER_BYTES = RECEIVE_BUFFER_BYTES + SEND_BUFFER_BYTES
# Share of the descriptors for connections of clients.  The others are for servers, peers, control
# VMs and files.
CLIENT_DESCRIPTOR_SHARE = 0.5
MIN_DESCRIPTORS = 128


class ConnectionCosts(NamedTuple):
    """What a connection takes up: of which nothing is unread, and with a request."""

    idle: int
    active: int


# A task, a parser and the kernel's state; with a request also one read and the kernel's buffers.
COSTS = ConnectionCosts(24_576, 24_576 + READ_BYTES + KERNEL_BUFFER_BYTES)
# Hypercorn reads 64 KB at a time, and runs several tasks for each request.
HYPERCORN_COSTS = ConnectionCosts(40_960, 124_000 + KERNEL_BUFFER_BYTES)


class Shares(NamedTuple):
    """Shares of the memory that is left beside the process and the accept queue.

    ``process`` is the size of the program, its libraries, and the state that does not grow with
    clients.
    """

    process: int
    connections: float
    bodies: float
    answers: float = 0.0
    buffers: float = 0.0
    documents: float = 0.0
    costs: ConnectionCosts = COSTS


# ``answers`` are those that are read as a whole, ``buffers`` are for clients that read slowly.
GATEWAY_SHARES = Shares(50_000_000, connections=0.28, bodies=0.16, answers=0.28, buffers=0.28)
# ``documents`` are configurations that are decoded, replicated and stored.
REGISTRY_SHARES = Shares(50_000_000, connections=0.25, bodies=0.45, documents=0.3)
# The product's own interface, whose HTTP server takes up more for itself and each connection.
ENTRY_SHARES = Shares(80_000_000, connections=0.6, bodies=0.2, answers=0.2, costs=HYPERCORN_COSTS)
CONTROL_SHARES = Shares(
    80_000_000, connections=0.4, bodies=0.35, documents=0.25, costs=HYPERCORN_COSTS
)


class MemoryPlan(NamedTuple):
    """The bounds of a process; sizes are in bytes."""

    memory: int
    process: int
    accept_queue: int
    connections: int
    bodies: int
    answers: int
    buffers: int
    documents: int
    max_connections: int
    costs: ConnectionCosts

    @property
    def total(self) -> int:
        """Return the sum of all bounds."""
        clients = self.connections + self.bodies + self.answers + self.buffers
        return self.process + self.accept_queue + clients + self.documents


def memory_plan(shares: Shares, memory_mb: float = 0.0, descriptors: int = 0) -> MemoryPlan:
    """Return the plan of a process; 0 stands for a limit that is not known."""
    memory = int((memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MEGABYTE)
    rest = memory - shares.process - ACCEPT_QUEUE_BYTES
    connections = int(rest * shares.connections)
    by_memory = connections // shares.costs.idle
    by_descriptors = int(descriptors * CLIENT_DESCRIPTOR_SHARE) or by_memory
    return MemoryPlan(
        memory=memory,
        process=shares.process,
        accept_queue=ACCEPT_QUEUE_BYTES,
        connections=connections,
        bodies=int(rest * shares.bodies),
        answers=int(rest * shares.answers),
        buffers=int(rest * shares.buffers),
        documents=int(rest * shares.documents),
        max_connections=min(by_memory, by_descriptors),
        costs=shares.costs,
    )


def check_limits(
    memory_mb: float, descriptors: int, buffer_bytes: int = 0
) -> Result[None, Failure]:
    """Check that a plan is possible within the limits of a VM; 0 stands for one not known."""
    if memory_mb and memory_mb < MIN_MEMORY_MB:
        return _invalid(f"memory_mb must be 0 or at least {MIN_MEMORY_MB}")
    if descriptors and descriptors < MIN_DESCRIPTORS:
        return _invalid(f"max_descriptors must be 0 or at least {MIN_DESCRIPTORS}")
    most = memory_plan(GATEWAY_SHARES, memory_mb).buffers
    if memory_mb and buffer_bytes > most:
        return _invalid(f"buffer_bytes must be at most {most}, a share of memory_mb")
    return Ok(None)


def _invalid(message: str) -> Result[None, Failure]:
    return Error(Failure(ResultCode.INVALID_SETTINGS, message))
