"""Assemble an answer from chunks that may be late, duplicated, misdirected or missing."""

from dataclasses import dataclass

from siskinspoke.protocol.engine import Chunk


@dataclass(frozen=True)
class Piece:
    """New text of the answer, starting at token ``offset``."""

    offset: int
    tokens: int
    text: str


@dataclass(frozen=True)
class Ignored:
    """A chunk of another attempt, or one that adds nothing; ``reason`` tells which."""

    reason: str


@dataclass(frozen=True)
class Gap:
    """Tokens are missing, so the rest of the stream cannot be used."""

    expected: int
    got: int


@dataclass(frozen=True)
class Complete:
    """The answer is complete."""

    tokens: int


AssemblyResult = Piece | Ignored | Gap | Complete


class Assembler:
    """Accept the chunks of one attempt at one incarnation of a server, in order of offset."""

    def __init__(self, request: str, attempt: int, incarnation: int, offset: int):
        self._source = (request, attempt, incarnation)
        self._next_offset = offset

    @property
    def offset(self) -> int:
        """Return the index of the next token."""
        return self._next_offset

    def feed(self, chunk: Chunk) -> AssemblyResult:
        """Process a chunk and return what it adds.

        An abandoned attempt may still send chunks, and an engine restarted at the same address may
        answer a request that it never received. Both differ in attempt or incarnation.
        """
        if (chunk.request, chunk.attempt, chunk.incarnation) != self._source:
            return Ignored("foreign")
        if chunk.offset > self._next_offset:
            return Gap(self._next_offset, chunk.offset)
        if chunk.done:
            return (
                Complete(self._next_offset)
                if chunk.offset == self._next_offset
                else Ignored("early end")
            )
        if chunk.offset < self._next_offset:
            return Ignored("doubled")
        self._next_offset += chunk.tokens
        return Piece(chunk.offset, chunk.tokens, chunk.text)
