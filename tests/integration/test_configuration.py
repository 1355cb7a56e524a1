"""An accepted configuration takes effect on every VM within seconds and never reverts."""

import concurrent.futures
import shutil
import threading
import time

import httpx
import pytest

from siskinspoke.core.codes import ResultCode
from siskinspoke.management.operators import OperatorClient
from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.proxy import Rule
from siskinspoke.testing.site import customer

IN_FORCE_SECONDS = 3.0
ACCEPT_SECONDS = 6.0


def submit_change(site, order, expect, customer_name, path="/v1/configuration"):
    """Submit one configuration change, which adds a customer, and return the reply."""
    document = dict(site.fleet.settings.configuration_document)
    document["customers"] = document["customers"] | {customer_name: customer(customer_name)}
    body = {"order": order, "operator": "test", "expect": expect, "document": document}
    with OperatorClient(site.fleet.settings) as operator:
        reply = operator.post_to_leader(path, body, ACCEPT_SECONDS)
    return reply


def accepted_reply(version):
    """Return the reply to a change that was accepted as the given version."""
    return {"code": 0, "version": version}


def entries_without_version(site, version, seconds=IN_FORCE_SECONDS):
    """Return the entry VMs where a version is not active within the given time."""
    with OperatorClient(site.fleet.settings) as operator:
        return operator.wait_until_applied(version, seconds)


def active_version(site, entry):
    """Return the active configuration version of an entry VM."""
    return site.fleet.status(entry)["configuration_version"]


class VersionMonitor:
    """Polls the versions of all entry VMs and records each decrease."""

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
                    version = active_version(self._site, entry.name)
                except httpx.HTTPError:
                    continue
                if version < highest.get(entry.name, 0):
                    self.reverts.append((entry.name, highest[entry.name], version))
                highest[entry.name] = max(version, highest.get(entry.name, 0))


class TestConcurrentOperators:
    """Operators submit changes against the same version, and resend orders."""

    def test_one_concurrent_change_wins(self, make_site):
        """Four changes replace version 0 concurrently; all but one report a version conflict."""
        site = make_site(services=0)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            replies = list(pool.map(lambda n: submit_change(site, f"o{n}", 0, f"c-{n}"), range(4)))
        codes = sorted(reply.document["code"] for reply in replies)
        assert codes == [ResultCode.OK] + [ResultCode.VERSION_CONFLICT] * 3
        assert not entries_without_version(site, 1)

    def test_resent_order_is_applied_once(self, make_site):
        """The reply to an order is lost, and the operator resends it after another change."""
        site = make_site(services=0)
        assert submit_change(site, "first", 0, "c-1").document == accepted_reply(1)
        assert submit_change(site, "second", 1, "c-2").document == accepted_reply(2)
        assert submit_change(site, "first", 0, "c-1").document == accepted_reply(1)
        reused = submit_change(site, "first", 2, "c-3")
        assert reused.document["code"] == ResultCode.ORDER_REUSED
        assert not entries_without_version(site, 2)

    def test_invalid_change_is_rejected(self, make_site):
        site = make_site(services=0)
        body = {"order": "o", "operator": "t", "expect": 0, "document": {"customers": 7}}
        with OperatorClient(site.fleet.settings) as operator:
            reply = operator.post_to_leader("/v1/configuration", body, ACCEPT_SECONDS)
        assert reply.document["error"]["code"] == ResultCode.INVALID_SETTINGS


