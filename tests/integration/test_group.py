"""Registries and gateways as processes: configuration, members and leaves under faults."""

import json
import signal
import time

import pytest

from siskinspoke.control.group_daemon import SNAPSHOT_ENTRIES
from siskinspoke.state.server_file import SERVERS_FILE
from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.group_site import GroupSite
from siskinspoke.testing.networks import group_nets, in_turn

HOST = "shop.example"
_next_net = in_turn(group_nets)


@pytest.fixture
def site(tmp_path):
    """Return a site of three registries that found their group, and one gateway."""
    running = GroupSite(tmp_path / "site", _next_net())
    for name in ("c1", "c2", "c3"):
        running.start(name, found=True)
    running.start("g1", found=True)
    yield running
    running.close()


def configuration(version: int, *prefixes: str) -> dict:
    """Return a configuration with a public route for each prefix and no server behind them."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r{number}",
                "host": HOST,
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


def beat(state: str = "ready", seq: int = 1) -> dict:
    """Return a heartbeat of a server at which nothing listens."""
    return {"service": "s", "address": "127.0.0.1:1", "zone": "a", "state": state, "seq": seq}


class TestConfiguration:
    """What was accepted is in force everywhere and never reverts."""

    def test_any_registry_takes_and_answers(self, site):
        for version, name in enumerate(("c1", "c2", "c3"), start=1):
            site.until(name, "POST", "/config/replace", configuration(version, f"/v{version}/"))
        for name in ("c1", "c2", "c3"):
            assert site.until(name, "GET", "/config/get")["version"] == 3
        wait_until(
            lambda: site.status("g1", "/v2/x", HOST) == 404
            and site.status("g1", "/v3/x", HOST) == 503,
            "version 3 alone at g1",
        )

    def test_invalid_ones_are_refused(self, site):
        site.until("c1", "POST", "/config/replace", configuration(1, "/a/"))
        bad = configuration(2, "/a/", "/a/")
        assert site.call("c1", "POST", "/config/replace", bad)[0] == 400
        assert site.until("c2", "GET", "/config/get")["version"] == 1

    def test_same_version_with_other_content_changes_nothing(self, site):
        site.until("c1", "POST", "/config/replace", configuration(5, "/a/"))
        site.until("c2", "POST", "/config/replace", configuration(5, "/b/"))
        read = site.until("c3", "GET", "/config/get")
        assert read["routes"][0]["path_prefix"] == "/a/"

    def test_kill_all_keeps_it(self, site):
        """All control processes are killed right after a configuration was accepted."""
        site.until("c1", "POST", "/config/replace", configuration(7, "/a/"))
        for name in ("c1", "c2", "c3"):
            site.kill(name)
        for name in ("c1", "c2", "c3"):
            site.start(name)
        assert site.until("c2", "GET", "/config/get")["version"] == 7

    def test_a_frozen_registry_does_not_answer_with_the_past(self, site):
        """A registry is frozen while a change is accepted, and thaws.

        An operator who asks it must not be shown the older configuration, even for a moment.
        """
        site.until("c1", "POST", "/config/replace", configuration(1, "/a/"))
        for frozen, other in (("c1", "c2"), ("c2", "c3"), ("c3", "c1")):
            version = site.until(other, "GET", "/config/get")["version"] + 1
            site.signal(frozen, signal.SIGSTOP)
            site.until(other, "POST", "/config/replace", configuration(version, "/a/"))
            site.signal(frozen, signal.SIGCONT)
            for _ in range(5):
                status, read = site.call(frozen, "GET", "/config/get")
                assert status != 200 or read["version"] == version

    def test_changes_of_several_snapshots_reach_one_that_was_down(self, site):
        """An operator's changes come in a storm while a registry is down.

        The others have dropped the entries that it lacks for a snapshot, twice over, when it is
        back; then another is lost, and the one that was down must know the newest.
        """
        site.until("c1", "POST", "/config/replace", configuration(1, "/a/"))
        site.kill("c3")
        last = 1 + 2 * SNAPSHOT_ENTRIES + 2
        for version in range(2, last + 1):
            site.until("c1", "POST", "/config/replace", configuration(version, "/a/"))
        site.start("c3")
        wait_until(lambda: site.call("c3", "GET", "/config/get")[0] == 200, "c3 reads")
        site.kill("c2")
        assert site.until("c3", "GET", "/config/get")["version"] == last
        site.until("c3", "POST", "/config/replace", configuration(last + 1, "/b/"))
        site.kill("c1")
        site.start("c2")
        assert site.until("c2", "GET", "/config/get")["version"] == last + 1

    def test_a_registry_alone_answers_nothing(self, site):
        """Two of three registries are gone; the last cannot know what is newest."""
        site.until("c1", "POST", "/config/replace", configuration(1, "/a/"))
        site.kill("c2")
        site.kill("c3")
        assert site.call("c1", "GET", "/config/get")[0] in (0, 503)
        assert site.call("c1", "POST", "/config/replace", configuration(2, "/b/"))[0] in (0, 503)
        site.start("c2")
        assert site.until("c1", "GET", "/config/get")["version"] in (1, 2)


class TestMembers:
    """Registries come and go; the group follows."""

    def test_a_lost_disk_heals(self, site):
        site.until("c1", "POST", "/config/replace", configuration(1, "/a/"))
        site.kill("c2")
        site.empty_disk("c2")
        site.start("c2")
        wait_until(lambda: site.call("c2", "GET", "/config/get")[0] == 200, "the emptied one reads")
        time.sleep(1.0)
        site.kill("c3")
        site.until("c1", "POST", "/config/replace", configuration(2, "/b/"))
        assert site.until("c2", "GET", "/config/get")["version"] == 2

    def test_a_registry_replaced_for_good(self, site):
        """A registry is gone for good and an empty one comes elsewhere; then another is lost."""
        site.until("c1", "POST", "/config/replace", configuration(1, "/a/"))
        site.kill("c3")
        site.start("c4")
        wait_until(lambda: site.call("c4", "GET", "/config/get")[0] == 200, "the new one reads")
        time.sleep(3.5)
        site.kill("c1")
        site.until("c4", "POST", "/config/replace", configuration(2, "/b/"))
        assert site.until("c2", "GET", "/config/get")["version"] == 2
        site.wait_status("g1", "/a/x", HOST, 404)
        assert site.status("g1", "/b/x", HOST) == 503

    def test_five_registries(self, site):
        for name in ("c4", "c5"):
            site.start(name, found=True)
        site.until("c5", "POST", "/config/replace", configuration(1, "/a/"))
        time.sleep(2.0)
        for name in ("c1", "c2"):
            site.kill(name)
        site.until("c4", "POST", "/config/replace", configuration(2, "/b/"))
        assert site.until("c5", "GET", "/config/get")["version"] == 2


class TestSignals:
    """Signals that mean something else than the end."""

    def test_hangup_ends_nobody(self, site):
        """Settings change; the signal that says so must not end a process."""
        site.until("c1", "POST", "/config/replace", configuration(1, "/a/"))
        for name in ("c1", "g1"):
            site.signal(name, signal.SIGHUP)
        site.until("c1", "GET", "/config/get")
        assert site.alive("c1")
        assert site.alive("g1")


class TestLeaves:
    """A server that leaves gets no new work, whoever heard it."""

    def test_a_leave_is_refused_where_nobody_can_be_told(self, site):
        """A server says that it leaves to a registry that nobody follows.

        If it were told that it was heard, it would stop while others go on sending.
        """
        site.until("c1", "POST", "/config/replace", configuration(1, "/a/"))
        for name in ("c2", "c3", "g1"):
            site.kill(name)
        path = "/instances/i-1/heartbeat"
        wait_until(lambda: site.call("c1", "POST", path, beat())[0] == 200, "a heartbeat")
        wait_until(
            lambda: site.call("c1", "POST", path, beat("draining", 2))[0] == 503, "a refused leave"
        )

    def test_leaving_is_final(self, site):
        """A heartbeat from before the leave comes late, at another registry."""
        site.until("c1", "POST", "/config/replace", configuration(1, "/a/"))
        site.wait_status("g1", "/none/x", HOST, 404)
        path = "/instances/i-1"
        log = site.folder / "g1.log"
        site.until("c1", "POST", f"{path}/heartbeat", beat(seq=1))
        wait_until(lambda: '"event":"server.joined"' in log.read_text(), "the arrival at g1")
        site.until("c2", "POST", f"{path}/heartbeat", beat("draining", 3))
        site.until("c3", "POST", f"{path}/heartbeat", beat(seq=2))
        site.until("c3", "POST", f"{path}/deregister")
        logged = log.read_text()
        assert '"event":"server.left","server":"i-1"' in logged
        joins = logged.count('"event":"server.joined","server":"i-1"')
        assert joins == 1


class TestRecovery:
    """After all processes were killed, service comes back as fast as processes start."""

    def test_registries_know_the_configuration_before_they_elect(self, site):
        """All control processes are killed; one comes back first.

        It has no majority, so it may accept and be asked nothing; but it can tell entry VMs the
        configuration that it knows to be accepted, and they need not refuse all callers.
        """
        site.until("c1", "POST", "/config/replace", configuration(3, "/a/"))
        for name in ("c2", "c3"):
            site.until(name, "GET", "/config/get")
        time.sleep(0.5)
        for name in ("c1", "c2", "c3", "g1"):
            site.kill(name)
        site.start("c2")
        site.start("g1")
        # Only a gateway with a configuration says that there is no such route.
        site.wait_status("g1", "/b/x", HOST, 404)
        assert site.status("g1", "/a/x", HOST) == 503
        # Operators are served a little after followers; the first answer must be a refusal.
        answers = []
        wait_until(
            lambda: answers.append(site.call("c2", "GET", "/config/get")[0]) or any(answers),
            "an answer to operators at c2",
        )
        assert set(answers) <= {0, 503}

    def test_group_elects_a_leader_on_slow_disks(self, site):
        """Guards against elections that never complete when each sync takes 0.7 s longer."""
        site.until("c1", "POST", "/config/replace", configuration(1, "/a/"))
        for name in ("c1", "c2", "c3"):
            site.kill(name)
        for name in ("c1", "c2", "c3"):
            site.start(name, mutant="slow_syncs")
        assert site.until("c2", "GET", "/config/get")["version"] == 1
        site.until("c3", "POST", "/config/replace", configuration(2, "/b/"))

    def test_servers_are_known_before_they_speak_again(self, site):
        """All processes are killed; the servers are well but speak only once a second.

        Callers that come first would be refused for want of a server, or all meet the one that
        spoke first.
        """
        site.until("c1", "POST", "/config/replace", configuration(3, "/a/"))
        site.until("c1", "POST", "/instances/i-1/heartbeat", beat())
        wait_until(lambda: (site.folder / "data-c1" / SERVERS_FILE).exists(), "the list of servers")
        for name in ("c1", "c2", "c3", "g1"):
            site.kill(name)
        for name in ("c1", "g1"):
            site.start(name)
        log = site.folder / "g1.log"
        wait_until(lambda: '"event":"servers.remembered"' in log.read_text(), "remembered servers")
        lines = [json.loads(line) for line in log.read_text().splitlines()]
        found = [line for line in lines if line["event"] == "servers.remembered"]
        assert found[0]["new"] == 1
