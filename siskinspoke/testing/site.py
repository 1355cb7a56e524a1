"""Write settings for a small test site on loopback addresses, with one address per VM."""

import hashlib
from pathlib import Path
from typing import NamedTuple

import msgspec

from siskinspoke.testing.fleet import ServerSpec, write_keys
from siskinspoke.testing.proxy import Endpoint, proxy_address

DOMAINS = ("sala-a", "sala-b", "anexo")
PUBLIC_PORT, INTERNAL_PORT, CONTROL_PORT, LINK_PORT, SERVER_PORT = 8400, 8401, 8402, 8403, 8500


class SiteFiles(NamedTuple):
    """The settings files of a test site."""

    base: Path
    overlay: Path


def customer_key(name: str) -> str:
    """Return the API key of a customer of a test or demonstration site."""
    return f"demo-key-{name}"


def customer(name: str, weight: float = 1.0, priority: str = "standard") -> dict:
    """Return the settings of a customer, with the hash of its API key."""
    digest = hashlib.sha256(customer_key(name).encode()).hexdigest()
    return {"key_sha256": digest, "weight": weight, "priority": priority}


def address(net: int, domain: int, host: int) -> str:
    """Return the loopback address of one VM of a test site."""
    return f"127.{net}.{domain + 1}.{host}"


def site_document(net: int, folder: Path, entries_per_domain: int = 1, **changes) -> dict:
    """Return a settings overlay with entry VMs and one control replica in each failure domain."""
    entries = [
        {
            "name": f"entry-{domain}-{number}",
            "failure_domain": domain,
            "host": address(net, index, 10 + number),
            "port": PUBLIC_PORT,
            "internal_port": INTERNAL_PORT,
            "data_folder": str(folder / f"entry-{domain}-{number}"),
        }
        for index, domain in enumerate(DOMAINS)
        for number in range(1, entries_per_domain + 1)
    ]
    controls = [
        {
            "name": f"control-{domain}",
            "failure_domain": domain,
            "host": address(net, index, 50),
            "port": CONTROL_PORT,
            "link_port": LINK_PORT,
            "data_folder": str(folder / f"control-{domain}"),
        }
        for index, domain in enumerate(DOMAINS)
    ]
    document = {
        "site": "test-site",
        "failure_domains": list(DOMAINS),
        "entries": entries,
        "controls": controls,
        "services": {
            "redactor": {"kind": "model", "idempotent": True, "timeout_ms": 30_000},
            "despacho": {"kind": "plain", "idempotent": False, "timeout_ms": 10_000},
        },
        "customers": {name: customer(name) for name in ("municipio-1", "municipio-2")},
    }
    return document | changes


def write_site(net: int, folder: Path, **changes) -> SiteFiles:
    """Write the base settings, the overlay and the keys of a test site into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    write_keys(folder / "keys")
    base = folder / "base.json"
    overlay = folder / "overlay.json"
    base.write_bytes(
        msgspec.json.encode(
            {"internal_key_file": "keys/internal.key", "operator_key_file": "keys/operator.key"}
        )
    )
    overlay.write_bytes(msgspec.json.encode(site_document(net, folder, **changes)))
    return SiteFiles(base, overlay)


def write_vm_overlays(folder: Path, document: dict) -> list[Endpoint]:
    """Write an overlay for each VM of a site behind the proxy; return the endpoints to proxy.

    A VM's overlay has its own real address, and the proxy addresses of all others.
    """
    endpoints = [
        Endpoint(item["host"], (item["port"],), (item["internal_port"],))
        for item in document["entries"]
    ]
    endpoints += [
        Endpoint(item["host"], (item["port"], item["link_port"])) for item in document["controls"]
    ]
    for section in ("entries", "controls"):
        for item in document[section]:
            view = document | {
                part: [_settings_for_viewer(item["name"], other) for other in document[part]]
                for part in ("entries", "controls")
            }
            (folder / f"view-{item['name']}.json").write_bytes(msgspec.json.encode(view))
    return endpoints


def _settings_for_viewer(viewer: str, item: dict) -> dict:
    return item if item["name"] == viewer else item | {"host": proxy_address(item["host"])}


def with_proxy_address(spec: ServerSpec) -> ServerSpec:
    """Return the spec of a backend server that announces its proxy address."""
    return spec._replace(advertise_host=proxy_address(spec.host))


def engine(net: int, domain: int, number: int, *flags: str) -> ServerSpec:
    """Return the spec of a stand-in engine."""
    name = f"engine-{DOMAINS[domain]}-{number}"
    host = address(net, domain, 100 + number)
    return ServerSpec(name, DOMAINS[domain], host, SERVER_PORT, "redactor", flags)


def plain_service(net: int, domain: int, number: int, *flags: str) -> ServerSpec:
    """Return the spec of a stand-in plain service."""
    name = f"despacho-{DOMAINS[domain]}-{number}"
    host = address(net, domain, 150 + number)
    return ServerSpec(
        name, DOMAINS[domain], host, SERVER_PORT, "despacho", flags, "standin-service"
    )
