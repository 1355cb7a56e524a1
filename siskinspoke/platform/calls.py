"""Decode client requests and server responses, and encode the messages sent to either."""

import msgspec
from expression import Error, Ok, Result

from siskinspoke.coordination.crash_evidence.parts import usable_parts
from siskinspoke.coordination.routes import RouteTable
from siskinspoke.coordination.server_places import ServerLoad
from siskinspoke.core.codes import CODE_INFO, Failure, ResultCode
from siskinspoke.gateway.wire import (
    Answer,
    Call,
    Dispatch,
    EngineReport,
    Helper,
    Prompt,
    Restrictions,
)
from siskinspoke.platform import configuration, names, orders
from siskinspoke.protocol.decimals import parse_decimal
from siskinspoke.transport.http1 import Headers, RequestHead, ResponseHead

NEVER_RAN_STATUSES = frozenset({421})
MISDIRECTED_STATUS = 421
# Statuses with which a server may say when it will accept requests from this VM again.
BACK_OFF_STATUSES = frozenset({429, 503})
LOWEST_PRIORITY = 9
# Larger numbers in a stated load are errors.
MAX_STATED_LOAD = 1_000_000


def _first_header(headers: Headers, name: bytes) -> str | None:
    lowered = name.lower()
    for found, value in headers:
        if found.lower() == lowered:
            return value.decode("latin-1")
    return None


def _parse_float(text: str | None) -> float | None:
    try:
        return float(text) if text is not None else None
    except ValueError:
        return None


def _parse_prompt(headers: Headers) -> Prompt | None:
    text = _first_header(headers, names.TOKEN_COUNTS)
    if text is None:
        return None
    try:
        tokens, max_tokens = text.split(",")
        return Prompt(int(tokens), int(max_tokens), _parse_parts(headers))
    except ValueError:
        return None


def _parse_parts(headers: Headers) -> tuple[str, ...]:
    """Return the names of the parts of a prompt but the last, as far as they can be read."""
    shared = (_first_header(headers, names.PROMPT_PARTS) or "").split(",")[:-1]
    parts = [entry.partition(":")[0].strip().lower() for entry in shared]
    return usable_parts(part for part in parts if part.isascii() and part.isalnum())


def _format_helper(helper: Helper) -> str:
    address = f"{helper.host}:{helper.port}"
    return f"{address}/{helper.reservation}" if helper.reservation else address


