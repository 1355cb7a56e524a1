"""Tests of the validation of backend server announcements."""

import pytest

from siskinspoke.bench.slopes import announcement
from siskinspoke.coordination.vetting import AnnouncementFault, fault_of

WELL = announcement(1, 5, "sala-a")._replace(host="10.0.0.9", port=80)
SERVICES = {WELL.service}


class TestFaults:
    """Each invalid announcement is rejected with the matching reason."""

    def test_well_formed(self):
        assert fault_of(WELL, None, SERVICES) is None
        assert fault_of(WELL, None, None) is None

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
        assert fault_of(WELL._replace(**changes), None, SERVICES) is fault


class TestKnownServers:
    """A foreign announcement does not replace that of a known server."""

    def test_other_address_under_the_same_start(self):
        """Guards against requests that go to a foreign program.

        The program announces the name of a healthy server with its own address.
        """
        stranger = WELL._replace(host="10.0.0.66", seq=99)
        assert fault_of(stranger, WELL, SERVICES) is AnnouncementFault.MOVED

    def test_later_start_may_have_another_address(self):
        moved = WELL._replace(host="10.0.0.66", incarnation=WELL.incarnation + 1)
        assert fault_of(moved, WELL, SERVICES) is None

    def test_the_server_itself_after_a_stranger(self):
        """Guards against a server locked out by a foreign announcement under its name.

        The announcement was accepted before the first configuration, when services were unknown.
        """
        stranger = WELL._replace(service="unknown", host="10.0.0.66")
        assert fault_of(WELL, stranger, SERVICES) is None

    def test_word_of_a_server_whose_service_is_gone(self):
        """Guards against ignoring a leaving server whose service was removed."""
        assert fault_of(WELL._replace(leaving=True, seq=6), WELL, {"other"}) is None
