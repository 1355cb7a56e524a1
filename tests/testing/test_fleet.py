"""How a fleet starts its processes."""

from types import SimpleNamespace

from siskinspoke.testing.fleet import Fleet, ServerSpec


class TestAnnounceKey:
    """The key with which stand-in servers seal what they announce."""

    def test_is_not_written_beside_servers_that_read_it(self, tmp_path):
        """A site does not come up: one of its engines is heard by nobody.

        Each start of a server wrote the key's file anew, and a server that read it in that moment
        found it empty.
        """
        settings = SimpleNamespace(entries=(), internal_key=b"key")
        fleet = SimpleNamespace(folder=tmp_path, settings=settings, start=lambda *_: None)
        spec = ServerSpec("engine-1", "sala-a", "127.0.0.1", 8600, "redactor", ())
        Fleet.start_server(fleet, spec)
        written = (tmp_path / "announce.key").stat().st_mtime_ns
        Fleet.start_server(fleet, spec)
        assert (tmp_path / "announce.key").read_bytes() == b"key"
        assert (tmp_path / "announce.key").stat().st_mtime_ns == written

    def test_follows_the_settings(self, tmp_path):
        (tmp_path / "announce.key").write_bytes(b"old")
        settings = SimpleNamespace(entries=(), internal_key=b"key")
        fleet = SimpleNamespace(folder=tmp_path, settings=settings, start=lambda *_: None)
        spec = ServerSpec("engine-1", "sala-a", "127.0.0.1", 8600, "redactor", ())
        Fleet.start_server(fleet, spec)
        assert (tmp_path / "announce.key").read_bytes() == b"key"
