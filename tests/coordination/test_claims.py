"""Tests of replicated claims."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinspoke.coordination.claims import MAX_STORED_BODY_CHARS, ClaimBook
from siskinspoke.core.codes import ResultCode
from siskinspoke.protocol.claims import ClaimRequest, SettleRequest, Target

LIFETIME = 10_000
TARGET = Target("despacho-1", 7, "127.0.0.1", 8500)


def ask(key="c/k", owner="entry-1.1", expires=5_000):
    """Return a claim request."""
    return ClaimRequest(key, expires, LIFETIME, owner, TARGET)


class TestClaim:
    """Several requests for one key."""

    def test_second_asker_is_told_who_holds_it(self):
        """A client retries through another VM while the first attempt is running."""
        book = ClaimBook()
        assert book.claim(ask(), 0).code == ResultCode.OK
        answer = book.claim(ask(owner="entry-2.1"), 1)
        assert (answer.code, answer.target) == (ResultCode.IN_PROGRESS, TARGET)

    def test_same_asker_asks_again(self):
        """The answer to a claim was lost, and the VM retries with the new leader."""
        book = ClaimBook()
        assert book.claim(ask(), 0).attempt == book.claim(ask(), 1).attempt == 1

    def test_freed_key_gets_a_new_attempt(self):
        book = ClaimBook()
        book.claim(ask(), 0)
        book.settle(SettleRequest("c/k", 1, False, 0, ""), 1)
        assert book.claim(ask(owner="entry-2.1"), 2).attempt == 2

    def test_late_word_on_an_old_attempt_changes_nothing(self):
        """A suspended VM resumes and settles an attempt that another VM has released."""
        book = ClaimBook()
        book.claim(ask(), 0)
        book.settle(SettleRequest("c/k", 1, False, 0, ""), 1)
        book.claim(ask(owner="entry-2.1"), 2)
        late = book.settle(SettleRequest("c/k", 1, False, 0, ""), 3)
        assert late.code == ResultCode.CLAIM_CONFLICT
        assert book.claim(ask(owner="entry-3.1"), 4).code == ResultCode.IN_PROGRESS

    def test_result_of_the_first_attempt_is_kept(self):
        book = ClaimBook()
        book.claim(ask(), 0)
        book.settle(SettleRequest("c/k", 1, True, 200, "done"), 1)
        answer = book.claim(ask(owner="entry-2.1"), 2)
        assert (answer.code, answer.body) == (ResultCode.ALREADY_RAN, "done")

    def test_long_result_is_not_kept(self):
        book = ClaimBook()
        book.claim(ask(), 0)
        book.settle(SettleRequest("c/k", 1, True, 200, "x" * (MAX_STORED_BODY_CHARS + 1)), 1)
        assert book.claim(ask(owner="entry-2.1"), 2).body == ""


class TestExpiry:
    """Claims of expired keys can be deleted because such keys are rejected."""

    def test_expired_key_is_refused_and_forgotten(self):
        """Guards against a second execution by a retry that arrives after the key has expired."""
        book = ClaimBook()
        book.claim(ask(), 0)
        assert book.claim(ask(owner="entry-2.1"), 5_000).code == ResultCode.KEY_EXPIRED
        assert len(book) == 0

    def test_key_that_would_live_too_long_is_refused(self):
        answer = ClaimBook().claim(ask(expires=10**9), 0)
        assert answer.code == ResultCode.INVALID_KEY

    def test_snapshot_keeps_everything(self):
        book, copy = ClaimBook(), ClaimBook()
        book.claim(ask(), 0)
        copy.load(book.to_document())
        assert copy.claim(ask(owner="entry-2.1"), 1).code == ResultCode.IN_PROGRESS
        assert copy.claim(ask(owner="entry-2.1"), 5_000).code == ResultCode.KEY_EXPIRED


class ClaimMachine(RuleBasedStateMachine):
    """Each key is executed at most once, whatever the order of claims, results and expiry."""

    def __init__(self):
        super().__init__()
        self.book = ClaimBook()
        self.clock = 0
        self.granted: dict[str, int] = {}
        self.ran: dict[str, int] = {}

    @rule(key=st.sampled_from("ab"), owner=st.sampled_from("xyz"), life=st.integers(1, 9_000))
    def claim(self, key, owner, life):
        name = f"c/{key}-{self.clock + life}"
        answer = self.book.claim(
            ClaimRequest(name, self.clock + life, LIFETIME, owner, TARGET), self.clock
        )
        if answer.code == ResultCode.OK:
            self.granted[name] = answer.attempt

    @rule(data=st.data(), ran=st.booleans())
    def settle(self, data, ran):
        if not self.granted:
            return
        name = data.draw(st.sampled_from(sorted(self.granted)))
        request = SettleRequest(name, self.granted[name], ran, 200, "")
        if self.book.settle(request, self.clock).code == ResultCode.OK and ran:
            self.ran[name] = self.ran.get(name, 0) + 1

    @rule(step=st.integers(1, 4_000))
    def wait(self, step):
        self.clock += step

    @invariant()
    def at_most_once(self):
        assert all(count == 1 for count in self.ran.values())


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
