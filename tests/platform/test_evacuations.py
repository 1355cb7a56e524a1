"""Tests of operators' orders to evacuate a failure domain, and of entry VMs that obey them."""

import json
import math
from collections import deque

import msgspec
import trio

from siskinspoke.control.group_daemon import ControlParts
from siskinspoke.control.registry import Registry
from siskinspoke.control.replica_task import now_ms
from siskinspoke.coordination.directory import Directory
from siskinspoke.coordination.limiters import Outcome, PermitDecision
from siskinspoke.core.codes import ResultCode
from siskinspoke.core.counters import Counters
from siskinspoke.core.latencies import Latencies
from siskinspoke.gateway import upstream
from siskinspoke.gateway.context import now_ms as gateway_now_ms
from siskinspoke.gateway.evacuations import report_evacuations
from siskinspoke.gateway.failover import RetryState
from siskinspoke.gateway.holds import (
    BACK_OFF,
    EVACUATED,
    Hold,
    check_hold,
    find_hold,
    hold_ends_in_ms,
)
from siskinspoke.gateway.permits import Decision, Permit
from siskinspoke.gateway.reservations import Member, ReservationRefused, reserved
from siskinspoke.platform.control_app import ControlApp, announcement_from
from siskinspoke.protocol.evacuations import Evacuation, EvacuationState
from siskinspoke.transport.calls import Call
from tests.control.slow_group import SlowGroup, run_slow_group
from tests.feeds.test_follower import NullDecisionLog
from tests.platform.site import Site, gateway_site, servers, until
from tests.platform.standin_server import Events, Silent, StandinServer, Whole
from tests.platform.test_planned_failover import repeats
from tests.platform.test_rate_limits import retry_after
from tests.platform.test_silence import whole_stream
from tests.platform.test_streams import PROMPT, data_of

REGIONS = {"a": "north", "b": "north", "c": "south"}


class Hub:
    """A hub that knows the failure domains of some VMs."""

    failure_domains = frozenset({"vms"})

    def __init__(self):
        self.confirmed_evacuations = {"g1": 99, "g2": 0}


class Control:
    """The application of one control VM of a group in virtual time, and a client."""

    def __init__(self, group: SlowGroup, name: str, regions: dict[str, str]):
        self.name = name
        self.task = group.tasks.get(name)
        self.counters = Counters()
        self.directory = Directory(4_800)
        registry = Registry(self.directory, self.counters, NullDecisionLog(), name, regions)
        registry.set_hub(Hub())
        registry.set_replica(self.task)
        self.app = ControlApp(ControlParts(registry, self.counters, Latencies(), NullDecisionLog()))

    async def order(self, domain: str, action: str, body: bytes = b"") -> tuple[int, dict]:
        """Send an order; return status and body of the answer."""
        reply = await self.app.answer(Call("POST", f"/evacuation/{domain}/{action}", body))
        return reply.status, msgspec.json.decode(reply.body)

    @property
    def domains(self) -> set[str]:
        """Return the failure domains that are evacuated as far as this VM knows."""
        return set(self.task.machine.evacuations.domains)

    def announce(self, domain: str) -> None:
        """Register a server in a failure domain at this VM only."""
        heartbeat = {"service": "s", "address": "10.0.0.9:80", "zone": domain, "seq": 1}
        announcement = announcement_from(f"i-{domain}", msgspec.json.encode(heartbeat)).ok
        self.directory.apply(announcement, now_ms())


def run_controls(scenario, regions: dict[str, str] = REGIONS):
    """Run a scenario with the applications of a group's three control VMs."""

    async def main(group: SlowGroup):
        group.start()
        await group.publish(1, 10)
        await trio.sleep(1)
        return await scenario(group, [Control(group, name, regions) for name in group.names])

    return run_slow_group(1, main)


def error_code(document: dict) -> int:
    """Return the code of a failure."""
    return document["error"]["code"]


