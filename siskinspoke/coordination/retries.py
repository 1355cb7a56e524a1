"""One budget for all retries of an entry VM, as a share of its first attempts."""

START_CREDIT = 5.0
MAX_CREDIT = 50.0


class RetryBudget:
    """Let retries be at most a share of first attempts, beyond a small start credit.

    Without a budget every VM retries at once when a failure domain is lost, and the retries
    alone overload what is left.
    """

    def __init__(self, share: float):
        self._share = share
        self._credit = START_CREDIT

    def set_share(self, share: float) -> None:
        """Change the share, as a new configuration says."""
        self._share = share

    def first_attempt(self) -> None:
        """Earn the share of one first attempt."""
        self._credit = min(MAX_CREDIT, self._credit + self._share)

    def take(self) -> bool:
        """Spend one retry if there is credit for it."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
