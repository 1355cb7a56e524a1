"""The HTTP interface for operators, on a separate port of an entry VM."""

import hmac

from quart import Response, request

from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.entry.context import EntryContext, now_ms
from siskinspoke.transport.http import failure_response, json_response, make_app
from siskinspoke.transport.http_server import BodyRules, RequestHeaders, find_header

MAX_BODY_BYTES = 65_536
BODY_SECONDS = 5.0


def operator_allowed(header: str | None, operator_key: str) -> bool:
    """Return whether an Authorization header carries the operator key."""
    return header is not None and hmac.compare_digest(
        header.encode(), f"Bearer {operator_key}".encode()
    )


def internal_app(context: EntryContext):
    """Return the application for operators."""
    app = make_app("entry-internal", MAX_BODY_BYTES, BODY_SECONDS)

    @app.before_request
    async def check_operator() -> Response | None:
        header = request.headers.get("Authorization")
        if operator_allowed(header, context.settings.operator_key):
            return None
        context.counters.count("operator.refused")
        return failure_response(Failure(ResultCode.UNAUTHENTICATED, "send the operator key"))

    @app.get("/v1/status")
    async def status() -> Response:
        return json_response(entry_status(context))

    @app.post("/v1/drain")
    async def drain() -> Response:
        context.begin_drain()
        return json_response({"draining": True, "open_requests": context.open_requests})

    return app


def internal_rules(context: EntryContext) -> BodyRules:
    """Return the limits of requests by operators, whose key is in the head."""

    def check_head(path: str, headers: RequestHeaders) -> Failure | None:
        if operator_allowed(find_header(headers, "authorization"), context.settings.operator_key):
            return None
        context.counters.count("operator.refused")
        return Failure(ResultCode.UNAUTHENTICATED, "send the operator key")

    return BodyRules(MAX_BODY_BYTES, BODY_SECONDS, check_head)


def entry_status(context: EntryContext) -> dict:
    """Return the status document of this VM."""
    now = now_ms()
    current = context.holder.current
    servers = [
        {
            "server": record.announcement.server,
            "service": record.announcement.service,
            "incarnation": record.announcement.incarnation,
            "host": record.announcement.host,
            "port": record.announcement.port,
            "fencing": record.announcement.fencing,
            "failure_domain": record.announcement.failure_domain,
            "heard_ms_ago": round(now - record.heard_at),
            "running": record.announcement.running,
            "free_tokens": record.announcement.free_tokens,
        }
        for record in context.directory.live(now)
    ]
    return {
        "name": context.vm.name,
        "failure_domain": context.vm.failure_domain,
        "incarnation": context.incarnation,
        "configuration_version": current.version,
        "configuration_source": current.source,
        "draining": context.draining,
        "open_requests": context.open_requests,
        "servers": servers,
        "counters": context.counters.totals,
    }
