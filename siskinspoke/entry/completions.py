"""Serve one request to a model: admission, claim, routing, retries and cleanup."""

from dataclasses import dataclass

import trio
from expression import Error, Result
from loguru import logger

from siskinspoke.coordination import fairness
from siskinspoke.coordination.crashes import Probation, Quarantined
from siskinspoke.coordination.routing import Choice
from siskinspoke.core.codes import Failure, ResultCode, RunStatus
from siskinspoke.entry import groups
from siskinspoke.entry.backend import AttemptEnd, Completed, Lost, NotBegun, Unknown
from siskinspoke.entry.claiming import (
    AlreadyClaimed,
    Claimed,
    claim,
    claim_name,
    confirm_never_began,
    lookup,
    settle_not_run,
    settle_ran,
    verify_not_run,
)
from siskinspoke.entry.completion_attempts import CompletionAttempts, ReaderTooSlowError, run_end
from siskinspoke.entry.context import now_ms, target_of
from siskinspoke.entry.crashes import count_quarantine_refusal, wait_for_verdict
from siskinspoke.entry.janitor import CancelAttempt
from siskinspoke.protocol.claims import ClaimAnswer, Target

MAX_ATTEMPTS = 4
RETRY_LATER_MS = 2_000
# A request that ends at least this long after its deadline is logged.
MIN_LOGGED_OVERRUN_MS = 20
# A fully occupied engine ends a stream, and so frees a slot, several times a second.
ROUTING_RETRY_SECONDS = 0.2


@dataclass(frozen=True)
class RequestEnded:
    """The end of a claimed request, with its failure if it failed."""

    failure: Failure | None


