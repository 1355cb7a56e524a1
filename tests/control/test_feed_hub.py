"""Tests of the feed hub: configurations, renewals and batched announcements."""

from contextlib import asynccontextmanager

import trio
from trio.testing import MockClock

from siskinspoke.control.feed_hub import PUBLICATION_STAGGER_SECONDS, ConfigurationVersion, FeedHub
from siskinspoke.coordination.cells import MAX_CELL_VMS
from siskinspoke.coordination.directory import Directory
from siskinspoke.coordination.evacuations import ObeyedEvacuations
from siskinspoke.coordination.watchers import rendezvous_order
from siskinspoke.core.counters import Counters
from siskinspoke.feeds.follower import FeedClients, FeedHandlers, FollowerIdentity
from siskinspoke.protocol.announcements import Announcement
from siskinspoke.protocol.evacuations import Evacuation, EvacuationState
from siskinspoke.protocol.feed import Follow
from siskinspoke.transport.frames import LENGTH_BYTES, decode_frame
from tests.feeds.test_follower import NullDecisionLog

ENTRY = "127.0.0.9"
HUBS = ["127.0.0.1", "127.0.0.2", "127.0.0.3"]
DOMAINS = dict(zip(HUBS, ("a", "b", "c"), strict=True))
RANKED_HUBS = rendezvous_order(ENTRY, HUBS)
TIMEOUT_SECONDS = 1.0


class Site:
    """Three hubs and one entry VM, by default with configuration 1."""

    def __init__(self, version: int = 1, domain: str = ""):
        self.domain = domain
        self.configurations = dict.fromkeys(HUBS, ConfigurationVersion(version, {}))
        self.received_versions: list[int] = []
        self.evacuations = dict.fromkeys(HUBS, EvacuationState(0, []))
        self.obeyed = ObeyedEvacuations()
        # The evacuations that the entry VM obeyed when it received each configuration.
        self.obeyed_at_publication: list[int] = []
        self.version = version
        self.hubs: dict[str, FeedHub] = {}
        self.feeds: FeedClients | None = None

    def install(self, version, _document):
        """Record a received configuration."""
        self.received_versions.append(version)
        self.obeyed_at_publication.append(self.obeyed.revision)
        self.version = max(self.version, version)

    def publish(self, host, version):
        """Publish a configuration at one hub."""
        self.configurations[host] = ConfigurationVersion(version, {"version": version})
        self.hubs[host].publish(*self.configurations[host])

    def evacuate(self, host, state):
        """Apply evacuations at one hub."""
        self.evacuations[host] = state
        self.hubs[host].publish_evacuations()

    async def wait_until_confirmed(self, host, revision):
        """Wait until a hub has the entry VM's confirmation of a revision."""
        with trio.fail_after(TIMEOUT_SECONDS):
            while self.hubs[host].confirmed_evacuations != {"entry": revision}:
                await trio.sleep(0.005)

    async def wait_for_version(self, version):
        """Wait until the entry VM has a configuration version."""
        with trio.fail_after(TIMEOUT_SECONDS):
            while self.version < version:
                await trio.sleep(0.005)


@asynccontextmanager
async def run_site(site: Site, directory: Directory | None = None):
    """Run hubs and follower; yield once the follower is connected to all hubs."""
    port = await free_port()
    async with trio.open_nursery() as nursery:
        for host in HUBS:
            site.hubs[host] = FeedHub(
                host,
                DOMAINS[host],
                directory or Directory(4_800),
                lambda: HUBS,
                lambda host=host: site.configurations[host],
                b"k",
                Counters(),
                NullDecisionLog(),
                lambda host=host: site.evacuations[host],
            )
            await nursery.start(site.hubs[host].serve, host, port)
        handlers = FeedHandlers(site.install, print, lambda _: None, print, lambda: site.version)
        handlers = handlers._replace(
            on_news=lambda _: None,
            on_evacuations=site.obeyed.update,
            evacuation_revision=lambda: site.obeyed.revision,
        )
        site.feeds = FeedClients(
            FollowerIdentity("entry", ENTRY, 9, site.domain),
            tuple(HUBS),
            port,
            b"k",
            handlers,
            Counters(),
            NullDecisionLog(),
        )
        nursery.start_soon(site.feeds.run)
        with trio.fail_after(TIMEOUT_SECONDS):
            while site.feeds.connected_count < len(HUBS):
                await trio.sleep(0.005)
        yield site
        nursery.cancel_scope.cancel()


