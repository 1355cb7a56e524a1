"""Processes of the product's own interface, and clients that exceed their limits."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

import httpx
import pytest

from siskinspoke.testing.fleet import Fleet, wait_until
from siskinspoke.testing.networks import net_cycle, site_nets
from siskinspoke.testing.site import customer_key, write_site
from tests.crowds.client_crowd import Target, client_crowd
from tests.crowds.processes import (
    SPARE_DESCRIPTORS,
    DescriptorWatch,
    descriptor_limit,
    peak_memory_mb,
)

# Memory of a VM whose settings do not state it.
MEMORY_MB = 300
DESCRIPTORS = 512
ANSWER_SECONDS = 30.0
BODY_BYTES = 16_000_000
ENTRY, CONTROL = "entry-sala-a-1", "control-sala-a"
_next_net = net_cycle(site_nets)


class OwnResult(NamedTuple):
    """What a process had taken up beside a crowd, and how the crowd's connections ended."""

    peak_mb: float
    descriptors: int
    ended: dict[str, int]


@contextmanager
def running_fleet(tmp_path) -> Iterator[Fleet]:
    """Run three control replicas and an entry VM; the first replica and it may open few files."""
    files = write_site(_next_net(), tmp_path / "site")
    with Fleet(tmp_path / "site", files.base, files.overlay) as fleet:
        with descriptor_limit(DESCRIPTORS):
            fleet.start_control(CONTROL)
            fleet.start_entry(ENTRY)
        for control in fleet.settings.controls[1:]:
            fleet.start_control(control.name)
        fleet.wait_entries([ENTRY])
        fleet.wait_leader()
        yield fleet


def address_of(fleet: Fleet, name: str) -> tuple[str, int]:
    """Return the address of a process for callers, or for entry VMs and operators."""
    vm = fleet.settings.entry(name) if name == ENTRY else fleet.settings.control_vm(name)
    return vm.host, vm.port


def is_answered(fleet: Fleet, name: str) -> bool:
    """Return whether a process answers an ordinary request."""
    host, port = address_of(fleet, name)
    path = "/healthz" if name == ENTRY else "/v1/status"
    key = (fleet.folder / "keys/operator.key").read_text().strip()
    headers = {"Authorization": f"Bearer {key}"}
    try:
        url = f"http://{host}:{port}{path}"
        return httpx.get(url, headers=headers, timeout=4, trust_env=False).status_code == 200
    except httpx.HTTPError:
        return False


def run_crowd(tmp_path, name: str, target: Target, form: str, count: int) -> OwnResult:
    """Run a crowd against a process, which lives and answers a request afterwards."""
    with running_fleet(tmp_path) as fleet:
        host, port = address_of(fleet, name)
        pid = fleet.pid(name)
        target = target._replace(host=host, port=port)
        with DescriptorWatch(pid) as descriptors, client_crowd(target, form, count) as crowd:
            ended = crowd.end()
        assert fleet.running(name)
        wait_until(lambda: is_answered(fleet, name), f"{name} answers", ANSWER_SECONDS)
        result = OwnResult(peak_memory_mb(pid), descriptors.peak, ended)
    print(result)
    return result


CALLER = Target(
    "",
    0,
    "/v1/completions",
    ("Host: a", f"Authorization: Bearer {customer_key('municipio-1')}"),
    BODY_BYTES,
)
STRANGER = CALLER._replace(headers=("Host: a",))
CLAIMANT = STRANGER._replace(path="/v1/claim")


class TestBodies:
    """Many large bodies at the same time."""

    @pytest.mark.parametrize(("form", "count"), [("length", 24), ("chunks", 24)])
    @pytest.mark.parametrize(
        ("name", "target"),
        [(ENTRY, CALLER), (ENTRY, STRANGER), (CONTROL, CLAIMANT)],
        ids=["customer", "stranger", "control"],
    )
    def test_unfinished_bodies(self, tmp_path, name, target, form, count):
        """Guards against a sum of bodies in arrival that exceeds the memory of the VM."""
        result = run_crowd(tmp_path, name, target, form, count)
        assert result.peak_mb < MEMORY_MB

    @pytest.mark.parametrize(
        ("name", "target"),
        [(ENTRY, CALLER), (CONTROL, CLAIMANT)],
        ids=["customer", "control"],
    )
    def test_small_chunks(self, tmp_path, name, target):
        """Guards against chunks that take up far more memory than their bytes."""
        result = run_crowd(tmp_path, name, target, "small chunks", count=8)
        assert result.peak_mb < MEMORY_MB

    @pytest.mark.parametrize(
        ("name", "target"),
        [(ENTRY, CALLER), (CONTROL, CLAIMANT)],
        ids=["customer", "control"],
    )
    def test_announced_body_over_the_limit(self, tmp_path, name, target):
        """Guards against a refusal that is lost, as the connection is reset with unread bytes."""
        result = run_crowd(tmp_path, name, target, "announced", count=20)
        assert result.peak_mb < MEMORY_MB
        # A control replica refuses a caller without credentials before it looks at the length.
        assert set(result.ended) <= ({"413"} if name == ENTRY else {"401", "413"})
        assert sum(result.ended.values()) == 20


class TestConnections:
    """More connections than the process has descriptors."""

    @pytest.mark.parametrize("form", ["silent", "head"])
    @pytest.mark.parametrize(
        ("name", "target"), [(ENTRY, CALLER), (CONTROL, CLAIMANT)], ids=["entry", "control"]
    )
    def test_clients_that_wait(self, tmp_path, name, target, form):
        """Guards against a process without a descriptor for servers, peers and files."""
        result = run_crowd(tmp_path, name, target, form, count=700)
        assert result.descriptors <= DESCRIPTORS - SPARE_DESCRIPTORS
        assert result.peak_mb < MEMORY_MB
