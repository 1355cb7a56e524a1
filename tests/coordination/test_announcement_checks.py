"""Tests of the validation of backend server announcements."""

import pytest

from siskinspoke.bench.slopes import announcement
from siskinspoke.coordination.announcement_checks import AnnouncementFault, announcement_fault

VALID = announcement(1, 5, "sala-a")._replace(host="10.0.0.9", port=80)
SERVICES = {VALID.service}


class TestFaults:
    """Each invalid announcement is rejected with the matching reason."""

    def test_valid(self):
        assert announcement_fault(VALID, None, SERVICES) is None
        assert announcement_fault(VALID, None, None) is None

    @pytest.mark.parametrize(
        ("changes", "fault"),
        [
            ({"server": "i-1\r\nX-Key: 1"}, AnnouncementFault.NAME),
            ({"server": "i 1"}, AnnouncementFault.NAME),
            ({"server": "ı-1"}, AnnouncementFault.NAME),
            ({"host": "engine.example"}, AnnouncementFault.ADDRESS),
            ({"host": ""}, AnnouncementFault.ADDRESS),
            ({"port": 0}, AnnouncementFault.ADDRESS),
            ({"port": 70_000}, AnnouncementFault.ADDRESS),
            ({"seq": -1}, AnnouncementFault.NUMBER),
            ({"incarnation": -1}, AnnouncementFault.NUMBER),
            ({"service": "unknown"}, AnnouncementFault.SERVICE),
        ],
    )
    def test_fault(self, changes, fault):
        assert announcement_fault(VALID._replace(**changes), None, SERVICES) is fault


class TestKnownServers:
    """A foreign announcement does not replace that of a known server."""

    def test_address_change_within_an_incarnation_is_rejected(self):
        """Guards against requests that go to a foreign program.

        The program announces the name of a healthy server with its own address.
        """
        foreign = VALID._replace(host="10.0.0.66", seq=99)
        assert announcement_fault(foreign, VALID, SERVICES) is AnnouncementFault.MOVED

    def test_address_may_change_with_a_new_incarnation(self):
        moved = VALID._replace(host="10.0.0.66", incarnation=VALID.incarnation + 1)
        assert announcement_fault(moved, VALID, SERVICES) is None

    def test_server_replaces_a_foreign_announcement(self):
        """Guards against a server locked out by a foreign announcement under its name.

        The announcement was accepted before the first configuration, when services were unknown.
        """
        foreign = VALID._replace(service="unknown", host="10.0.0.66")
        assert announcement_fault(VALID, foreign, SERVICES) is None

    def test_server_of_a_removed_service_can_leave(self):
        """Guards against ignoring a leaving server whose service was removed."""
        assert announcement_fault(VALID._replace(leaving=True, seq=6), VALID, {"other"}) is None
