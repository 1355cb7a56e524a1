"""The settings file of a single VM that discovers the other VMs at run time.

The file is JSON.  Unlike a site's base file and overlay, it lists no other VMs except a few seeds,
through which control VMs and entry VMs discover each other.
"""

import resource
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from siskinspoke.coordination.memory_plan import check_limits
from siskinspoke.core.codes import Failure, ResultCode

# A request that waits holds its body; a longer queue could not be served within any deadline.
MAX_QUEUE_CAPACITY = 10_000


class Address(NamedTuple):
    """A host and port to listen on or connect to."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


class VmFile(msgspec.Struct, forbid_unknown_fields=True):
    """The fields of a VM's settings file; times are in milliseconds unless named otherwise.

    ``public``, ``ready`` and ``operators`` are the addresses that this VM serves; empty ones are
    disabled.  ``found`` is true only when the whole system starts for the first time.
    ``domain_regions`` maps the failure domains that exist to their regions.  In any one second, a
    cold server may get its rate times ``cold_overshoot`` plus ``cold_slack`` requests from all VMs.
    ``queue_capacity`` is the number of requests that this entry VM may hold until there is room for
    them, and ``buffer_bytes`` what it may hold for clients that read slowly; 0 disables either.
    ``memory_mb`` is the memory of the VM in megabytes, 0 if unknown, and ``max_descriptors`` the
    number of descriptors that a process may have, 0 for the limit that the kernel has for it.
    ``features`` are names by which the platform asks for some of these settings.
    """

    name: str
    host: str
    failure_domain: str
    seeds: list[str]
    internal_ports: list[int]
    found: bool
    public: str = ""
    ready: str = ""
    operators: str = ""
    data_folder: str = ""
    shutdown_seconds: float = 8
    announce_every_ms: float = 1_200
    retry_share: float = 0.2
    retry_burst: float = 100
    internal_key: str = ""
    domain_regions: dict[str, str] = {}
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    queue_capacity: int = 0
    buffer_bytes: int = 0
    memory_mb: float = 0
    max_descriptors: int = 0
    features: list[str] = []


class VmSettings(NamedTuple):
    """A VM's settings, parsed."""

    name: str
    host: str
    failure_domain: str
    seeds: tuple[Address, ...]
    internal_ports: tuple[int, int]
    is_first_start: bool
    public_address: Address | None
    readiness_address: Address | None
    operator_address: Address | None
    data_folder: str
    shutdown_seconds: float
    announce_every_ms: float
    retry_share: float
    retry_burst: float
    internal_key: bytes
    domain_regions: Mapping[str, str] = MappingProxyType({})
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    queue_capacity: int = 0
    buffer_bytes: int = 0
    memory_mb: float = 0.0
    max_descriptors: int = 0
    features: frozenset[str] = frozenset()

    @property
    def link_port(self) -> int:
        """Return the port for messages between control replicas."""
        return self.internal_ports[0]

    @property
    def feed_port(self) -> int:
        """Return the port on which control VMs publish their state to followers."""
        return self.internal_ports[0] + 1

    @property
    def peer_port(self) -> int:
        """Return the port for messages between entry VMs."""
        return self.internal_ports[0] + 2

    @property
    def forward_port(self) -> int:
        """Return the port on which an entry VM receives requests that its peers forward."""
        return self.internal_ports[0] + 3

    @property
    def seed_hosts(self) -> tuple[str, ...]:
        """Return the distinct hosts of the seeds, sorted."""
        return tuple(sorted({seed.host for seed in self.seeds}))


def vm_settings_from(path: str) -> Result[VmSettings, Failure]:
    """Read a VM's settings file."""
    try:
        read = msgspec.json.decode(Path(path).read_bytes(), type=VmFile)
        return Ok(_to_vm_settings(read))
    except OSError as error:
        return Error(Failure(ResultCode.INVALID_SETTINGS, f"{path}: {error.strerror}"))
    except (msgspec.MsgspecError, ValueError) as error:
        return Error(Failure(ResultCode.INVALID_SETTINGS, f"{path}: {error}"))


def _parse_optional_address(text: str) -> Address | None:
    return parse_address(text) if text else None


def _to_vm_settings(vm_file: VmFile) -> VmSettings:
    if len(vm_file.internal_ports) != 2:
        raise ValueError("internal_ports must list the first and the last port")
    if not vm_file.seeds:
        raise ValueError("seeds must list at least one control VM")
    _check_limits(vm_file)
    return VmSettings(
        name=vm_file.name,
        host=vm_file.host,
        failure_domain=vm_file.failure_domain,
        seeds=tuple(parse_address(item) for item in vm_file.seeds),
        internal_ports=(vm_file.internal_ports[0], vm_file.internal_ports[1]),
        is_first_start=vm_file.found,
        public_address=_parse_optional_address(vm_file.public),
        readiness_address=_parse_optional_address(vm_file.ready),
        operator_address=_parse_optional_address(vm_file.operators),
        data_folder=vm_file.data_folder,
        shutdown_seconds=vm_file.shutdown_seconds,
        announce_every_ms=vm_file.announce_every_ms,
        retry_share=vm_file.retry_share,
        retry_burst=vm_file.retry_burst,
        internal_key=vm_file.internal_key.encode(),
        domain_regions=MappingProxyType(dict(vm_file.domain_regions)),
        cold_overshoot=vm_file.cold_overshoot,
        cold_slack=vm_file.cold_slack,
        queue_capacity=vm_file.queue_capacity,
        buffer_bytes=vm_file.buffer_bytes,
        memory_mb=vm_file.memory_mb,
        max_descriptors=vm_file.max_descriptors,
        features=frozenset(vm_file.features),
    )


def _check_limits(vm_file: VmFile) -> None:
    """Raise ValueError if a limit is out of range."""
    if vm_file.cold_overshoot < 1:
        raise ValueError("cold_overshoot must be at least 1")
    if vm_file.cold_slack < 0:
        raise ValueError("cold_slack must not be negative")
    if not 0 <= vm_file.queue_capacity <= MAX_QUEUE_CAPACITY:
        raise ValueError(f"queue_capacity must be from 0 to {MAX_QUEUE_CAPACITY}")
    if vm_file.buffer_bytes < 0:
        raise ValueError("buffer_bytes must not be negative")
    checked = check_limits(vm_file.memory_mb, vm_file.max_descriptors, vm_file.buffer_bytes)
    if checked.is_error():
        raise ValueError(checked.error.message)


def process_descriptors() -> int:
    """Return how many descriptors the kernel lets this process have."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def available_descriptors(settings: VmSettings) -> int:
    """Return how many descriptors a process of the VM may have."""
    own = process_descriptors()
    return min(own, settings.max_descriptors) if settings.max_descriptors else own
