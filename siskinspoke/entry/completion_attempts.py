"""The attempts of one model request at backend servers."""

from dataclasses import dataclass, field
from functools import cached_property

import trio

from siskinspoke.coordination.crash_evidence.parts import MAX_PARTS, usable_parts
from siskinspoke.coordination.crash_watch import OpenRun, RunEnd
from siskinspoke.coordination.deadlines import margin_seconds
from siskinspoke.coordination.excluded_servers import ExcludedServers
from siskinspoke.coordination.fingerprints import RequestIdentity
from siskinspoke.coordination.routing import Choice, DispatchId, RoutingRequest, length_class
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.entry import groups
from siskinspoke.entry.backend import (
    CONNECTION_REFUSED,
    AttemptEnd,
    Completed,
    Lost,
    NotBegun,
    Unknown,
)
from siskinspoke.entry.context import EntryContext, now_ms, target_of
from siskinspoke.entry.crashes import handle_connection_refused
from siskinspoke.entry.requests import Caller, Completion
from siskinspoke.entry.stream_tokens import StreamToken
from siskinspoke.protocol.assembly import Assembler, Piece
from siskinspoke.protocol.claims import Target
from siskinspoke.protocol.engine import GenerateRequest
from siskinspoke.protocol.prefix import count_tokens, prefix_hashes

OUTBOX_BATCHES = 64
ATTEMPT_LEASE_MS = 5_000
MAX_RESUMES = 2
RETRY_LATER_MS = 2_000


def run_end(end: AttemptEnd | None) -> RunEnd:
    """Map the end of an attempt to a run end; None stands for a cancelled attempt."""
    match end:
        case Completed():
            return RunEnd.WHOLE
        case NotBegun():
            return RunEnd.NOT_RUN
    return RunEnd.BROKE


class ReaderTooSlowError(Exception):
    """The caller read nothing for ``reader_timeout_ms``."""


@dataclass
class Progress:
    """The state of an answer that deadlines, retries and cleanup depend on."""

    offset: int = 0
    text: list[str] = field(default_factory=list)
    attempt: int = 0
    running_target: Target | None = None
    dispatched: bool = False
    first_token_at: float | None = None
    excluded: ExcludedServers = field(default_factory=ExcludedServers)
    caller_gone: bool = False


