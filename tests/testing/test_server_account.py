"""Tests of the checks that VMs comply with what a stand-in server has announced."""

from siskinspoke.testing.server_account import ServerAccount


def limited_account(rate: float = 1.0) -> ServerAccount:
    """Return the account of a server that has told VMs a and b its rate limit at 0 s."""
    account = ServerAccount("i-1")
    for vm in ("a", "b"):
        account.record_answer(vm, 0.0, rate)
    return account


class TestRateLimit:
    """All VMs together may send 1.5 times the limit plus five requests in any 4 s."""

    def test_at_the_limit(self):
        account = limited_account()
        for number in range(11):
            account.record_request("ab"[number % 2], 1.0 + number / 10)
        assert not account.violations

    def test_one_above_the_limit_across_two_vms(self):
        account = limited_account()
        for number in range(12):
            account.record_request("ab"[number % 2], 1.0 + number / 10)
        assert len(account.violations) == 1

    def test_window_slides(self):
        account = limited_account()
        for number in range(60):
            account.record_request("a", 1.0 + number * 0.4)
        assert not account.violations

    def test_uninformed_vm_is_not_counted(self):
        account = limited_account()
        for number in range(30):
            account.record_request("c", 1.0 + number / 10)
            account.record_request("a", 0.4)
        assert not account.violations

    def test_disturbed_vm_is_exempt_until_informed_again(self):
        account = limited_account()
        account.record_disturbance("a")
        for number in range(30):
            account.record_request("a", 1.0 + number / 10)
        assert not account.violations
        account.record_answer("a", 10.0, 1.0)
        for number in range(12):
            account.record_request("a", 11.0 + number / 10)
        assert account.violations

    def test_answer_without_a_limit_clears_it(self):
        account = limited_account()
        account.record_answer("a", 0.5, None)
        for number in range(30):
            account.record_request("a", 1.0 + number / 10)
        assert not account.violations


class TestBackOff:
    """A VM may send two requests from 0.5 s after the answer until its back-off ends."""

    def test_two_requests_in_flight(self):
        account = ServerAccount("i-1")
        account.record_answer("a", 0.0, None, back_off=3.0)
        for now in (0.1, 0.2, 0.3, 0.4, 1.0, 2.0, 3.1, 3.2, 3.3):
            account.record_request("a", now)
            account.record_request("b", now)
        assert not account.violations

    def test_third_request(self):
        account = ServerAccount("i-1")
        account.record_answer("a", 0.0, None, back_off=3.0)
        for now in (0.6, 1.0, 2.9):
            account.record_request("a", now)
        assert len(account.violations) == 1


class TestLeave:
    """A VM may send no request later than the drain time after it was told of the leave."""

    def test_late_request(self):
        account = ServerAccount("i-1")
        account.record_answer("a", 0.0, None, leaving=True)
        account.record_request("a", 1.9)
        account.record_request("b", 9.0)
        assert not account.violations
        account.record_request("a", 2.1)
        assert len(account.violations) == 1


class TestEvacuation:
    """No VM may send to an evacuated failure domain from 5 s after the acknowledgement on."""

    def test_late_request_is_a_violation(self):
        account = ServerAccount("i-1")
        account.record_request("a", 1.0)
        account.record_evacuation(2.0)
        account.record_request("a", 6.9)
        assert not account.violations
        account.record_request("a", 7.1)
        assert len(account.violations) == 1

    def test_nothing_is_forbidden_after_the_end(self):
        account = ServerAccount("i-1")
        account.record_evacuation(2.0)
        account.record_evacuation_end()
        account.record_request("a", 9.0)
        assert not account.violations

    def test_disturbed_vm_has_as_long_again(self):
        """A VM that was cut off learns of the evacuation when it is back."""
        account = ServerAccount("i-1")
        account.record_evacuation(2.0)
        account.record_disturbance("a", 8.0)
        account.record_request("a", 12.9)
        assert not account.violations
        account.record_request("b", 12.9)
        account.record_request("a", 13.1)
        assert len(account.violations) == 2


class TestCold:
    """All VMs together send at most the bound to a cold server in any second."""

    def test_bound(self):
        account = ServerAccount("i-1")
        account.record_cold(until=20.0, bound=3)
        for number, vm in enumerate("abcabc"):
            account.record_request(vm, 10.0 + number * 0.34)
        assert not account.violations
        account.record_request("a", 11.75)
        assert len(account.violations) == 1

    def test_warm_server_has_no_bound(self):
        account = ServerAccount("i-1")
        account.record_cold(until=5.0, bound=3)
        for _ in range(10):
            account.record_request("a", 5.0)
        assert not account.violations

    def test_delayed_requests_do_not_count(self):
        """A stalled connection delivers the requests of several seconds at once."""
        account = ServerAccount("i-1")
        account.record_cold(until=20.0, bound=3)
        account.record_delay(until=11.0)
        for _ in range(10):
            account.record_request("a", 10.5)
        assert not account.violations
