"""Tests of the operators' calls that begin and end the evacuation of a failure domain."""

import msgspec
import trio

from siskinspoke.control.group_daemon import ControlParts
from siskinspoke.control.registry import Registry
from siskinspoke.control.replica_task import now_ms
from siskinspoke.coordination.directory import Directory
from siskinspoke.core.codes import ResultCode
from siskinspoke.core.counters import Counters
from siskinspoke.core.latencies import Latencies
from siskinspoke.platform.control_app import ControlApp, announcement_from
from siskinspoke.transport.calls import Call
from tests.control.slow_group import SlowGroup, run_slow_group
from tests.feeds.test_follower import NullDecisionLog

REGIONS = {"a": "north", "b": "north", "c": "south"}


class Hub:
    """A hub that knows the failure domains of some VMs."""

    failure_domains = frozenset({"vms"})


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
