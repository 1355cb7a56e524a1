"""Registries and gateways as processes: evacuations of failure domains under faults."""

import json
import subprocess
import sys
import time
from pathlib import Path

import pytest

from siskinspoke.core.codes import CODE_INFO, ResultCode
from siskinspoke.state.server_file import SERVERS_FILE
from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.group_site import OPERATORS_PORT, GroupSite
from siskinspoke.testing.networks import group_nets, net_cycle
from tests.integration.test_group import PUBLIC_HOST, configuration, heartbeat

REGISTRIES = ("c1", "c2", "c3")
REGIONS = {"a": "north", "b": "south"}
# The deployment allows 5 s; the aim is 1 s.
MAX_COMPLIANCE_SECONDS = 5.0
_next_net = net_cycle(group_nets)


@pytest.fixture
def site(tmp_path):
    """Return a site of three registries and a gateway that knows one server, in domain a."""
    group_site = GroupSite(tmp_path / "site", _next_net())
    for name in REGISTRIES:
        group_site.start(name, found=True, domain_regions=REGIONS)
    group_site.start("g1", found=True)
    group_site.call_until_success("c1", "POST", "/config/replace", configuration(1, "/a/"))
    group_site.call_until_success("c2", "POST", "/instances/i-1/heartbeat", heartbeat())
    wait_until(lambda: code(group_site) == ResultCode.NO_SERVER, "a refusal by the gateway")
    yield group_site
    group_site.close()


def code(site: GroupSite) -> int | None:
    """Return the code of the gateway's refusal: nothing listens at the server's address."""
    answer = site.ask("g1", "/a/x", PUBLIC_HOST)
    return None if answer is None or answer.status_code != 503 else answer.json()["error"]["code"]


def order(site: GroupSite, name: str, action: str) -> float:
    """Give an order to a registry, which must acknowledge it; return the seconds taken."""
    began = time.monotonic()
    status, answer = site.call(name, "POST", f"/evacuation/a/{action}")
    assert (status, answer["changed"]) == (200, True), answer
    return time.monotonic() - began


def comply(site: GroupSite, expected: ResultCode) -> float:
    """Wait until the gateway refuses with a code; return the seconds taken."""
    began = time.monotonic()
    wait_until(lambda: code(site) == expected, f"{expected.name} at the gateway")
    return time.monotonic() - began


class TestOrders:
    """Orders in a stable control group."""

    def test_any_registry_and_every_gateway(self, site):
        for first, second in zip(REGISTRIES, REGISTRIES[::-1], strict=True):
            assert order(site, first, "begin") < 1
            assert comply(site, ResultCode.EVACUATED) < MAX_COMPLIANCE_SECONDS
            assert order(site, second, "end") < 1
            assert comply(site, ResultCode.NO_SERVER) < MAX_COMPLIANCE_SECONDS

    def test_unknown_domain(self, site):
        status, answer = site.call("c1", "POST", "/evacuation/nowhere/begin")
        assert (status, answer["error"]["code"]) == (404, ResultCode.UNKNOWN_DOMAIN)

    def test_confirmations_are_listed(self, site):
        order(site, "c1", "begin")

        def is_confirmed() -> bool:
            _, document = site.call("c3", "GET", "/evacuation")
            return [item["confirmed"] for item in document["evacuations"]] == [["g1"]]

        wait_until(is_confirmed, "the confirmation of g1 at c3")


class TestFaults:
    """Evacuations outlast the loss of VMs."""

    def test_all_vms_are_killed_and_restarted(self, site):
        """Guards against a gateway that serves an evacuated domain after a loss of all VMs."""
        order(site, "c1", "begin")
        comply(site, ResultCode.EVACUATED)
        kill_all(site)
        for name in (*REGISTRIES, "g1"):
            site.start(name, domain_regions=REGIONS)
        comply(site, ResultCode.EVACUATED)
        assert_obeyed_from_the_start(site)
        site.call_until_success("c2", "POST", "/evacuation/a/end")
        site.call_until_success("c2", "POST", "/instances/i-1/heartbeat", heartbeat(seq=2))
        comply(site, ResultCode.NO_SERVER)

    def test_one_registry_returns_without_the_majority(self, site):
        """Guards against a registry that publishes no evacuations before there is a leader."""
        order(site, "c1", "begin")
        comply(site, ResultCode.EVACUATED)
        kill_all(site)
        site.start("g1")
        site.start("c2", domain_regions=REGIONS)
        comply(site, ResultCode.EVACUATED)
        assert_obeyed_from_the_start(site)
        statuses: set[int] = set()

        def is_refused() -> bool:
            statuses.add(site.call("c2", "POST", "/evacuation/a/end")[0])
            return 503 in statuses

        wait_until(is_refused, "a refusal without a majority")
        assert 200 not in statuses

    def test_leader_is_killed_with_the_order(self, site):
        """The order reaches a majority, or not, while the registries are killed in turn."""
        for name in REGISTRIES:
            site.call(name, "POST", "/evacuation/a/begin")
            site.kill(name)
            began = time.monotonic()
            other = next(item for item in REGISTRIES if item != name)
            site.call_until_success(other, "POST", "/evacuation/a/begin")
            assert time.monotonic() - began < MAX_COMPLIANCE_SECONDS
            assert comply(site, ResultCode.EVACUATED) < MAX_COMPLIANCE_SECONDS
            site.start(name, domain_regions=REGIONS)
            site.call_until_success(name, "GET", "/config/get")
            site.call_until_success(name, "POST", "/evacuation/a/end")
            site.call_until_success(name, "POST", "/instances/i-1/heartbeat", heartbeat(seq=2))
            comply(site, ResultCode.NO_SERVER)


