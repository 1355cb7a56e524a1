"""Tests of who asks an engine how it is."""

from siskinspoke.coordination.books import Books, Job, Work
from siskinspoke.gateway.reports import Asked, asks, is_worth_asking

HOSTS = [f"10.0.0.{number}" for number in range(7)]


class TestWhoAsks:
    """Each engine is asked by one VM, whatever the number of VMs."""

    def test_exactly_one_asks(self):
        for number in range(50):
            server = f"i-{number}"
            asking = [me for me in HOSTS if asks(me, [h for h in HOSTS if h != me], server)]
            assert len(asking) == 1

    def test_the_work_is_shared(self):
        counts = [sum(asks(me, HOSTS, f"i-{number}") for number in range(200)) for me in HOSTS]
        assert min(counts) > 10

    def test_alone_it_asks_all(self):
        assert all(asks("10.0.0.1", [], f"i-{number}") for number in range(20))

    def test_the_draw_follows_changes(self):
        asked = Asked(HOSTS[0])
        servers = [f"i-{number}" for number in range(40)]
        alone = asked.of([], servers)
        assert alone == frozenset(servers)
        shared = asked.of(HOSTS[1:], servers)
        assert shared == {name for name in servers if asks(HOSTS[0], HOSTS[1:], name)}
        assert asked.of(HOSTS[1:], servers[:20]) == shared & set(servers[:20])


class TestWhoIsAsked:
    """Most engines of a large fleet have no work, and asking them costs connections."""

    def test_idle_engines_are_left_alone(self):
        books = Books()
        assert not is_worth_asking(books, "e1")
        books.begin("w", Work(Job(5_000, 900, 300, 250), ("e1",), 0.0))
        assert is_worth_asking(books, "e1")

    def test_slow_engines_are_asked_until_they_are_well(self):
        """An engine turns slow and loses its work; unasked, it would look slow for good."""
        books = Books()
        books.engine("e1").pace = 5.0
        assert is_worth_asking(books, "e1")