class CompletionJob(CompletionAttempts):
    """Run one request to a model in its own task; the HTTP handler reads the outbox."""

    def admit(self) -> Result[Choice, Failure]:
        """Check quarantine, deadline and fair share; return the first routing choice."""
        context, routing_request = self._context, self._routing_request()
        verdict = context.crashes.judge(self._identity, now_ms())
        if isinstance(verdict, Quarantined):
            return Error(count_quarantine_refusal(context, verdict))
        chosen = context.router.choose(routing_request, now_ms(), context.rng)
        if chosen.is_error():
            return chosen
        weights = {
            name: customer.weight
            for name, customer in context.holder.current.configuration.customers.items()
        }
        ratio = context.shares.ratio(self.caller.customer, weights, now_ms())
        excess = chosen.ok.backlog_ms - fairness.max_backlog_ms(ratio, self._limits.backlog_ms)
        if excess > 0:
            return Error(self._overload_failure(ratio, excess))
        tokens = fairness.work_tokens(chosen.ok.uncached_tokens, routing_request.max_tokens)
        context.shares.record(self.caller.customer, tokens, now_ms())
        return chosen

    def _overload_failure(self, ratio: float, excess_ms: float) -> Failure:
        """Return the failure of a request that would exceed the backlog limit."""
        retry = self._context.router.retry_after(excess_ms, self._context.rng)
        if ratio <= 1:
            return Failure(
                ResultCode.OVERLOADED, "the backlog of every server exceeds the limit", retry
            )
        message = f"customer {self.caller.customer} is at {ratio:.1f} of its fair share"
        return Failure(ResultCode.CUSTOMER_LIMIT, message, retry)

    async def run(self, choice: Choice) -> None:
        """Serve the request to its end and set ``failure`` if it failed."""
        ended = False
        self._context.request_opened()
        try:
            with self.scope:
                self.failure = await self._serve(choice)
                ended = True
        except ReaderTooSlowError:
            self.failure = Failure(
                ResultCode.SLOW_READER, "the caller did not read the answer in time"
            )
        except Exception as error:
            # The job runs in the nursery of the daemon, where an uncaught exception would cancel
            # all other requests of the VM.
            logger.error("request {} failed: {!r}", self.request_id, error)
            self.failure = Failure(ResultCode.INTERNAL, "internal error of this VM")
        finally:
            if not ended and self.failure is None:
                self.failure = self._cancellation_failure()
                self._log_overrun()
            self._clean_up()
            self._send.close()
            self._context.request_closed()
            if self.failure is not None:
                self._context.counters.count(f"failed.{self.failure.code.name.lower()}")

    def _log_overrun(self) -> None:
        """Log a request that ends late because the process stalled or its timers fire late."""
        over_ms = round((trio.current_time() - self._deadline) * 1000)
        if over_ms >= MIN_LOGGED_OVERRUN_MS:
            late_ms = round(self._context.stall_detector.timer_lateness * 1000)
            logger.info(
                "request {} ends {} ms late, timers {} ms", self.request_id, over_ms, late_ms
            )

    def _cancellation_failure(self) -> Failure:
        """Return the failure of a request whose deadline passed or whose caller disconnected."""
        run = self._run_status()
        if self._progress.caller_gone:
            return Failure(ResultCode.CALLER_GONE, "the caller closed the connection", None, run)
        return Failure(ResultCode.DEADLINE_PASSED, "the deadline passed", None, run)

    def _run_status(self) -> RunStatus:
        """Return whether a request that ends without a complete answer has run.

        A request with an idempotency key may be the resend of one that ran at another VM.
        """
        if self._progress.offset:
            return RunStatus.RAN
        if self._progress.dispatched or self.completion.key is not None:
            return RunStatus.UNKNOWN
        return RunStatus.NOT_RUN

    def caller_disconnected(self) -> None:
        """Cancel the request of a disconnected caller, unless it has an idempotency key.

        The caller of a non-idempotent request may resend it through another VM, which must find
        the first attempt still running rather than cancelled halfway.
        """
        self._progress.caller_gone = True
        self.outbox.close()
        if self.completion.key is None:
            self.scope.cancel()

    def _clean_up(self) -> None:
        """Cancel the attempt that may still occupy memory of an engine."""
        target = self._progress.running_target
        if target is not None:
            self._context.janitor.add(
                CancelAttempt(target, self.request_id, self._progress.attempt)
            )

    async def _serve(self, choice: Choice) -> Failure | None:
        verdict = await wait_for_verdict(self._context, self._identity)
        if isinstance(verdict, Quarantined):
            return count_quarantine_refusal(self._context, verdict)._replace(run=self._run_status())
        if isinstance(verdict, Probation):
            self._context.crashes.record_probe(self._identity, now_ms())
        if len(choice.servers) > 1:
            return await self._serve_by_group()
        if self.completion.key is not None:
            return await self._serve_claimed(choice)
        return await self._serve_idempotent(choice)

    async def _serve_idempotent(self, choice: Choice) -> Failure | None:
        """Retry at other servers, within the retry budget, until the answer is complete."""
        context, progress = self._context, self._progress
        context.retries.first_attempt()
        while True:
            progress.attempt += 1
            target = target_of(choice.servers[0])
            end = await self._attempt(choice, self._generate_body())
            end = await self._resume_while_alive(end, target)
            match end:
                case Completed():
                    progress.running_target = None
                    return None
                case NotBegun(reason=reason, reached=reached):
                    if not reached:
                        context.suspend(target)
                case Lost(reason=reason):
                    # Resuming failed as well.  A dead server behind a middlebox that still
                    # accepts connections fails every request this way until its lease expires.
                    context.suspend(target)
                    self._clean_up()
                case Unknown():
                    reason = "the server does not know the attempt"
                    self._clean_up()
            progress.running_target = None
            progress.excluded.exclude_temporarily(target.server, now_ms())
            if progress.attempt == MAX_ATTEMPTS:
                break
            if await self._may_crash_servers():
                return self._dispatch_failure("this request may be crashing servers")
            chosen = await self._next_choice(reason)
            if isinstance(chosen, Failure):
                return chosen
            context.counters.count(f"retried.{type(end).__name__.lower()}")
            choice = chosen
            if len(choice.servers) > 1:
                return await self._serve_by_group()
        return self._dispatch_failure("all attempts failed")

    async def _may_crash_servers(self) -> bool:
        """Return whether the request is not tried again after what is known of crashes."""
        if isinstance(await wait_for_verdict(self._context, self._identity), Quarantined):
            return True
        return self._context.crashes.stops_after_crash(self._identity, now_ms())

    async def _next_choice(self, reason: str) -> Choice | Failure:
        """Return the next routing choice, or the failure with which the request ends.

        A request whose answer has begun waits for a free engine and for retry budget until its
        deadline.  Failing it at once would discard the part that the caller has received, though
        an engine often has room a moment later.
        """
        context = self._context
        while True:
            chosen = context.router.choose(self._routing_request(), now_ms(), context.rng)
            if chosen.is_error():
                message = chosen.error.message
            elif context.retries.spend():
                return chosen.ok
            else:
                context.counters.count("retry.budget_spent")
                message = f"{reason}; the retry budget is spent"
            if not self._progress.offset:
                return self._dispatch_failure(message)
            await trio.sleep(ROUTING_RETRY_SECONDS)

    async def _serve_by_group(self) -> Failure | None:
        """Serve a prompt that exceeds the memory of any single engine."""
        context = self._context
        if self.completion.key is not None:
            found = await lookup(context, self._claim_name())
            if found.is_error():
                return found.error
            if found.ok.code != ResultCode.OK:
                return await self._read_claimed_answer(found.ok)
        failures: list[Failure] = []

        def choose() -> Choice | None:
            chosen = context.router.choose(self._routing_request(), now_ms(), context.rng)
            if chosen.is_error():
                failures.append(chosen.error)
                return None
            return chosen.ok

        async with groups.reserve_group(context, choose) as group:
            if group is None:
                return failures[0]
            if not await groups.prefill_helpers(context, group):
                return self._dispatch_failure("an engine of the group failed during prefill")
            return await self._run_by_group(group)

    async def _run_by_group(self, group: groups.Group) -> Failure | None:
        """Run the single attempt of a reserved group; claim it first if it has a key."""
        context, progress, target = self._context, self._progress, group.head.target
        if self.completion.key is None:
            progress.attempt += 1
        else:
            outcome = await claim(context, self._claim_name(), self.completion.key, target)
            if outcome.is_error():
                return outcome.error
            if isinstance(outcome.ok, AlreadyClaimed):
                return await self._read_claimed_answer(outcome.ok.answer)
            progress.attempt = outcome.ok.attempt
        body = self._generate_body()
        body["reservation"] = group.reservation
        body["prefilled"] = sum(member.tokens for member in group.helpers)
        self._set_running_target(target, group)
        run = self._start_run(target, *(member.target for member in group.helpers))
        end: AttemptEnd | None = None
        try:
            end = await self._dispatch(target, body, None)
        finally:
            context.crashes.end_run(run, run_end(end), now_ms())
        if self.completion.key is not None:
            return self._final_failure(await self._settle(end, target))
        end = await self._resume_while_alive(end, target)
        if isinstance(end, Completed):
            progress.running_target = None
            return None
        return self._dispatch_failure("the decoding engine of the group failed")

    async def _read_claimed_answer(self, answer: ClaimAnswer) -> Failure | None:
        """Read the answer of the attempt that holds the claim, then settle the claim."""
        self._progress.attempt = answer.attempt
        end = await self._attach(answer.target)
        return self._final_failure(await self._settle(end, answer.target))

    def _final_failure(self, settled: RequestEnded | None) -> Failure | None:
        """Return the failure of a claimed request that gets no further attempt, if any."""
        if settled is not None:
            return settled.failure
        message = "the attempt never began; retry the request"
        return Failure(ResultCode.DISPATCH_FAILED, message, RETRY_LATER_MS, RunStatus.NOT_RUN)

    async def _serve_claimed(self, choice: Choice) -> Failure | None:
        """Run a request with an idempotency key at most once, also when it is resent."""
        context, progress = self._context, self._progress
        context.retries.first_attempt()
        for _ in range(MAX_ATTEMPTS):
            target = target_of(choice.servers[0])
            outcome = await claim(context, self._claim_name(), self.completion.key, target)
            if outcome.is_error():
                return outcome.error
            match outcome.ok:
                case Claimed(attempt=attempt):
                    progress.attempt = attempt
                    end = await self._attempt(choice, self._generate_body())
                case AlreadyClaimed(answer=answer):
                    progress.attempt = answer.attempt
                    target = answer.target
                    end = await self._attach(target)
            settled = await self._settle(end, target)
            if settled is not None:
                return settled.failure
            chosen = context.router.choose(self._routing_request(), now_ms(), context.rng)
            if chosen.is_error():
                return await verify_not_run(context, self._claim_name(), chosen.error)
            choice = chosen.ok
            if len(choice.servers) > 1:
                return await self._serve_by_group()
        return self._dispatch_failure("no server started an attempt")

    def _claim_name(self) -> str:
        """Return the name under which control replicas store the claim."""
        return claim_name(self.caller.customer, self.completion.key)

    async def _attach(self, target: Target) -> AttemptEnd:
        """Read the answer of the attempt that holds the claim, from its beginning."""
        self._context.counters.count("claim.attached")
        self._set_running_target(target)
        self._progress.running_target = None
        return await self._resume(target)

    async def _settle(self, end: AttemptEnd, target: Target) -> RequestEnded | None:
        """Settle the claim according to the end of its attempt; None allows another attempt."""
        context, progress = self._context, self._progress
        end = await self._resume_while_alive(end, target)
        name = self._claim_name()
        if isinstance(end, Completed):
            progress.running_target = None
            await settle_ran(context, name, progress.attempt, 200, "")
            return RequestEnded(None)
        if isinstance(end, NotBegun) and not end.reached:
            context.suspend(target)
            progress.excluded.exclude_temporarily(target.server, now_ms())
        never_began = isinstance(end, NotBegun) or await confirm_never_began(
            context, target, self.request_id, progress.attempt
        )
        progress.running_target = None
        if never_began:
            await settle_not_run(context, name, progress.attempt)
            context.counters.count("claim.freed")
            return None
        if progress.offset:
            return RequestEnded(
                Failure(ResultCode.ENGINE_LOST, "the engine failed in the middle of the answer")
            )
        message = "the attempt may have run"
        return RequestEnded(Failure(ResultCode.FATE_UNKNOWN, message, RETRY_LATER_MS))
