"""A client that sends requests to entry VMs in turn and verifies the responses."""

import itertools
import random
import time
from collections.abc import Sequence
from typing import NamedTuple

import httpx
import msgspec
import trio

from siskinspoke.core.codes import ResultCode
from siskinspoke.protocol.prefix import CHARACTERS_PER_TOKEN
from siskinspoke.standins.engine_server import expected_text
from siskinspoke.transport.http import make_client

Address = tuple[str, int]


class Outcome(NamedTuple):
    """The result of a request as seen by the client; times in seconds since it was due."""

    code: int
    status: int
    run: str
    request_id: str
    prompt_tokens: int
    first_token: float | None
    total: float
    is_complete: bool
    retry_after_ms: int | None = None
    resume_count: int = 0
    body: str = ""


def prompt_text(customer: str, template: int, number: int, tokens: int, shared: float) -> str:
    """Return a prompt that shares its prefix with other requests of the customer's template."""
    length = tokens * CHARACTERS_PER_TOKEN
    head_length = int(length * shared)
    head = f"<{customer}.{template}>"
    tail = f"<{number}>"
    return (head * (head_length // len(head) + 1))[:head_length] + (
        tail * (length // len(tail) + 1)
    )[: length - head_length]


def idempotency_key(name: str, lifetime_seconds: float = 300.0) -> str:
    """Return an idempotency key that expires after ``lifetime_seconds``."""
    return f"{int((time.time() + lifetime_seconds) * 1000):013d}-{name}"


class ApiClient:
    """An HTTP client with the list of entry VMs behind the load balancer."""

    def __init__(self, entries: Sequence[Address], seed: int = 0):
        self._entries = list(entries)
        self._rng = random.Random(seed)
        self._client = make_client()
        self._entry_counter = itertools.count(self._rng.randrange(len(entries)))

    async def __aenter__(self) -> "ApiClient":
        await self._client.__aenter__()
        return self

    async def __aexit__(self, *details) -> None:
        await self._client.__aexit__(*details)

    def next_entry(self) -> Address:
        """Return the next entry VM, round-robin like the load balancer."""
        return self._entries[next(self._entry_counter) % len(self._entries)]

    async def post(
        self, entry: Address, path: str, key: str, document, headers: dict | None = None
    ) -> httpx.Response:
        """Send a JSON request and read the complete response."""
        host, port = entry
        return await self._client.post(
            f"http://{host}:{port}{path}",
            content=msgspec.json.encode(document),
            headers={"Authorization": f"Bearer {key}", **(headers or {})},
        )

    async def call(
        self,
        service: str,
        customer_key: str,
        text: str,
        idempotency: str | None = None,
        timeout_ms: int = 10_000,
        entry: Address | None = None,
    ) -> Outcome:
        """Send a single call to a plain service."""
        due = trio.current_time()
        headers = {"Idempotency-Key": idempotency} if idempotency else {}
        document = {"input": text, "timeout_ms": timeout_ms}
        try:
            response = await self.post(
                entry or self.next_entry(),
                f"/v1/services/{service}",
                customer_key,
                document,
                headers,
            )
        except httpx.HTTPError as error:
            return _connection_failure(error, due, 0)
        if response.status_code != 200:
            return _error_response(response.status_code, response.content, due, 0)
        answer = msgspec.json.decode(response.content)
        is_complete = answer["answer"].get("result") == f"done {answer['id']}"
        elapsed = trio.current_time() - due
        return Outcome(
            0,
            200,
            "ran",
            answer["id"],
            0,
            elapsed,
            elapsed,
            is_complete,
            body=str(answer["answer"]),
        )

    async def complete(
        self,
        model: str,
        customer_key: str,
        prompt: str,
        max_tokens: int,
        timeout_ms: int,
        idempotency: str | None = None,
        entry: Address | None = None,
        due: float | None = None,
        resume: bool = True,
    ) -> Outcome:
        """Stream a completion; resume at the next entry VM if the connection fails."""
        progress = _StreamProgress(due or trio.current_time(), len(prompt) // CHARACTERS_PER_TOKEN)
        headers = {"Idempotency-Key": idempotency} if idempotency else {}
        document = {
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
            "timeout_ms": timeout_ms,
        }
        path = "/v1/completions"
        for _ in range(4):
            outcome = await self._stream(
                entry or self.next_entry(), path, customer_key, document, headers, progress
            )
            if outcome is not None:
                return outcome._replace(
                    is_complete=outcome.code == 0 and progress.has_expected_text(max_tokens),
                    resume_count=progress.resume_count,
                )
            if not resume or not progress.resume_token:
                break
            progress.resume_count += 1
            entry, path, headers = None, "/v1/streams/resume", {}
            document = {"resume_token": progress.resume_token, "offset": progress.offset}
        return _connection_failure(None, progress.due, progress.prompt_tokens)

    async def _stream(
        self,
        entry: Address,
        path: str,
        key: str,
        document: dict,
        headers: dict,
        progress: "_StreamProgress",
    ) -> Outcome | None:
        """Read a stream; None means that it was interrupted and may be resumed."""
        host, port = entry
        try:
            async with self._client.stream(
                "POST",
                f"http://{host}:{port}{path}",
                content=msgspec.json.encode(document),
                headers={"Authorization": f"Bearer {key}", **headers},
            ) as response:
                if response.status_code != 200:
                    content = await response.aread()
                    return _error_response(
                        response.status_code, content, progress.due, progress.prompt_tokens
                    )
                async for line in response.aiter_lines():
                    outcome = progress.feed(line)
                    if outcome is not None:
                        return outcome
        except httpx.HTTPError:
            return None
        return None


class _StreamProgress:
    """Collect the received part of a stream across connections."""

    def __init__(self, due: float, prompt_tokens: int):
        self.due = due
        self.prompt_tokens = prompt_tokens
        self.resume_token = ""
        self.request_id = ""
        self.offset = 0
        self.texts: list[str] = []
        self.first_token: float | None = None
        self.resume_count = 0

    def feed(self, line: str) -> Outcome | None:
        """Process a line of the event stream; return the outcome at its end."""
        if not line.startswith("data: "):
            return None
        data = line[6:]
        if data == "[DONE]":
            return self._outcome(ResultCode.OK, "ran")
        event = msgspec.json.decode(data)
        if "error" in event:
            return self._outcome(ResultCode(event["error"]["code"]), event["error"]["run"])
        self.request_id = event["id"]
        if "resume_token" in event:
            self.resume_token = event["resume_token"]
            return None
        text = event["choices"][0]["text"]
        if text and event["offset"] == self.offset:
            if self.first_token is None:
                self.first_token = trio.current_time() - self.due
            self.texts.append(text)
            self.offset += event["tokens"]
        return None

    def has_expected_text(self, max_tokens: int) -> bool:
        """Whether the received text is exactly the expected response."""
        return "".join(self.texts) == expected_text(self.request_id, max_tokens)

    def _outcome(self, code: ResultCode, run: str) -> Outcome:
        total = trio.current_time() - self.due
        return Outcome(
            int(code), 200, run, self.request_id, self.prompt_tokens, self.first_token, total, False
        )


def _connection_failure(error: Exception | None, due: float, prompt_tokens: int) -> Outcome:
    """Return the outcome of a failed connection, as far as the client knows it."""
    not_sent = isinstance(error, httpx.ConnectError | httpx.ConnectTimeout)
    run = "not_run" if not_sent else "unknown"
    elapsed = trio.current_time() - due
    return Outcome(-1, 0, run, "", prompt_tokens, None, elapsed, False)


def _error_response(status: int, content: bytes, due: float, prompt_tokens: int) -> Outcome:
    error = msgspec.json.decode(content)["error"]
    return Outcome(
        error["code"],
        status,
        error["run"],
        "",
        prompt_tokens,
        None,
        trio.current_time() - due,
        False,
        error["retry_after_ms"],
    )
