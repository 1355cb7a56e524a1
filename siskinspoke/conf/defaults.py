"""The settings document: every field, its default and what it is for."""

from siskinspoke.conf.schema import NAME_PATTERN, Flag, Integer, ListOf, MapOf, Number, Record, Text

_PORT = Integer(1, 65535, doc="a TCP and UDP port")
_ADDRESS = Text(r"\d{1,3}(\.\d{1,3}){3}", doc="an address in numbers")
_NAME = Text(NAME_PATTERN)

ENTRY = Record(
    {
        "name": _NAME,
        "failure_domain": _NAME,
        "host": _ADDRESS,
        "port": Integer(1, 65535, doc="callers' port"),
        "internal_port": Integer(1, 65535, doc="TCP port of operators, UDP port of announcements"),
        "data_folder": Text(default="", doc="folder that keeps the last configuration; may be ''"),
    }
)

CONTROL = Record(
    {
        "name": _NAME,
        "failure_domain": _NAME,
        "host": _ADDRESS,
        "port": Integer(1, 65535, doc="HTTP port of entries and operators"),
        "link_port": Integer(1, 65535, doc="TCP port of the other replicas"),
        "data_folder": Text(r".{1,256}", doc="folder of the journal and snapshots"),
    }
)

CONTROL_TIMES = Record(
    {
        "heartbeat_ms": Integer(20, 10_000, 150, "pause between a leader's heartbeats"),
        "election_ms": Integer(100, 60_000, 750, "silence after which a replica stands"),
        "snapshot_entries": Integer(10, 1_000_000, 2_000, "log entries between snapshots"),
        "concurrent_loads": Integer(1, 1_000, 2, "loads from the weight store at a time"),
    },
    default={},
)

SERVICE = Record(
    {
        "kind": Text("model|plain", doc="'model' for engines, 'plain' for other services"),
        "idempotent": Flag(True, "false when a call may run at most once"),
        "timeout_ms": Integer(10, 3_600_000, 30_000, "deadline when the caller names none"),
    }
)

CUSTOMER = Record(
    {
        "key_sha256": Text(r"[0-9a-f]{64}", doc="SHA-256 of the customer's key, in hex"),
        "weight": Number(0.01, 1000, 1.0, "share of the fleet in an overload"),
        "priority": Text(NAME_PATTERN, "standard", "one of priorities"),
    }
)

LIMITS = Record(
    {
        "max_body_bytes": Integer(1_024, 64_000_000, 16_000_000, "largest request body"),
        "body_timeout_ms": Integer(100, 600_000, 10_000, "time for a body to arrive"),
        "max_timeout_ms": Integer(100, 3_600_000, 3_600_000, "longest deadline"),
        "max_streams": Integer(1, 100_000, 1_000, "open requests at one entry VM"),
        "max_output_tokens": Integer(1, 1_000_000, 16_384, "largest max_tokens"),
        "reader_timeout_ms": Integer(100, 600_000, 10_000, "time a caller may read nothing"),
        "key_lifetime_ms": Integer(1_000, 86_400_000, 600_000, "longest idempotency key life"),
        "short_tokens": Integer(1, 1_000_000, 8_000, "a prompt up to this long is short"),
        "long_tokens": Integer(1, 1_000_000, 100_000, "a prompt from this on is long"),
        "retry_share": Number(0, 1, 0.1, "retries as a share of first attempts"),
        "fair_window_ms": Integer(100, 600_000, 10_000, "window of customers' shares"),
        "backlog_ms": Integer(100, 3_600_000, 6_000, "waiting work at which all is refused"),
        "drain_ms": Integer(0, 3_600_000, 3_600_000, "time open streams have at shutdown"),
    },
    default={},
)

CONFIGURATION_FIELDS = {
    "services": MapOf(SERVICE, doc="what callers may name as model or service"),
    "customers": MapOf(CUSTOMER, doc="who may call"),
    "priorities": ListOf(_NAME, ["urgent", "standard", "batch"], "from first to last"),
    "limits": LIMITS,
}

SETTINGS = Record(
    {
        "site": _NAME,
        "failure_domains": ListOf(_NAME),
        "entries": ListOf(ENTRY),
        "controls": ListOf(CONTROL),
        "control": CONTROL_TIMES,
        "internal_key_file": Text(r".{1,256}", doc="file with the key shared by our processes"),
        "operator_key_file": Text(r".{1,256}", doc="file with the key of operators"),
        "statsd_host": Text(r"\d{1,3}(\.\d{1,3}){3}", "127.0.0.1", "an address in numbers"),
        "statsd_port": Integer(0, 65535, 0, "0 sends nothing"),
        "announcement_lease_ms": Integer(500, 60_000, 3_000, "life of an announcement"),
        **CONFIGURATION_FIELDS,
    }
)

CONFIGURATION = Record(CONFIGURATION_FIELDS)
