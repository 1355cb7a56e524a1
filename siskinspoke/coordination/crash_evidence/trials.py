"""When a verdict is tried again; times are in milliseconds."""

# A quarantine ends this long after the last crash: one attempt is let through then.
FIRST_TRIAL_MS = 30_000.0
# Each trial may crash a server, so the time grows with each that did.
TRIAL_FACTOR = 4.0
MAX_TRIAL_MS = 600_000.0


def trial_delay_ms(failed_trials: int) -> float:
    """Return how long a quarantine lasts after ``failed_trials`` trials that crashed a server."""
    return min(MAX_TRIAL_MS, FIRST_TRIAL_MS * TRIAL_FACTOR**failed_trials)
