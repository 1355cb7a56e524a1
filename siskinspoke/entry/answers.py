"""HTTP responses from the outbox of a job, as one document or as server-sent events."""

from typing import Any

import msgspec
from quart import Response

from siskinspoke.core.codes import Failure
from siskinspoke.entry.completions import CompletionJob
from siskinspoke.entry.resuming import ResumeJob
from siskinspoke.entry.stream_tokens import issue_token
from siskinspoke.protocol.assembly import Piece
from siskinspoke.transport.http import json_response

EVENT_STREAM = "text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"

Job = CompletionJob | ResumeJob


async def answer_job(job: Job, stream: bool, key: bytes) -> Response | Failure:
    """Return a complete answer, or a stream once its first piece is available.

    A failure before the first piece is returned.  ``key`` seals the token with which the caller can
    resume the stream at another VM.
    """
    if not stream:
        return await _complete_answer(job)
    try:
        first = await anext(aiter(job.outbox), None)
    except BaseException:
        job.caller_disconnected()
        raise
    if first is None and job.failure is not None:
        return job.failure
    headers = {"Cache-Control": "no-store", "X-Request-Id": job.request_id}
    events = _events(job, first, issue_token(job.token, key))
    return Response(events, 200, headers, content_type=EVENT_STREAM)


async def _complete_answer(job: Job) -> Response | Failure:
    texts: list[str] = []
    try:
        async for pieces in job.outbox:
            texts.extend(piece.text for piece in pieces)
    except BaseException:
        job.caller_disconnected()
        raise
    if job.failure is not None:
        return job.failure
    return json_response(
        {
            "id": job.request_id,
            "object": "text_completion",
            "choices": [_choice("".join(texts), "length")],
            "usage": {"prompt_tokens": job.prompt_tokens, "completion_tokens": job.tokens},
        }
    )


async def _events(job: Job, first: list[Piece] | None, token: str):
    """Yield the events of a stream; only a complete answer ends with [DONE]."""
    finished = False
    try:
        yield _event({"id": job.request_id, "resume_token": token})
        if first is not None:
            yield _pieces_event(job, first)
        async for pieces in job.outbox:
            yield _pieces_event(job, pieces)
        finished = True
        if job.failure is not None:
            yield _event(job.failure.to_document())
            return
        last = {"id": job.request_id, "offset": job.tokens, "choices": [_choice("", "length")]}
        yield _event(last)
        yield DONE_EVENT
    finally:
        # The generator is closed when the caller disconnects; this frees the engine.
        if not finished:
            job.caller_disconnected()


def _event(document: Any) -> bytes:
    return b"data: " + msgspec.json.encode(document) + b"\n\n"


def _choice(text: str, finish_reason: str | None) -> dict:
    return {"index": 0, "text": text, "finish_reason": finish_reason}


def _pieces_event(job: Job, pieces: list[Piece]) -> bytes:
    """Return one event for all pieces of a batch."""
    return _event(
        {
            "id": job.request_id,
            "offset": pieces[0].offset,
            "tokens": sum(piece.tokens for piece in pieces),
            "choices": [_choice("".join(piece.text for piece in pieces), None)],
        }
    )
