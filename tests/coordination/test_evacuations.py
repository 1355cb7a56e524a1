"""Tests of the evacuations of failure domains: the replicated table and an entry VM's view."""

import msgspec

from siskinspoke.coordination.evacuations import (
    MAX_ORDERED_DOMAINS,
    EvacuationOrder,
    EvacuationTable,
    ObeyedEvacuations,
    fully_evacuated,
    is_valid_domain,
)
from siskinspoke.coordination.state_machine import (
    EVACUATE,
    PUBLISH,
    PublishRequest,
    StateMachine,
)
from siskinspoke.protocol.evacuations import Evacuation, EvacuationState
from siskinspoke.protocol.replication import Entry


def entry(index: int, domain: str, begin: bool, now_ms: int = 5_000) -> Entry:
    """Return a log entry with an order that c1 has received."""
    request = msgspec.to_builtins(EvacuationOrder(domain, begin, "c1"))
    return Entry(index, 1, EVACUATE, {"now_ms": now_ms, "request": request})


def publication(index: int, version: int) -> Entry:
    """Return a log entry with a configuration."""
    request = msgspec.to_builtins(PublishRequest(version, {"version": version}))
    return Entry(index, 1, PUBLISH, {"now_ms": 5_000, "request": request})


class TestStateMachine:
    """Orders in the replicated log."""

    def test_begin_and_end(self):
        machine = StateMachine()
        assert machine.apply(entry(3, "a", True)) == (True, 3)
        assert machine.evacuations.evacuations == [Evacuation("a", 3, 5_000, "c1")]
        assert machine.apply(entry(4, "a", True)) == (False, 3)
        assert machine.apply(entry(5, "b", False)) == (False, 3)
        assert machine.apply(entry(6, "a", False)) == (True, 6)
        assert machine.evacuations.domains == frozenset()

    def test_crossing_orders(self):
        """Guards against replicas that disagree on which of two crossing orders came later."""
        orders = [entry(3, "a", True), entry(4, "a", False), entry(5, "a", True)]
        machines = [StateMachine() for _ in range(3)]
        for machine in machines:
            for item in orders:
                machine.apply(item)
        assert [machine.evacuations.state for machine in machines] == [
            EvacuationState(5, [Evacuation("a", 5, 5_000, "c1")])
        ] * 3

    def test_clock_of_a_leader_goes_backward(self):
        """Guards against an evacuation that begins before an earlier one has ended."""
        machine = StateMachine()
        machine.apply(entry(1, "a", True, 9_000))
        machine.apply(entry(2, "b", True, 4_000))
        assert [item.begun_ms for item in machine.evacuations.evacuations] == [9_000, 9_000]

    def test_new_configuration_during_an_evacuation(self):
        """Guards against a configuration that ends an evacuation."""
        machine = StateMachine()
        machine.apply(entry(1, "a", True))
        machine.apply(publication(2, 7))
        assert machine.version == 7
        assert machine.evacuations.domains == {"a"}

    def test_snapshot(self):
        """Guards against evacuations that are lost in a restart from a snapshot."""
        machine, restored = StateMachine(), StateMachine()
        machine.apply(entry(1, "a", True))
        machine.apply(entry(2, "b", True))
        machine.apply(entry(3, "a", False))
        restored.load(msgspec.json.decode(msgspec.json.encode(machine.to_document())))
        assert restored.evacuations.state == machine.evacuations.state
        assert restored.evacuations.has_ordered("a")

    def test_snapshot_of_an_earlier_build(self):
        """Guards against a snapshot without evacuations that can no longer be read."""
        machine = StateMachine()
        machine.apply(publication(1, 7))
        document = machine.to_document()
        del document["evacuations"]
        restored = StateMachine()
        restored.apply(entry(1, "a", True))
        restored.load(msgspec.json.decode(msgspec.json.encode(document)))
        assert restored.version == 7
        assert restored.evacuations.state == EvacuationState(0, [])


class TestOrderedDomains:
    """The failure domains that stay known because an order has named them."""

    def test_only_the_latest_are_kept(self):
        table = EvacuationTable()
        for index in range(MAX_ORDERED_DOMAINS + 1):
            table.apply(EvacuationOrder(f"d{index}", False, "c1"), index, 0)
        assert not table.has_ordered("d0")
        assert table.has_ordered("d1")

    def test_evacuated_domain_is_always_known(self):
        """Guards against an evacuation that cannot be ended because its domain was dropped."""
        table = EvacuationTable()
        table.apply(EvacuationOrder("a", True, "c1"), 1, 0)
        for index in range(MAX_ORDERED_DOMAINS + 1):
            table.apply(EvacuationOrder(f"d{index}", False, "c1"), index, 0)
        assert table.has_ordered("a")

    def test_names(self):
        assert is_valid_domain("zone 1/a")
        assert not any(is_valid_domain(name) for name in ("", "a\n", "x" * 129))


class TestObeyedEvacuations:
    """What an entry VM keeps of the states that control VMs send."""

    def test_lagging_control_vm(self):
        """Guards against a control VM that lags and undoes a newer order."""
        obeyed = ObeyedEvacuations()
        assert obeyed.update(EvacuationState(5, [Evacuation("a", 5, 0, "c1")]))
        assert not obeyed.update(EvacuationState(3, []))
        assert obeyed.domains == {"a"}
        assert obeyed.update(EvacuationState(8, []))
        assert not obeyed.update(EvacuationState(5, [Evacuation("a", 5, 0, "c1")]))
        assert (obeyed.revision, obeyed.domains) == (8, frozenset())


class TestFullyEvacuated:
    """Services that have no server left outside evacuated failure domains."""

    def test_services(self):
        servers = [("engines", "a"), ("engines", "b"), ("plain", "a")]
        assert fully_evacuated(servers, frozenset("a")) == {"plain"}
        assert fully_evacuated(servers, frozenset("ab")) == {"engines", "plain"}
        assert fully_evacuated(servers, frozenset()) == frozenset()
