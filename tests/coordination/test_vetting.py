"""Tests of telling servers' announcements from what other programs write."""

import pytest

from siskinspoke.bench.slopes import announcement
from siskinspoke.coordination.vetting import AnnouncementFault, fault_of

WELL = announcement(1, 5, "sala-a")._replace(host="10.0.0.9", port=80)
SERVICES = {WELL.service}


class TestFaults:
    """An announcement that names no server is refused for a reason."""

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
    """What is known of a server is not replaced by a stranger's word on it."""

    def test_other_address_under_the_same_start(self):
        """Another program announces the name of a server that is well, at its own address.

        Believed, each request for the server would go to the other program.
        """
        stranger = WELL._replace(host="10.0.0.66", seq=99)
        assert fault_of(stranger, WELL, SERVICES) is AnnouncementFault.MOVED

    def test_later_start_may_have_another_address(self):
        moved = WELL._replace(host="10.0.0.66", incarnation=WELL.incarnation + 1)
        assert fault_of(moved, WELL, SERVICES) is None

    def test_the_server_itself_after_a_stranger(self):
        """Before the first configuration nobody could tell that the stranger's service is none."""
        stranger = WELL._replace(service="unknown", host="10.0.0.66")
        assert fault_of(WELL, stranger, SERVICES) is None

    def test_word_of_a_server_whose_service_is_gone(self):
        """A configuration drops a service; its servers still say that they leave."""
        assert fault_of(WELL._replace(leaving=True, seq=6), WELL, {"other"}) is None
