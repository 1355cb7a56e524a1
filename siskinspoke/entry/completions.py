"""Answer one request to a model: admit, claim, choose, retry, and clean up behind it."""

from dataclasses import dataclass

import trio
from expression import Error, Result
from loguru import logger

from siskinspoke.coordination import fairness
from siskinspoke.coordination.crashes import Probation, Quarantined
from siskinspoke.coordination.routing import Choice
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.core.codes import Run as Fate
from siskinspoke.entry import groups
from siskinspoke.entry.backend import AttemptEnd, Completed, Lost, NotBegun, Unknown
from siskinspoke.entry.claiming import (
    Claimed,
    Held,
    claim,
    claim_name,
    find_out,
    honest,
    lookup,
    settle_not_run,
    settle_ran,
)
from siskinspoke.entry.completion_attempts import CompletionAttempts, ReaderTooSlowError, run_end
from siskinspoke.entry.context import now_ms, target_of
from siskinspoke.entry.crashes import refusal, verdict_on
from siskinspoke.entry.janitor import CancelAttempt
from siskinspoke.protocol.claims import ClaimAnswer, Target

MAX_ATTEMPTS = 4
RETRY_LATER_MS = 2_000
# A last word that leaves so much later than it was due is worth a line.
OVERRUN_MS = 20
# An engine with all slots taken ends a stream several times a second.
ROOM_AGAIN_SECONDS = 0.2


@dataclass(frozen=True)
class Settled:
    """A claimed request has ended, with or without a failure."""

    failure: Failure | None


