"""Typed settings and configuration, built from validated documents."""

from pathlib import Path
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from siskinspoke.conf.defaults import CONFIGURATION
from siskinspoke.conf.loader import load_files
from siskinspoke.conf.schema import validate, with_defaults
from siskinspoke.coordination.memory_plan import DEFAULT_MEMORY_MB
from siskinspoke.core.checks import Fault
from siskinspoke.core.codes import Failure, FailureError, ResultCode


class EntryVM(NamedTuple):
    """The VM that runs an entry daemon."""

    name: str
    failure_domain: str
    host: str
    port: int
    internal_port: int
    data_folder: str
    memory_mb: int = DEFAULT_MEMORY_MB


class ControlVM(NamedTuple):
    """The VM that runs a control replica."""

    name: str
    failure_domain: str
    host: str
    port: int
    link_port: int
    data_folder: str
    memory_mb: int = DEFAULT_MEMORY_MB


class ControlTimes(NamedTuple):
    """Timing of the control replicas, in milliseconds, and the snapshot interval."""

    heartbeat_ms: int
    election_ms: int
    snapshot_entries: int
    concurrent_loads: int


class Service(NamedTuple):
    """A model or service that clients may request."""

    kind: str
    idempotent: bool
    timeout_ms: int


class Customer(NamedTuple):
    """A customer's credentials, fair share and priority."""

    key_sha256: str
    weight: float
    priority: str


class Limits(NamedTuple):
    """Limits on requests; ``conf.defaults`` documents the fields."""

    max_body_bytes: int
    body_timeout_ms: int
    max_timeout_ms: int
    max_streams: int
    max_output_tokens: int
    reader_timeout_ms: int
    key_lifetime_ms: int
    short_tokens: int
    long_tokens: int
    retry_share: float
    fair_window_ms: int
    backlog_ms: int
    drain_ms: int


class Configuration(NamedTuple):
    """The part of the settings that operators can change at run time."""

    services: dict[str, Service]
    customers: dict[str, Customer]
    priorities: list[str]
    limits: Limits

    @property
    def customers_by_key(self) -> dict[str, str]:
        """Return customer names by the SHA-256 digest of their key."""
        return {customer.key_sha256: name for name, customer in self.customers.items()}

    def priority_rank(self, customer: str) -> int:
        """Return the rank of a customer's priority; 0 is the highest."""
        return self.priorities.index(self.customers[customer].priority)


class Settings(NamedTuple):
    """A complete, typed settings document."""

    site: str
    failure_domains: list[str]
    entries: list[EntryVM]
    controls: list[ControlVM]
    control: ControlTimes
    internal_key: bytes
    operator_key: str
    statsd_host: str
    statsd_port: int
    announcement_lease_ms: int
    configuration_document: dict
    configuration: Configuration

    def entry(self, name: str) -> EntryVM:
        """Return an entry VM by name."""
        return _find_by_name(self.entries, name, "entry")

    def control_vm(self, name: str) -> ControlVM:
        """Return a control VM by name."""
        return _find_by_name(self.controls, name, "control replica")


def _find_by_name(items: list[Any], name: str, kind: str) -> Any:
    for item in items:
        if item.name == name:
            return item
    raise FailureError(Failure(ResultCode.USAGE, f"the settings contain no {kind} {name!r}"))


def configuration_from(document: dict) -> Result[Configuration, list[Fault]]:
    """Return the typed configuration, or all faults of the document."""
    faults = list(validate(CONFIGURATION, document))
    if faults:
        return Error(faults)
    filled = with_defaults(CONFIGURATION, document)
    return Ok(
        Configuration(
            {name: Service(**item) for name, item in filled["services"].items()},
            {name: Customer(**item) for name, item in filled["customers"].items()},
            filled["priorities"],
            Limits(**filled["limits"]),
        )
    )


def extract_configuration(document: dict) -> dict:
    """Return the part of a settings document that the control replicas store."""
    return {name: document[name] for name in CONFIGURATION.fields}


def _read_key(path: str, folder: Path) -> str:
    """Read a secret from a file; the path is relative to the base file."""
    try:
        return (folder / path).read_text().strip()
    except OSError as error:
        message = f"{path}: {error.strerror}"
        raise FailureError(Failure(ResultCode.INVALID_SETTINGS, message)) from error


def settings_from(base: str, overlay: str = "") -> Settings:
    """Load and validate the settings; raise FailureError with all faults."""
    loaded = load_files(base, overlay)
    if loaded.is_error():
        message = "\n".join(str(fault) for fault in loaded.error)
        raise FailureError(Failure(ResultCode.INVALID_SETTINGS, message))
    document = loaded.ok
    folder = Path(base).parent
    part = extract_configuration(document)
    return Settings(
        document["site"],
        document["failure_domains"],
        [EntryVM(**item) for item in document["entries"]],
        [ControlVM(**item) for item in document["controls"]],
        ControlTimes(**document["control"]),
        _read_key(document["internal_key_file"], folder).encode(),
        _read_key(document["operator_key_file"], folder),
        document["statsd_host"],
        document["statsd_port"],
        document["announcement_lease_ms"],
        part,
        configuration_from(part).ok,
    )
