"""Tests of how a fleet starts its processes."""

from types import SimpleNamespace

from siskinspoke.testing.fleet import Fleet, ServerSpec


class TestAnnounceKey:
    """The file with the key that stand-in servers seal their announcements with."""

    def test_is_not_rewritten_if_unchanged(self, tmp_path):
        """The announcements of an engine are rejected, and the site does not start.

        If each start of a server rewrites the key file, another server that reads it at that
        moment finds it empty and seals its announcements with an empty key.
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
