"""Serve one request to a plain service, at most once if it is not idempotent."""

import httpx
import msgspec
import trio

from siskinspoke.coordination.crash_watch import RunEnd
from siskinspoke.coordination.crashes import Probation, Quarantined
from siskinspoke.coordination.deadlines import margin_seconds
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.fingerprints import RequestIdentity
from siskinspoke.core.codes import CODE_INFO, Failure, ResultCode, RunStatus
from siskinspoke.entry.backend import connection_failed
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
from siskinspoke.entry.context import EntryContext, now_ms, target_of
from siskinspoke.entry.crashes import (
    count_quarantine_refusal,
    handle_connection_refused,
    wait_for_verdict,
)
from siskinspoke.entry.requests import Call, Caller
from siskinspoke.protocol.claims import ClaimAnswer, Target

MAX_ATTEMPTS = 4
RETRY_LATER_MS = 1_000


class _NotBegun(Exception):  # noqa: N818  (an outcome, not an error)
    """No byte of the call was sent, or the server refused to run it."""


def _decode_answer(response: httpx.Response) -> dict:
    """Decode the answer of a service; wrap anything but a JSON object as text."""
    try:
        return msgspec.json.decode(response.content, type=dict)
    except msgspec.MsgspecError:
        return {"text": response.text}


