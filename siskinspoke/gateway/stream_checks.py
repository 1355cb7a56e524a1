"""Checks of open streams: whether a late or a disturbed one continues on another engine."""

from siskinspoke.coordination.liveness import first_token_timeout_ms
from siskinspoke.coordination.retry_timing import decide_retry, first_check_after_ms
from siskinspoke.coordination.stream_moves import PauseForecast, should_move
from siskinspoke.coordination.work_table import Work
from siskinspoke.gateway.assignment import MIN_TARGET_MS, Assignment, choose_engines
from siskinspoke.gateway.attempts import ANSWER_TIMED_OUT, MOVED, RECHECK_SECONDS, Attempt
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.failover import Failover, RetryObstacle, RetryState
from siskinspoke.gateway.relaying import Reconsider, Relay
from siskinspoke.gateway.servers import cell_candidates


def watch_first_token(
    gateway: Gateway,
    request: Request,
    assignment: Assignment,
    retry_state: RetryState,
    attempt: Attempt,
    failover: Failover,
) -> None:
    """Set when the servers are probed and the assignment is reconsidered for a late first token."""
    now = now_ms()
    attempt.expect_answer_within(first_token_timeout_ms(assignment.expected_ms), now)
    if not assignment.job.short or failover.obstacle in (
        RetryObstacle.NOT_RETRYABLE,
        RetryObstacle.ATTEMPTS,
    ):
        return
    if request.crashes:
        # If the request crashes servers, it may crash the one that it leaves all the same, and then
        # the next one.
        return

    def reconsider(attempt: Attempt, now: float) -> str:
        left = request.route.target_ms - (now - request.arrived_ms)
        excluded = retry_state.excluded.current(gateway.directory, now) | {assignment.name}
        others = cell_candidates(gateway, request.service, excluded, request.domains)
        urgent_job = assignment.job._replace(target_ms=max(MIN_TARGET_MS, left))
        best = choose_engines(gateway, assignment.costs, urgent_job, others) if others else None
        expected = None if best is None else best.first_token_ms
        chosen = decide_retry(left, expected, gateway.first_token_margin.margin_ms)
        if chosen is None:
            return ""
        if chosen.now and failover.fail_over():
            return ANSWER_TIMED_OUT
        attempt.recheck_at = now + (
            RECHECK_SECONDS * 1000 if chosen.now else chosen.recheck_after_ms
        )
        return ""

    attempt.reconsider = reconsider
    attempt.recheck_at = now + first_check_after_ms(assignment.expected_ms)


def prefill_check(
    gateway: Gateway,
    request: Request,
    assignment: Assignment,
    relay: Relay,
    retry_state: RetryState,
    failover: Failover,
) -> Reconsider | None:
    """Return the check that moves a stream off an engine about to prefill a long prompt."""
    if assignment.job is None or request.crashes:
        return None

    def reconsider(attempt: Attempt, now: float) -> str:
        reads_ms = gateway.placement.remaining_prefill_ms(assignment.costs, assignment.name, now)
        pause_ms = assignment.job.pause_ms
        if reads_ms <= pause_ms or failover.obstacle is not None:
            return ""
        excluded = retry_state.excluded.current(gateway.directory, now) | {assignment.name}
        others = cell_candidates(gateway, request.service, excluded, request.domains)
        urgent_job = assignment.job._replace(target_ms=pause_ms)
        best = choose_engines(gateway, assignment.costs, urgent_job, others) if others else None
        expected = None if best is None else best.first_token_ms
        silent_ms = now - relay.last_event_at
        margin_ms = gateway.first_token_margin.margin_ms
        prospect = PauseForecast(silent_ms, reads_ms, pause_ms, expected, margin_ms)
        if not should_move(prospect) or not failover.fail_over():
            return ""
        gateway.counters.count("stream.moved")
        gateway.log.note(
            "stream.moved", request=request.call.id, server=assignment.name, **prospect._asdict()
        )
        return MOVED

    return reconsider


def recheck_streams(gateway: Gateway, work: Work) -> None:
    """Have streams reconsidered whose engines are about to prefill a long prompt."""
    if not work.job.short:
        gateway.attempts.recheck_streams_at(work.servers, now_ms())