class PlatformWire:
    """Encode and decode the platform's formats for requests, responses and engine orders."""

    def decode_call(self, head: RequestHead, body: bytes) -> Result[Call, Failure]:
        """Decode a client's request."""
        call_id = _first_header(head.headers, names.REQUEST_ID)
        if call_id is None:
            return Error(Failure(ResultCode.INVALID_FIELD, "the request has no id"))
        connection_options = {
            word.strip().lower().encode()
            for word in (_first_header(head.headers, b"Connection") or "").split(",")
        }
        dropped = names.HOP_BY_HOP | names.SYSTEM_ONLY | connection_options
        forwarded = [
            (name, value)
            for name, value in head.headers
            if name.lower() not in dropped
            and name.lower() not in (b"content-length", names.LAST_EVENT.lower())
        ]
        return Ok(
            Call(
                id=call_id,
                method=head.method,
                target=head.target,
                host=(_first_header(head.headers, b"Host") or "").lower(),
                headers=forwarded,
                body=body,
                deadline_ms=_parse_float(_first_header(head.headers, names.DEADLINE)),
                key=_first_header(head.headers, names.API_KEY) or "",
                prompt=_parse_prompt(head.headers),
                resume_after=_first_header(head.headers, names.LAST_EVENT),
            )
        )

    def encode_dispatch(self, dispatch: Dispatch) -> RequestHead:
        """Encode a request for a backend server."""
        call = dispatch.call
        headers = list(call.headers)
        headers.append((names.DEADLINE, b"%d" % max(1, int(dispatch.left_ms))))
        headers.append((names.EXPECTED_SERVER, dispatch.server.encode()))
        headers.append((names.PRIORITY, b"%d" % min(LOWEST_PRIORITY, dispatch.rank)))
        if dispatch.customer is not None:
            headers.append((names.CUSTOMER, dispatch.customer.encode()))
        if dispatch.helpers:
            helpers = ",".join(_format_helper(item) for item in dispatch.helpers)
            headers.append((names.HELPERS, helpers.encode()))
        if dispatch.resume_after is not None:
            headers.append((names.LAST_EVENT, dispatch.resume_after.encode("latin-1")))
        if call.body or call.method not in ("GET", "HEAD"):
            headers.append((b"Content-Length", b"%d" % len(call.body)))
        return RequestHead(call.method, call.target, headers)

    def decode_answer(self, head: ResponseHead) -> Answer:
        """Decode the response head of a backend server."""
        connection = (_first_header(head.headers, b"Connection") or "").lower()
        forwarded = [
            (name, value)
            for name, value in head.headers
            if name.lower() not in names.HOP_BY_HOP and name.lower() != b"content-length"
        ]
        never_ran = _first_header(head.headers, names.NOT_RUN) is not None
        return Answer(
            status=head.status,
            headers=forwarded,
            request_id=_first_header(head.headers, names.REQUEST_ID),
            never_ran=never_ran or head.status in NEVER_RAN_STATUSES,
            misdirected=head.status == MISDIRECTED_STATUS,
            at_fault=_first_header(head.headers, names.FAULTY_SERVER),
            closes="close" in connection,
            idle_seconds=_parse_idle_seconds(_first_header(head.headers, b"Keep-Alive")),
            restrictions=_parse_restrictions(head.status, head.headers),
            load=_parse_load(_first_header(head.headers, names.LOAD)),
        )

    def encode_failure(self, call_id: str, failure: Failure) -> tuple[int, Headers, bytes]:
        """Encode the response for a failure that originates in this system."""
        body = msgspec.json.encode(failure.to_document())
        headers = [(b"Content-Type", b"application/json")]
        if call_id:
            headers.append((names.REQUEST_ID, call_id.encode("latin-1")))
        if failure.retry_after_ms is not None:
            headers += self.retry_after_headers(failure.retry_after_ms)
        return CODE_INFO[failure.code].status, headers, body

    def retry_after_headers(self, retry_after_ms: float) -> Headers:
        """Encode the time after which a refused request may be retried."""
        return [(names.RETRY_AFTER, b"%.3f" % (retry_after_ms / 1000))]

    def reserve_order(
        self, server: str, name: str, tokens: int, lease_ms: int
    ) -> tuple[RequestHead, bytes]:
        """Return the order that reserves memory of an engine, or renews a reservation."""
        return orders.reserve_order(server, name, tokens, lease_ms)

    def report_request(self, server: str) -> RequestHead:
        """Return the request for an engine's status report."""
        return orders.report_request(server)

    def decode_report(self, status: int, body: bytes) -> EngineReport | None:
        """Decode the status report of an engine; return None if it is invalid."""
        return orders.decode_report(status, body)

    def release_order(self, server: str, name: str) -> tuple[RequestHead, bytes]:
        """Return the order that releases a reservation."""
        return orders.release_order(server, name)

    def decode_configuration(self, document: dict) -> Result[RouteTable, Failure]:
        """Decode a configuration into a route table."""
        return configuration.table_from(document)


def _parse_restrictions(status: int, headers: Headers) -> Restrictions:
    """Decode the restrictions that a server imposes on its callers."""
    rate_limit = _first_header(headers, names.RATE_LIMIT)
    retry_after = _first_header(headers, names.RETRY_AFTER) if status in BACK_OFF_STATUSES else None
    cold_ms = _first_header(headers, names.COLD)
    texts = {"rate_limit": rate_limit, "back_off": retry_after, "cold": cold_ms}
    unreadable = tuple(
        name for name, text in texts.items() if text is not None and parse_decimal(text) is None
    )
    seconds = parse_decimal(retry_after)
    return Restrictions(
        rate_limit=parse_decimal(rate_limit),
        back_off_ms=None if seconds is None else seconds * 1000,
        leaving=_first_header(headers, names.LEAVING) == "1",
        unreadable=unreadable,
        cold_ms=parse_decimal(cold_ms),
    )


def _parse_load(text: str | None) -> ServerLoad | None:
    """Return the load that a server states, or None if it is missing or cannot be read."""
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(part.strip().isascii() for part in parts):
        return None
    numbers = [int(part) for part in parts if part.strip().isdigit()]
    if len(numbers) != 3 or max(numbers) > MAX_STATED_LOAD:
        return None
    return ServerLoad(*numbers)


def _parse_idle_seconds(text: str | None) -> float | None:
    """Return the idle timeout of a connection from a Keep-Alive header."""
    for part in (text or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            return _parse_float(value)
    return None
