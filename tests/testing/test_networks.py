"""Tests of the networks allocated to a run, and of the sites within them."""

import json
from pathlib import Path

import pytest

from siskinspoke.testing import networks
from siskinspoke.testing.demo import relocate_settings, server_specs
from siskinspoke.testing.fleet import Fleet, write_keys
from siskinspoke.testing.group_site import GroupSite
from siskinspoke.testing.networks import (
    FIRST_NET,
    NETS_PER_RUN,
    WORKERS,
    NetworksError,
    group_nets,
    net_cycle,
    networks_from,
    site_nets,
    soak_nets,
)
from siskinspoke.testing.proxy import domain_of, proxy_address
from siskinspoke.testing.site import DOMAINS, address

ROOT = Path(__file__).parents[2]
WORKER = "PYTEST_XDIST_WORKER"
HIGHEST_FIRST = 185


def second_octet(host: str) -> int:
    """Return the second octet of an address, which identifies its network."""
    return int(host.split(".")[1])


def allocated_nets(environment: dict) -> list[int]:
    """Return the networks that a run uses, with duplicates if allocations overlap."""
    run = networks_from(environment)
    shared = [*run.demonstration, *run.groups, *run.bench]
    workers = [environment | {WORKER: f"gw{number}"} for number in range(WORKERS)]
    return shared + [net for worker in workers for net in site_nets(worker)]


class TestOneRun:
    """The networks of a run are within its range, and no two allocations overlap."""

    @pytest.mark.parametrize("first", [1, 10, 80, 150, HIGHEST_FIRST])
    def test_is_within_its_range(self, first):
        nets = allocated_nets({FIRST_NET: str(first)})
        assert len(nets) == len(set(nets))
        assert min(nets) == first
        assert max(nets) == first + NETS_PER_RUN - 1 <= 254

    def test_default(self):
        """The default networks are those that documentation and earlier logs refer to."""
        run = networks_from({})
        assert run.demonstration == range(10, 11)
        assert site_nets({}) == site_nets({WORKER: "gw0"}) == range(20, 40)
        assert site_nets({WORKER: "gw2"}) == range(60, 80)

    def test_three_concurrent_runs_do_not_overlap(self):
        nets = [net for first in ("10", "80", "150") for net in allocated_nets({FIRST_NET: first})]
        assert len(nets) == len(set(nets))

    def test_group_sites_share_one_network(self):
        """Their third octets are distinct, whatever the first network is."""
        kinds = (group_nets, soak_nets)
        workers = [{WORKER: f"gw{number}", FIRST_NET: "80"} for number in range(WORKERS)]
        third_octets = [net for worker in workers for kind in kinds for net in kind(worker)]
        third_octets += [networks.FEED_SLOPES, *networks.MANUAL_SOAK_NETS]
        assert len(third_octets) == len(set(third_octets))
        assert 0 <= min(third_octets) <= max(third_octets) <= 255


class TestInvalidEnvironment:
    """An invalid value is rejected with an error number and a hint."""

    @pytest.mark.parametrize("value", ["", "ten", "1.5", "-1", "+10", "1_0", " 10", "١٠"])
    def test_not_an_integer(self, value):
        with pytest.raises(NetworksError, match=r"SISKINSPOKE_FIRST_NET: \(networks.E001\)"):
            networks_from({FIRST_NET: value})

    @pytest.mark.parametrize("value", ["0", str(HIGHEST_FIRST + 1), "254", "1000"])
    def test_out_of_range(self, value):
        with pytest.raises(NetworksError, match=r"networks.E002(.|\n)*HINT: 1 to 185"):
            networks_from({FIRST_NET: value})

    @pytest.mark.parametrize("nets", [site_nets, group_nets, soak_nets])
    def test_too_many_workers(self, nets):
        """Additional workers would use the networks of the next run."""
        with pytest.raises(NetworksError, match=r"networks.E003"):
            nets({WORKER: f"gw{WORKERS}"})


class TestCycle:
    """The sites of one worker cycle through its networks."""

    def test_wraps_around(self, monkeypatch):
        monkeypatch.setenv(WORKER, "gw1")
        monkeypatch.setenv(FIRST_NET, "80")
        next_net = net_cycle(site_nets)
        assert [next_net() for _ in range(21)] == [*range(110, 130), 110]

    def test_error_is_raised_on_each_call(self, monkeypatch):
        monkeypatch.setenv(FIRST_NET, "ten")
        next_net = net_cycle(site_nets)
        for _ in range(2):
            with pytest.raises(NetworksError, match="E001"):
                next_net()


class TestSites:
    """Each test helper uses only the networks of its run."""

    def test_proxy_is_in_the_network_of_its_site(self):
        hosts = [address(200, domain, 11) for domain in range(len(DOMAINS))]
        proxy_hosts = [proxy_address(host) for host in hosts]
        assert {second_octet(host) for host in proxy_hosts} == {200}
        assert len({*hosts, *proxy_hosts}) == 2 * len(DOMAINS)
        assert [domain_of(host) for host in hosts] == list(range(len(DOMAINS)))

    def test_group_site(self, monkeypatch, tmp_path):
        monkeypatch.setenv(FIRST_NET, "80")
        site = GroupSite(tmp_path, 7)
        hosts = [site.host_of("c1"), site.host_of("g1"), *site.seeds]
        assert {second_octet(host) for host in hosts} == set(
            networks_from({FIRST_NET: "80"}).groups
        )
        assert {host.split(".")[2] for host in hosts} == {"7"}

    @pytest.mark.parametrize("net", [10, 80])
    def test_demonstration(self, net, monkeypatch, tmp_path):
        monkeypatch.setenv(FIRST_NET, str(net))
        write_keys(tmp_path / "run/keys")
        example = (ROOT / "examples/litoral.json").read_text()
        base, overlay = tmp_path / "examples/base.json", tmp_path / "examples/litoral.json"
        base.parent.mkdir()
        base.write_text((ROOT / "examples/base.json").read_text())
        overlay.write_text(relocate_settings(example, net))
        with Fleet(tmp_path / "run/litoral", base, overlay) as fleet:
            vms = [*fleet.settings.entries, *fleet.settings.controls]
            hosts = [item.host for item in (*vms, *server_specs(fleet))]
        assert {second_octet(host) for host in hosts} == {net}
        assert json.loads(example) == json.loads(relocate_settings(example, 10))

    def test_two_demonstrations_share_no_folder(self):
        example = (ROOT / "examples/litoral.json").read_text()
        sites = [json.loads(relocate_settings(example, net)) for net in (10, 80)]
        mine, others = (
            {item["data_folder"] for part in ("entries", "controls") for item in site[part]} - {""}
            for site in sites
        )
        assert len(mine) == len(others)
        assert not mine & others


class TestSingleReader:
    """Only one module reads the networks from the environment."""

    @pytest.mark.parametrize("name", [FIRST_NET, WORKER])
    def test_variable_is_named_in_one_module(self, name):
        paths = [path for part in ("siskinspoke", "tests") for path in (ROOT / part).rglob("*.py")]
        matches = [path for path in paths if name in path.read_text()]
        assert sorted(path.name for path in matches if path != Path(__file__)) == ["networks.py"]