class TestOrders:
    """Orders of operators to any control VM."""

    def test_begin_and_end_at_any_vm(self):
        async def scenario(_, controls):
            for first, second in zip(controls, [*controls[1:], controls[0]], strict=True):
                status, answer = await first.order("a", "begin")
                assert (status, answer["changed"], answer["evacuated"]) == (200, True, True)
                assert answer["code"] == ResultCode.OK
                status, answer = await second.order("a", "end")
                assert (status, answer["changed"], answer["evacuated"]) == (200, True, False)
            assert controls[0].counters.totals["evacuation.begun"] == 1
            assert controls[0].counters.totals["evacuation.ended"] == 1

        run_controls(scenario)

    def test_acceptor_is_recorded(self):
        async def scenario(_, controls):
            await controls[2].order("a", "begin")
            await trio.sleep(0.5)
            found = {control.task.machine.evacuations.evacuations[0] for control in controls}
            assert {item.accepted_by for item in found} == {"r2"}
            assert len(found) == 1

        run_controls(scenario)

    def test_repeats_say_that_nothing_changed(self):
        """Guards against a repeat, or an end without an evacuation, that is refused."""

        async def scenario(_, controls):
            _, first = await controls[0].order("a", "begin")
            for control in controls:
                for domain, action in (("a", "begin"), ("b", "end")):
                    status, answer = await control.order(domain, action)
                    assert (status, answer["changed"]) == (200, False)
                    assert answer["code"] == ResultCode.NOTHING_CHANGED
                    assert answer["revision"] == first["revision"]

        run_controls(scenario)

    def test_no_majority(self):
        """Guards against an order that a minority acknowledges, or refuses for good."""

        async def scenario(group, controls):
            group.kill("r1", "r2")
            began = trio.current_time()
            status, answer = await controls[0].order("a", "begin")
            assert (status, error_code(answer)) == (503, ResultCode.NO_QUORUM)
            assert trio.current_time() - began < 1

        run_controls(scenario)

    def test_no_replica(self):
        """The disk of the control VM has failed."""

        async def scenario(group, _):
            control = Control(group, "r9", REGIONS)
            assert (await control.order("a", "begin"))[0] == 503
            assert (await control.order("nowhere", "begin"))[0] == 503

        run_controls(scenario)


class TestRefusals:
    """Orders that are refused change nothing."""

    def test_unknown_domain(self):
        """Guards against an evacuation under a misspelt name, also before any server is known."""

        async def scenario(_, controls):
            for control in controls:
                for action in ("begin", "end"):
                    for domain in ("nowhere", "", "%0a"):
                        status, answer = await control.order(domain, action)
                        assert (status, error_code(answer)) == (404, ResultCode.UNKNOWN_DOMAIN)
                assert control.domains == set()
                assert control.task.machine.evacuations.revision == 0

        run_controls(scenario)

    def test_body(self):
        async def scenario(_, controls):
            status, answer = await controls[0].order("a", "begin", b"{}")
            assert (status, error_code(answer)) == (400, ResultCode.INVALID_FIELD)
            assert controls[0].domains == set()

        run_controls(scenario)

    def test_other_action(self):
        async def scenario(_, controls):
            assert (await controls[0].order("a", "pause"))[0] == 404

        run_controls(scenario)

    def test_domains_of_servers_and_vms(self):
        async def scenario(_, controls):
            controls[0].announce("annex")
            assert (await controls[0].order("annex", "begin"))[0] == 200
            assert (await controls[0].order("vms", "begin"))[0] == 200
            assert controls[0].domains == {"annex", "vms"}

        run_controls(scenario)

    def test_repeat_of_an_accepted_order_is_never_refused(self):
        """Guards against a 404 for a repeat at a VM that never heard of the domain's servers."""

        async def scenario(_, controls):
            controls[0].announce("annex")
            assert (await controls[0].order("annex", "begin"))[0] == 200
            assert (await controls[1].order("annex", "begin"))[0] == 200
            assert (await controls[2].order("annex", "end"))[0] == 200
            assert (await controls[1].order("annex", "end"))[0] == 200

        run_controls(scenario)

    def test_without_a_list_of_domains(self):
        """A deployment that names no failure domains accepts any valid name."""

        async def scenario(_, controls):
            assert (await controls[0].order("zone%201", "begin"))[0] == 200
            assert controls[0].domains == {"zone 1"}
            for domain in ("", "%0a", "x" * 129):
                status, answer = await controls[0].order(domain, "begin")
                assert (status, error_code(answer)) == (400, ResultCode.INVALID_FIELD)
            assert controls[0].domains == {"zone 1"}

        run_controls(scenario, {})

    def test_list(self):
        """What operators see, at a VM of the majority and at one that is cut off."""

        async def scenario(group, controls):
            await controls[0].order("b", "begin")
            await trio.sleep(0.5)
            document = await listed(controls[2])
            (item,) = document["evacuations"]
            assert document["current"]
            assert (item["domain"], item["accepted_by"]) == ("b", "r0")
            assert item["revision"] == document["revision"] > 0
            assert (item["confirmed"], item["unconfirmed"]) == (["g1"], ["g2"])
            group.isolated = {"r2"}
            document = await listed(controls[2])
            assert not document["current"]
            assert [item["domain"] for item in document["evacuations"]] == ["b"]

        run_controls(scenario)


