"""Tests of what a VM knows of cold servers, and of its decisions about requests to them."""

import math
import random

import pytest

from siskinspoke.coordination.cells import MAX_CELL_VMS
from siskinspoke.coordination.cold_limiters import (
    DEMAND_MS,
    LEASE_MS,
    SETTLE_MS,
    STALL_MS,
    ColdLimiter,
    ColdQuery,
    choose_cold_limiters,
    cold_budget,
    share_without_permit,
)
from siskinspoke.coordination.cold_servers import (
    OLD_NEWS_MS,
    ColdRequest,
    ColdServers,
    ColdSource,
    GoElsewhere,
    RefuseNow,
    UseNow,
    WaitForPermit,
    decide_cold,
    has_cold_changed,
    remaining_cold_ms,
)
from siskinspoke.coordination.limiters import PERMIT_LIFETIME_MS, Outcome

START, NEXT_START = ("i-1", 7), ("i-1", 8)
PERIOD = 10_000.0


def until(servers: ColdServers, start=START) -> float:
    """Return until when a server is cold."""
    return servers.cold_until(start, PERIOD)


def warm_server() -> ColdServers:
    """Return the knowledge of a server that has stated at time 0 that it is warm."""
    servers = ColdServers()
    servers.announced(START, 1, 0, 0.0, joined=True)
    return servers


class TestStatements:
    """A server states how much longer it is cold."""

    def test_stated_time_ends(self):
        servers = ColdServers()
        servers.announced(START, 1, 4_000, 100.0, joined=True)
        assert until(servers) == 4_100
        assert servers.source(START) is ColdSource.ANNOUNCED

    def test_repeated_statement_does_not_prolong(self):
        """Each delayed repeat moved the end by its delay."""
        servers = ColdServers()
        servers.announced(START, 1, 4_000, 0.0, joined=True)
        for seq in range(2, 6):
            servers.announced(START, seq, 4_000 - (seq - 1) * 1_000, (seq - 1) * 1_050, False)
        assert until(servers) == 4_000

    def test_old_announcement_is_ignored(self):
        """An announcement that another control VM repeated late made the server cold again."""
        servers = warm_server()
        servers.announced(START, 1, 4_000, 2_000.0, joined=False)
        assert until(servers) <= 0

    def test_statement_of_zero_ends_it(self):
        servers = ColdServers()
        servers.announced(START, 1, 8_000, 0.0, joined=True)
        servers.announced(START, 2, 0, 1_200.0, joined=False)
        assert until(servers) == 1_200

    def test_server_turns_cold_again(self):
        servers = warm_server()
        servers.announced(START, 5, 6_000, 3_000.0, joined=False)
        assert until(servers) == 9_000

    def test_service_without_cold_servers(self):
        """Servers of such a service needed permits although no rate was configured."""
        servers = ColdServers()
        servers.announced(START, 1, 4_000, 0.0, joined=True)
        assert servers.cold_until(START, 0.0) == -math.inf

    def test_answer_states_it(self):
        servers = warm_server()
        servers.answered(START, 3_000, 5_000.0)
        assert until(servers) == 8_000
        assert servers.source(START) is ColdSource.HEALTH


