"""Proofs that an accepted configuration is in force everywhere within seconds and never reverts."""

import concurrent.futures
import shutil
import threading
import time

import httpx
import pytest

from siskinspoke.core.codes import ResultCode
from siskinspoke.management.operators import Operator
from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.proxy import Rule
from siskinspoke.testing.site import customer

IN_FORCE_SECONDS = 3.0
ACCEPT_SECONDS = 6.0


def change(site, order, expect, marker, path="/v1/configuration"):
    """Send one operator's change; the marker is the name of a customer that it adds."""
    document = dict(site.fleet.settings.configuration_document)
    document["customers"] = document["customers"] | {marker: customer(marker)}
    body = {"order": order, "operator": "test", "expect": expect, "document": document}
    with Operator(site.fleet.settings) as operator:
        reply = operator.ask_leader(path, body, ACCEPT_SECONDS)
    return reply


def accepted(version):
    """Return the answer to a change that was accepted as a version."""
    return {"code": 0, "version": version}


def missing(site, version, seconds=IN_FORCE_SECONDS):
    """Return the entry VMs that do not have a version in force in time."""
    with Operator(site.fleet.settings) as operator:
        return operator.wait_in_force(version, seconds)


def version_at(site, entry):
    """Return the version in force at one entry VM."""
    return site.fleet.status(entry)["configuration_version"]


class WatchVersions:
    """Watch the versions of entry VMs and remember any that went back."""

    def __init__(self, site):
        self._site = site
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.reverts = []

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *details):
        self._stop.set()
        self._thread.join()

    def _run(self):
        highest = {}
        while not self._stop.wait(0.05):
            for entry in self._site.fleet.settings.entries:
                try:
                    version = version_at(self._site, entry.name)
                except httpx.HTTPError:
                    continue
                if version < highest.get(entry.name, 0):
                    self.reverts.append((entry.name, highest[entry.name], version))
                highest[entry.name] = max(version, highest.get(entry.name, 0))


class TestOperatorsRace:
    """Operators hold equal numbers, and resend orders."""

    def test_one_of_two_wins(self, make_site):
        """Two operators both replace version 0; the one who loses is told so."""
        site = make_site(services=0)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            replies = list(pool.map(lambda n: change(site, f"o{n}", 0, f"c-{n}"), range(4)))
        codes = sorted(reply.document["code"] for reply in replies)
        assert codes == [ResultCode.OK] + [ResultCode.VERSION_CONFLICT] * 3
        assert not missing(site, 1)

    def test_order_sent_again_is_carried_out_once(self, make_site):
        """The answer to an accepted order is lost; the operator sends it again, later."""
        site = make_site(services=0)
        assert change(site, "first", 0, "c-1").document == accepted(1)
        assert change(site, "second", 1, "c-2").document == accepted(2)
        assert change(site, "first", 0, "c-1").document == accepted(1)
        reused = change(site, "first", 2, "c-3")
        assert reused.document["code"] == ResultCode.ORDER_REUSED
        assert not missing(site, 2)

    def test_faulty_change_is_refused_whole(self, make_site):
        site = make_site(services=0)
        body = {"order": "o", "operator": "t", "expect": 0, "document": {"customers": 7}}
        with Operator(site.fleet.settings) as operator:
            reply = operator.ask_leader("/v1/configuration", body, ACCEPT_SECONDS)
        assert reply.document["error"]["code"] == ResultCode.INVALID_SETTINGS


