"""The failure domains that regions allow, and the checks of regions."""

import msgspec
import pytest

from siskinspoke.coordination.no_room_cache import NoRoomCache, RoomSearch
from siskinspoke.coordination.regions import allowed_domains
from siskinspoke.coordination.routes import Customer, region_faults
from siskinspoke.management import execute
from siskinspoke.protocol.codec import decode_message, encode_message
from siskinspoke.protocol.peers import PlaceQuestion
from tests.coordination.test_routes import route, table
from tests.platform.site import document

REGIONS = {"a": "north", "b": "north", "c": "south"}
NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})
ALL = frozenset()


class TestAllowedDomains:
    """The intersection of what a route and a customer allow."""

    @pytest.mark.parametrize(
        ("route_regions", "customer_regions", "allowed"),
        [
            (ALL, ALL, None),
            (NORTH, ALL, {"a", "b"}),
            (ALL, SOUTH, {"c"}),
            (NORTH | SOUTH, SOUTH, {"c"}),
            (NORTH, SOUTH, set()),
            (frozenset({"east"}), ALL, set()),
        ],
    )
    def test_intersection(self, route_regions, customer_regions, allowed):
        """Guards against a customer's regions being overridden by those of a route."""
        assert allowed_domains(route_regions, customer_regions, REGIONS) == allowed

    def test_unknown_region_is_not_allowed(self):
        """Guards against serving a request at a place of which nothing is known."""
        assert allowed_domains(NORTH, ALL, {}) == frozenset()


class TestChecks:
    """A region that no failure domain has is a typing error, or a region that is yet to come."""

    def test_unknown_regions_are_reported(self):
        """Guards against a misspelled region that refuses all requests of a route unnoticed."""
        found = region_faults(
            table(
                route("r", regions=frozenset({"north", "nroth"})),
                customers=[Customer("acme", ("k",), regions=frozenset({"east"}))],
            ),
            REGIONS,
        )
        assert [(fault.id, fault.path) for fault in found] == [
            ("routes.E206", "route r"),
            ("routes.E206", "customer acme"),
        ]

    def test_nothing_is_reported_without_a_map(self):
        assert region_faults(table(route(regions=SOUTH)), {}) == []

    @pytest.mark.parametrize(("region", "code"), [("north", 0), ("nroth", 40)])
    def test_command(self, region, code, tmp_path, capsys):
        """Guards against a check that nobody can run."""
        body = document(tenants=[{"name": "acme", "api_keys": ["k"], "allowed_regions": [region]}])
        configuration, settings = tmp_path / "configuration.json", tmp_path / "vm.json"
        configuration.write_bytes(msgspec.json.encode(body))
        settings.write_bytes(
            msgspec.json.encode(
                {
                    "name": "c1",
                    "host": "127.0.0.1",
                    "failure_domain": "a",
                    "seeds": ["127.0.0.1:1"],
                    "internal_ports": [1, 9],
                    "found": True,
                    "domain_regions": REGIONS,
                }
            )
        )
        words = [f"--configuration={configuration}", f"--vm_file={settings}"]
        assert execute(["siskinspoke", "check", *words]) == code
        assert ("routes.E206" in capsys.readouterr().out) is bool(code)


class TestSearches:
    """Searches for room, and the queries to other cells, carry the allowed failure domains."""

    def test_restricted_search_says_nothing_about_others(self):
        """A request restricted to one region finds no room there.

        Guards against refusing requests without a restriction on that account.
        """
        cache = NoRoomCache()
        cache.record(RoomSearch("m", frozenset(), False, frozenset({"c"})), 1_000, 0.0)
        assert not cache.found_no_room(RoomSearch("m", frozenset(), False), 1_000, 1.0)

    def test_query_of_an_earlier_build_is_read(self):
        """Guards against VMs of two builds that do not understand each other's queries."""
        question = PlaceQuestion("10.0.0.1", 3, "m", 10, 10, 100.0, 100.0, [], ["c"])
        assert list(decode_message(encode_message(question)).ok.domains) == ["c"]
        fields = [*question[:8]]
        old = msgspec.json.encode(["PlaceQuestion", fields])
        assert list(decode_message(old).ok.domains) == []
