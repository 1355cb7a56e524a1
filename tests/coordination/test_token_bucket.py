"""Tests of token buckets whose tokens may be taken in advance."""

import random

from siskinspoke.coordination.token_bucket import TokenBucket


class TestTokenBucket:
    """Usage in any time span stays within the burst plus the rate."""

    def test_burst_then_rate(self):
        bucket = TokenBucket(2.0, 0)
        assert bucket.take(1.0, 2.0, 0) == (True, 0)
        assert bucket.take(1.0, 2.0, 0) == (True, 0)
        assert bucket.take(1.0, 2.0, 0) == (False, 1_000)
        assert bucket.take(1.0, 2.0, 400) == (False, 600)
        assert bucket.take(1.0, 2.0, 1_000).granted

    def test_token_taken_in_advance(self):
        bucket = TokenBucket(1.0, 0)
        bucket.take(2.0, 1.0, 0)
        assert bucket.take(2.0, 1.0, 0, max_wait_ms=500) == (True, 500)
        assert bucket.take(2.0, 1.0, 0, max_wait_ms=500) == (False, 1_000)

    def test_backward_clock_step_grants_nothing(self):
        bucket = TokenBucket(0.0, 1_000)
        assert not bucket.take(1.0, 1.0, 0).granted

    def test_bound_holds_in_any_window(self):
        rng = random.Random(1)
        for _ in range(50):
            rate, burst = rng.uniform(0.1, 20), rng.uniform(1, 3)
            bucket, now, used = TokenBucket(burst, 0), 0.0, []
            for _ in range(400):
                now += rng.expovariate(1) * 50
                taken = bucket.take(rate, burst, now, rng.choice((0, 200)))
                if taken.granted:
                    used.append(now + taken.wait_ms)
            used.sort()
            for index, begin in enumerate(used):
                count = sum(1 for at in used[index:] if at - begin < 4_000)
                assert count <= burst + rate * 4 + 1e-6