class CompletionAttempts:
    """Send a request to backend servers and deliver their answers to the outbox."""

    def __init__(
        self,
        context: EntryContext,
        caller: Caller,
        completion: Completion,
        request_id: str,
        deadline: float,
    ):
        self.request_id = request_id
        self.caller = caller
        self.completion = completion
        self.failure: Failure | None = None
        self.token: StreamToken | None = None
        self._context = context
        timer_lateness = context.stall_detector.timer_lateness
        self._deadline = deadline - margin_seconds(completion.timeout_ms / 1000, timer_lateness)
        self.scope = trio.CancelScope(deadline=self._deadline)
        self._limits = context.holder.current.configuration.limits
        self._progress = Progress()
        self._prompt_tokens = count_tokens(completion.prompt)
        self._prefix_blocks = prefix_hashes(completion.prompt)
        self._send, self.outbox = trio.open_memory_channel[list[Piece]](OUTBOX_BATCHES)

    @property
    def prompt_tokens(self) -> int:
        """Return the number of prompt tokens."""
        return self._prompt_tokens

    @property
    def tokens(self) -> int:
        """Return the number of tokens answered so far."""
        return self._progress.offset

    @cached_property
    def _identity(self) -> RequestIdentity:
        """Return the identity by which repeats of the request are recognized."""
        target = f"{self.completion.service}/{self.completion.max_tokens}"
        parts = usable_parts(f"{block:x}" for block in self._prefix_blocks[:MAX_PARTS])
        return RequestIdentity(self.caller.customer, target, self.completion.prompt, parts)

    def _routing_request(self) -> RoutingRequest:
        limits = self._limits
        return RoutingRequest(
            self.completion.service,
            self._prompt_tokens,
            self.completion.max_tokens - self._progress.offset,
            length_class(self._prompt_tokens, limits.short_tokens, limits.long_tokens),
            self.caller.priority,
            self._prefix_blocks,
            (self._deadline - trio.current_time()) * 1000,
            frozenset(self._progress.excluded.current(self._context.directory, now_ms())),
        )

    def _dispatch_failure(self, message: str) -> Failure:
        if self._progress.offset:
            return Failure(ResultCode.ENGINE_LOST, message, RETRY_LATER_MS)
        return Failure(ResultCode.DISPATCH_FAILED, message, RETRY_LATER_MS, self._run_status())

    def _generate_body(self) -> GenerateRequest:
        progress = self._progress
        return GenerateRequest(
            request=self.request_id,
            attempt=progress.attempt,
            model=self.completion.service,
            prompt=self.completion.prompt + "".join(progress.text),
            max_tokens=self.completion.max_tokens,
            priority=self._routing_request().rank,
            offset=progress.offset,
            lease_ms=ATTEMPT_LEASE_MS,
        )

    async def _attempt(self, choice: Choice, body: GenerateRequest) -> AttemptEnd:
        """Dispatch one attempt to the first server of a choice and read its answer."""
        context, record = self._context, choice.servers[0]
        target = target_of(record)
        ticket = context.router.dispatched(
            record, self._routing_request(), choice.uncached_tokens, now_ms()
        )
        self._set_running_target(target)
        run = self._start_run(target)
        end: AttemptEnd | None = None
        try:
            end = await self._dispatch(target, body, ticket)
        finally:
            context.router.ended(ticket)
            context.crashes.end_run(run, run_end(end), now_ms())
        if isinstance(end, Completed):
            context.router.prefixes.stored(target.server, self._prefix_blocks)
        return end

    def _start_run(self, *targets: Target) -> OpenRun:
        """Record an attempt, so that a crash can be attributed to the requests open at a server."""
        starts = [(target.server, target.incarnation) for target in targets]
        return self._context.crashes.start_run(self._identity, starts, now_ms())

    async def _dispatch(
        self, target: Target, body: GenerateRequest, ticket: DispatchId | None
    ) -> AttemptEnd:
        """Send an attempt, marked as dispatched before its first byte leaves.

        The deadline may pass while a frozen server holds the request without responding, so the
        mark is removed only on proof that the attempt never began.
        """
        was_dispatched = self._progress.dispatched
        self._progress.dispatched = True
        end = await self._stream(target, "/v1/generate", body, ticket)
        if isinstance(end, NotBegun):
            self._progress.dispatched = was_dispatched
        return end

    def _set_running_target(self, target: Target, group: groups.Group | None = None) -> None:
        progress = self._progress
        progress.running_target = target
        self.token = StreamToken(
            self.caller.customer,
            self.request_id,
            progress.attempt,
            self.completion.max_tokens,
            target,
            group.reservation if group else "",
            [member.target for member in group.helpers] if group else [],
        )

    async def _resume_while_alive(self, end: AttemptEnd, target: Target) -> AttemptEnd:
        """Resume a broken stream while its server still sends announcements."""
        for _ in range(MAX_RESUMES):
            if not isinstance(end, Lost) or not self._context.is_alive(target):
                break
            self._context.counters.count("retried.resume")
            end = await self._resume(target)
            await self._check_for_crash(target, end)
        return end

    async def _check_for_crash(self, target: Target, end: AttemptEnd) -> None:
        """Record a crash if the server refuses connections or does not know the attempt."""
        if not isinstance(end, Completed):
            self._context.reach.record_failure(now_ms())
        match end:
            case NotBegun(reason=reason) if reason == CONNECTION_REFUSED:
                await handle_connection_refused(self._context, target)
            case Lost():
                if await self._context.backend.refuses_connections(target):
                    await handle_connection_refused(self._context, target)
            case Unknown():
                self._context.record_crash(target)

    async def _resume(self, target: Target) -> AttemptEnd:
        """Continue reading from a server that still runs the attempt."""
        body = {
            "request": self.request_id,
            "attempt": self._progress.attempt,
            "offset": self._progress.offset,
        }
        return await self._stream(target, "/v1/resume", body, None)

    async def _stream(
        self, target: Target, path: str, body: dict, ticket: DispatchId | None
    ) -> AttemptEnd:
        context, progress = self._context, self._progress
        assembler = Assembler(
            self.request_id, progress.attempt, target.incarnation, progress.offset
        )

        async def deliver(pieces: list[Piece]) -> None:
            await self._deliver(pieces, ticket)

        def accepted(number: int) -> None:
            if ticket is not None:
                context.router.accepted(ticket, number)

        single_use = self.completion.key is not None
        return await context.backend.stream(
            target,
            path,
            body,
            assembler,
            deliver,
            accepted,
            lambda: context.is_alive(target),
            single_use,
        )

    async def _deliver(self, pieces: list[Piece], ticket: DispatchId | None) -> None:
        """Put pieces into the outbox; a slow caller blocks only its own request.

        Pieces count as delivered only after the send.  A VM that resumes after a freeze may read
        pieces and see the lease of their server expired at once, and then cancels the attempt
        during the send; counting them earlier would make the next attempt skip them.
        """
        progress = self._progress
        self._context.reach.record_answer(self.completion.service, now_ms())
        if progress.first_token_at is None:
            progress.first_token_at = trio.current_time()
            if ticket is not None:
                self._context.router.first_token(ticket, now_ms())
        with trio.move_on_after(self._limits.reader_timeout_ms / 1000) as scope:
            try:
                await self._send.send(pieces)
            except trio.BrokenResourceError:
                progress.caller_gone = True
        if scope.cancelled_caught:
            raise ReaderTooSlowError
        for piece in pieces:
            progress.offset = piece.offset + piece.tokens
            progress.text.append(piece.text)