class TestPresumptions:
    """A server that may have started without this VM's knowledge is presumed cold."""

    def test_unknown_server_joins(self):
        servers = ColdServers()
        servers.announced(START, 1, None, 100.0, joined=True)
        assert until(servers) == 100 + PERIOD
        assert servers.source(START) is ColdSource.JOINED

    def test_known_before_this_vm_started(self):
        """A VM that had just started sent almost nothing to servers that were warm."""
        servers = ColdServers()
        servers.announced(START, 1, None, 100.0, joined=False)
        assert until(servers) == -math.inf

    def test_restart_under_its_name(self):
        """The new process got the warm rate of the old one."""
        servers = warm_server()
        servers.announced(NEXT_START, 1, None, 5_000.0, joined=False)
        assert until(servers, NEXT_START) == 5_000 + PERIOD
        assert until(servers, START) == 5_000 + PERIOD
        assert servers.source(NEXT_START) is ColdSource.RESTARTED

    def test_restart_that_states_it(self):
        servers = warm_server()
        servers.announced(NEXT_START, 1, 2_000, 5_000.0, joined=False)
        assert until(servers, NEXT_START) == 7_000

    def test_remembered(self):
        servers = ColdServers()
        servers.remembered(START, None, 50.0)
        assert until(servers) == 50 + PERIOD
        servers.announced(START, 1, 0, 2_000.0, joined=False)
        assert until(servers) <= 2_000

    def test_out_of_reach(self):
        """A server that was back after a loss got the rate of a warm one."""
        servers = warm_server()
        servers.lost(START, 1_000.0)
        assert until(servers) == math.inf
        servers.reached(START, 3_000.0)
        servers.reached(START, 4_000.0)
        assert until(servers) == 3_000 + PERIOD
        assert servers.source(START) is ColdSource.UNREACHABLE

    def test_renewal_after_loss_ends_it(self):
        servers = warm_server()
        servers.lost(START, 1_000.0)
        servers.renewed(START, 1_000.0 + OLD_NEWS_MS)
        assert until(servers) <= 1_000

    def test_renewal_from_before_the_loss(self):
        """A renewal that was on its way when the server crashed ended the presumption."""
        servers = warm_server()
        servers.lost(START, 1_000.0)
        servers.renewed(START, 1_300.0)
        servers.announced(START, 2, 0, 1_400.0, joined=False)
        assert until(servers) == math.inf

    def test_renewal_of_a_server_that_states_nothing(self):
        """A renewal says nothing of the cold state if the announcement does not."""
        servers = ColdServers()
        servers.announced(START, 1, None, 0.0, joined=False)
        servers.lost(START, 1_000.0)
        servers.renewed(START, 5_000.0)
        assert until(servers) == math.inf

    def test_loss_of_an_earlier_start(self):
        servers = ColdServers()
        servers.announced(NEXT_START, 1, 0, 0.0, joined=True)
        servers.lost(START, 1_000.0)
        assert until(servers, NEXT_START) <= 0


class TestControlVms:
    """A control VM passes changes of the cold state on, with the time that is left."""

    def test_remaining_time(self):
        assert remaining_cold_ms(5_000, 1_000.0, 3_000.0) == 3_000
        assert remaining_cold_ms(5_000, 1_000.0, 9_000.0) == 0
        assert remaining_cold_ms(None, 1_000.0, 9_000.0) is None

    @pytest.mark.parametrize(
        ("known", "stated", "changed"),
        [
            (None, None, False),
            (None, 0, False),
            (None, 5_000, True),
            (0, 5_000, True),
            (5_000, 0, True),
            (5_000, 5_100, False),
            (5_000, None, False),
        ],
    )
    def test_changes(self, known, stated, changed):
        assert has_cold_changed(known, stated) is changed


class TestDecisions:
    """What becomes of a request at a cold server."""

    @pytest.mark.parametrize(
        ("request_", "decision"),
        [
            (ColdRequest(75, 0, True, False), UseNow()),
            (ColdRequest(75, 20, True, False), GoElsewhere()),
            (ColdRequest(75, 0, True, True), GoElsewhere()),
            (ColdRequest(75, 0, False, True), WaitForPermit(75, 0)),
            (ColdRequest(75, 40, False, False), WaitForPermit(75, 40)),
            (ColdRequest(75, 76, False, False), RefuseNow(76)),
            (ColdRequest(-10, 5, False, False), RefuseNow(5)),
        ],
    )
    def test_decision(self, request_, decision):
        assert decide_cold(request_) == decision


