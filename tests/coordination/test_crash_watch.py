"""Tests of the exchange of crash reports between VMs."""

from siskinspoke.coordination.crash_watch import CrashWatch, RunEnd
from siskinspoke.coordination.crashes import Clear, Quarantined, Suspected
from siskinspoke.coordination.fingerprints import RequestIdentity
from siskinspoke.core.counters import Counters
from siskinspoke.protocol import decode_message, encode_message
from siskinspoke.protocol.crashes import CrashNews
from tests.feeds.test_follower import NullDecisionLog

DEADLY = RequestIdentity("acme", "shop.example/stream/x", b"what no engine survives")
HARMLESS = RequestIdentity("acme", "shop.example/stream/x", b"what any engine answers")
RAN_MS = 100.0
DELIVERY_DELAY_MS = 3.0
MAX_MESSAGES = 40


def make_watch(told: list[CrashNews]) -> CrashWatch:
    """Return a VM's crash watch that appends its messages to a list."""
    return CrashWatch(told.append, Counters(), NullDecisionLog())


class Vms:
    """Several VMs, each of which forwards new reports to all others with a delay."""

    def __init__(self, count: int):
        self.now = 1_000.0
        self.messages = 0
        self._pending: list[tuple[int, CrashNews]] = []
        self.watches = [
            CrashWatch(
                lambda news, number=number: self._broadcast(number, news),
                Counters(),
                NullDecisionLog(),
            )
            for number in range(count)
        ]

    def _broadcast(self, teller: int, news: CrashNews) -> None:
        self._pending += [(number, news) for number in range(len(self.watches)) if number != teller]

    def deliver(self) -> None:
        """Deliver messages until there are none left, up to a limit."""
        while self._pending and self.messages < MAX_MESSAGES * len(self.watches) ** 2:
            number, news = self._pending.pop(0)
            self.messages += 1
            self.now += DELIVERY_DELAY_MS
            fresh = self.watches[number].apply(news, self.now)
            if any(fresh):
                self._broadcast(number, fresh)

    def crash(
        self, number: int, name: str, subject: RequestIdentity, end: RunEnd = RunEnd.BROKE
    ) -> None:
        """Have a server crash under a request of one VM."""
        start = (name, 1)
        run = self.watches[number].start_run(subject, [start], self.now)
        self.now += RAN_MS
        self.watches[number].record_crash(start, "m", 20, self.now, self.now)
        self.watches[number].end_run(run, end, self.now)
        self.deliver()

    def serve(self, number: int, subject: RequestIdentity) -> None:
        """Have a VM answer a request completely."""
        run = self.watches[number].start_run(subject, [("well", 1)], self.now)
        self.now += RAN_MS
        self.watches[number].end_run(run, RunEnd.WHOLE, self.now)
        self.deliver()


