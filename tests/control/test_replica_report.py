"""Tests of the logging and metrics of lost elections and slow syncs and turns."""

import trio

from siskinspoke.control.replica_report import ReplicaReport
from siskinspoke.coordination.replica_types import LostElection
from siskinspoke.core.counters import Counters
from siskinspoke.core.latencies import Latencies
from siskinspoke.transport.links import LinkState
from tests.control.slow_group import SlowGroup, run_slow_group


class EventRecorder:
    """Record log events."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict]] = []

    def note(self, event: str, **fields) -> None:
        """Record one event."""
        self.events.append((event, fields))


class TestReplicaReport:
    """Log events and counters of a replica report."""

    def test_lost_election_names_each_voter(self):
        counters, recorder = Counters(), EventRecorder()
        links = {"b": LinkState(False, 0.0, 3)}

        async def scenario(group: SlowGroup) -> None:
            report = ReplicaReport(counters, Latencies(), recorder.note, lambda: links)
            report.record_lost_election(LostElection(7, True, ["a"], {"b": "log"}, ["c"]))

        run_slow_group(1, scenario)
        ((event, fields),) = recorder.events
        assert event == "election.lost"
        assert fields["refused"] == {"b": "log"}
        assert fields["silent"] == ["c"]
        assert fields["links"]["b"][0] is False
        assert fields["links"]["b"][2] == 3
        assert counters.totals["election.refused.log"] == 1

    def test_slow_events_are_logged_at_most_once_a_second(self):
        counters, recorder = Counters(), EventRecorder()
        report = ReplicaReport(counters, Latencies(), recorder.note)
        report.record_duration("sync", 50, 0)
        report.record_duration("sync", 300, 300)
        report.record_duration("sync", 200, 500)
        report.record_duration("turn", 400, 1400)
        assert [fields for _, fields in recorder.events] == [
            {"sync_ms": 300, "turn_ms": 0.0},
            {"sync_ms": 200, "turn_ms": 400},
        ]
        assert counters.totals["replica.slow_sync"] == 2


class TestLostElections:
    """Counters of the reasons why elections are lost."""

    def test_no_answer(self):
        """With one VM of three running, both others count as unanswered."""

        async def scenario(group: SlowGroup) -> dict:
            group.start("r0")
            await trio.sleep(5)
            return group.counters.totals

        totals = run_slow_group(1, scenario)
        assert totals["election.unanswered"] == 2 * totals["election.lost"] > 0

    def test_vote_of_emptied_disk(self):
        """The vote of a VM with an emptied disk does not count while the third VM is down."""

        async def scenario(group: SlowGroup) -> dict:
            group.start()
            await group.publish(1, 10)
            group.kill()
            group.empty_disk("r1")
            group.start("r0", "r1")
            await trio.sleep(5)
            return group.counters.totals

        assert run_slow_group(1, scenario)["election.refused.disk"] > 0
