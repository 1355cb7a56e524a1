"""System checks that span several fields of a settings document."""

from collections import Counter
from collections.abc import Iterable

from siskinspoke.core.checks import Fault, register

REPLICA_COUNTS = (1, 3, 5, 7)


@register
def check_names(document: dict) -> Iterable[Fault]:
    """Report duplicate VM names."""
    for section in ("entries", "controls"):
        counts = Counter(item["name"] for item in document[section])
        for name, count in counts.items():
            if count > 1:
                yield Fault(
                    "settings.E101",
                    f"$.{section}",
                    f"{name!r} is used {count} times",
                    "names must be unique",
                )


@register
def check_failure_domains(document: dict) -> Iterable[Fault]:
    """Report VMs whose failure domain is not listed in the document."""
    known = set(document["failure_domains"])
    for section in ("entries", "controls"):
        for index, item in enumerate(document[section]):
            if item["failure_domain"] not in known:
                yield Fault(
                    "settings.E102",
                    f"$.{section}[{index}].failure_domain",
                    f"{item['failure_domain']!r} is not in failure_domains",
                    f"use one of {sorted(known)}",
                )


@register
def check_replica_count(document: dict) -> Iterable[Fault]:
    """Report an unsupported number of control replicas."""
    if len(document["controls"]) not in REPLICA_COUNTS:
        yield Fault(
            "settings.E103",
            "$.controls",
            f"{len(document['controls'])} replicas are not supported",
            "use 1, 3, 5 or 7: an even count tolerates no more failures than one fewer",
        )


@register
def check_addresses(document: dict) -> Iterable[Fault]:
    """Report listeners that share an address."""
    seen: dict[tuple[str, int], str] = {}
    fields = {"entries": ("port", "internal_port"), "controls": ("port", "link_port")}
    for section, ports in fields.items():
        for index, item in enumerate(document[section]):
            for port in ports:
                path = f"$.{section}[{index}].{port}"
                address = (item["host"], item[port])
                if address in seen:
                    yield Fault(
                        "settings.E104",
                        path,
                        f"has the same address as {seen[address]}",
                        "change one",
                    )
                seen.setdefault(address, path)


@register
def check_customers(document: dict) -> Iterable[Fault]:
    """Report customers with an unknown priority or a shared key."""
    keys: dict[str, str] = {}
    for name, customer in document["customers"].items():
        path = f"$.customers.{name}"
        if customer["priority"] not in document["priorities"]:
            yield Fault(
                "settings.E105",
                f"{path}.priority",
                f"{customer['priority']!r} is not in priorities",
                f"use one of {document['priorities']}",
            )
        other = keys.setdefault(customer["key_sha256"], name)
        if other != name:
            yield Fault(
                "settings.E106",
                f"{path}.key_sha256",
                f"is the same as that of {other}",
                "create a new key",
            )


@register
def check_limits(document: dict) -> Iterable[Fault]:
    """Report contradictory limits."""
    limits = document["limits"]
    if limits["short_tokens"] >= limits["long_tokens"]:
        yield Fault(
            "settings.E107",
            "$.limits.short_tokens",
            "is not below long_tokens",
            "a prompt cannot be both short and long",
        )


@register
def check_control_times(document: dict) -> Iterable[Fault]:
    """Report a heartbeat interval that is too long for the election timeout."""
    times = document["control"]
    if times["heartbeat_ms"] * 3 > times["election_ms"]:
        yield Fault(
            "settings.E108",
            "$.control.heartbeat_ms",
            "is more than a third of election_ms",
            "otherwise one lost heartbeat could cost a healthy leader its leadership",
        )