class TestNeverReverts:
    """Restarts, lags, lost disks and lost leaders leave what is in force alone."""

    def test_leader_killed_between_changes(self, make_site):
        """Each accepted change survives the death of the replica that accepted it."""
        site = make_site(services=0)
        with WatchVersions(site) as watch:
            for number in range(3):
                assert change(site, f"o{number}", number, f"c-{number}").document["code"] == 0
                leader = site.fleet.leader()
                site.fleet.kill(leader)
                site.fleet.start_control(leader)
                assert not missing(site, number + 1)
                site.fleet.wait_leader()
        assert not watch.reverts

    def test_restart_after_hundreds_of_changes(self, make_site):
        """A control VM and an entry VM sleep through hundreds of changes and come back.

        The log they would need is long gone into a snapshot; the entry VM's copy is old, and
        its first answer comes from a replica that may lag.
        """
        site = make_site(services=0, control={"snapshot_entries": 20})
        assert change(site, "o0", 0, "c-0").document["code"] == 0
        assert not missing(site, 1)
        leader = site.fleet.leader()
        sleeper = next(c.name for c in site.fleet.settings.controls if c.name != leader)
        site.fleet.kill(sleeper)
        site.fleet.kill("entry-anexo-1")
        for number in range(1, 201):
            assert change(site, f"o{number}", number, f"c-{number % 5}").document["code"] == 0
        site.fleet.start_control(sleeper)
        site.fleet.start_entry("entry-anexo-1")
        site.fleet.wait_entries(["entry-anexo-1"])
        began = time.monotonic()
        assert not missing(site, 201)
        assert time.monotonic() - began < IN_FORCE_SECONDS
        control = site.fleet.settings.control_vm(sleeper)
        site.fleet.wait_listening(control.host, control.port)
        wait_until(
            lambda: site.fleet.control_status(sleeper)["configuration_version"] == 201, "caught up"
        )

    def test_entry_restarts_without_any_control(self, make_site):
        """An entry VM restarts while no control replica runs: it keeps what was in force."""
        site = make_site(services=0)
        assert change(site, "o", 0, "c").document["code"] == 0
        assert not missing(site, 1)
        for control in site.fleet.settings.controls:
            site.fleet.kill(control.name)
        site.fleet.kill("entry-anexo-1")
        site.fleet.start_entry("entry-anexo-1")
        site.fleet.wait_entries(["entry-anexo-1"])
        status = site.fleet.status("entry-anexo-1")
        assert status["configuration_version"] == 1
        assert status["configuration_source"] == "disk"

    def test_disk_emptied_and_second_vm_lost(self, make_site):
        """A replica comes back with an empty disk; when it counts again, another one dies.

        What was accepted with the vote of the lost disk must still be there.
        """
        site = make_site(services=0)
        with WatchVersions(site) as watch:
            assert change(site, "o1", 0, "c-1").document["code"] == 0
            assert not missing(site, 1)
            leader = site.fleet.leader()
            victim = next(c for c in site.fleet.settings.controls if c.name != leader)
            site.fleet.kill(victim.name)
            shutil.rmtree(victim.data_folder)
            site.fleet.start_control(victim.name)
            site.fleet.wait_listening(victim.host, victim.port)
            wait_until(lambda: site.fleet.control_status(victim.name)["admitted"], "admitted")
            site.fleet.kill(leader)
            site.fleet.wait_leader()
            assert change(site, "o2", 1, "c-2").document == accepted(2)
            assert not missing(site, 2)
        assert not watch.reverts

    def test_all_emptied_disks_but_one_wait(self, make_site):
        """Two of three disks are lost: the two must not found a new, empty system."""
        site = make_site(services=0)
        assert change(site, "o1", 0, "c-1").document["code"] == 0
        _kept, *emptied = site.fleet.settings.controls
        # Both are down before either starts: with two of three left, the first would be admitted
        # again before the second is lost, which is another case, and an allowed one.
        for control in emptied:
            site.fleet.kill(control.name)
            shutil.rmtree(control.data_folder)
        for control in emptied:
            site.fleet.start_control(control.name)
        for control in emptied:
            site.fleet.wait_listening(control.host, control.port)
        time.sleep(2.5)
        for control in emptied:
            assert not site.fleet.control_status(control.name)["admitted"]
        assert site.fleet.leader() is None
        assert version_at(site, "entry-sala-a-1") == 1

    @pytest.mark.parametrize("mutant", ["", "any_version"])
    def test_lagging_replica_answers(self, make_site, mutant):
        """An entry VM asks a replica that is cut off and lags: the old version stays out."""
        site = make_site(services=0, mutant=mutant)
        assert change(site, "o0", 0, "c-0").document["code"] == 0
        assert not missing(site, 1)
        leader = site.fleet.leader()
        domains = site.fleet.settings.failure_domains
        lagging = next(c for c in site.fleet.settings.controls if c.name != leader)
        index = domains.index(lagging.failure_domain)
        for other in range(len(domains)):
            if other != index:
                # Only the links between replicas are cut; entry VMs still reach the replica.
                site.proxy.set_rule(other, index, Rule(cut=True), lagging.link_port)
                site.proxy.set_rule(index, other, Rule(cut=True), lagging.link_port)
        with WatchVersions(site) as watch:
            assert change(site, "o1", 1, "c-1").document["code"] == 0
            assert not missing(site, 2)
            time.sleep(3)
        assert bool(watch.reverts) is bool(mutant)


class TestIsolatedLeader:
    """A leader that a silent cut isolates."""

    def test_isolated_leader_accepts_nothing(self, make_site):
        """The leader's domain is cut off silently; it still believes, for a moment.

        Changes go on at the majority; the cut-off domain serves on with what it had, and its
        status says so; healing brings it the newer version and reverts nothing.
        """
        site = make_site(services=0)
        assert change(site, "o0", 0, "c-0").document["code"] == 0
        assert not missing(site, 1)
        leader = site.fleet.leader()
        control = site.fleet.settings.control_vm(leader)
        index = site.fleet.settings.failure_domains.index(control.failure_domain)
        site.proxy.isolate(index, 3)
        began = time.monotonic()
        site.fleet.wait_leader(other_than=leader)
        unavailable = time.monotonic() - began
        with WatchVersions(site) as watch:
            assert change(site, "o1", 1, "c-1").document["code"] == 0
            cut_off = f"entry-{control.failure_domain}-1"
            assert missing(site, 2) == [cut_off]
            assert version_at(site, cut_off) == 1
            assert site.fleet.control_status(leader)["role"] != "leader"
            site.proxy.isolate(index, 3, cut=False)
            assert not missing(site, 2)
        assert not watch.reverts
        assert unavailable < 5

    def test_frozen_leader_thaws(self, make_site):
        """The leader freezes, another is elected, it thaws and is asked for a change."""
        site = make_site(services=0)
        leader = site.fleet.leader()
        site.fleet.freeze(leader)
        successor = site.fleet.wait_leader(other_than=leader)
        assert change(site, "o1", 0, "c-1").document == accepted(1)
        site.fleet.thaw(leader)
        control = site.fleet.settings.control_vm(leader)
        document = dict(site.fleet.settings.configuration_document)
        body = {"order": "o2", "operator": "t", "expect": 0, "document": document}
        with Operator(site.fleet.settings) as operator:
            reply = operator.exchange("POST", control.host, control.port, "/v1/configuration", body)
        assert reply.status != 200 or reply.document["code"] != 0
        assert site.fleet.leader() == successor
        assert not missing(site, 1)
