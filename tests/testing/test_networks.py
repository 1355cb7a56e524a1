"""Tests of the networks that one run takes, and of the sites that lie in them."""

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
    in_turn,
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
    """Return the number of the network that a host lies in."""
    return int(host.split(".")[1])


def taken(environment: dict) -> list[int]:
    """Return each network as often as a run takes it."""
    run = networks_from(environment)
    shared = [*run.demonstration, *run.groups, *run.bench]
    workers = [environment | {WORKER: f"gw{number}"} for number in range(WORKERS)]
    return shared + [net for worker in workers for net in site_nets(worker)]


class TestOneRun:
    """What a run takes lies within its range, and no two parts of it overlap."""

    @pytest.mark.parametrize("first", [1, 10, 80, 150, HIGHEST_FIRST])
    def test_stays_in_its_range(self, first):
        nets = taken({FIRST_NET: str(first)})
        assert len(nets) == len(set(nets))
        assert min(nets) == first
        assert max(nets) == first + NETS_PER_RUN - 1 <= 254

    def test_default(self):
        """The demonstration and the sites lie where the docs and earlier logs have them."""
        run = networks_from({})
        assert run.demonstration == range(10, 11)
        assert site_nets({}) == site_nets({WORKER: "gw0"}) == range(20, 40)
        assert site_nets({WORKER: "gw2"}) == range(60, 80)

    def test_three_runs_side_by_side(self):
        nets = [net for first in ("10", "80", "150") for net in taken({FIRST_NET: first})]
        assert len(nets) == len(set(nets))

    def test_group_sites_share_one_network(self):
        """They differ in the third octet, whatever the first network is."""
        kinds = (group_nets, soak_nets)
        workers = [{WORKER: f"gw{number}", FIRST_NET: "80"} for number in range(WORKERS)]
        thirds = [net for worker in workers for kind in kinds for net in kind(worker)]
        thirds += [networks.FEED_SLOPES, *networks.SOAK_BY_HAND]
        assert len(thirds) == len(set(thirds))
        assert 0 <= min(thirds) <= max(thirds) <= 255


class TestFaults:
    """A bad value is refused with a number and what to do about it."""

    @pytest.mark.parametrize("value", ["", "ten", "1.5", "-1", "+10", "1_0", " 10", "١٠"])
    def test_no_whole_number(self, value):
        with pytest.raises(NetworksError, match=r"SISKINSPOKE_FIRST_NET: \(networks.E001\)"):
            networks_from({FIRST_NET: value})

    @pytest.mark.parametrize("value", ["0", str(HIGHEST_FIRST + 1), "254", "1000"])
    def test_leaves_the_range(self, value):
        with pytest.raises(NetworksError, match=r"networks.E002(.|\n)*HINT: 1 to 185"):
            networks_from({FIRST_NET: value})

    @pytest.mark.parametrize("nets", [site_nets, group_nets, soak_nets])
    def test_more_workers_than_a_run_has_room_for(self, nets):
        """They would take the networks of the next run."""
        with pytest.raises(NetworksError, match=r"networks.E003"):
            nets({WORKER: f"gw{WORKERS}"})


class TestInTurn:
    """Sites of one worker take its networks one after the other."""

    def test_begins_again_after_the_last(self, monkeypatch):
        monkeypatch.setenv(WORKER, "gw1")
        monkeypatch.setenv(FIRST_NET, "80")
        take = in_turn(site_nets)
        assert [take() for _ in range(21)] == [*range(110, 130), 110]

    def test_fault_shows_each_time(self, monkeypatch):
        monkeypatch.setenv(FIRST_NET, "ten")
        take = in_turn(site_nets)
        for _ in range(2):
            with pytest.raises(NetworksError, match="E001"):
                take()


class TestSites:
    """Each helper keeps to the networks of the run."""

    def test_proxy_stays_in_the_network_of_its_site(self):
        hosts = [address(200, domain, 11) for domain in range(len(DOMAINS))]
        fronts = [proxy_address(host) for host in hosts]
        assert {second_octet(host) for host in fronts} == {200}
        assert len({*hosts, *fronts}) == 2 * len(DOMAINS)
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


class TestOnePlace:
    """Nobody else works out networks from the environment."""

    @pytest.mark.parametrize("name", [FIRST_NET, WORKER])
    def test_variable_is_read_once(self, name):
        paths = [path for part in ("siskinspoke", "tests") for path in (ROOT / part).rglob("*.py")]
        naming = [path for path in paths if name in path.read_text()]
        assert sorted(path.name for path in naming if path != Path(__file__)) == ["networks.py"]
