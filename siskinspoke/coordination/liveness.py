"""Decides when an answer is overdue and which servers to probe because of it.

A server that has lost power, or is cut off from this VM, sends nothing: each request there waits
for its own timeout, a second or more, at every VM. A probe is a new connection, which a healthy
server's machine accepts within a few milliseconds however busy the server is, so it tells the two
apart within 50 ms.
"""

import math
from dataclasses import dataclass

# A first token is overdue at the time at which it was expected, which leaves time for a retry.
MIN_FIRST_TOKEN_TIMEOUT_MS = 60.0
# An event is overdue after this many passes of its engine, and not before the minimum: a pass takes
# 50 ms with short prompts alone, and twice that if a long prompt is prefilled alongside.
EVENT_TIMEOUT_PASSES = 1.7
MIN_EVENT_TIMEOUT_MS = 90.0
# A whole answer is overdue after this multiple of the usual time of its service.
ANSWER_TIMEOUT_FACTOR = 2.0
MIN_ANSWER_TIMEOUT_MS = 80.0
# A successful probe, or a connection for a request, proves a server alive for this long. Probes
# that several requests ask for at the same time are thus merged into one.
PROBE_SUCCESS_TTL_MS = 50.0
# Interval at which one overdue answer triggers further probes.
OVERDUE_PROBE_INTERVAL_MS = 250.0
# A server that could not be reached is probed again after this time, until it can be reached.
PROBE_RETRY_MS = 500.0

# A connection within a site takes 3 to 5 ms; a lost SYN is retransmitted after one second.
MIN_CONNECT_TIMEOUT_MS = 50.0
MAX_CONNECT_TIMEOUT_MS = 200.0
# Smoothing factors as in TCP's retransmission timer (RFC 6298), with twice as many deviations,
# since a false timeout costs the prefill of a whole prompt.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 8.0


def first_token_timeout_ms(expected_ms: float) -> float:
    """Return how long after sending a first token is overdue."""
    return max(MIN_FIRST_TOKEN_TIMEOUT_MS, expected_ms)


def event_timeout_ms(pass_ms: float) -> float:
    """Return how long after an event the next one is overdue; each pass produces one event."""
    return max(MIN_EVENT_TIMEOUT_MS, EVENT_TIMEOUT_PASSES * pass_ms)


def answer_timeout_ms(usual_ms: float) -> float:
    """Return how long after sending a whole answer is overdue."""
    return max(MIN_ANSWER_TIMEOUT_MS, ANSWER_TIMEOUT_FACTOR * usual_ms)


class ConnectTimeout:
    """Adaptive connection timeout, in milliseconds.

    On slow or congested links a SYN waits behind other traffic, 80 ms behind one configuration at
    10 Mbit/s, and a fixed timeout would take healthy servers for lost. The timeout is the mean plus
    a multiple of the mean deviation, as in TCP's retransmission timer.
    """

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0

    def record(self, ms: float) -> None:
        """Record how long a connection took."""
        if self._mean is None:
            self._mean, self._deviation = ms, ms / 2
            return
        error = ms - self._mean
        self._mean += MEAN_GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    @property
    def connect_timeout_ms(self) -> float:
        """Return the connection timeout."""
        if self._mean is None:
            return MAX_CONNECT_TIMEOUT_MS
        timeout_ms = self._mean + DEVIATION_FACTOR * self._deviation
        return min(MAX_CONNECT_TIMEOUT_MS, max(MIN_CONNECT_TIMEOUT_MS, timeout_ms))


# While no server has been found lost recently, timeouts are multiplied by this factor. If all
# servers are healthy, nearly all first tokens arrive within that time, and a probe costs a
# connection. Servers tend to be lost several at a time: the first is detected slightly later
# because of the factor, the others without delay.
NORMAL_TIMEOUT_FACTOR = 1.7
LOSS_ALERT_MS = 10_000.0


@dataclass(slots=True)
class _Probe:
    at: float
    in_progress: bool = True
    reached: bool = True


class ProbeTracker:
    """Tracks probes by server and incarnation; times are in milliseconds."""

    def __init__(self) -> None:
        self._probes: dict[tuple[str, int], _Probe] = {}
        self._last_loss_at = -math.inf

    def record_loss(self, now: float) -> None:
        """Record that a server was found lost, by this VM or another one."""
        self._last_loss_at = now

    def timeout_factor(self, now: float) -> float:
        """Return the factor to apply to the time after which an answer is overdue."""
        return 1.0 if now - self._last_loss_at < LOSS_ALERT_MS else NORMAL_TIMEOUT_FACTOR

    def should_probe(self, start: tuple[str, int], now: float) -> bool:
        """Return whether probing a server now would give new information."""
        probe = self._probes.get(start)
        if probe is None:
            return True
        wait = PROBE_SUCCESS_TTL_MS if probe.reached else PROBE_RETRY_MS
        return not probe.in_progress and now - probe.at >= wait

    def start(self, start: tuple[str, int], now: float) -> None:
        """Record that a probe has started."""
        self._probes[start] = _Probe(now)

    def finish(self, start: tuple[str, int], reached: bool, now: float) -> None:
        """Record the result of a probe."""
        self._probes[start] = _Probe(now, in_progress=False, reached=reached)

    def cancel(self, start: tuple[str, int]) -> None:
        """Forget a probe that was cancelled."""
        self._probes.pop(start, None)

    def prune(self, now: float) -> None:
        """Drop expired probes."""
        for start, probe in list(self._probes.items()):
            if not probe.in_progress and now - probe.at > PROBE_RETRY_MS:
                del self._probes[start]
