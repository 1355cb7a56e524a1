"""Tests for the servers excluded for a request."""

from siskinspoke.bench.slopes import announcement
from siskinspoke.coordination.directory import Directory
from siskinspoke.coordination.excluded_servers import TEMPORARY_EXCLUSION_MS, ExcludedServers


class TestLeftOut:
    """A failed server is excluded until it restarts, a full or silent one for a limited time."""

    def test_failed_server_is_excluded_until_it_restarts(self):
        directory = Directory(3_000)
        said = announcement(1, 1, "sala-a")
        directory.apply(said, 0.0)
        excluded = ExcludedServers()
        excluded.exclude_until_restart((said.server, said.incarnation))
        assert excluded.current(directory, 1e9) == {said.server}
        directory.apply(said._replace(incarnation=said.incarnation + 1), 1.0)
        assert excluded.current(directory, 2.0) == set()

    def test_temporary_exclusion_ends(self):
        excluded = ExcludedServers()
        excluded.exclude_temporarily("one", 10.0)
        assert excluded.current(Directory(3_000), 9.0 + TEMPORARY_EXCLUSION_MS) == {"one"}
        assert excluded.current(Directory(3_000), 10.0 + TEMPORARY_EXCLUSION_MS) == set()
