"""The result header on answers to requests that a peer has forwarded."""

from siskinspoke.core.codes import ResultCode
from siskinspoke.gateway.context import Request
from siskinspoke.protocol.forwarding import INTERNAL_HEADERS, RESULT_HEADER
from siskinspoke.transport.http1 import Headers


def mark_result(request: Request, headers: Headers) -> Headers:
    """Return the headers of a server's answer, marked as such for a peer."""
    if request.origin is None:
        return headers
    kept = [(name, value) for name, value in headers if name.lower() not in INTERNAL_HEADERS]
    return [*kept, (RESULT_HEADER, b"%d" % ResultCode.OK)]