class CompletionJob(CompletionAttempts):
    """One request to a model, run by a task of its own; its caller reads the outbox."""

    def admit(self) -> Result[Choice, Failure]:
        """Decide whether the request can be served on time and within its customer's share."""
        context, work = self._context, self._work()
        verdict = context.crashes.judge(self._subject, now_ms())
        if isinstance(verdict, Quarantined):
            return Error(refusal(context, verdict))
        chosen = context.router.choose(work, now_ms(), context.rng)
        if chosen.is_error():
            return chosen
        weights = {
            name: customer.weight
            for name, customer in context.holder.current.configuration.customers.items()
        }
        ratio = context.shares.ratio(self.caller.customer, weights, now_ms())
        excess = chosen.ok.backlog_ms - fairness.patience_ms(ratio, self._limits.backlog_ms)
        if excess > 0:
            return Error(self._over_share(ratio, excess))
        amount = fairness.work_tokens(chosen.ok.uncached_tokens, work.max_tokens)
        context.shares.record(self.caller.customer, amount, now_ms())
        return chosen

    def _over_share(self, ratio: float, excess_ms: float) -> Failure:
        """Return the refusal of a request that would add to an overload."""
        retry = self._context.router.retry_after(excess_ms, self._context.rng)
        if ratio <= 1:
            return Failure(ResultCode.OVERLOADED, "every server's backlog is over the limit", retry)
        message = f"customer {self.caller.customer} is at {ratio:.1f} of its fair share"
        return Failure(ResultCode.CUSTOMER_LIMIT, message, retry)

    async def run(self, first: Choice) -> None:
        """Serve the request to its end; ``failure`` then says what went wrong, if anything."""
        ended = False
        self._context.request_opened()
        try:
            with self.scope:
                self.failure = await self._serve(first)
                ended = True
        except ReaderTooSlowError:
            self.failure = Failure(ResultCode.SLOW_READER, "the caller read too slowly")
        except Exception as error:
            # The job runs in the nursery of the whole daemon: a fault that got through would
            # end the VM, and every stream on it, for the sake of one request.
            logger.error("request {} failed: {!r}", self.request_id, error)
            self.failure = Failure(ResultCode.INTERNAL, "a fault of this VM")
        finally:
            if not ended and self.failure is None:
                self.failure = self._cut_short()
                self._note_overrun()
            self._clean_up()
            self._send.close()
            self._context.request_closed()
            if self.failure is not None:
                self._context.counters.count(f"failed.{self.failure.code.name.lower()}")

    def _note_overrun(self) -> None:
        """Write down a last word that leaves late: this VM stood still, or its timers are late."""
        over_ms = round((trio.current_time() - self._deadline) * 1000)
        if over_ms >= OVERRUN_MS:
            late_ms = round(self._context.standstill.lateness * 1000)
            logger.info(
                "request {} ends {} ms late, timers {} ms", self.request_id, over_ms, late_ms
            )

    def _cut_short(self) -> Failure:
        """Return the failure of a request whose deadline passed or whose caller hung up."""
        run = self._fate()
        if self._progress.abandoned:
            return Failure(ResultCode.CALLER_GONE, "the caller hung up", None, run)
        return Failure(ResultCode.DEADLINE_PASSED, "the deadline passed", None, run)

    def _fate(self) -> Fate:
        """Return what is known of a request that ends without its answer.

        One with a key may be the resend of a request that ran at another VM.
        """
        if self._progress.offset:
            return Fate.RAN
        if self._progress.dispatched or self.completion.key is not None:
            return Fate.UNKNOWN
        return Fate.NOT_RUN

    def hang_up(self) -> None:
        """Note that the caller is gone; an attempt that may run only once goes on.

        The caller of a non-idempotent request resends it through another VM, which must find
        the first attempt running and not cancelled halfway.
        """
        self._progress.abandoned = True
        self.outbox.close()
        if self.completion.key is None:
            self.scope.cancel()

    def _clean_up(self) -> None:
        """Cancel the attempt that may still hold an engine's memory."""
        running = self._progress.running
        if running is not None:
            self._context.janitor.add(
                CancelAttempt(running, self.request_id, self._progress.attempt)
            )

    async def _serve(self, choice: Choice) -> Failure | None:
        verdict = await verdict_on(self._context, self._subject)
        if isinstance(verdict, Quarantined):
            return refusal(self._context, verdict)._replace(run=self._fate())
        if isinstance(verdict, Probation):
            self._context.crashes.probe(self._subject, now_ms())
        if len(choice.servers) > 1:
            return await self._serve_by_group()
        if self.completion.key is not None:
            return await self._serve_claimed(choice)
        return await self._serve_idempotent(choice)

    async def _serve_idempotent(self, choice: Choice) -> Failure | None:
        """Attempt until the answer is whole; each retry goes elsewhere and costs budget."""
        context, progress = self._context, self._progress
        context.retries.first_attempt()
        while True:
            progress.attempt += 1
            target = target_of(choice.servers[0])
            end = await self._attempt(choice, self._generate_body())
            end = await self._resume_while_alive(end, target)
            match end:
                case Completed():
                    progress.running = None
                    return None
                case NotBegun(reason=reason, reached=reached):
                    if not reached:
                        context.directory.suspect(target.server, target.incarnation, now_ms())
                case Lost(reason=reason):
                    # Its resumption broke off too.  A dead server behind something that still
                    # accepts connections looks like this to every request of the lease.
                    context.directory.suspect(target.server, target.incarnation, now_ms())
                    self._clean_up()
                case Unknown():
                    reason = "unknown to the server"
                    self._clean_up()
            progress.running = None
            progress.left_out.put_off(target.server, now_ms())
            if progress.attempt == MAX_ATTEMPTS:
                break
            if isinstance(await verdict_on(context, self._subject), Quarantined):
                return self._given_up("servers crash under this request")
            chosen = await self._next_choice(reason)
            if isinstance(chosen, Failure):
                return chosen
            context.counters.count(f"retried.{type(end).__name__.lower()}")
            choice = chosen
            if len(choice.servers) > 1:
                return await self._serve_by_group()
        return self._given_up("no attempt succeeded")

    async def _next_choice(self, reason: str) -> Choice | Failure:
        """Return where the request goes next, or the failure that it ends with.

        An answer that has begun waits for room and budget until its time is over: its caller holds
        a part of it, and ended at once it would be lost beside an engine that has room a moment
        later.
        """
        context = self._context
        while True:
            chosen = context.router.choose(self._work(), now_ms(), context.rng)
            if chosen.is_error():
                message = chosen.error.message
            elif context.retries.take():
                return chosen.ok
            else:
                context.counters.count("retry.budget_spent")
                message = f"{reason}; the retry budget is spent"
            if not self._progress.offset:
                return self._given_up(message)
            await trio.sleep(ROOM_AGAIN_SECONDS)

    async def _serve_by_group(self) -> Failure | None:
        """Serve a prompt that no single engine holds."""
        context = self._context
        if self.completion.key is not None:
            found = await lookup(context, self._claim_key())
            if found.is_error():
                return found.error
            if found.ok.code != ResultCode.OK:
                return await self._follow(found.ok)
        refusal: list[Failure] = []

        def choose() -> Choice | None:
            chosen = context.router.choose(self._work(), now_ms(), context.rng)
            if chosen.is_error():
                refusal.append(chosen.error)
                return None
            return chosen.ok

        async with groups.reserved(context, choose) as group:
            if group is None:
                return refusal[0]
            if not await groups.prefill_helpers(context, group):
                return self._given_up("a member of the group was lost")
            return await self._run_by_group(group)

    async def _run_by_group(self, group: groups.Group) -> Failure | None:
        """Run the one attempt of a reserved group, claimed first if it may run only once."""
        context, progress, target = self._context, self._progress, group.head.target
        if self.completion.key is None:
            progress.attempt += 1
        else:
            outcome = await claim(context, self._claim_key(), self.completion.key, target)
            if outcome.is_error():
                return outcome.error
            if isinstance(outcome.ok, Held):
                return await self._follow(outcome.ok.answer)
            progress.attempt = outcome.ok.attempt
        body = self._generate_body()
        body["reservation"] = group.reservation
        body["prefilled"] = sum(member.tokens for member in group.helpers)
        self._note_running(target, group)
        run = self._run_at(target, *(member.target for member in group.helpers))
        end: AttemptEnd | None = None
        try:
            end = await self._dispatch(target, body, None)
        finally:
            context.crashes.ended(run, run_end(end), now_ms())
        if self.completion.key is not None:
            return self._outcome(await self._settle(end, target))
        end = await self._resume_while_alive(end, target)
        if isinstance(end, Completed):
            progress.running = None
            return None
        return self._given_up("the head of the group was lost")

    async def _follow(self, answer: ClaimAnswer) -> Failure | None:
        """Read the answer of the attempt that holds the claim, and settle it if need be."""
        self._progress.attempt = answer.attempt
        end = await self._attach(answer.target)
        return self._outcome(await self._settle(end, answer.target))

    def _outcome(self, settled: Settled | None) -> Failure | None:
        """Return how a claimed request ends that begins no other attempt here."""
        if settled is not None:
            return settled.failure
        message = "the attempt never began; ask again"
        return Failure(ResultCode.DISPATCH_FAILED, message, RETRY_LATER_MS, Fate.NOT_RUN)

    async def _serve_claimed(self, choice: Choice) -> Failure | None:
        """Run a non-idempotent request at most once, whoever else asks for it."""
        context, progress = self._context, self._progress
        context.retries.first_attempt()
        for _ in range(MAX_ATTEMPTS):
            target = target_of(choice.servers[0])
            outcome = await claim(context, self._claim_key(), self.completion.key, target)
            if outcome.is_error():
                return outcome.error
            match outcome.ok:
                case Claimed(attempt=attempt):
                    progress.attempt = attempt
                    end = await self._attempt(choice, self._generate_body())
                case Held(answer=answer):
                    progress.attempt = answer.attempt
                    target = answer.target
                    end = await self._attach(target)
            settled = await self._settle(end, target)
            if settled is not None:
                return settled.failure
            chosen = context.router.choose(self._work(), now_ms(), context.rng)
            if chosen.is_error():
                return await honest(context, self._claim_key(), chosen.error)
            choice = chosen.ok
            if len(choice.servers) > 1:
                return await self._serve_by_group()
        return self._given_up("no attempt began")

    def _claim_key(self) -> str:
        """Return the name under which the request is claimed."""
        return claim_name(self.caller.customer, self.completion.key)

    async def _attach(self, target: Target) -> AttemptEnd:
        """Read the answer of the attempt that holds the claim, from its beginning."""
        self._context.counters.count("claim.attached")
        self._note_running(target)
        self._progress.running = None
        return await self._resume(target)

    async def _settle(self, end: AttemptEnd, target: Target) -> Settled | None:
        """Settle a claim by how its attempt ended; None means that another may begin."""
        context, progress = self._context, self._progress
        end = await self._resume_while_alive(end, target)
        key = self._claim_key()
        if isinstance(end, Completed):
            progress.running = None
            await settle_ran(context, key, progress.attempt, 200, "")
            return Settled(None)
        if isinstance(end, NotBegun) and not end.reached:
            context.directory.suspect(target.server, target.incarnation, now_ms())
            progress.left_out.put_off(target.server, now_ms())
        proven = isinstance(end, NotBegun) or await find_out(
            context, target, self.request_id, progress.attempt
        )
        progress.running = None
        if proven:
            await settle_not_run(context, key, progress.attempt)
            context.counters.count("claim.freed")
            return None
        if progress.offset:
            return Settled(Failure(ResultCode.ENGINE_LOST, "the engine was lost in mid-answer"))
        message = "the attempt may have run"
        return Settled(Failure(ResultCode.FATE_UNKNOWN, message, RETRY_LATER_MS))
