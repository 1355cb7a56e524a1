"""Tests of the choice of the peer to which a request is forwarded."""

import random
from collections import Counter

from siskinspoke.coordination.forwarding.peer_choice import (
    PEER_BACK_OFF_MS,
    ForwardingRecord,
    PeerState,
    choose_peer,
    reaches_more,
)

ALL = frozenset("abc")
NONE = frozenset()


def peer(host: str, domain: str = "a", load: int = 0, unreachable=NONE, heard: bool = True):
    """Return a peer that reaches all servers unless told otherwise."""
    return PeerState(host, domain, load, frozenset(unreachable), heard)


def choose(peers, unreachable=ALL, seed: int = 1) -> str | None:
    """Return the host of the peer that a VM of domain ``a`` chooses."""
    found = choose_peer(peers, "a", unreachable, random.Random(seed))
    return None if found is None else found.host


class TestReach:
    """A peer is of use only if it reaches more than this VM."""

    def test_peer_behind_the_same_partition_reaches_no_more(self):
        assert not reaches_more(ALL, ALL)
        assert not reaches_more(frozenset("a"), ALL)
        assert not reaches_more(frozenset("a"), frozenset("b"))

    def test_peer_that_lost_fewer_domains_reaches_more(self):
        assert reaches_more(ALL, frozenset("b"))
        assert reaches_more(ALL, NONE)

    def test_lost_service_without_a_lost_domain(self):
        assert reaches_more(NONE, NONE)
        assert not reaches_more(NONE, frozenset("b"))


class TestChoice:
    """Guards against peers that are flooded, or that cannot serve the request either."""

    def test_no_peer_if_all_are_partitioned(self):
        assert choose([peer("p1", unreachable=ALL), peer("p2", unreachable=ALL)]) is None

    def test_peer_that_reaches_all_goes_before_one_that_reaches_some(self):
        assert choose([peer("p1", unreachable="b"), peer("p2", load=50)]) == "p2"

    def test_same_domain_goes_first_at_equal_load(self):
        peers = [peer("p1", "b"), peer("p2", "a"), peer("p3", "c")]
        assert {choose(peers, seed=seed) for seed in range(20)} == {"p2"}

    def test_loaded_peer_of_the_same_domain_is_left(self):
        assert choose([peer("p1", "b", 1), peer("p2", "a", 9)]) == "p1"

    def test_heard_peer_goes_before_one_that_may_be_down(self):
        assert choose([peer("p1", heard=False), peer("p2", "b", 30)]) == "p2"
        assert choose([peer("p1", heard=False)]) == "p1"

    def test_ties_are_spread(self):
        peers = [peer(f"p{number}") for number in range(3)]
        chosen = Counter(choose(peers, seed=seed) for seed in range(300))
        assert min(chosen.values()) > 60


class TestForwardingRecord:
    """Guards against repeated forwards to a peer that cannot take any."""

    def test_open_requests_are_counted(self):
        record = ForwardingRecord()
        record.begin("p1")
        record.begin("p1")
        record.end("p1")
        assert record.open_requests("p1") == 1
        record.end("p1")
        assert record.open_requests("p1") == 0

    def test_failed_peer_is_left_out_for_a_while(self):
        record = ForwardingRecord()
        record.record_failure("p1", 0.0)
        assert not record.may_ask("p1", PEER_BACK_OFF_MS - 1)
        assert record.may_ask("p2", 0.0)
        record.prune(PEER_BACK_OFF_MS)
        assert record.may_ask("p1", PEER_BACK_OFF_MS)

    def test_unserved_service_is_left_out_for_a_while(self):
        record = ForwardingRecord()
        record.record_unserved("s", 0.0)
        assert not record.may_forward("s", 1.0)
        assert record.may_forward("t", 1.0)