class TestBudget:
    """The permits of one second and the unused ones of the time before stay below the bound."""

    @pytest.mark.parametrize("rate", [0.5, 1, 14, 100])
    @pytest.mark.parametrize(("overshoot", "slack"), [(1.5, 5), (1, 5), (1, 2), (1, 0), (2, 0)])
    def test_sum(self, rate, overshoot, slack):
        budget = cold_budget(rate, overshoot, slack)
        assert 0 <= budget.rate <= rate
        if budget.rate:
            worst = budget.burst + budget.rate * (1 + PERMIT_LIFETIME_MS / 1000)
            assert worst + 1 <= rate * overshoot + slack + 1e-9

    def test_whole_rate_is_used(self):
        assert cold_budget(14, 1.5, 5) == (14, 4)


class TestLimiters:
    """The limiters of a server are spread over the failure domains."""

    def test_spread(self):
        """All limiters were in one domain, and none was left when it was lost."""
        vms = {f"h{number}": "abc"[number % 3] for number in range(30)}
        limiters = choose_cold_limiters("i-1", "b", vms)
        domains = [vms[host] for host in limiters]
        assert len(limiters) == 5
        assert domains[0] == "b"
        assert max(map(domains.count, "abc")) == 2

    def test_few_vms(self):
        assert len(choose_cold_limiters("i-1", "b", {"h1": "a", "h2": "a"})) == 2


LIMITERS = ("a", "b", "c")
BUDGET = cold_budget(14, 1.5, 5)


def settled_limiter(host: str, now: float = 0.0) -> ColdLimiter:
    """Return a limiter that has reached most control VMs for long enough at ``now``."""
    limiter = ColdLimiter(host)
    for ago in (SETTLE_MS, 800, 400, 0):
        limiter.observe(True, now - ago)
    return limiter


def holding_limiter(now: float = 0.0) -> ColdLimiter:
    """Return a limiter that has got the lease of the server at ``now``."""
    limiter = settled_limiter("a", now)
    assert limiter.begin_campaign("i-1", LIMITERS, now)
    limiter.end_campaign("i-1", True, now, 0, now, 0.0)
    return limiter


def ask(limiter: ColdLimiter, now: float, urgent: bool = True, patience_ms: float = 0.0):
    """Ask a limiter of the first rank for a permit."""
    return limiter.decide(ColdQuery("x", "i-1", BUDGET, patience_ms, urgent), 0, now)


class TestLeases:
    """At most one limiter grants permits at a time."""

    def test_vote_is_given_once(self):
        """Two limiters got the vote of a third, and a majority each."""
        voter = settled_limiter("c")
        assert voter.grant_lease("i-1", "a", LIMITERS, 0.0)
        assert not voter.grant_lease("i-1", "b", LIMITERS, LEASE_MS - 1)
        assert voter.grant_lease("i-1", "a", LIMITERS, 500.0)
        assert not voter.grant_lease("i-1", "b", LIMITERS, LEASE_MS + 1)
        assert voter.grant_lease("i-1", "b", LIMITERS, LEASE_MS + 501)

    def test_lease_ends_at_its_holder_first(self):
        """A lease that counted from the last vote outlived the votes."""
        limiter = settled_limiter("a")
        limiter.begin_campaign("i-1", LIMITERS, 0.0)
        limiter.end_campaign("i-1", True, 0.0, 0, 50.0, 0.0)
        assert limiter.holds_lease("i-1", LEASE_MS - 1)
        assert not limiter.holds_lease("i-1", LEASE_MS)

    def test_vm_without_control_neither_votes_nor_grants(self):
        limiter = holding_limiter()
        limiter.observe(False, 100.0)
        assert ask(limiter, 100.0).outcome is Outcome.ELSEWHERE
        assert not limiter.grant_lease("i-2", "b", LIMITERS, 100.0)

    def test_vm_that_stood_still_waits(self):
        """A VM that resumed voted by a view of the fleet from before its pause."""
        limiter = settled_limiter("a")
        now = STALL_MS + 1
        limiter.observe(True, now)
        assert not limiter.grant_lease("i-1", "b", LIMITERS, now)
        limiter.observe(True, now + SETTLE_MS / 2)
        limiter.observe(True, now + SETTLE_MS)
        assert limiter.grant_lease("i-1", "b", LIMITERS, now + SETTLE_MS)

    def test_outdated_view(self):
        """A VM that is no limiter any more got votes by its own view."""
        voter = settled_limiter("c")
        assert not voter.grant_lease("i-1", "d", LIMITERS, 0.0)

    def test_limiters_take_over_one_after_another(self):
        """All limiters tried at once after the end of a lease, and each voted for itself."""
        first, second = settled_limiter("b"), settled_limiter("c")
        for limiter in (first, second):
            limiter.grant_lease("i-1", "a", LIMITERS, 0.0)
            limiter.observe(True, 500.0)
            limiter.observe(True, LEASE_MS + 50)
        assert first.begin_campaign("i-1", LIMITERS, LEASE_MS + 50)
        assert not second.begin_campaign("i-1", LIMITERS, LEASE_MS + 50)

    def test_lease_is_kept_while_in_demand(self):
        limiter = holding_limiter()
        ask(limiter, 1.0)
        limiter.observe(True, 450.0)
        assert limiter.campaigns_due(450.0) == ["i-1"]
        assert limiter.campaigns_due(DEMAND_MS + 2) == []


