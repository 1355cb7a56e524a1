"""Tests of replicated claims."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinspoke.coordination.claims import MAX_STORED_BODY_CHARS, ClaimTable
from siskinspoke.core.codes import ResultCode
from siskinspoke.protocol.claims import ClaimRequest, SettleRequest, Target

LIFETIME_MS = 10_000
TARGET = Target("despacho-1", 7, "127.0.0.1", 8500)


def claim_request(key="c/k", owner="entry-1.1", expires=5_000):
    """Return a claim request."""
    return ClaimRequest(key, expires, LIFETIME_MS, owner, TARGET)


class TestClaim:
    """Several requests for one key."""

    def test_concurrent_claim_returns_current_owner(self):
        """A client retries through another VM while the first attempt is running."""
        table = ClaimTable()
        assert table.claim(claim_request(), 0).code == ResultCode.OK
        answer = table.claim(claim_request(owner="entry-2.1"), 1)
        assert (answer.code, answer.target) == (ResultCode.IN_PROGRESS, TARGET)

    def test_retry_by_owner_returns_same_attempt(self):
        """The answer to a claim was lost, and the VM retries with the new leader."""
        table = ClaimTable()
        assert (
            table.claim(claim_request(), 0).attempt == table.claim(claim_request(), 1).attempt == 1
        )

    def test_released_key_gets_a_new_attempt(self):
        table = ClaimTable()
        table.claim(claim_request(), 0)
        table.settle(SettleRequest("c/k", 1, False, 0, ""), 1)
        assert table.claim(claim_request(owner="entry-2.1"), 2).attempt == 2

    def test_late_settlement_of_an_old_attempt_is_rejected(self):
        """A suspended VM resumes and settles an attempt that another VM has released."""
        table = ClaimTable()
        table.claim(claim_request(), 0)
        table.settle(SettleRequest("c/k", 1, False, 0, ""), 1)
        table.claim(claim_request(owner="entry-2.1"), 2)
        late_answer = table.settle(SettleRequest("c/k", 1, False, 0, ""), 3)
        assert late_answer.code == ResultCode.CLAIM_CONFLICT
        assert table.claim(claim_request(owner="entry-3.1"), 4).code == ResultCode.IN_PROGRESS

    def test_result_of_the_first_attempt_is_stored(self):
        table = ClaimTable()
        table.claim(claim_request(), 0)
        table.settle(SettleRequest("c/k", 1, True, 200, "done"), 1)
        answer = table.claim(claim_request(owner="entry-2.1"), 2)
        assert (answer.code, answer.body) == (ResultCode.ALREADY_RAN, "done")

    def test_long_result_is_not_stored(self):
        table = ClaimTable()
        table.claim(claim_request(), 0)
        table.settle(SettleRequest("c/k", 1, True, 200, "x" * (MAX_STORED_BODY_CHARS + 1)), 1)
        assert table.claim(claim_request(owner="entry-2.1"), 2).body == ""


class TestExpiry:
    """Claims of expired keys can be deleted because such keys are rejected."""

    def test_expired_key_is_rejected_and_deleted(self):
        """Guards against a second execution by a retry that arrives after the key has expired."""
        table = ClaimTable()
        table.claim(claim_request(), 0)
        assert table.claim(claim_request(owner="entry-2.1"), 5_000).code == ResultCode.KEY_EXPIRED
        assert len(table) == 0

    def test_key_with_excessive_lifetime_is_rejected(self):
        answer = ClaimTable().claim(claim_request(expires=10**9), 0)
        assert answer.code == ResultCode.INVALID_KEY

    def test_snapshot_contains_all_claims(self):
        table, copy = ClaimTable(), ClaimTable()
        table.claim(claim_request(), 0)
        copy.load(table.to_document())
        assert copy.claim(claim_request(owner="entry-2.1"), 1).code == ResultCode.IN_PROGRESS
        assert copy.claim(claim_request(owner="entry-2.1"), 5_000).code == ResultCode.KEY_EXPIRED


class ClaimMachine(RuleBasedStateMachine):
    """Each key is executed at most once, whatever the order of claims, results and expiry."""

    def __init__(self):
        super().__init__()
        self.table = ClaimTable()
        self.clock = 0
        self.granted: dict[str, int] = {}
        self.ran: dict[str, int] = {}

    @rule(
        key=st.sampled_from("ab"), owner=st.sampled_from("xyz"), lifetime_ms=st.integers(1, 9_000)
    )
    def claim(self, key, owner, lifetime_ms):
        name = f"c/{key}-{self.clock + lifetime_ms}"
        answer = self.table.claim(
            ClaimRequest(name, self.clock + lifetime_ms, LIFETIME_MS, owner, TARGET), self.clock
        )
        if answer.code == ResultCode.OK:
            self.granted[name] = answer.attempt

    @rule(data=st.data(), ran=st.booleans())
    def settle(self, data, ran):
        if not self.granted:
            return
        name = data.draw(st.sampled_from(sorted(self.granted)))
        request = SettleRequest(name, self.granted[name], ran, 200, "")
        if self.table.settle(request, self.clock).code == ResultCode.OK and ran:
            self.ran[name] = self.ran.get(name, 0) + 1

    @rule(elapsed_ms=st.integers(1, 4_000))
    def wait(self, elapsed_ms):
        self.clock += elapsed_ms

    @invariant()
    def at_most_once(self):
        assert all(count == 1 for count in self.ran.values())


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
