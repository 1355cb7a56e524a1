"""Resume a stream at another entry VM after the first one died."""

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
    """Run a resumed stream whose attempt the backend server still runs."""

    def __init__(self, context: EntryContext, token: StreamToken, offset: int):
        limits = context.holder.current.configuration.limits
        self.request_id = token.request
        self.token = token
        self.failure: Failure | None = None
        self.prompt_tokens = 0
        self.tokens = offset
        self.scope = trio.CancelScope(deadline=trio.current_time() + limits.max_timeout_ms / 1000)
        self._context = context
        self._reader_timeout_seconds = limits.reader_timeout_ms / 1000
        self._send, self.outbox = trio.open_memory_channel[list[Piece]](OUTBOX_BATCHES)

    def caller_disconnected(self) -> None:
        """Stop reading for a disconnected caller; the lease of the attempt frees the engine."""
        self.outbox.close()
        self.scope.cancel()

    async def run(self) -> None:
        """Read the attempt from the offset to its end."""
        ended = False
        self._context.request_opened()
        try:
            with self.scope:
                self.failure = await self._read()
                ended = True
        except (trio.BrokenResourceError, trio.TooSlowError):
            self.failure = Failure(
                ResultCode.SLOW_READER, "the caller did not read the answer in time"
            )
        except Exception as error:
            # An uncaught exception would cancel all other requests of the VM.
            logger.error("resumed stream {} failed: {!r}", self.request_id, error)
            self.failure = Failure(ResultCode.INTERNAL, "internal error of this VM")
        finally:
            if not ended and self.failure is None:
                self.failure = Failure(ResultCode.CALLER_GONE, "the stream was interrupted")
            self._send.close()
            self._context.request_closed()

    async def _read(self) -> Failure | None:
        """Read the stream; renew the leases of a group, whose first owner may be dead."""
        token = self.token
        if not token.reservation:
            return await self._stream()
        with groups.renewing_leases(
            self._context, token.reservation, [token.target, *token.helpers]
        ):
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
                return Failure(ResultCode.UNKNOWN_STREAM, "the stream has ended or was lost")
            case Lost(reason=reason):
                return Failure(ResultCode.ENGINE_LOST, reason)

    async def _deliver(self, pieces: list[Piece]) -> None:
        self.tokens = pieces[-1].offset + pieces[-1].tokens
        with trio.fail_after(self._reader_timeout_seconds):
            await self._send.send(pieces)
