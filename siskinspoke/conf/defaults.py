"""The schema of the settings document: each field with its default and purpose."""

from siskinspoke.conf.schema import (
    NAME_PATTERN,
    Boolean,
    Integer,
    ListOf,
    MapOf,
    Number,
    Record,
    Text,
)
from siskinspoke.coordination.memory_plan import DEFAULT_MEMORY_MB, MIN_OWN_MEMORY_MB

_PORT = Integer(1, 65535, doc="a TCP and UDP port")
_ADDRESS = Text(r"\d{1,3}(\.\d{1,3}){3}", doc="an IPv4 address")
_NAME = Text(NAME_PATTERN)
_MEMORY = Integer(
    MIN_OWN_MEMORY_MB, 1_000_000, DEFAULT_MEMORY_MB, "memory that the process may use, in megabytes"
)

ENTRY = Record(
    {
        "name": _NAME,
        "failure_domain": _NAME,
        "host": _ADDRESS,
        "port": Integer(1, 65535, doc="port for clients"),
        "internal_port": Integer(
            1, 65535, doc="TCP port for operators, UDP port for announcements"
        ),
        "data_folder": Text(default="", doc="directory for the last configuration; may be ''"),
        "memory_mb": _MEMORY,
    }
)

CONTROL = Record(
    {
        "name": _NAME,
        "failure_domain": _NAME,
        "host": _ADDRESS,
        "port": Integer(1, 65535, doc="HTTP port for entry VMs and operators"),
        "link_port": Integer(1, 65535, doc="TCP port for the other replicas"),
        "data_folder": Text(r".{1,256}", doc="directory for the journal and snapshots"),
        "memory_mb": _MEMORY,
    }
)

CONTROL_TIMES = Record(
    {
        "heartbeat_ms": Integer(20, 10_000, 150, "interval between a leader's heartbeats"),
        "election_ms": Integer(100, 60_000, 750, "time without a leader before an election"),
        "snapshot_entries": Integer(10, 1_000_000, 2_000, "log entries between snapshots"),
        "concurrent_loads": Integer(1, 1_000, 2, "concurrent loads from the weight store"),
    },
    default={},
)

SERVICE = Record(
    {
        "kind": Text("model|plain", doc="'model' for engines, 'plain' for other services"),
        "idempotent": Boolean(True, "false if a call may run at most once"),
        "timeout_ms": Integer(10, 3_600_000, 30_000, "default deadline of a request"),
    }
)

CUSTOMER = Record(
    {
        "key_sha256": Text(r"[0-9a-f]{64}", doc="SHA-256 of the customer's key, in hex"),
        "weight": Number(0.01, 1000, 1.0, "share of capacity under overload"),
        "priority": Text(NAME_PATTERN, "standard", "one of priorities"),
    }
)

LIMITS = Record(
    {
        "max_body_bytes": Integer(1_024, 64_000_000, 16_000_000, "largest request body"),
        "body_timeout_ms": Integer(100, 600_000, 10_000, "time limit for receiving a body"),
        "max_timeout_ms": Integer(100, 3_600_000, 3_600_000, "longest deadline"),
        "max_streams": Integer(1, 100_000, 1_000, "open requests at one entry VM"),
        "max_output_tokens": Integer(1, 1_000_000, 16_384, "largest max_tokens"),
        "reader_timeout_ms": Integer(100, 600_000, 10_000, "time a client may read nothing"),
        "key_lifetime_ms": Integer(1_000, 86_400_000, 600_000, "longest idempotency key lifetime"),
        "short_tokens": Integer(1, 1_000_000, 8_000, "maximum length of a short prompt"),
        "long_tokens": Integer(1, 1_000_000, 100_000, "minimum length of a long prompt"),
        "retry_share": Number(0, 1, 0.1, "retries as a share of first attempts"),
        "fair_window_ms": Integer(100, 600_000, 10_000, "window for fair shares of customers"),
        "backlog_ms": Integer(
            100, 3_600_000, 6_000, "queued work at which all requests are refused"
        ),
        "drain_ms": Integer(0, 3_600_000, 3_600_000, "time for open streams to finish at shutdown"),
    },
    default={},
)

CONFIGURATION_FIELDS = {
    "services": MapOf(SERVICE, doc="services and models that clients may request"),
    "customers": MapOf(CUSTOMER, doc="customers whose requests are accepted"),
    "priorities": ListOf(_NAME, ["urgent", "standard", "batch"], "from highest to lowest"),
    "limits": LIMITS,
}

SETTINGS = Record(
    {
        "site": _NAME,
        "failure_domains": ListOf(_NAME),
        "entries": ListOf(ENTRY),
        "controls": ListOf(CONTROL),
        "control": CONTROL_TIMES,
        "internal_key_file": Text(r".{1,256}", doc="file with the key shared by all processes"),
        "operator_key_file": Text(r".{1,256}", doc="file with the operators' key"),
        "statsd_host": Text(r"\d{1,3}(\.\d{1,3}){3}", "127.0.0.1", "an IPv4 address"),
        "statsd_port": Integer(0, 65535, 0, "0 disables statsd"),
        "announcement_lease_ms": Integer(500, 60_000, 3_000, "lifetime of an announcement"),
        **CONFIGURATION_FIELDS,
    }
)

CONFIGURATION = Record(CONFIGURATION_FIELDS)
