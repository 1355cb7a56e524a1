"""One request to a model on its way: its attempts at servers, and what comes of them."""

from dataclasses import dataclass, field
from functools import cached_property

import trio

from siskinspoke.coordination.crash_watch import Run, RunEnd
from siskinspoke.coordination.deadlines import margin_seconds
from siskinspoke.coordination.fingerprints import Subject
from siskinspoke.coordination.left_out import LeftOut
from siskinspoke.coordination.routing import Choice, Ticket, Work, length_class
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.entry import groups
from siskinspoke.entry.backend import REFUSED, AttemptEnd, Completed, Lost, NotBegun, Unknown
from siskinspoke.entry.context import EntryContext, now_ms, target_of
from siskinspoke.entry.crashes import note_refusal
from siskinspoke.entry.requests import Caller, Completion
from siskinspoke.entry.stream_tokens import StreamToken
from siskinspoke.protocol.assembly import Assembler, Piece
from siskinspoke.protocol.claims import Target
from siskinspoke.protocol.engine import GenerateRequest
from siskinspoke.protocol.prefix import count_tokens, prefix_blocks

OUTBOX_BATCHES = 64
ATTEMPT_LEASE_MS = 5_000
RESUME_TRIES = 2
RETRY_LATER_MS = 2_000


def run_end(end: AttemptEnd | None) -> RunEnd:
    """Return what the end of an attempt proves; None is one that was cancelled."""
    match end:
        case Completed():
            return RunEnd.WHOLE
        case NotBegun():
            return RunEnd.NOT_RUN
    return RunEnd.BROKE


class ReaderTooSlowError(Exception):
    """The caller read nothing for its whole allowance."""


@dataclass
class Progress:
    """How far an answer has come, for its deadline, its retries and its clean-up."""

    offset: int = 0
    text: list[str] = field(default_factory=list)
    attempt: int = 0
    running: Target | None = None
    dispatched: bool = False
    first_token_at: float | None = None
    left_out: LeftOut = field(default_factory=LeftOut)
    abandoned: bool = False