class CallJob:
    """Run one call of a plain service."""

    def __init__(
        self, context: EntryContext, caller: Caller, call: Call, request_id: str, arrived_at: float
    ):
        self._context = context
        self._caller = caller
        self._call = call
        self._request_id = request_id
        timeout_seconds = call.timeout_ms / 1000
        self._deadline = (
            arrived_at
            + timeout_seconds
            - margin_seconds(timeout_seconds, context.stall_detector.timer_lateness)
        )
        self._dispatched = False
        self._excluded: set[str] = set()
        self._identity = RequestIdentity(caller.customer, call.service, call.input)

    async def run(self) -> dict | Failure:
        """Return the answer of the service or the final failure."""
        with trio.move_on_at(self._deadline):
            verdict = await wait_for_verdict(self._context, self._identity)
            match verdict:
                case Quarantined() if self._call.key is None:
                    return count_quarantine_refusal(self._context, verdict)
                case Quarantined():
                    failure = count_quarantine_refusal(self._context, verdict)
                    return await verify_not_run(self._context, self._subject(), failure)
                case Probation():
                    self._context.crashes.record_probe(self._identity, now_ms())
            if self._call.key is not None:
                return await self._run_claimed()
            return await self._run_plain()
        # A request with an idempotency key may be the resend of one that ran at another VM.
        unknown = self._dispatched or self._call.key is not None
        run = RunStatus.UNKNOWN if unknown else RunStatus.NOT_RUN
        return Failure(ResultCode.DEADLINE_PASSED, "the deadline passed", None, run)

    def _choose(self) -> ServerRecord | None:
        """Return the least busy server that has not failed this request; ties go to local ones."""
        now = now_ms()
        serving = self._context.directory.live_servers_of(self._call.service, now)
        serving = self._context.router.not_backing_off(serving, now)
        usable = [r for r in serving if r.announcement.server not in self._excluded]
        if not usable:
            return None
        self._context.rng.shuffle(usable)
        local_domain = self._context.vm.failure_domain
        return min(
            usable,
            key=lambda r: (r.announcement.running, r.announcement.failure_domain != local_domain),
        )

    def _no_server_failure(self) -> Failure:
        context = self._context
        failure = context.router.no_server_failure(self._call.service, now_ms(), context.rng)
        return failure._replace(retry_after_ms=max(RETRY_LATER_MS, failure.retry_after_ms))

    async def _send(self, target: Target, attempt: int) -> dict:
        """Call the server once; raise _NotBegun if the call provably never began."""
        body = {
            "request": self._request_id,
            "attempt": attempt,
            "subject": self._subject(),
            "input": self._call.input,
        }
        crashes = self._context.crashes
        start = (target.server, target.incarnation)
        run, end = crashes.start_run(self._identity, [start], now_ms()), RunEnd.BROKE
        try:
            self._dispatched = True
            response = await self._context.backend.call(target, body)
            self._context.reach.record_answer(self._call.service, now_ms())
            end = RunEnd.WHOLE
        except httpx.HTTPError as error:
            if connection_failed(error):
                self._dispatched = False
                end = RunEnd.NOT_RUN
                raise _NotBegun from error
            raise
        finally:
            crashes.end_run(run, end, now_ms())
        if response.status_code == 409:
            self._dispatched = False
            raise _NotBegun
        response.raise_for_status()
        return _decode_answer(response)

    def _subject(self) -> str:
        """Return the claim name, or the request id if the request has no key."""
        key = self._call.key
        return claim_name(self._caller.customer, key) if key else self._request_id

    async def _run_plain(self) -> dict | Failure:
        """Call an idempotent service and retry failed calls within the retry budget."""
        context = self._context
        context.retries.first_attempt()
        reason = "all attempts failed"
        for attempt in range(1, MAX_ATTEMPTS + 1):
            record = self._choose()
            if record is None:
                return self._no_server_failure()
            target = target_of(record)
            try:
                return await self._send(target, attempt)
            except _NotBegun:
                self._exclude_unreachable(target)
                reason = "the server did not accept the call"
            except httpx.HTTPError as error:
                self._excluded.add(target.server)
                reason = type(error).__name__
                await self._check_for_crash(target)
                if isinstance(await wait_for_verdict(context, self._identity), Quarantined):
                    reason = "this request may be crashing servers"
                    break
            if not context.retries.spend():
                context.counters.count("retry.budget_spent")
                break
            context.counters.count("retried.call")
        run = RunStatus.UNKNOWN if self._dispatched else RunStatus.NOT_RUN
        return Failure(ResultCode.DISPATCH_FAILED, reason, RETRY_LATER_MS, run)

    async def _check_for_crash(self, target: Target) -> None:
        """Check whether a server has crashed after a call to it broke off."""
        self._context.reach.record_failure(now_ms())
        if await self._context.backend.refuses_connections(target):
            await handle_connection_refused(self._context, target)

    def _exclude_unreachable(self, target: Target) -> None:
        self._excluded.add(target.server)
        self._context.suspend(target)

    async def _run_claimed(self) -> dict | Failure:
        """Call a service at most once for this key, also when the request is resent."""
        context = self._context
        for _ in range(MAX_ATTEMPTS):
            record = self._choose()
            if record is None:
                return await self._answer_without_server()
            outcome = await claim(context, self._subject(), self._call.key, target_of(record))
            if outcome.is_error():
                return outcome.error
            match outcome.ok:
                case Claimed(attempt=attempt):
                    answer = await self._run_attempt(target_of(record), attempt)
                case AlreadyClaimed(answer=held):
                    answer = await self._answer_from_claim(held)
            if answer is not None:
                return answer
        return Failure(
            ResultCode.DISPATCH_FAILED,
            "no server started an attempt",
            RETRY_LATER_MS,
            RunStatus.NOT_RUN,
        )

    async def _answer_without_server(self) -> dict | Failure:
        """Answer from the claim, if there is one, when no server is available."""
        context = self._context
        found = await lookup(context, self._subject())
        if found.is_error():
            return self._no_server_failure()._replace(run=RunStatus.UNKNOWN)
        if found.ok.code == ResultCode.OK:
            return self._no_server_failure()
        return await self._answer_from_claim(found.ok) or self._no_server_failure()

    async def _run_attempt(self, target: Target, attempt: int) -> dict | Failure | None:
        """Run the claimed attempt; None allows another attempt."""
        context = self._context
        try:
            answer = await self._send(target, attempt)
        except _NotBegun:
            self._exclude_unreachable(target)
            await settle_not_run(context, self._subject(), attempt)
            return None
        except httpx.HTTPStatusError as error:
            return await self._settle_server_error(error, attempt)
        except httpx.HTTPError:
            await self._check_for_crash(target)
            if await confirm_never_began(context, target, self._request_id, attempt):
                self._excluded.add(target.server)
                await settle_not_run(context, self._subject(), attempt)
                return None
            return Failure(ResultCode.FATE_UNKNOWN, "the call may have run", RETRY_LATER_MS)
        body = msgspec.json.encode(answer).decode()
        await settle_ran(context, self._subject(), attempt, 200, body)
        return answer

    async def _settle_server_error(self, error: httpx.HTTPStatusError, attempt: int) -> Failure:
        status = error.response.status_code
        await settle_ran(self._context, self._subject(), attempt, status, "")
        return Failure(ResultCode.SERVER_ERROR, f"the service answered {status}")

    async def _answer_from_claim(self, claim_answer: ClaimAnswer) -> dict | Failure | None:
        """Answer a resend from the state of the attempt that holds the claim."""
        context = self._context
        if claim_answer.code == ResultCode.ALREADY_RAN:
            if claim_answer.status == 200 and claim_answer.body:
                return msgspec.json.decode(claim_answer.body.encode())
            if claim_answer.status != 200:
                return Failure(
                    ResultCode.SERVER_ERROR, f"the service answered {claim_answer.status}"
                )
            return Failure(
                ResultCode.ALREADY_RAN, "the call ran; its answer is no longer available"
            )
        state = await context.backend.cancel(
            claim_answer.target, self._request_id, claim_answer.attempt, unless_began=True
        )
        match state:
            case "never_began":
                await settle_not_run(context, self._subject(), claim_answer.attempt)
                context.counters.count("claim.freed")
                return None
            case "running":
                message = CODE_INFO[ResultCode.IN_PROGRESS].meaning
                return Failure(ResultCode.IN_PROGRESS, message, RETRY_LATER_MS)
            case "finished":
                return await self._settle_finished(claim_answer)
            case _:
                message = "the first attempt may have run"
                return Failure(ResultCode.FATE_UNKNOWN, message, RETRY_LATER_MS)

    async def _settle_finished(self, claim_answer: ClaimAnswer) -> Failure:
        """Settle the claim of an owner that died, and whose answer was lost with it."""
        await settle_ran(self._context, self._subject(), claim_answer.attempt, 200, "")
        return Failure(ResultCode.ALREADY_RAN, "the call ran; its answer is no longer available")
