"""Tests of the persistent list of backend servers."""

import msgspec

from siskinspoke.bench.slopes import announcement
from siskinspoke.state.files import write_atomically
from siskinspoke.state.server_file import SERVERS_FILE, load_servers, save_servers


class TestServerFile:
    """The list is optional: if it is missing or corrupt, a VM starts without known servers."""

    def test_announcements_are_restored(self, tmp_path):
        known = [announcement(number, 3, "sala-a") for number in range(4)]
        save_servers(tmp_path, known)
        assert load_servers(tmp_path).ok.announcements == known

    def test_missing_file(self, tmp_path):
        assert load_servers(tmp_path).ok.announcements == []

    def test_invalid_entries_are_skipped(self, tmp_path):
        """Invalid entries are counted and skipped: a missing field, an invalid name, a number."""
        valid = [announcement(number, 3, "sala-a") for number in range(2)]
        entries = [list(msgspec.to_builtins(item)) for item in valid]
        truncated = entries[0][:4]
        invalid_name = ["i 1\r\nX: y", *entries[1][1:]]
        data = msgspec.json.encode([truncated, *entries, invalid_name, 7])
        write_atomically(tmp_path / SERVERS_FILE, data)
        loaded = load_servers(tmp_path).ok
        assert loaded.announcements == valid
        assert loaded.invalid_count == 3

    def test_corrupt_file(self, tmp_path):
        save_servers(tmp_path, [announcement(1, 3, "sala-a")])
        path = tmp_path / SERVERS_FILE
        path.write_bytes(path.read_bytes()[:-3])
        assert load_servers(tmp_path).is_error()
