"""Tests of the VMs that grant permits for rate-limited servers."""

import pytest

from siskinspoke.coordination.limiters import (
    BACKUP_BURST,
    BACKUP_MAX_WAIT_MS,
    BACKUP_RATE_SHARE,
    MAX_LIMITERS,
    MIN_RATE,
    PERMIT_LIFETIME_MS,
    PRIMARY_BURST,
    STALL_MS,
    STARTUP_QUIET_MS,
    TAKEOVER_MS,
    Limiter,
    Outcome,
    PermitQuery,
    choose_limiters,
)

START = ("i-1", 7)


def make_query(
    host: str = "a", rate: float = 1.0, silent_ms: float = 0.0, patience_ms: float = 0
) -> PermitQuery:
    """Return a query for a permit."""
    return PermitQuery(host, START, rate, patience_ms, silent_ms)


def count_granted(limiter: Limiter, seconds: float, rate: float, place: int = 0, **more) -> int:
    """Return how many permits a limiter grants to a VM that asks 100 times a second."""
    count = 0
    for turn in range(int(seconds * 100)):
        now = 20_000 + turn * 10
        verdict = limiter.decide(make_query(rate=rate, **more), place, True, now)
        count += verdict.outcome is Outcome.GRANTED
    return count


def running_limiter() -> Limiter:
    """Return a limiter that has been running for 20 s."""
    limiter = Limiter(0)
    for second in range(21):
        limiter.tick(second * 1_000)
    return limiter


VMS = {f"10.0.{number}": "ab"[number % 2] for number in range(10)}


class TestLimitersOf:
    """Which VMs may grant permits for a server."""

    def test_limited_number_from_the_servers_domain(self):
        found = choose_limiters("i-1", "a", VMS)
        assert len(found) == MAX_LIMITERS
        assert {VMS[host] for host in found} == {"a"}

    def test_other_domains_as_fallback(self):
        assert len(choose_limiters("i-1", "c", VMS)) == MAX_LIMITERS
        assert choose_limiters("i-1", "a", {"10.0.1": "b"}) == ("10.0.1",)

    def test_all_vms_choose_the_same(self):
        backwards = dict(reversed(VMS.items()))
        assert choose_limiters("i-1", "a", VMS) == choose_limiters("i-1", "a", backwards)

    def test_servers_are_spread(self):
        firsts = {choose_limiters(f"i-{number}", "a", VMS)[0] for number in range(60)}
        assert len(firsts) == 5


class TestSum:
    """The total that all limiters of a server may grant."""

    @pytest.mark.parametrize("rate", [0.0, 0.5, 1.0, 10.0, 1_000.0])
    def test_within_the_bound(self, rate):
        """In any 4 s a server gets at most 1.5 times its limit plus five requests."""
        spares = MAX_LIMITERS - 1
        seconds = 4.0 + PERMIT_LIFETIME_MS / 1000
        rates = (1 + spares * BACKUP_RATE_SHARE) * max(MIN_RATE, rate) * seconds
        assert rates + PRIMARY_BURST + spares * BACKUP_BURST <= 1.5 * 4.0 * rate + 5


class TestLimiter:
    """What a limiter grants."""

    @pytest.mark.parametrize("rate", [0.5, 1.0, 4.0, 50.0])
    def test_first_grants_the_whole_rate(self, rate):
        assert rate * 20 <= count_granted(running_limiter(), 20, rate) <= rate * 20 + 2

    def test_backup_grants_a_small_share(self):
        assert count_granted(running_limiter(), 20, 10.0, place=1) <= 10.0 * 0.15 * 20 + 1

    def test_backup_is_asked_again_soon(self):
        """VMs must not wait seconds for a backup limiter's token once the first one is back."""
        limiter = running_limiter()
        limiter.decide(make_query(), 1, True, 20_000)
        assert limiter.decide(make_query(), 1, True, 20_000) == (Outcome.LATER, BACKUP_MAX_WAIT_MS)

    def test_backup_takes_over_from_silent_limiters(self):
        count = count_granted(running_limiter(), 20, 10.0, place=1, silent_ms=TAKEOVER_MS)
        assert count >= 200

    def test_vm_without_quorum_grants_a_small_share(self):
        verdicts = [
            running_limiter().decide(make_query(rate=10.0), 0, False, 20_000) for _ in range(1)
        ]
        assert verdicts[0].outcome is Outcome.GRANTED
        limiter = running_limiter()
        outcomes = [
            limiter.decide(make_query(rate=10.0), 0, False, 20_000 + turn * 10).outcome
            for turn in range(2_000)
        ]
        assert outcomes.count(Outcome.GRANTED) <= 10.0 * 0.15 * 20 + 1

    def test_other_vm_grants_nothing(self):
        assert (
            running_limiter().decide(make_query(), None, True, 20_000).outcome is Outcome.ELSEWHERE
        )

    def test_limit_of_zero_still_grants_some(self):
        """A server with a limit of zero must not be excluded permanently."""
        assert 1 <= count_granted(running_limiter(), 40, 0.0) <= 6

    def test_restart(self):
        """A restarted limiter must not grant its burst again."""
        limiter = Limiter(0)
        assert (
            limiter.decide(make_query(), 0, True, STARTUP_QUIET_MS / 2).outcome is Outcome.ELSEWHERE
        )
        assert limiter.decide(make_query(), 0, True, STARTUP_QUIET_MS + 1).outcome is Outcome.LATER

    def test_stall(self):
        """A limiter that resumes after a stall grants nothing: another may have taken over."""
        limiter = running_limiter()
        assert limiter.decide(make_query(), 0, True, 20_000).outcome is Outcome.GRANTED
        thawed = 20_000 + STALL_MS + 1
        assert limiter.decide(make_query(), 0, True, thawed).outcome is Outcome.ELSEWHERE

    def test_refusal_has_retry_time(self):
        limiter = running_limiter()
        for _ in range(2):
            limiter.decide(make_query(), 0, True, 20_000)
        verdict = limiter.decide(make_query(), 0, True, 20_000)
        assert verdict == (Outcome.LATER, 1_000)
        assert limiter.decide(make_query(patience_ms=1_000), 0, True, 20_000).wait_ms == 1_000

    @pytest.mark.parametrize("vms", [7, 24, 420])
    def test_queries_do_not_grow_with_the_fleet(self, vms):
        limiter = running_limiter()
        asks_at = dict.fromkeys(range(vms), 20_000.0)
        asked = 0
        for now in range(20_000, 50_000, 10):
            for vm, at in asks_at.items():
                if at <= now:
                    asked += now >= 30_000
                    verdict = limiter.decide(make_query(f"vm-{vm}"), 0, True, now)
                    asks_at[vm] = now + max(10.0, verdict.wait_ms)
            if now % 1_000 == 0:
                limiter.tick(now)
        assert asked / 20 <= 30

    def test_dropped_with_its_server(self):
        limiter = running_limiter()
        limiter.decide(make_query(), 0, True, 20_000)
        limiter.prune(["i-2"])
        assert not limiter._buckets
