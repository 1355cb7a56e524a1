"""Read on in an answer at another entry VM, after the first one died."""

import trio
from loguru import logger

from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.entry import groups
from siskinspoke.entry.backend import Completed, Lost, NotBegun, Unknown
from siskinspoke.entry.context import EntryContext
from siskinspoke.entry.stream_tokens import StreamToken
from siskinspoke.protocol.assembly import Assembler, Piece

OUTBOX_BATCHES = 64


class ResumeJob:
    """One resumed stream; the backend server still runs the attempt."""

    def __init__(self, context: EntryContext, token: StreamToken, offset: int):
        limits = context.holder.current.configuration.limits
        self.request_id = token.request
        self.token = token
        self.failure: Failure | None = None
        self.prompt_tokens = 0
        self.tokens = offset
        self.scope = trio.CancelScope(deadline=trio.current_time() + limits.max_timeout_ms / 1000)
        self._context = context
        self._reader_seconds = limits.reader_timeout_ms / 1000
        self._send, self.outbox = trio.open_memory_channel[list[Piece]](OUTBOX_BATCHES)

    def hang_up(self) -> None:
        """Note that the caller is gone; the attempt's lease frees the engine."""
        self.outbox.close()
        self.scope.cancel()

    async def run(self) -> None:
        """Read the attempt from the offset on to its end."""
        ended = False
        self._context.request_opened()
        try:
            with self.scope:
                self.failure = await self._read()
                ended = True
        except (trio.BrokenResourceError, trio.TooSlowError):
            self.failure = Failure(ResultCode.SLOW_READER, "the caller read too slowly")
        except Exception as error:
            # As for completions: one request must not end the VM.
            logger.error("resumed stream {} failed: {!r}", self.request_id, error)
            self.failure = Failure(ResultCode.INTERNAL, "a fault of this VM")
        finally:
            if not ended and self.failure is None:
                self.failure = Failure(ResultCode.CALLER_GONE, "the stream was cut")
            self._send.close()
            self._context.request_closed()

    async def _read(self) -> Failure | None:
        """Read the stream; keep a group's memory, whose first owner may be dead."""
        token = self.token
        if not token.reservation:
            return await self._stream()
        with groups.renewed(self._context, token.reservation, [token.target, *token.helpers]):
            return await self._stream()

    async def _stream(self) -> Failure | None:
        context, token = self._context, self.token
        assembler = Assembler(token.request, token.attempt, token.target.incarnation, self.tokens)
        body = {"request": token.request, "attempt": token.attempt, "offset": self.tokens}
        end = await context.backend.stream(
            token.target,
            "/v1/resume",
            body,
            assembler,
            self._deliver,
            lambda number: None,
            lambda: context.is_alive(token.target),
        )
        match end:
            case Completed():
                return None
            case NotBegun() | Unknown():
                return Failure(ResultCode.UNKNOWN_STREAM, "the stream is over or was lost")
            case Lost(reason=reason):
                return Failure(ResultCode.ENGINE_LOST, reason)

    async def _deliver(self, pieces: list[Piece]) -> None:
        self.tokens = pieces[-1].offset + pieces[-1].tokens
        with trio.fail_after(self._reader_seconds):
            await self._send.send(pieces)