class TestExchange:
    """All VMs learn what one has observed, and forwarding ends."""

    def test_crashes_at_three_vms(self):
        vms = Vms(3)
        for number in range(3):
            vms.crash(number, f"s{number}", DEADLY)
        vms.now += 1_000.0
        for item in vms.watches:
            assert isinstance(item.judge(DEADLY, vms.now), Quarantined)

    def test_suspects_at_different_vms(self):
        """The cause, another request and the answer that clears it are at three different VMs."""
        vms = Vms(3)
        for number in range(3):
            start = (f"s{number}", 1)
            runs = [vms.watches[0].start_run(DEADLY, [start], vms.now)]
            runs.append(vms.watches[1].start_run(HARMLESS, [start], vms.now))
            vms.now += RAN_MS
            vms.watches[0].record_crash(start, "m", 20, vms.now, vms.now)
            vms.deliver()
            for item, run in zip(vms.watches, runs, strict=False):
                item.end_run(run, RunEnd.BROKE, vms.now)
        assert all(isinstance(item.judge(DEADLY, vms.now), Suspected) for item in vms.watches)
        vms.serve(2, HARMLESS)
        vms.now += 1_000.0
        for item in vms.watches:
            assert isinstance(item.judge(DEADLY, vms.now), Quarantined)
            assert item.judge(HARMLESS, vms.now) == Clear()

    def test_forwarding_of_answers_ends(self):
        """Forwarding a complete answer must end.

        Ages are relative to sending, so each hop made the answer look newer, and control VMs
        forwarded it to each other without end: 490,000 messages reached one entry VM in half a
        minute and took three quarters of the CPU time.
        """
        vms = Vms(4)
        vms.crash(0, "s0", HARMLESS)
        vms.serve(1, HARMLESS)
        assert vms.messages < MAX_MESSAGES
        before = vms.messages
        vms.serve(2, HARMLESS)
        vms.serve(3, HARMLESS)
        assert vms.messages == before

    def test_forwarding_of_probes_ends(self):
        vms = Vms(4)
        vms.crash(0, "s0", DEADLY)
        before = vms.messages
        vms.watches[1].record_probe(DEADLY, vms.now)
        vms.deliver()
        assert vms.messages - before < MAX_MESSAGES

    def test_answer_arrives_before_the_crash(self):
        """The first report of a crash is lost; it arrives by a control VM, after the answer."""
        told, late = [], []
        first, last = make_watch(told), make_watch(late)
        run = first.start_run(HARMLESS, [("s0", 1)], 0.0)
        first.record_crash(("s0", 1), "m", 20, 100.0, 100.0)
        first.end_run(run, RunEnd.BROKE, 100.0)
        again = first.start_run(HARMLESS, [("s1", 1)], 110.0)
        first.end_run(again, RunEnd.WHOLE, 200.0)
        crash, answer = told
        last.apply(answer, 210.0)
        last.apply(crash._replace(crashes=[crash.crashes[0]._replace(age_ms=120)]), 220.0)
        assert last.judge(HARMLESS, 230.0) == Clear()

    def test_answered_between_a_crash_and_its_report(self):
        """A VM's repeated answer is not forwarded, but clears a crash that is reported later."""
        told, reports = [], []
        one, other = make_watch(told), make_watch(reports)
        run = one.start_run(HARMLESS, [("s0", 1)], 0.0)
        one.record_crash(("s0", 1), "m", 20, 100.0, 100.0)
        one.end_run(run, RunEnd.BROKE, 100.0)
        for at in (200.0, 900.0):
            one.end_run(one.start_run(HARMLESS, [("s1", 1)], at - 50.0), RunEnd.WHOLE, at)
        other.start_run(HARMLESS, [("s2", 1)], 700.0)
        other.record_crash(("s2", 1), "m", 20, 850.0, 930.0)
        told.clear()
        one.apply(reports[0], 933.0)
        assert [item.fingerprint for news in told for item in news.served] == [HARMLESS.fingerprint]
        other.apply(told[0], 936.0)
        assert other.judge(HARMLESS, 940.0) == Clear()

    def test_messages_survive_encoding(self):
        told = []
        one = make_watch(told)
        run = one.start_run(DEADLY, [("s0", 1)], 0.0)
        one.record_crash(("s0", 1), "m", 20, 100.0, 100.0)
        one.end_run(run, RunEnd.BROKE, 100.0)
        assert decode_message(encode_message(told[0])).ok == told[0]


class TestRuns:
    """Which requests were open at a server when it crashed."""

    def suspects(self, *ends, at=100.0):
        one = make_watch([])
        for number, (end, ended_at) in enumerate(ends):
            subject = RequestIdentity("acme", "x", b"%d" % number)
            run = one.start_run(subject, [("s0", 1)], 0.0)
            if end is not None:
                one.end_run(run, end, ended_at)
        one.record_crash(("s0", 1), "m", 20, at, at)
        return len(one.ledger.find(("s0", 1)).suspects)

    def test_open_and_abandoned(self):
        assert self.suspects((None, 0.0), (RunEnd.BROKE, 100.0)) == 2

    def test_abandoned_just_before(self):
        """A request is moved for its late first token, and the server crashes 40 ms later."""
        assert self.suspects((RunEnd.BROKE, 60.0)) == 1

    def test_abandoned_long_before(self):
        assert self.suspects((RunEnd.BROKE, 60.0), at=2_000.0) == 0

    def test_answered_or_refused(self):
        """A complete answer rules a request out, and a refused request never ran."""
        assert self.suspects((RunEnd.WHOLE, 60.0), (RunEnd.NOT_RUN, 60.0)) == 0

    def test_body_is_not_hashed_without_a_crash(self):
        """Bodies may have megabytes, so they are not hashed while there are no crashes."""
        one = make_watch([])
        subject = RequestIdentity("acme", "x", b"body")
        one.end_run(one.start_run(subject, [("s0", 1)], 0.0), RunEnd.WHOLE, 50.0)
        assert one.judge(subject, 60.0) == Clear()
        assert "fingerprint" not in vars(subject)


