"""Registries and gateways as processes: configuration, membership and leaving under faults."""

import json
import signal
import time

import pytest

from siskinspoke.control.group_daemon import SNAPSHOT_ENTRIES
from siskinspoke.state.server_file import SERVERS_FILE
from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.group_site import GroupSite
from siskinspoke.testing.networks import group_nets, net_cycle

PUBLIC_HOST = "shop.example"
_next_net = net_cycle(group_nets)


@pytest.fixture
def site(tmp_path):
    """Return a site of three registries, which form a new group, and one gateway."""
    group_site = GroupSite(tmp_path / "site", _next_net())
    for name in ("c1", "c2", "c3"):
        group_site.start(name, found=True)
    group_site.start("g1", found=True)
    yield group_site
    group_site.close()


def configuration(version: int, *prefixes: str) -> dict:
    """Return a configuration with a public route per prefix, whose service has no servers."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r{number}",
                "host": PUBLIC_HOST,
                "path_prefix": prefix,
                "kind": "idempotent",
                "timeout_ms": 1_000,
                "service": "s",
                "public": True,
            }
            for number, prefix in enumerate(prefixes)
        ],
        "services": [{"name": "s", "health_path": "/healthz"}],
    }


def heartbeat(state: str = "ready", seq: int = 1) -> dict:
    """Return a heartbeat for a server address on which nothing listens."""
    return {"service": "s", "address": "127.0.0.1:1", "zone": "a", "state": state, "seq": seq}


class TestConfiguration:
    """An accepted configuration takes effect on every VM and never reverts."""

    def test_any_registry_accepts_and_answers(self, site):
        for version, name in enumerate(("c1", "c2", "c3"), start=1):
            site.call_until_success(
                name, "POST", "/config/replace", configuration(version, f"/v{version}/")
            )
        for name in ("c1", "c2", "c3"):
            assert site.call_until_success(name, "GET", "/config/get")["version"] == 3
        wait_until(
            lambda: site.status("g1", "/v2/x", PUBLIC_HOST) == 404
            and site.status("g1", "/v3/x", PUBLIC_HOST) == 503,
            "only version 3 active at g1",
        )

    def test_invalid_configuration_is_rejected(self, site):
        site.call_until_success("c1", "POST", "/config/replace", configuration(1, "/a/"))
        bad = configuration(2, "/a/", "/a/")
        assert site.call("c1", "POST", "/config/replace", bad)[0] == 400
        assert site.call_until_success("c2", "GET", "/config/get")["version"] == 1

    def test_same_version_with_other_content_is_ignored(self, site):
        site.call_until_success("c1", "POST", "/config/replace", configuration(5, "/a/"))
        site.call_until_success("c2", "POST", "/config/replace", configuration(5, "/b/"))
        read = site.call_until_success("c3", "GET", "/config/get")
        assert read["routes"][0]["path_prefix"] == "/a/"

    def test_configuration_survives_kill_of_all(self, site):
        """All registries are killed right after a configuration was accepted."""
        site.call_until_success("c1", "POST", "/config/replace", configuration(7, "/a/"))
        for name in ("c1", "c2", "c3"):
            site.kill(name)
        for name in ("c1", "c2", "c3"):
            site.start(name)
        assert site.call_until_success("c2", "GET", "/config/get")["version"] == 7

    def test_frozen_registry_returns_no_stale_configuration(self, site):
        """A registry that was frozen while a change was accepted serves no stale read.

        Guards against answering an operator from the older local state right after it resumes.
        """
        site.call_until_success("c1", "POST", "/config/replace", configuration(1, "/a/"))
        for frozen, other in (("c1", "c2"), ("c2", "c3"), ("c3", "c1")):
            version = site.call_until_success(other, "GET", "/config/get")["version"] + 1
            site.signal(frozen, signal.SIGSTOP)
            site.call_until_success(other, "POST", "/config/replace", configuration(version, "/a/"))
            site.signal(frozen, signal.SIGCONT)
            for _ in range(5):
                status, read = site.call(frozen, "GET", "/config/get")
                assert status != 200 or read["version"] == version

    def test_stopped_registry_catches_up_from_snapshot(self, site):
        """A stopped registry misses so many changes that the log is compacted twice.

        It must catch up from a snapshot, and know the newest version when another registry is
        lost right after its return.
        """
        site.call_until_success("c1", "POST", "/config/replace", configuration(1, "/a/"))
        site.kill("c3")
        last_version = 1 + 2 * SNAPSHOT_ENTRIES + 2
        for version in range(2, last_version + 1):
            site.call_until_success("c1", "POST", "/config/replace", configuration(version, "/a/"))
        site.start("c3")
        wait_until(lambda: site.call("c3", "GET", "/config/get")[0] == 200, "reads from c3")
        site.kill("c2")
        assert site.call_until_success("c3", "GET", "/config/get")["version"] == last_version
        site.call_until_success(
            "c3", "POST", "/config/replace", configuration(last_version + 1, "/b/")
        )
        site.kill("c1")
        site.start("c2")
        assert site.call_until_success("c2", "GET", "/config/get")["version"] == last_version + 1

    def test_registry_without_majority_refuses(self, site):
        """Without a majority, the only running registry cannot know the newest version."""
        site.call_until_success("c1", "POST", "/config/replace", configuration(1, "/a/"))
        site.kill("c2")
        site.kill("c3")
        assert site.call("c1", "GET", "/config/get")[0] in (0, 503)
        assert site.call("c1", "POST", "/config/replace", configuration(2, "/b/"))[0] in (0, 503)
        site.start("c2")
        assert site.call_until_success("c1", "GET", "/config/get")["version"] in (1, 2)


class TestMembers:
    """Changes of the registries that form the group."""

    def test_registry_recovers_from_disk_loss(self, site):
        site.call_until_success("c1", "POST", "/config/replace", configuration(1, "/a/"))
        site.kill("c2")
        site.wipe_disk("c2")
        site.start("c2")
        wait_until(
            lambda: site.call("c2", "GET", "/config/get")[0] == 200,
            "reads from the registry with the emptied disk",
        )
        time.sleep(1.0)
        site.kill("c3")
        site.call_until_success("c1", "POST", "/config/replace", configuration(2, "/b/"))
        assert site.call_until_success("c2", "GET", "/config/get")["version"] == 2

    def test_registry_is_replaced_permanently(self, site):
        """A new, empty registry replaces a lost one at another address; then another is lost."""
        site.call_until_success("c1", "POST", "/config/replace", configuration(1, "/a/"))
        site.kill("c3")
        site.start("c4")
        wait_until(
            lambda: site.call("c4", "GET", "/config/get")[0] == 200, "reads from the new registry"
        )
        time.sleep(3.5)
        site.kill("c1")
        site.call_until_success("c4", "POST", "/config/replace", configuration(2, "/b/"))
        assert site.call_until_success("c2", "GET", "/config/get")["version"] == 2
        site.wait_status("g1", "/a/x", PUBLIC_HOST, 404)
        assert site.status("g1", "/b/x", PUBLIC_HOST) == 503

    def test_five_registries(self, site):
        for name in ("c4", "c5"):
            site.start(name, found=True)
        site.call_until_success("c5", "POST", "/config/replace", configuration(1, "/a/"))
        time.sleep(2.0)
        for name in ("c1", "c2"):
            site.kill(name)
        site.call_until_success("c4", "POST", "/config/replace", configuration(2, "/b/"))
        assert site.call_until_success("c5", "GET", "/config/get")["version"] == 2


class TestSignals:
    """Signals that must not terminate a process."""

    def test_sighup_ends_no_process(self, site):
        """SIGHUP, sent when settings change, must not terminate a process."""
        site.call_until_success("c1", "POST", "/config/replace", configuration(1, "/a/"))
        for name in ("c1", "g1"):
            site.signal(name, signal.SIGHUP)
        site.call_until_success("c1", "GET", "/config/get")
        assert site.is_running("c1")
        assert site.is_running("g1")


class TestLeaves:
    """A leaving server gets no new work, whichever registry received its notice."""

    def test_leave_is_refused_without_followers(self, site):
        """A registry without followers refuses a server's notice that it is leaving.

        If it accepted the notice, the server would stop while gateways still send to it.
        """
        site.call_until_success("c1", "POST", "/config/replace", configuration(1, "/a/"))
        for name in ("c2", "c3", "g1"):
            site.kill(name)
        path = "/instances/i-1/heartbeat"
        wait_until(lambda: site.call("c1", "POST", path, heartbeat())[0] == 200, "a heartbeat")
        wait_until(
            lambda: site.call("c1", "POST", path, heartbeat("draining", 2))[0] == 503,
            "a refused leave",
        )

    def test_leave_is_final(self, site):
        """A delayed heartbeat from before the leave, at another registry, does not undo it."""
        site.call_until_success("c1", "POST", "/config/replace", configuration(1, "/a/"))
        site.wait_status("g1", "/none/x", PUBLIC_HOST, 404)
        path = "/instances/i-1"
        log = site.folder / "g1.log"
        site.call_until_success("c1", "POST", f"{path}/heartbeat", heartbeat(seq=1))
        wait_until(lambda: '"event":"server.joined"' in log.read_text(), "the server joined at g1")
        site.call_until_success("c2", "POST", f"{path}/heartbeat", heartbeat("draining", 3))
        site.call_until_success("c3", "POST", f"{path}/heartbeat", heartbeat(seq=2))
        site.call_until_success("c3", "POST", f"{path}/deregister")
        logged = log.read_text()
        assert '"event":"server.left","server":"i-1"' in logged
        joins = logged.count('"event":"server.joined","server":"i-1"')
        assert joins == 1


class TestRecovery:
    """After a crash of all processes, service resumes as soon as they have started."""

    def test_configuration_is_served_before_election(self, site):
        """After a crash of all processes, one registry serves its committed configuration.

        Without a majority it accepts no change and answers no operator, but entry VMs that get
        the configuration from it need not refuse all clients.
        """
        site.call_until_success("c1", "POST", "/config/replace", configuration(3, "/a/"))
        for name in ("c2", "c3"):
            site.call_until_success(name, "GET", "/config/get")
        time.sleep(0.5)
        for name in ("c1", "c2", "c3", "g1"):
            site.kill(name)
        site.start("c2")
        site.start("g1")
        # Only a gateway that has a configuration answers 404 for an unknown route.
        site.wait_status("g1", "/b/x", PUBLIC_HOST, 404)
        assert site.status("g1", "/a/x", PUBLIC_HOST) == 503
        # The operator port opens slightly later than the feed; the first answer must be a refusal.
        statuses = []
        wait_until(
            lambda: statuses.append(site.call("c2", "GET", "/config/get")[0]) or any(statuses),
            "an answer to operators at c2",
        )
        assert set(statuses) <= {0, 503}

    def test_group_elects_a_leader_on_slow_disks(self, site):
        """Guards against elections that never complete when each sync takes 0.7 s longer."""
        site.call_until_success("c1", "POST", "/config/replace", configuration(1, "/a/"))
        for name in ("c1", "c2", "c3"):
            site.kill(name)
        for name in ("c1", "c2", "c3"):
            site.start(name, mutant="slow_syncs")
        assert site.call_until_success("c2", "GET", "/config/get")["version"] == 1
        site.call_until_success("c3", "POST", "/config/replace", configuration(2, "/b/"))

    def test_servers_are_restored_before_first_heartbeat(self, site):
        """After a crash of all processes, the registry restores its servers from disk.

        The servers run on but send a heartbeat only once a second.  Without the restored list,
        the first clients would be refused, or all sent to the server heard first.
        """
        site.call_until_success("c1", "POST", "/config/replace", configuration(3, "/a/"))
        site.call_until_success("c1", "POST", "/instances/i-1/heartbeat", heartbeat())
        wait_until(lambda: (site.folder / "data-c1" / SERVERS_FILE).exists(), "the list of servers")
        for name in ("c1", "c2", "c3", "g1"):
            site.kill(name)
        for name in ("c1", "g1"):
            site.start(name)
        log = site.folder / "g1.log"
        wait_until(lambda: '"event":"servers.remembered"' in log.read_text(), "remembered servers")
        lines = [json.loads(line) for line in log.read_text().splitlines()]
        restored = [line for line in lines if line["event"] == "servers.remembered"]
        assert restored[0]["new"] == 1