async def free_port() -> int:
    """Return a port that is free."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    await listeners[0].aclose()
    return port


class TestPublicationOrder:
    """Only one hub sends a configuration to a follower, unless that hub fails."""

    def test_follower_receives_one_copy(self):
        """Guards against sending a copy of each change from every hub.

        With six hubs and 88 entry VMs, a series of changes filled the entry VMs' links and delayed
        answers to callers.
        """

        async def run():
            async with run_site(Site()) as site:
                for host in HUBS:
                    site.publish(host, 2)
                await site.wait_for_version(2)
                await trio.sleep(len(HUBS) * PUBLICATION_STAGGER_SECONDS)
                assert site.received_versions == [2]

        trio.run(run)

    def test_first_hub_lacks_the_change(self):
        """The first hub is partitioned from the others and does not know the change."""

        async def run():
            async with run_site(Site()) as site:
                for host in RANKED_HUBS[1:]:
                    site.publish(host, 2)
                began = trio.current_time()
                await site.wait_for_version(2)
                assert trio.current_time() - began < 2 * PUBLICATION_STAGGER_SECONDS

        trio.run(run)

    def test_series_of_changes_from_the_last_hub(self):
        """Each change is replaced by the next before the delay of the last hub ends."""

        async def run():
            async with run_site(Site()) as site:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(site.wait_for_version, 2)
                    for version in range(2, 14):
                        site.publish(RANKED_HUBS[2], version)
                        await trio.sleep(PUBLICATION_STAGGER_SECONDS / 2)
                await site.wait_for_version(13)
                assert site.received_versions == sorted(set(site.received_versions))

        trio.run(run)

    def test_follower_without_configuration_receives_it_at_once(self):
        """An entry VM that has just started cannot serve its waiting callers yet."""

        async def run():
            site = Site(version=0)
            site.configurations = dict.fromkeys(HUBS, ConfigurationVersion(2, {"version": 2}))
            async with run_site(site):
                await site.wait_for_version(2)
                assert site.version == 2

        trio.run(run)

    def test_hub_in_same_domain_ranks_first(self):
        """Guards against sending 156 of 195 copies of a change between failure domains."""

        async def run(domain):
            async with run_site(Site(domain=domain)) as site:
                for host in HUBS:
                    follow = Follow("entry", ENTRY, 9, 1, domain)
                    site.hubs[host]._control_domains |= DOMAINS
                    is_first = site.hubs[host]._publication_rank(follow) == 0
                    assert is_first == (DOMAINS[host] == domain)

        for domain in DOMAINS.values():
            trio.run(run, domain)


class TestEvacuations:
    """Evacuations reach each entry VM from any hub, and never revert."""

    BEGUN = EvacuationState(5, [Evacuation("a", 5, 0, "c1")])
    ENDED = EvacuationState(8, [])

    def test_lagging_hub(self):
        """Guards against a hub that lags or is partitioned and undoes a newer order."""

        async def run():
            async with run_site(Site()) as site:
                for host in HUBS[:2]:
                    site.evacuate(host, self.BEGUN)
                site.evacuate(HUBS[0], self.ENDED)
                await site.wait_until_confirmed(HUBS[0], 8)
                site.evacuate(HUBS[2], self.BEGUN)
                await site.wait_until_confirmed(HUBS[2], 8)
                assert (site.obeyed.revision, site.obeyed.domains) == (8, frozenset())

        trio.run(run)

    def test_known_before_the_configuration(self):
        """Guards against an entry VM that serves before it knows the evacuations."""

        async def run():
            site = Site(version=0)
            site.configurations = dict.fromkeys(HUBS, ConfigurationVersion(2, {"version": 2}))
            site.evacuations = dict.fromkeys(HUBS, self.BEGUN)
            async with run_site(site):
                await site.wait_for_version(2)
                assert site.obeyed_at_publication[0] == 5
                for host in HUBS:
                    await site.wait_until_confirmed(host, 5)

        trio.run(run)

    def test_entry_vm_is_cut_off_and_reconnects(self):
        """It keeps what it knows while it is cut off, and learns the rest when it is back."""

        async def run():
            async with run_site(Site()) as site:
                site.evacuate(HUBS[0], self.BEGUN)
                await site.wait_until_confirmed(HUBS[0], 5)
                site.feeds.set_seeds(())
                for scope in site.feeds._connection_scopes.values():
                    scope.cancel()
                with trio.fail_after(TIMEOUT_SECONDS):
                    while any(site.hubs[host].follower_count for host in HUBS):
                        await trio.sleep(0.005)
                for host in HUBS:
                    site.evacuate(host, self.ENDED)
                await trio.sleep(0.1)
                assert site.obeyed.domains == {"a"}
                site.feeds._connection_scopes.clear()
                site.feeds.set_seeds(tuple(HUBS))
                for host in HUBS:
                    await site.wait_until_confirmed(host, 8)
                assert site.obeyed.domains == frozenset()

        trio.run(run)

    def test_nothing_is_sent_without_orders_or_to_control_vms(self):
        """Entry VMs of earlier builds would close the connection on an unknown message."""
        state = EvacuationState(0, [])
        hub = FeedHub(
            HUBS[0],
            "a",
            Directory(4_800),
            lambda: HUBS,
            lambda: None,
            b"k",
            Counters(),
            NullDecisionLog(),
            lambda: state,
        )
        entry, control = RecordingSession("g1", 9, "a"), RecordingSession("c2", 0, "b")
        hub._sessions = {entry, control}
        hub.publish_evacuations()
        assert not entry.frames
        state = self.BEGUN
        hub.publish_evacuations()
        assert decode_frame(b"k", entry.frames[0][LENGTH_BYTES:]).ok == state
        assert not control.frames


class RecordingSession:
    """A follower that records the frames sent to it."""

    def __init__(self, host: str, peer_port: int, domain: str):
        self.follow = Follow(host, host, peer_port, 1, domain)
        self.outbox = self
        self.frames: list[bytes] = []

    def send_nowait(self, frame: bytes) -> None:
        """Record a frame."""
        self.frames.append(frame)

    @property
    def renewed_servers(self) -> set[str]:
        """Return the servers whose renewals were received."""
        opened = [decode_frame(b"k", frame[LENGTH_BYTES:]).ok for frame in self.frames]
        return {server for renewals in opened for server, _, _ in renewals.items}


class TestRenewals:
    """Which followers receive the renewals of a server."""

    def renew_all(self, entries: int) -> list[RecordingSession]:
        """Renew 60 engines in two domains and a plain server; return all followers."""
        directory = Directory(4_800)
        hub = FeedHub(
            HUBS[0], "a", directory, lambda: HUBS, lambda: None, b"k", Counters(), NullDecisionLog()
        )
        sessions = [
            RecordingSession(f"g{number}", 9, "ab"[number % 2]) for number in range(entries)
        ]
        sessions.append(RecordingSession("control", 0, "b"))
        hub._sessions = set(sessions)
        for number in range(60):
            announcement = make_announcement(f"engine-{number}", "m", "ab"[number % 2])
            directory.apply(announcement, 0)
            hub.queue_renewal(announcement)
        plain = make_announcement("plain", "p", "a")
        directory.apply(plain, 0)
        hub.queue_renewal(plain)
        hub._send_renewals()
        return sessions

    def test_small_fleet_receives_all_renewals(self):
        assert all(len(item.renewed_servers) == 61 for item in self.renew_all(MAX_CELL_VMS))

    def test_large_fleet_receives_own_domain_and_small_services(self):
        """Guards against 14 KB/s of renewals per VM in a fleet of 870 servers."""
        *entries, control = self.renew_all(MAX_CELL_VMS + 1)
        for item in entries:
            number = "ab".index(item.follow.failure_domain)
            engines = {f"engine-{index}" for index in range(number, 60, 2)}
            assert item.renewed_servers == engines | {"plain"}
        assert len(control.renewed_servers) == 61


def make_announcement(name: str, service: str, domain: str) -> Announcement:
    """Return a server's announcement."""
    return Announcement(
        name, 1, 1, domain, "10.9.9.9", 1, "", service, False, False, 0, 0, 0, [], 0, 0
    )