class TestStateTransfer:
    """A VM that starts or returns is sent what it needs and no more."""

    def after_crashes(self):
        one = make_watch([])
        for number in range(3):
            start = (f"s{number}", 1)
            run = one.start_run(DEADLY, [start], 1_000.0 * number)
            neighbour = one.start_run(HARMLESS, [start], 1_000.0 * number)
            one.record_crash(start, "m", 20, 1_000.0 * number + RAN_MS, 1_000.0 * number + RAN_MS)
            one.end_run(run, RunEnd.BROKE, 1_000.0 * number + RAN_MS)
            one.end_run(neighbour, RunEnd.BROKE, 1_000.0 * number + RAN_MS)
        one.end_run(one.start_run(HARMLESS, [("well", 1)], 2_200.0), RunEnd.WHOLE, 2_300.0)
        return one

    def test_entry_vm_learns_from_control_vm(self):
        newcomer = make_watch([])
        for news in self.after_crashes().all_reports(4_000.0):
            newcomer.apply(news, 50.0)
        assert isinstance(newcomer.judge(DEADLY, 60.0), Quarantined)
        assert newcomer.judge(HARMLESS, 60.0) == Clear()

    def test_control_vm_that_lost_its_state(self):
        """After a restart of all control VMs, entry VMs send them what they observed themselves."""
        control = make_watch([])
        for news in self.after_crashes().own_reports(4_000.0):
            control.apply(news, 50.0)
        assert isinstance(control.judge(DEADLY, 60.0), Quarantined)
        assert control.judge(HARMLESS, 60.0) == Clear()

    def test_nothing_if_all_are_cleared(self):
        one = make_watch([])
        run = one.start_run(HARMLESS, [("s0", 1)], 0.0)
        one.record_crash(("s0", 1), "m", 20, 100.0, 100.0)
        one.end_run(run, RunEnd.BROKE, 100.0)
        one.end_run(one.start_run(HARMLESS, [("s1", 1)], 110.0), RunEnd.WHOLE, 200.0)
        assert one.all_reports(300.0) == []


class TestParts:
    """Guards against parts of prompts that are cleared by streams which crashed servers."""

    def crashed(self, end: RunEnd) -> CrashWatch:
        """Return a watch after three crashes under a part, and the end of another such run."""
        watch, now = make_watch([]), 10_000.0
        for number in range(3):
            subject = RequestIdentity("acme", "shop.example/stream/x", b"%d" % number, ("dead",))
            run = watch.start_run(subject, [(f"s{number}", 1)], now)
            watch.end_run(run, RunEnd.BROKE, now + RAN_MS)
            watch.record_crash((f"s{number}", 1), "m", 20, now + RAN_MS, now + RAN_MS)
            now += 1_000.0
        run = watch.start_run(subject, [("s9", 1)], now)
        watch.end_run(run, end, now + RAN_MS)
        return watch

    def test_rest_of_a_stream_clears_no_part(self):
        other = RequestIdentity("acme", "shop.example/stream/x", b"other", ("dead",))
        assert self.crashed(RunEnd.REST).blames_parts(other, 14_000.0)
        assert not self.crashed(RunEnd.WHOLE).blames_parts(other, 14_000.0)


class TestStopsAfterCrash:
    """Guards against requests that end more servers, and against sound ones that are given up."""

    WITH_PARTS = RequestIdentity("acme", "shop.example/stream/x", b"the prompt", ("aa",))

    def test_two_unlikely_crashes(self):
        vms = Vms(1)
        vms.crash(0, "s0", self.WITH_PARTS)
        assert not vms.watches[0].stops_after_crash(self.WITH_PARTS, vms.now)
        vms.crash(0, "s1", self.WITH_PARTS)
        assert vms.watches[0].stops_after_crash(self.WITH_PARTS, vms.now)

    def test_restarts_in_series(self):
        vms = Vms(1)
        for number in range(20):
            vms.watches[0].record_restart((f"other{number}", 1), "m", 20, vms.now)
            vms.now += RAN_MS / 4
        vms.crash(0, "s0", self.WITH_PARTS)
        vms.crash(0, "s1", self.WITH_PARTS)
        assert not vms.watches[0].stops_after_crash(self.WITH_PARTS, vms.now)