class CompletionAttempts:
    """Send a request to servers, and pass on what they answer."""

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
        late = context.standstill.lateness
        self._deadline = deadline - margin_seconds(completion.timeout_ms / 1000, late)
        self.scope = trio.CancelScope(deadline=self._deadline)
        self._limits = context.holder.current.configuration.limits
        self._progress = Progress()
        self._prompt_tokens = count_tokens(completion.prompt)
        self._blocks = prefix_blocks(completion.prompt)
        self._send, self.outbox = trio.open_memory_channel[list[Piece]](OUTBOX_BATCHES)

    @property
    def prompt_tokens(self) -> int:
        """Return the tokens of the prompt."""
        return self._prompt_tokens

    @property
    def tokens(self) -> int:
        """Return the tokens answered so far."""
        return self._progress.offset

    @cached_property
    def _subject(self) -> Subject:
        """Return what tells whether another request is the same."""
        target = f"{self.completion.service}/{self.completion.max_tokens}"
        return Subject(self.caller.customer, target, self.completion.prompt)

    def _work(self) -> Work:
        limits = self._limits
        return Work(
            self.completion.service,
            self._prompt_tokens,
            self.completion.max_tokens - self._progress.offset,
            length_class(self._prompt_tokens, limits.short_tokens, limits.long_tokens),
            self.caller.priority,
            self._blocks,
            (self._deadline - trio.current_time()) * 1000,
            frozenset(self._progress.left_out.names(self._context.directory, now_ms())),
        )

    def _given_up(self, message: str) -> Failure:
        if self._progress.offset:
            return Failure(ResultCode.ENGINE_LOST, message, RETRY_LATER_MS)
        return Failure(ResultCode.DISPATCH_FAILED, message, RETRY_LATER_MS, self._fate())

    def _generate_body(self) -> GenerateRequest:
        progress = self._progress
        return GenerateRequest(
            request=self.request_id,
            attempt=progress.attempt,
            model=self.completion.service,
            prompt=self.completion.prompt + "".join(progress.text),
            max_tokens=self.completion.max_tokens,
            priority=self._work().rank,
            offset=progress.offset,
            lease_ms=ATTEMPT_LEASE_MS,
        )

    async def _attempt(self, choice: Choice, body: GenerateRequest) -> AttemptEnd:
        """Dispatch one attempt to the head of a choice and read its answer."""
        context, record = self._context, choice.servers[0]
        target = target_of(record)
        ticket = context.router.dispatched(record, self._work(), choice.uncached_tokens, now_ms())
        self._note_running(target)
        run = self._run_at(target)
        end: AttemptEnd | None = None
        try:
            end = await self._dispatch(target, body, ticket)
        finally:
            context.router.ended(ticket)
            context.crashes.ended(run, run_end(end), now_ms())
        if isinstance(end, Completed):
            context.router.prefixes.stored(target.server, self._blocks)
        return end

    def _run_at(self, *targets: Target) -> Run:
        """Note an attempt, for who asks later which requests were open at a server."""
        starts = [(target.server, target.incarnation) for target in targets]
        return self._context.crashes.began(self._subject, starts, now_ms())

    async def _dispatch(
        self, target: Target, body: GenerateRequest, ticket: Ticket | None
    ) -> AttemptEnd:
        """Send an attempt; from before its first byte on it counts as dispatched.

        The deadline may pass while a frozen server has the request and has said nothing:
        only a proof that it never began takes the mark back.
        """
        before = self._progress.dispatched
        self._progress.dispatched = True
        end = await self._stream(target, "/v1/generate", body, ticket)
        if isinstance(end, NotBegun):
            self._progress.dispatched = before
        return end

    def _note_running(self, target: Target, group: groups.Group | None = None) -> None:
        progress = self._progress
        progress.running = target
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
        """Read on where a stream broke off, for as long as its server announces itself."""
        for _ in range(RESUME_TRIES):
            if not isinstance(end, Lost) or not self._context.is_alive(target):
                break
            self._context.counters.count("retried.resume")
            end = await self._resume(target)
            await self._note_crash(target, end)
        return end

    async def _note_crash(self, target: Target, resumed: AttemptEnd) -> None:
        """Take in what a server's word after a break shows: refused, or nothing known of it."""
        match resumed:
            case NotBegun(reason=reason) if reason == REFUSED:
                await note_refusal(self._context, target)
            case Unknown():
                self._context.crashed(target)

    async def _resume(self, target: Target) -> AttemptEnd:
        """Read on from a server that still runs the attempt, after its connection broke."""
        body = {
            "request": self.request_id,
            "attempt": self._progress.attempt,
            "offset": self._progress.offset,
        }
        return await self._stream(target, "/v1/resume", body, None)

    async def _stream(
        self, target: Target, path: str, body: dict, ticket: Ticket | None
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

    async def _deliver(self, pieces: list[Piece], ticket: Ticket | None) -> None:
        """Hand pieces to the caller's side, which may hold up nobody but itself.

        Pieces count as delivered only once they are handed over.  A VM that thaws finds them
        together with the lapse of their server, and gives the attempt up in this very wait; if
        they counted then, the next attempt would go on behind them and leave a gap.
        """
        progress = self._progress
        if progress.first_token_at is None:
            progress.first_token_at = trio.current_time()
            if ticket is not None:
                self._context.router.first_token(ticket, now_ms())
        with trio.move_on_after(self._limits.reader_timeout_ms / 1000) as scope:
            try:
                await self._send.send(pieces)
            except trio.BrokenResourceError:
                progress.abandoned = True
        if scope.cancelled_caught:
            raise ReaderTooSlowError
        for piece in pieces:
            progress.offset = piece.offset + piece.tokens
            progress.text.append(piece.text)
