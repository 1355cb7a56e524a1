"""The platform's orders and queries to engines: memory reservations and status reports."""

import msgspec

from siskinspoke.gateway.wire import EngineReport
from siskinspoke.platform import names
from siskinspoke.transport.http1 import RequestHead


class Report(msgspec.Struct):
    """The status report of an engine; unused fields are omitted."""

    # Above 1 if the engine is slower than its cost model predicts.
    pace: float = 1.0
    # Start time as a Unix timestamp in milliseconds, by the engine's own clock.
    born: int | None = None


def _order(server: str, body: dict) -> tuple[RequestHead, bytes]:
    content = msgspec.json.encode(body)
    headers = [
        (b"Host", b"engine"),
        (names.EXPECTED_SERVER, server.encode()),
        (b"Content-Type", b"application/json"),
        (b"Content-Length", b"%d" % len(content)),
    ]
    return RequestHead("POST", "/order", headers), content


def reserve_order(server: str, name: str, tokens: int, lease_ms: int) -> tuple[RequestHead, bytes]:
    """Return the order that reserves memory, or renews the reservation of the same name."""
    return _order(server, {"op": "reserve", "id": name, "tokens": tokens, "hold_ms": lease_ms})


def release_order(server: str, name: str) -> tuple[RequestHead, bytes]:
    """Return the order that releases a reservation."""
    return _order(server, {"op": "release", "id": name})


def report_request(server: str) -> RequestHead:
    """Return the request for an engine's status report."""
    headers = [(b"Host", b"engine"), (names.EXPECTED_SERVER, server.encode())]
    return RequestHead("GET", "/report", headers)


def decode_report(status: int, body: bytes) -> EngineReport | None:
    """Decode the status report of an engine; return None if it is invalid."""
    if status != 200:
        return None
    try:
        report = msgspec.json.decode(body, type=Report)
    except msgspec.MsgspecError:
        # The caller counts invalid reports.
        return None
    return EngineReport(report.pace, report.born)