async def listed(control: Control) -> dict:
    """Return what a control VM answers to an operator who lists the evacuations."""
    reply = await control.app.answer(Call("GET", "/evacuation"))
    assert reply.status == 200
    return msgspec.json.decode(reply.body)


def obey(site: Site, revision: int, *domains: str) -> None:
    """Have the gateway receive the evacuations of some failure domains."""
    state = EvacuationState(revision, [Evacuation(item, revision, 0, "c1") for item in domains])
    site.daemon._feeds._handlers.on_evacuations(state)


def requests_seen(*running) -> int:
    """Return how many requests of clients some servers have received."""
    return sum("Request-Id" in seen.headers for server in running for seen in server.seen)


PATHS = (("plain", "/again/x", {}, Whole()), ("engines", "/stream/x", PROMPT, Events()))


class TestPlacement:
    """Servers of an evacuated failure domain get no new requests."""

    def test_requests_go_to_the_other_domain_until_the_end(self, tmp_path):
        async def run(service, path, more, healthy):
            async with (
                gateway_site(tmp_path) as site,
                servers(site, service, [healthy], [healthy]) as evacuated,
                servers(site, service, [healthy], first=2, domain="b"),
            ):
                obey(site, 3, "a")
                for number in range(20):
                    assert (await site.ask(path, f"r{number}", **more)).status == 200
                assert requests_seen(*evacuated) == 0
                # The servers are not even chosen; the check before sending finds nothing.
                assert "evacuation.held" not in site.gateway.counters.totals
                obey(site, 2)
                assert (await site.ask(path, "late", **more)).status == 200
                assert requests_seen(*evacuated) == 0
                obey(site, 4)
                for number in range(20):
                    await site.ask(path, f"s{number}", **more)
                assert requests_seen(*evacuated) > 0

        for case in PATHS:
            trio.run(run, *case)

    def test_all_servers_evacuated(self, tmp_path):
        """Guards against a request that waits for its deadline, and against a Retry-After of inf.

        An infinite hold once had no end that could be rounded.
        """

        async def run(service, path, more, healthy):
            async with (
                gateway_site(tmp_path) as site,
                servers(site, service, [healthy], [healthy]) as evacuated,
            ):
                obey(site, 3, "a")
                assert hold_ends_in_ms(site.gateway, service) == math.inf
                seen = []
                for number in range(8):
                    began = trio.current_time()
                    answer = await site.ask(path, f"r{number}", **more)
                    assert trio.current_time() - began < 0.3
                    assert answer.status == 503
                    error = msgspec.json.decode(answer.body)["error"]
                    assert (error["code"], error["run"]) == (ResultCode.EVACUATED, "not_run")
                    seen.append(retry_after(answer))
                assert all(1 <= seconds <= 1.5 for seconds in seen)
                assert len(set(seen)) > 1
                assert requests_seen(*evacuated) == 0

        for case in PATHS:
            trio.run(run, *case)

    def test_precedence_over_servers_that_may_be_used_when_few_are_left(self, tmp_path):
        """Guards against requests to an evacuated domain when the other one is cut off."""

        async def run(service, path, more, healthy):
            async with (
                gateway_site(tmp_path) as site,
                servers(site, service, [healthy]) as evacuated,
                servers(site, service, [Silent()], [Silent()], first=1, domain="b"),
            ):
                obey(site, 3, "a")
                for name in (f"i-{service}1", f"i-{service}2"):
                    site.gateway.domains.record_failure("b", name, gateway_now_ms())
                assert site.gateway.domains.is_cut_off("b", gateway_now_ms())
                answer = await site.ask(path, Deadline_Ms="500", **more)
                assert answer.status in (503, 504)
                assert requests_seen(*evacuated) == 0

        for case in PATHS:
            trio.run(run, *case)

    def test_other_holds(self, tmp_path):
        """Guards against an evacuated server that is used once its back-off has ended."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "plain", [Whole()]),
                servers(site, "plain", [Whole()], first=1, domain="b") as (other,),
            ):
                obey(site, 3, "a")
                now = gateway_now_ms()
                record = site.gateway.directory.latest("i-plain0")
                site.gateway.back_offs.add(record.start, 500, now)
                assert find_hold(site.gateway, record, now) == Hold(EVACUATED, math.inf)
                started = site.gateway.directory.latest(other.name)
                site.gateway.back_offs.add(started.start, 500, now)
                assert find_hold(site.gateway, started, now).reason == BACK_OFF
                assert 0 < hold_ends_in_ms(site.gateway, "plain") <= 500

        trio.run(run)


class TestBeforeSending:
    """An evacuation that begins after a server was chosen."""

    def test_server_is_evacuated_while_the_vm_connects(self, tmp_path, monkeypatch):
        """Guards against an attempt or a retry that is used up although nothing was sent."""

        async def run(service, path, more, healthy):
            folder = tmp_path / service
            folder.mkdir()
            async with (
                gateway_site(folder) as site,
                servers(site, service, [healthy]) as (evacuated,),
            ):
                other = StandinServer("i-other", script=deque([healthy]))
                await site.gateway.nursery.start(other.serve)

                async def connect(gateway, server):
                    connection = await connect_to(gateway, server)
                    if not gateway.evacuations.domains:
                        site.announce(other, service, domain="b")
                        obey(site, 3, "a")
                    return connection

                monkeypatch.setattr(upstream, "connect_to", connect)
                answer = await site.ask(path, **more)
                assert answer.status == 200
                assert requests_seen(evacuated) == 0
                assert requests_seen(other) == 1
                assert repeats(site, service) == 0
                assert site.gateway.counters.totals["evacuation.held"] == 1
            lines = [json.loads(line) for line in (folder / "log").read_text().splitlines()]
            (line,) = [line for line in lines if line["event"] == "request"]
            assert line["held"] == [evacuated.name]
            assert [attempt[0] for attempt in line["tried"]] == ["i-other"]

        connect_to = upstream.connect_to
        for case in PATHS:
            trio.run(run, *case)

    def test_helper_is_evacuated(self, tmp_path):
        """Guards against a group that is sent although one of its helpers is evacuated."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events()]) as (writer,),
                servers(site, "engines", [Events()], first=1, domain="b") as (helper,),
            ):
                gateway = site.gateway
                records = [gateway.directory.latest(item.name) for item in (writer, helper)]
                with gateway.attempts.attempt(*records, fail_over=lambda: False) as attempt:
                    assert await check_hold(gateway, "r1", records[0], attempt) is None
                    obey(site, 3, "b")
                    hold = await check_hold(gateway, "r1", records[0], attempt)
                    assert hold == Hold(EVACUATED, math.inf, helper.name)

        trio.run(run)

    def test_evacuated_while_a_permit_is_awaited(self, tmp_path, monkeypatch):
        """Guards against a request that is sent with a permit granted before the evacuation."""

        async def run():
            async with gateway_site(tmp_path) as site, servers(site, "plain", [Whole()]) as (one,):
                gateway = site.gateway
                record = gateway.directory.latest(one.name)
                gateway.rate_limits.record(record.start, 100.0, gateway_now_ms())

                async def obtain(*_):
                    obey(site, 3, "a")
                    permit = Permit(record.start, gateway_now_ms() + 1_000)
                    return permit, Decision(PermitDecision(Outcome.GRANTED))

                monkeypatch.setattr(gateway.permits, "obtain", obtain)
                with gateway.attempts.attempt(record, fail_over=lambda: False) as attempt:
                    hold = await check_hold(gateway, "r1", record, attempt)
                    assert hold == Hold(EVACUATED, math.inf)

        trio.run(run)

    def test_member_is_evacuated_before_its_memory_is_reserved(self, tmp_path):
        """Guards against orders to evacuated engines, and against memory that stays reserved."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Whole()]) as (first,),
                servers(site, "engines", [Whole()], first=1, domain="b") as (second,),
            ):
                obey(site, 3, "b")
                records = [site.gateway.directory.latest(item.name) for item in (first, second)]
                members = [Member(record, 1_000) for record in records]
                async with reserved(site.gateway, "x", members) as result:
                    assert result == ReservationRefused(second.name, False, True)
                await until(lambda: any(b'"release"' in item.body for item in first.seen))
                assert second.seen == []

        trio.run(run)


class TestStreams:
    """Streams and groups of engines during an evacuation."""

    def test_running_stream_continues(self, tmp_path):
        """Guards against an evacuation that ends a running stream."""

        async def run():
            script = [Events(last=5, pause=0.1)]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", script) as (one,),
                servers(site, "engines", [Events()], first=1, domain="b") as (other,),
            ):
                site.gateway.directory.suspend(
                    *site.gateway.directory.latest(other.name).start, gateway_now_ms()
                )
                async with site.request_in_background("/stream/x", **PROMPT) as answers:
                    await until(lambda: requests_seen(one))
                    obey(site, 3, "a")
                assert data_of(answers[0].body) == whole_stream(5)
                assert requests_seen(other) == 0

        trio.run(run)

    def test_retry_goes_to_another_domain(self, tmp_path):
        """The engine is lost during the evacuation; another one of its domain is idle."""

        async def run():
            script = [Events(last=2, pause=0.1, then="cut")]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", script) as (lost,),
            ):
                async with site.request_in_background("/stream/x", **PROMPT) as answers:
                    await until(lambda: requests_seen(lost))
                    obey(site, 3, "a")
                    async with (
                        servers(site, "engines", [Events()], first=1) as (evacuated,),
                        servers(site, "engines", [Events(last=4)], first=2, domain="b"),
                    ):
                        await until(lambda: answers)
                assert data_of(answers[0].body) == whole_stream(4)
                assert requests_seen(evacuated) == 0

        trio.run(run)

    def test_planned_attempt_is_evacuated(self, tmp_path, monkeypatch):
        """Guards against a planned attempt that is sent, or uses up a second retry."""

        async def run():
            async with (
                gateway_site(tmp_path, timeout_ms=5_500) as site,
                servers(site, "engines", [Events(last=2, then="silent")]) as (first,),
            ):
                planned_for = []

                def take(retry_state, gateway):
                    planned = take_planned(retry_state, gateway)
                    if planned is not None and not planned_for:
                        announcement = planned.assignment.server.announcement
                        planned_for.append(announcement.server)
                        obey(site, 3, announcement.failure_domain)
                    return planned

                take_planned = RetryState.take_planned
                monkeypatch.setattr(RetryState, "take_planned", take)
                async with site.request_in_background(
                    "/stream/x", Deadline_Ms="5000", **PROMPT
                ) as answers:
                    await until(lambda: requests_seen(first))
                    async with (
                        servers(site, "engines", [Events(last=4)], first=1, domain="b") as (one,),
                        servers(site, "engines", [Events(last=4)], first=2, domain="c") as (two,),
                    ):
                        await until(lambda: answers, 6.0)
                assert data_of(answers[0].body) == whole_stream(4)
                by_name = {server.name: server for server in (one, two)}
                assert requests_seen(by_name.pop(planned_for[0])) == 0
                assert requests_seen(*by_name.values()) == 1
                assert repeats(site) == 1

        trio.run(run)

    def test_groups_have_no_evacuated_helpers(self, tmp_path):
        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", *[[Events(last=2)]] * 3) as left,
                servers(site, "engines", *[[Events(last=2)]] * 3, first=3, domain="b") as evacuated,
            ):
                obey(site, 3, "b")
                answer = await site.ask("/stream/x", Token_Counts="154000,800")
                assert answer.whole
                assert not any(server.seen for server in evacuated)
                (seen,) = [server.seen[0] for server in left if server.seen]
                helpers = {
                    item.split(":")[1].split(";")[0] for item in seen.headers["Helpers"].split(",")
                }
                assert helpers < {str(server.port) for server in left}

        trio.run(run)


class TestReports:
    """Log lines and counters of an entry VM."""

    def test_service_without_servers_is_logged_once(self, tmp_path):
        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "plain", [Whole()]),
                servers(site, "engines", [Events()], first=1, domain="b"),
            ):
                obey(site, 3, "a")
                for _ in range(3):
                    report_evacuations(site.gateway)
                assert site.gateway.counters.gauges["evacuation.domains"] == 1
                obey(site, 4)
                assert site.gateway.counters.gauges["evacuation.domains"] == 0

        trio.run(run)
        lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
        in_force = [line for line in lines if line["event"] == "evacuation.in_force"]
        assert [(line["revision"], line["domains"]) for line in in_force] == [(3, ["a"]), (4, [])]
        (line,) = [line for line in lines if line["event"] == "evacuation.no_server"]
        assert (line["service"], line["domains"]) == ("plain", ["a"])