class TestPermits:
    """The holder of a lease grants permits."""

    def test_new_holder_begins_with_an_empty_bucket(self):
        """Two holders in a row granted a burst each within a second."""
        assert ask(holding_limiter(), 1.0).outcome is Outcome.LATER

    def test_token_in_advance_is_usable_before_the_lease_ends(self):
        limiter = holding_limiter()
        now = LEASE_MS - 5
        limiter.observe(True, 500.0)
        taken = [ask(limiter, now, patience_ms=200.0) for _ in range(6)]
        granted = [item for item in taken if item.outcome is Outcome.GRANTED]
        assert granted
        assert all(now + item.wait_ms < LEASE_MS for item in granted)

    def test_urgent_requests_go_first(self):
        """Requests of low priority took the tokens that urgent ones were waiting for."""
        limiter = holding_limiter()
        now = 1.2 / BUDGET.rate * 1000
        assert ask(limiter, now, urgent=False).outcome is Outcome.LATER
        assert ask(limiter, now, urgent=True).outcome is Outcome.GRANTED


class TestShares:
    """Requests without a permit, after a restart of all VMs, when nobody grants permits yet."""

    def test_all_vms_of_a_cell_stay_within_the_limit(self):
        """Guards against a second in which each of 24 VMs sends what only one of them may send."""
        rate, overshoot, slack = 14.0, 1.5, 5.0
        share = share_without_permit(rate, overshoot, slack)
        vms = [ColdServers() for _ in range(MAX_CELL_VMS)]
        for vm in vms:
            vm.remembered(START, 0, 0.0)
        rng = random.Random(1)
        sent = []
        for step in range(600):
            now = step * 5.0
            for vm in rng.sample(vms, len(vms)):
                if vm.take_share(START, share, now):
                    sent.append(now)
        worst = max(sum(at <= other < at + 1_000 for other in sent) for at in sent)
        assert worst <= rate * overshoot + slack
        assert len(sent) >= 3 * MAX_CELL_VMS

    def test_server_that_was_cold_gets_none(self):
        """Guards against a share of a server that was cold before the restart, and still is."""
        servers = ColdServers()
        servers.remembered(START, 2_000, 0.0)
        assert not servers.take_share(START, 1, 10.0)

    def test_share_ends_with_the_first_announcement(self):
        """Guards against requests without a permit to a server that has stated that it is cold."""
        servers = ColdServers()
        servers.remembered(START, 0, 0.0)
        assert servers.take_share(START, 1, 10.0)
        servers.announced(START, 5, 3_000, 20.0, joined=False)
        assert not servers.take_share(START, 1, 1_500.0)

    def test_low_rate_leaves_no_share(self):
        """Guards against a share that all VMs together could not keep."""
        assert share_without_permit(2.0, 1.5, 5.0) == 0
