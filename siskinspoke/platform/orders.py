"""The platform's orders and questions to engines: memory set aside, given back, and pace."""

import msgspec

from siskinspoke.gateway.wire import EngineReport
from siskinspoke.platform import names
from siskinspoke.transport.http1 import RequestHead


class Report(msgspec.Struct):
    """What an engine says of itself; the fields that nothing needs are left out."""

    # Over 1 where the engine is slower than its costs say.
    pace: float = 1.0
    # The Unix millisecond of its start, by its own clock.
    born: int | None = None


def _order(server: str, body: dict) -> tuple[RequestHead, bytes]:
    data = msgspec.json.encode(body)
    headers = [
        (b"Host", b"engine"),
        (names.EXPECTED_SERVER, server.encode()),
        (b"Content-Type", b"application/json"),
        (b"Content-Length", b"%d" % len(data)),
    ]
    return RequestHead("POST", "/order", headers), data


def reserve_order(server: str, name: str, tokens: int, lease_ms: int) -> tuple[RequestHead, bytes]:
    """Return the order that sets memory aside, or renews a reservation of the same name."""
    return _order(server, {"op": "reserve", "id": name, "tokens": tokens, "hold_ms": lease_ms})


def release_order(server: str, name: str) -> tuple[RequestHead, bytes]:
    """Return the order that gives a reservation back."""
    return _order(server, {"op": "release", "id": name})


def report_request(server: str) -> RequestHead:
    """Return the question to an engine how it is."""
    headers = [(b"Host", b"engine"), (names.EXPECTED_SERVER, server.encode())]
    return RequestHead("GET", "/report", headers)


def decode_report(status: int, body: bytes) -> EngineReport | None:
    """Return what an engine says of itself, or None if it cannot be read."""
    if status != 200:
        return None
    try:
        report = msgspec.json.decode(body, type=Report)
    except msgspec.MsgspecError:
        # Whoever asked counts a report that says nothing.
        return None
    return EngineReport(report.pace, report.born)