class TestArrivals:
    """New servers are announced in batches, and a leave never overtakes a join."""

    def make_hub(self) -> tuple[FeedHub, RecordingSession]:
        """Return a hub with one follower."""
        hub = FeedHub(
            HUBS[0],
            "a",
            Directory(4_800),
            lambda: HUBS,
            lambda: None,
            b"k",
            Counters(),
            NullDecisionLog(),
        )
        session = RecordingSession("g1", 9, "a")
        hub._sessions = {session}
        return hub, session

    def sent_batches(self, session: RecordingSession) -> list[list[tuple[str, bool]]]:
        """Return each message's servers and whether they are leaving."""
        opened = [decode_frame(b"k", frame[LENGTH_BYTES:]).ok for frame in session.frames]
        return [[(said.server, said.leaving) for said in item.announcements] for item in opened]

    def test_sixty_servers_share_one_message(self):
        """Guards against one message per server and follower after a restart of all VMs.

        With 48 servers and 87 followers, these messages delayed new followers.
        """

        async def run():
            hub, session = self.make_hub()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(hub._send_queued_announcements)
                for number in range(60):
                    hub.queue_broadcast([make_announcement(f"e{number}", "m", "a")])
                await trio.sleep(1)
                nursery.cancel_scope.cancel()
            assert [len(item) for item in self.sent_batches(session)] == [60]

        trio.run(run, clock=MockClock(autojump_threshold=0))

    def test_leave_follows_a_queued_join(self):
        hub, session = self.make_hub()
        announcement = make_announcement("e1", "m", "a")
        hub.queue_broadcast([announcement])
        hub.broadcast([announcement._replace(leaving=True)])
        assert self.sent_batches(session) == [[("e1", False), ("e1", True)]]