class TestNeverReverts:
    """Restarts, lagging replicas and lost disks or leaders never revert the configuration."""

    def test_leader_killed_between_changes(self, make_site):
        """Each accepted change survives a crash of the replica that accepted it."""
        site = make_site(services=0)
        with VersionMonitor(site) as monitor:
            for number in range(3):
                assert (
                    submit_change(site, f"o{number}", number, f"c-{number}").document["code"] == 0
                )
                leader = site.fleet.leader()
                site.fleet.kill(leader)
                site.fleet.start_control(leader)
                assert not entries_without_version(site, number + 1)
                site.fleet.wait_leader()
        assert not monitor.reverts

    def test_restart_after_hundreds_of_changes(self, make_site):
        """A control VM and an entry VM restart after 200 changes that they missed.

        The log entries that they lack are compacted into a snapshot; the entry VM's copy is
        stale, and its first answer may come from a lagging replica.
        """
        site = make_site(services=0, control={"snapshot_entries": 20})
        assert submit_change(site, "o0", 0, "c-0").document["code"] == 0
        assert not entries_without_version(site, 1)
        leader = site.fleet.leader()
        stopped = next(c.name for c in site.fleet.settings.controls if c.name != leader)
        site.fleet.kill(stopped)
        site.fleet.kill("entry-anexo-1")
        for number in range(1, 201):
            assert (
                submit_change(site, f"o{number}", number, f"c-{number % 5}").document["code"] == 0
            )
        site.fleet.start_control(stopped)
        site.fleet.start_entry("entry-anexo-1")
        site.fleet.wait_entries(["entry-anexo-1"])
        started_at = time.monotonic()
        assert not entries_without_version(site, 201)
        assert time.monotonic() - started_at < IN_FORCE_SECONDS
        control = site.fleet.settings.control_vm(stopped)
        site.fleet.wait_listening(control.host, control.port)
        wait_until(
            lambda: site.fleet.control_status(stopped)["configuration_version"] == 201, "caught up"
        )

    def test_entry_restarts_without_control_replicas(self, make_site):
        """An entry VM that restarts without control replicas loads its last active version."""
        site = make_site(services=0)
        assert submit_change(site, "o", 0, "c").document["code"] == 0
        assert not entries_without_version(site, 1)
        for control in site.fleet.settings.controls:
            site.fleet.kill(control.name)
        site.fleet.kill("entry-anexo-1")
        site.fleet.start_entry("entry-anexo-1")
        site.fleet.wait_entries(["entry-anexo-1"])
        status = site.fleet.status("entry-anexo-1")
        assert status["configuration_version"] == 1
        assert status["configuration_source"] == "disk"

    def test_disk_emptied_and_second_vm_lost(self, make_site):
        """A replica restarts with an empty disk; once it is readmitted, the leader is killed.

        Entries that were committed with the vote of the lost disk must survive.
        """
        site = make_site(services=0)
        with VersionMonitor(site) as monitor:
            assert submit_change(site, "o1", 0, "c-1").document["code"] == 0
            assert not entries_without_version(site, 1)
            leader = site.fleet.leader()
            emptied = next(c for c in site.fleet.settings.controls if c.name != leader)
            site.fleet.kill(emptied.name)
            shutil.rmtree(emptied.data_folder)
            site.fleet.start_control(emptied.name)
            site.fleet.wait_listening(emptied.host, emptied.port)
            wait_until(lambda: site.fleet.control_status(emptied.name)["admitted"], "admitted")
            site.fleet.kill(leader)
            site.fleet.wait_leader()
            assert submit_change(site, "o2", 1, "c-2").document == accepted_reply(2)
            assert not entries_without_version(site, 2)
        assert not monitor.reverts

    def test_majority_with_emptied_disks_waits(self, make_site):
        """Two of three replicas that lost their disks must not form a new, empty group."""
        site = make_site(services=0)
        assert submit_change(site, "o1", 0, "c-1").document["code"] == 0
        _kept, *emptied = site.fleet.settings.controls
        # Stops both before starting either.  With one at a time, the first may be readmitted by
        # the remaining majority before the second loses its disk.
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
        assert active_version(site, "entry-sala-a-1") == 1

    @pytest.mark.parametrize("mutant", ["", "any_version"])
    def test_lagging_replica_answers(self, make_site, mutant):
        """An entry VM that queries an isolated, lagging replica does not revert to its version."""
        site = make_site(services=0, mutant=mutant)
        assert submit_change(site, "o0", 0, "c-0").document["code"] == 0
        assert not entries_without_version(site, 1)
        leader = site.fleet.leader()
        domains = site.fleet.settings.failure_domains
        lagging = next(c for c in site.fleet.settings.controls if c.name != leader)
        index = domains.index(lagging.failure_domain)
        for other in range(len(domains)):
            if other != index:
                # Cuts only the links between replicas; entry VMs still reach the replica.
                site.proxy.set_rule(other, index, Rule(cut=True), lagging.link_port)
                site.proxy.set_rule(index, other, Rule(cut=True), lagging.link_port)
        with VersionMonitor(site) as monitor:
            assert submit_change(site, "o1", 1, "c-1").document["code"] == 0
            assert not entries_without_version(site, 2)
            time.sleep(3)
        assert bool(monitor.reverts) is bool(mutant)


class TestIsolatedLeader:
    """Leaders that are isolated by a network partition, or frozen."""

    def test_isolated_leader_accepts_nothing(self, make_site):
        """A silent network partition isolates the leader, which notices only after a delay.

        The majority accepts changes.  The isolated domain keeps serving with the old version and
        reports it in its status; after the partition heals it gets the new one.
        """
        site = make_site(services=0)
        assert submit_change(site, "o0", 0, "c-0").document["code"] == 0
        assert not entries_without_version(site, 1)
        leader = site.fleet.leader()
        control = site.fleet.settings.control_vm(leader)
        index = site.fleet.settings.failure_domains.index(control.failure_domain)
        site.proxy.isolate(index, 3)
        started_at = time.monotonic()
        site.fleet.wait_leader(other_than=leader)
        unavailable_seconds = time.monotonic() - started_at
        with VersionMonitor(site) as monitor:
            assert submit_change(site, "o1", 1, "c-1").document["code"] == 0
            cut_off = f"entry-{control.failure_domain}-1"
            assert entries_without_version(site, 2) == [cut_off]
            assert active_version(site, cut_off) == 1
            assert site.fleet.control_status(leader)["role"] != "leader"
            site.proxy.isolate(index, 3, cut=False)
            assert not entries_without_version(site, 2)
        assert not monitor.reverts
        assert unavailable_seconds < 5

    def test_frozen_leader_resumes(self, make_site):
        """A frozen leader resumes after its successor was elected, and must refuse a change."""
        site = make_site(services=0)
        leader = site.fleet.leader()
        site.fleet.suspend(leader)
        successor = site.fleet.wait_leader(other_than=leader)
        assert submit_change(site, "o1", 0, "c-1").document == accepted_reply(1)
        site.fleet.resume(leader)
        control = site.fleet.settings.control_vm(leader)
        document = dict(site.fleet.settings.configuration_document)
        body = {"order": "o2", "operator": "t", "expect": 0, "document": document}
        with OperatorClient(site.fleet.settings) as operator:
            reply = operator.request("POST", control.host, control.port, "/v1/configuration", body)
        assert reply.status != 200 or reply.document["code"] != 0
        assert site.fleet.leader() == successor
        assert not entries_without_version(site, 1)