class TestCommand:
    """The operators' command."""

    def test_begin_list_and_end(self, site):
        """The first address is that of a registry that is down."""
        site.kill("c1")
        begun = run_command(site, "begin", "a")
        assert (begun.returncode, begun.stderr) == (0, "")
        assert begun.stdout.startswith("a is evacuated, revision ")
        comply(site, ResultCode.EVACUATED)
        assert "a is evacuated already" in run_command(site, "begin", "a").stdout
        wait_until(
            lambda: "confirmed by g1" in run_command(site, "list").stdout, "the confirmation of g1"
        )
        listed = json.loads(run_command(site, "list", "--json").stdout)
        assert [item["domain"] for item in listed["evacuations"]] == ["a"]
        assert run_command(site, "end", "a").stdout.startswith("a is not evacuated, revision ")
        assert run_command(site, "list").stdout == "nothing is evacuated\n"

    def test_failures_have_exit_codes(self, site):
        """Guards against an order that fails without notice in a script."""
        unknown = run_command(site, "begin", "nowhere")
        assert unknown.returncode == CODE_INFO[ResultCode.UNKNOWN_DOMAIN].exit_code
        assert "UNKNOWN_DOMAIN" in unknown.stderr
        for arguments in (("begin",), ("pause", "a"), ("list", "a"), ()):
            wrong = run_command(site, *arguments)
            assert wrong.returncode == CODE_INFO[ResultCode.USAGE].exit_code
        for name in REGISTRIES:
            site.kill(name)
        began = time.monotonic()
        silent = run_command(site, "begin", "a")
        assert silent.returncode == CODE_INFO[ResultCode.NO_QUORUM].exit_code
        assert time.monotonic() - began < 10


def run_command(site: GroupSite, *arguments: str) -> subprocess.CompletedProcess:
    """Run the operators' command against all registries of a site."""
    controls = ",".join(f"{seed}:{OPERATORS_PORT}" for seed in site.seeds)
    command = [sys.executable, "-m", "siskinspoke", "evacuation", *arguments]
    return subprocess.run(
        [*command, f"--control={controls}"],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def kill_all(site: GroupSite) -> None:
    """Kill all VMs once the registries have saved the servers that they know."""
    files = [site.folder / f"data-{name}" / SERVERS_FILE for name in REGISTRIES]
    wait_until(lambda: all(b"i-1" in read(path) for path in files), "saved lists of servers")
    for name in (*REGISTRIES, "g1"):
        site.kill(name)


def read(path: Path) -> bytes:
    """Return the contents of a file, empty if it does not exist."""
    return path.read_bytes() if path.exists() else b""


def last_run(site: GroupSite) -> list[dict]:
    """Return the log of the gateway since it was started again."""
    written = read(site.folder / "g1.log").rpartition(b"\n")[0]
    lines = [json.loads(line) for line in written.splitlines()]
    starts = [number for number, line in enumerate(lines) if line["event"] == "start"]
    return lines[starts[-1] :] if len(starts) > 1 else []


def assert_obeyed_from_the_start(site: GroupSite) -> None:
    """Check that the restarted gateway knew the evacuations before it could serve a request."""
    # The gateway writes its log in the background, so an answer may arrive before its line.
    wait_until(lambda: any(line["event"] == "request" for line in last_run(site)), "its log")
    lines = last_run(site)
    events = [line["event"] for line in lines]
    assert events.index("evacuation.in_force") < events.index("configuration.in_force")
    assert [line["tried"] for line in lines if line["event"] == "request" if line["tried"]] == []
