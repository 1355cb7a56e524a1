"""Validation of requests; invalid ones fail with a result code before reaching a backend."""

import hashlib
import re
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from siskinspoke.conf import Configuration
from siskinspoke.core.codes import Failure, ResultCode

DEFAULT_MAX_TOKENS = 256
NOT_AN_OBJECT = "the body must be a JSON object"
KEY_PATTERN = re.compile(r"(\d{13})-([A-Za-z0-9_.-]{1,64})")
MAX_SHOWN_CHARACTERS = 60

COMPLETION_FIELDS = frozenset(
    {"model", "prompt", "max_tokens", "stream", "timeout_ms", "idempotent"}
)
CALL_FIELDS = frozenset({"input", "timeout_ms", "idempotent"})


class IdempotencyKey(NamedTuple):
    """An idempotency key, which contains its expiry in Unix milliseconds."""

    text: str
    expires_ms: int


class Caller(NamedTuple):
    """The caller that an API key identifies."""

    customer: str
    weight: float
    priority: int


class Completion(NamedTuple):
    """A validated request to a model."""

    service: str
    prompt: str
    max_tokens: int
    stream: bool
    timeout_ms: int
    idempotent: bool
    key: IdempotencyKey | None


class Call(NamedTuple):
    """A validated request to a plain service."""

    service: str
    input: str
    timeout_ms: int
    idempotent: bool
    key: IdempotencyKey | None


def authenticate(header: str | None, configuration: Configuration) -> Result[Caller, Failure]:
    """Return the caller whose API key the Authorization header carries."""
    if not header or not header.startswith("Bearer "):
        return Error(Failure(ResultCode.UNAUTHENTICATED, "send 'Authorization: Bearer KEY'"))
    digest = hashlib.sha256(header[7:].strip().encode()).hexdigest()
    name = configuration.customers_by_key.get(digest)
    if name is None:
        return Error(Failure(ResultCode.UNAUTHENTICATED, "the key belongs to no customer"))
    return Ok(Caller(name, configuration.customers[name].weight, configuration.priority_rank(name)))


def read_object(data: bytes) -> Result[dict, Failure]:
    """Decode a request body that must be a JSON object."""
    try:
        document = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Error(
            Failure(
                ResultCode.NOT_JSON, f"the body is not JSON: {str(error)[:MAX_SHOWN_CHARACTERS]}"
            )
        )
    if not isinstance(document, dict):
        return Error(Failure(ResultCode.NOT_JSON, NOT_AN_OBJECT))
    return Ok(document)


def read_key(header: str | None) -> Result[IdempotencyKey | None, Failure]:
    """Parse an Idempotency-Key: expiry in Unix milliseconds, '-' and a unique name."""
    if header is None:
        return Ok(None)
    found = KEY_PATTERN.fullmatch(header.strip())
    if found is None:
        message = "use EXPIRY-NAME: 13 digits of Unix milliseconds, '-', up to 64 characters"
        return Error(Failure(ResultCode.INVALID_KEY, message))
    return Ok(IdempotencyKey(found.group(0), int(found.group(1))))


def _invalid(name: str, requirement: str) -> Error:
    return Error(Failure(ResultCode.INVALID_FIELD, f"{name}: {requirement}"))


def _unknown_fields(document: dict, known: frozenset[str]) -> list[str]:
    return sorted(name[:MAX_SHOWN_CHARACTERS] for name in document if name not in known)


def _is_integer(value) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _read_timeout(document: dict, default: int, maximum: int) -> Result[int, Failure]:
    timeout = document.get("timeout_ms", default)
    if not _is_integer(timeout) or not 1 <= timeout <= maximum:
        message = f"timeout_ms: use an integer from 1 to {maximum}"
        return Error(Failure(ResultCode.INVALID_DEADLINE, message))
    return Ok(timeout)


def _read_common(
    document: dict, service: str, kind: str, configuration: Configuration, key_header: str | None
) -> Result[tuple[int, bool, IdempotencyKey | None], Failure]:
    """Return timeout, idempotence and key of a request of either kind."""
    settings = configuration.services.get(service)
    if settings is None or settings.kind != kind:
        message = f"no {kind} service {service[:MAX_SHOWN_CHARACTERS]!r}"
        return Error(Failure(ResultCode.UNKNOWN_MODEL, message))
    timeout = _read_timeout(document, settings.timeout_ms, configuration.limits.max_timeout_ms)
    if timeout.is_error():
        return timeout
    idempotent = document.get("idempotent", settings.idempotent)
    if not isinstance(idempotent, bool):
        return _invalid("idempotent", "use true or false")
    key = read_key(key_header)
    if key.is_error():
        return key
    if not idempotent and key.ok is None:
        message = "a non-idempotent request needs an Idempotency-Key header"
        return Error(Failure(ResultCode.KEY_REQUIRED, message))
    return Ok((timeout.ok, idempotent, key.ok))


def read_completion(
    data: bytes, key_header: str | None, configuration: Configuration
) -> Result[Completion, Failure]:
    """Validate the body of POST /v1/completions."""
    read = read_object(data)
    if read.is_error():
        return read
    document = read.ok
    unknown = _unknown_fields(document, COMPLETION_FIELDS)
    if unknown:
        return _invalid(unknown[0], f"unknown field; known: {', '.join(sorted(COMPLETION_FIELDS))}")
    model, prompt = document.get("model"), document.get("prompt")
    if not isinstance(model, str):
        return _invalid("model", "name a model")
    if not isinstance(prompt, str) or not prompt:
        return _invalid("prompt", "use a non-empty string")
    max_tokens = document.get("max_tokens", DEFAULT_MAX_TOKENS)
    maximum = configuration.limits.max_output_tokens
    if not _is_integer(max_tokens) or not 1 <= max_tokens <= maximum:
        return _invalid("max_tokens", f"use an integer from 1 to {maximum}")
    stream = document.get("stream", False)
    if not isinstance(stream, bool):
        return _invalid("stream", "use true or false")
    common = _read_common(document, model, "model", configuration, key_header)
    if common.is_error():
        return common
    return Ok(Completion(model, prompt, max_tokens, stream, *common.ok))


def read_call(
    data: bytes, service: str, key_header: str | None, configuration: Configuration
) -> Result[Call, Failure]:
    """Validate the body of POST /v1/services/NAME."""
    read = read_object(data)
    if read.is_error():
        return read
    unknown = _unknown_fields(read.ok, CALL_FIELDS)
    if unknown:
        return _invalid(unknown[0], f"unknown field; known: {', '.join(sorted(CALL_FIELDS))}")
    text = read.ok.get("input", "")
    if not isinstance(text, str):
        return _invalid("input", "use a string")
    common = _read_common(read.ok, service, "plain", configuration, key_header)
    if common.is_error():
        return common
    return Ok(Call(service, text, *common.ok))
