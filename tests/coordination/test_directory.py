"""Tests of an entry VM's directory of backend servers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from siskinspoke.bench.slopes import announcement
from siskinspoke.coordination.directory import (
    RESTORED_LEASE_MS,
    UNKNOWN_INCARNATION,
    AnnouncementEffect,
    Directory,
    start_of,
)
from siskinspoke.protocol.announcements import extract_load

LEASE_MS = 3_000


def announced(seq, incarnation=7, leaving=False):
    """Return an announcement of the same server."""
    return announcement(1, seq, "sala-a")._replace(incarnation=incarnation, leaving=leaving)


def first_announcement_of(server):
    """Return the first announcement of a server."""
    return announced(1)._replace(server=server)


class TestOrder:
    """Announcements may arrive out of order."""

    def test_leaving_is_final_for_an_incarnation(self):
        """Announcements from before and after a server left must not bring it back."""
        directory = Directory(LEASE_MS)
        directory.apply(announced(5), 0)
        assert directory.apply(announced(6, leaving=True), 1) is AnnouncementEffect.LEFT
        assert directory.apply(announced(5), 2) is AnnouncementEffect.STALE
        assert directory.apply(announced(9), 3) is AnnouncementEffect.STALE
        assert directory.live(4) == []
        assert directory.apply(announced(1, incarnation=8), 5) is AnnouncementEffect.JOINED

    def test_leaving_server_keeps_announcing(self):
        """A server that left but still announces itself must not rejoin after a minute.

        Its record was dropped after that time, so that its next announcement was taken for a new
        server's.
        """
        directory = Directory(LEASE_MS)
        directory.apply(announced(1), 0)
        directory.mark_leaving(*start_of(announced(1)))
        for second in range(1, 200):
            assert (
                directory.apply(announced(1 + second), second * 1_000) is AnnouncementEffect.STALE
            )
            directory.prune(second * 1_000)
        assert directory.live(200_000) == []
        assert directory.prune(300_000) == [announced(1).server]

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.permutations([announced(1), announced(2), announced(3), announced(4, leaving=True)]))
    def test_any_order_gives_the_same_result(self, items):
        directory = Directory(LEASE_MS)
        for item in items:
            directory.apply(item, 0)
        assert directory.live(1) == []

    def test_older_incarnation_is_stale(self):
        directory = Directory(LEASE_MS)
        directory.apply(announced(1, incarnation=8), 0)
        assert directory.apply(announced(99, incarnation=7), 1) is AnnouncementEffect.STALE
        assert directory.superseded(announced(1).server, 7)


class TestStarts:
    """A server restarts under its name: its sequence numbers start over and its state is lost."""

    def test_lower_number_of_a_later_incarnation_counts(self):
        """Otherwise a healthy server gets no requests until its numbers pass the old ones."""
        directory = Directory(LEASE_MS)
        directory.apply(announced(90, incarnation=7), 0)
        assert directory.apply(announced(1, incarnation=8), 10) is AnnouncementEffect.JOINED
        assert directory.latest(announced(1).server).start == (announced(1).server, 8)
        assert len(directory.live(LEASE_MS + 5)) == 1

    def test_restart_after_a_deregistration(self):
        """A deregistration overrides all announcements of its incarnation, but no later one."""
        directory = Directory(LEASE_MS)
        directory.apply(announced(2**60, incarnation=7, leaving=True), 0)
        assert directory.apply(announced(1, incarnation=8), 10) is AnnouncementEffect.JOINED
        assert len(directory.live(11)) == 1

    def test_late_announcements_of_the_previous_incarnation_are_stale(self):
        directory = Directory(LEASE_MS)
        directory.apply(announced(1, incarnation=8), 0)
        assert directory.apply(announced(91, incarnation=7), 1) is AnnouncementEffect.STALE
        assert (
            directory.apply(announced(2**60, incarnation=7, leaving=True), 2)
            is AnnouncementEffect.STALE
        )
        assert len(directory.live(3)) == 1

    def test_leaving_of_the_later_incarnation_counts(self):
        directory = Directory(LEASE_MS)
        directory.apply(announced(90, incarnation=7), 0)
        assert (
            directory.apply(announced(2**60, incarnation=8, leaving=True), 1)
            is AnnouncementEffect.LEFT
        )
        assert directory.live(2) == []

    def test_answer_and_leaving_apply_to_one_incarnation(self):
        """An answer of the previous process arrives after the new one has announced itself."""
        directory = Directory(LEASE_MS)
        directory.apply(announced(90, incarnation=7), 0)
        directory.apply(announced(1, incarnation=8), 1)
        directory.mark_leaving(announced(1).server, 7)
        directory.record_answer(announced(1).server, 7, LEASE_MS)
        assert len(directory.live(2)) == 1
        assert directory.live(LEASE_MS + 2) == []

    def test_restored_later_incarnation_replaces_the_previous(self):
        directory = Directory(LEASE_MS)
        directory.apply(announced(90, incarnation=7), 0)
        assert directory.restore(announced(3, incarnation=8), 1)
        assert not directory.restore(announced(95, incarnation=7), 2)
        assert directory.latest(announced(1).server).announcement.incarnation == 8

    def test_server_without_start_time_among_others_gets_nothing(self):
        """A foreign program announces itself for the service without a start time."""
        directory = Directory(LEASE_MS)
        stranger = announcement(2, 1, "sala-a")._replace(incarnation=UNKNOWN_INCARNATION)
        directory.apply(stranger, 0)
        assert len(directory.live(1)) == 1
        directory.apply(announced(1), 1)
        assert [item.announcement for item in directory.live(2)] == [announced(1)]
        assert [item.announcement for item in directory.registered(announced(1).service)] == [
            announced(1)
        ]

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.data())
    def test_vms_agree_after_any_order(self, data):
        """VMs that receive delayed and duplicate announcements agree after exchanging records."""
        words = [
            announced(seq, incarnation=start, leaving=start < 9 and seq == 3)
            for start in (7, 8, 9)
            for seq in (1, 2, 3)
        ]
        vms = [Directory(LEASE_MS) for _ in range(3)]
        heard = st.lists(st.sampled_from(words), max_size=12)
        for vm in vms:
            for word in data.draw(heard):
                vm.apply(word, 0)
        for vm in vms:
            for other in vms:
                for record in other.all_records():
                    vm.apply(record.announcement, 1)
        last = {vm.latest(announced(1).server).sort_key for vm in vms if vm.all_records()}
        assert len(last) <= 1
        assert len({len(vm.live(2)) for vm in vms}) == 1
        if last:
            start, _ = last.pop()
            assert len(vms[0].live(2)) == (start == 9 or not _has_left(vms[0]))


def _has_left(directory):
    return directory.latest(announced(1).server).announcement.leaving


class TestLease:
    """An announcement is a lease."""

    def test_lease_expires(self):
        directory = Directory(LEASE_MS)
        directory.apply(announced(1), 0)
        assert len(directory.live(LEASE_MS - 1)) == 1
        assert directory.live(LEASE_MS) == []

    def test_suspected_server_gets_nothing_for_a_lease(self):
        directory = Directory(LEASE_MS)
        directory.apply(announced(1), 0)
        directory.suspend(announced(1).server, 7, 10)
        directory.apply(announced(2), 20)
        assert directory.live(30) == []
        directory.apply(announced(3), LEASE_MS)
        assert len(directory.live(LEASE_MS + 11)) == 1


class TestLoads:
    """Load updates contain only the fields that change."""

    def test_load_renews_a_known_server(self):
        directory = Directory(LEASE_MS)
        directory.apply(announced(1), 0)
        later = announced(2)._replace(free_tokens=5)
        assert directory.apply_load(extract_load(later, 0), 1) is AnnouncementEffect.RENEWED
        assert directory.live(2)[0].announcement.free_tokens == 5

    def test_load_of_an_unknown_server_or_incarnation(self):
        directory = Directory(LEASE_MS)
        assert directory.apply_load(extract_load(announced(1), 0), 0) is AnnouncementEffect.UNKNOWN
        directory.apply(announced(1), 0)
        newer = extract_load(announced(1, incarnation=8), 0)
        assert directory.apply_load(newer, 1) is AnnouncementEffect.UNKNOWN

    def test_load_after_leaving_is_stale(self):
        directory = Directory(LEASE_MS)
        directory.apply(announced(1, leaving=True), 0)
        assert directory.apply_load(extract_load(announced(2), 0), 1) is AnnouncementEffect.STALE


class TestRecalled:
    """After a restart a VM uses the servers it knew before for a short time."""

    def test_expires_unless_renewed(self):
        directory = Directory(LEASE_MS)
        assert directory.restore(announced(5), 0)
        assert [item.announcement.seq for item in directory.live(RESTORED_LEASE_MS - 1)] == [5]
        assert directory.live(RESTORED_LEASE_MS + 1) == []

    def test_own_announcement_gives_a_full_lease(self):
        directory = Directory(LEASE_MS)
        directory.restore(announced(5), 0)
        assert directory.apply(announced(6), 100) is AnnouncementEffect.JOINED
        assert len(directory.live(RESTORED_LEASE_MS + 100)) == 1

    def test_leaving_is_not_undone(self):
        """A server has left, but a control VM that missed this restores it from its storage."""
        directory = Directory(LEASE_MS)
        directory.apply(announced(6, leaving=True), 0)
        assert not directory.restore(announced(5), 1)
        assert directory.live(2) == []

    def test_leaving_is_applied(self):
        directory = Directory(LEASE_MS)
        directory.restore(announced(5), 0)
        assert directory.apply(announced(6, leaving=True), 1) is AnnouncementEffect.LEFT
        assert directory.live(2) == []


class TestExpiredLeases:
    """A crashed server is probed until its lease has expired, and no longer."""

    def test_expired_server_is_not_used_beside_a_live_one(self):
        """Otherwise each VM of a large fleet keeps connecting to a dead server twice a second."""
        directory = Directory(1_000)
        directory.apply(first_announcement_of("crashed"), 0)
        directory.apply(first_announcement_of("well"), 1_500)
        crashed, well = directory.latest("crashed"), directory.latest("well")
        assert directory.is_routable(well, 2_000)
        assert not directory.is_routable(crashed, 2_000)

    def test_cut_off_vm_uses_expired_servers(self):
        """A VM that no longer receives announcements keeps using the servers it knows."""
        directory = Directory(1_000)
        directory.apply(first_announcement_of("known"), 0)
        assert directory.is_routable(directory.latest("known"), 5_000)
        assert directory.routable_among(["known", "other"], 5_000) == [directory.latest("known")]

    def test_live_servers_are_preferred_to_expired_ones(self):
        directory = Directory(1_000)
        directory.apply(first_announcement_of("crashed"), 0)
        directory.apply(first_announcement_of("well"), 1_500)
        assert directory.routable_among(["crashed", "well"], 2_000) == [directory.latest("well")]


class TestColdTime:
    """The directory of a control VM keeps the time for which a server is still cold."""

    def test_time_is_reduced_by_age(self):
        """A follower that connected late took the server for cold from then on."""
        directory = Directory(LEASE_MS)
        directory.apply(announced(1)._replace(cold_ms=5_000), 1_000)
        record = directory.latest(announced(1).server)
        assert record.announcement_at(3_000).cold_ms == 3_000
        assert record.announcement_at(9_000).cold_ms == 0

    def test_renewals_do_not_prolong_it(self):
        """Each renewal restarted the stated time."""
        directory = Directory(LEASE_MS)
        first = announced(1)._replace(cold_ms=5_000)
        directory.apply(first, 1_000)
        for turn in range(1, 4):
            directory.renew(first.server, first.incarnation, first.seq + turn, 1_000 + turn * 1_000)
        assert directory.latest(first.server).announcement_at(4_500).cold_ms == 1_500
