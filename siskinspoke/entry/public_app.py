"""The HTTP interface for callers."""

import hashlib

from quart import Response, request

from siskinspoke.conf.settings import Limits
from siskinspoke.coordination.deadlines import margin_seconds
from siskinspoke.core.codes import Failure, ResultCode, RunStatus
from siskinspoke.entry.answers import answer_job
from siskinspoke.entry.calls import CallJob
from siskinspoke.entry.claiming import claim_name, verify_not_run
from siskinspoke.entry.completions import CompletionJob
from siskinspoke.entry.context import EntryContext
from siskinspoke.entry.forwarding.deciding import Arrival, ForwardDecision
from siskinspoke.entry.forwarding.receiving import read_origin
from siskinspoke.entry.forwarding.sending import CallerRequest
from siskinspoke.entry.requests import (
    Call,
    Caller,
    Completion,
    IdempotencyKey,
    authenticate,
    read_call,
)
from siskinspoke.entry.requests import read_completion as read_completion_body
from siskinspoke.entry.resuming import ResumeJob
from siskinspoke.entry.stream_tokens import read_token
from siskinspoke.protocol.forwarding import FORWARD_HEADER, RESULT_HEADER
from siskinspoke.transport.http import failure_response, json_response, make_app
from siskinspoke.transport.http_server import (
    ARRIVED_AT,
    BodyRules,
    RequestHeaders,
    find_header,
)

DRAIN_RETRY_MS = 500
TOO_MANY_STREAMS_RETRY_MS = 1_000
# Paths of requests that need a customer's key.
AUTHENTICATED_PATHS = ("/v1/completions", "/v1/streams/resume", "/v1/services/")
# Headers of a caller's request that are passed on when it is forwarded.
CALLER_HEADERS = ("Authorization", "Idempotency-Key", "Content-Type")


def _keyed_request_id(name: str) -> str:
    """Return the request id shared by all resends of a request with an idempotency key."""
    return "k" + hashlib.blake2b(name.encode(), digest_size=12).hexdigest()


def public_rules(context: EntryContext) -> BodyRules:
    """Return the limits of requests by callers, whose key is in the head."""
    configuration = context.holder.current.configuration

    def check_head(path: str, headers: RequestHeaders) -> Failure | None:
        if not path.startswith(AUTHENTICATED_PATHS):
            return None
        found = authenticate(find_header(headers, "authorization"), configuration)
        return None if found.is_ok() else context.refuse(found.error)

    limits = configuration.limits
    return BodyRules(limits.max_body_bytes, limits.body_timeout_ms / 1000, check_head)


def public_app(context: EntryContext, forwarding: ForwardDecision):
    """Return the application for callers, and for peers that forward their requests."""
    limits = context.holder.current.configuration.limits
    app = make_app("entry", limits.max_body_bytes, limits.body_timeout_ms / 1000)

    def apply_limits(changed: Limits) -> None:
        app.config["MAX_CONTENT_LENGTH"] = changed.max_body_bytes
        app.config["BODY_TIMEOUT"] = changed.body_timeout_ms / 1000

    context.limit_listeners.append(apply_limits)

    def refuse(failure: Failure) -> Response:
        return failure_response(context.refuse(failure))

    async def refuse_request(
        failure: Failure, caller: Caller, key: IdempotencyKey | None
    ) -> Response:
        """Refuse a valid request; one with a key may be the resend of a request that ran."""
        if key is not None:
            failure = await verify_not_run(context, claim_name(caller.customer, key), failure)
        return refuse(failure)

    def unavailable() -> Failure | None:
        """Return the failure for all new requests while this VM is draining or full, or None."""
        if context.draining:
            message = "this VM is shutting down; retry through the load balancer"
            return Failure(ResultCode.DRAINING, message, DRAIN_RETRY_MS)
        current = context.holder.current.configuration.limits
        if context.open_requests >= current.max_streams:
            return Failure(
                ResultCode.TOO_MANY_STREAMS,
                "this VM has reached its limit of open requests",
                TOO_MANY_STREAMS_RETRY_MS,
            )
        return None

    def authenticate_caller() -> Caller | Failure:
        found = authenticate(
            request.headers.get("Authorization"), context.holder.current.configuration
        )
        return found.ok if found.is_ok() else found.error

    def read_arrival(
        body: bytes, service: str, timeout_ms: float, arrived_at: float
    ) -> Arrival | Failure:
        """Return a valid request with its arrival and deadline at the VM that forwarded it."""
        origin = read_origin(
            context.settings, context.counters, request.headers, request.path, body
        )
        if isinstance(origin, Failure):
            return origin
        if origin is not None:
            arrived_at -= origin.elapsed_ms / 1000
        timeout_seconds = timeout_ms / 1000
        margin = margin_seconds(timeout_seconds, context.stall_detector.timer_lateness)
        deadline = arrived_at + timeout_seconds - margin
        headers = {name: value for name in CALLER_HEADERS if (value := request.headers.get(name))}
        call = CallerRequest(request.path, body, headers, service, arrived_at, deadline)
        return Arrival(call, origin)

    async def answer_elsewhere(
        arrival: Arrival, caller: Caller, key: IdempotencyKey | None
    ) -> Response | None:
        """Answer a request whose servers are out of reach, or return None to serve it here."""
        found = await forwarding.before(arrival)
        if isinstance(found, Failure):
            return await refuse_request(found, caller, key)
        return found

    @app.after_request
    async def mark_forwarded(response: Response) -> Response:
        """Mark the answers to peers: another program may have taken over the address."""
        if FORWARD_HEADER.decode() in request.headers:
            response.headers[RESULT_HEADER.decode()] = "0"
        return response

    @app.after_request
    async def close_when_draining(response: Response) -> Response:
        """Close keep-alive connections while draining.

        A busy caller would otherwise keep its connection, and so this VM, open forever.
        """
        if context.draining:
            response.headers["Connection"] = "close"
        return response

    @app.post("/v1/completions")
    async def completions() -> Response:
        arrived_at = context.stall_detector.earliest_arrival(request.scope[ARRIVED_AT])
        caller = authenticate_caller()
        if isinstance(caller, Failure):
            return refuse(caller)
        body = await request.get_data()
        read = read_completion_body(
            body,
            request.headers.get("Idempotency-Key"),
            context.holder.current.configuration,
        )
        if read.is_error():
            return refuse(read.error)
        failure = unavailable()
        if failure is not None:
            return await refuse_request(failure, caller, read.ok.key)
        arrival = read_arrival(body, read.ok.service, read.ok.timeout_ms, arrived_at)
        if isinstance(arrival, Failure):
            return refuse(arrival)
        found = await answer_elsewhere(arrival, caller, read.ok.key)
        return found or await answer_completion(caller, read.ok, arrival)

    async def answer_completion(
        caller: Caller, completion: Completion, arrival: Arrival
    ) -> Response:
        if completion.key is not None:
            request_id = _keyed_request_id(claim_name(caller.customer, completion.key))
        else:
            request_id = context.next_request_id()
        deadline = arrival.request.arrived_at + completion.timeout_ms / 1000
        job = CompletionJob(context, caller, completion, request_id, deadline)
        admitted = job.admit()
        if admitted.is_error():
            found = await forwarding.after(arrival, admitted.error)
            return found or await refuse_request(admitted.error, caller, completion.key)
        context.counters.count("admitted")
        context.nursery.start_soon(job.run, admitted.ok)
        answer = await answer_job(job, completion.stream, context.settings.internal_key)
        if isinstance(answer, Failure):
            found = await forwarding.after(arrival, answer)
            return found or failure_response(answer)
        return answer

    @app.post("/v1/streams/resume")
    async def resume() -> Response:
        arrived_at = context.stall_detector.earliest_arrival(request.scope[ARRIVED_AT])
        caller = authenticate_caller()
        if isinstance(caller, Failure):
            return refuse(caller)
        body = await request.get_data()
        document = await request.get_json(force=True, silent=True)
        if not isinstance(document, dict):
            return refuse(Failure(ResultCode.NOT_JSON, "the body must be a JSON object"))
        text, offset = document.get("resume_token"), document.get("offset")
        if not isinstance(text, str) or not isinstance(offset, int) or offset < 0:
            message = "send resume_token and offset, the count of tokens received"
            return refuse(Failure(ResultCode.INVALID_FIELD, message))
        token = read_token(text, caller.customer, context.settings.internal_key)
        if token.is_error():
            return refuse(token.error)
        failure = unavailable()
        if failure is not None:
            return refuse(failure._replace(run=RunStatus.UNKNOWN))
        record = context.directory.latest(token.ok.target.server)
        service = "" if record is None else record.announcement.service
        limits = context.holder.current.configuration.limits
        arrival = read_arrival(body, service, limits.max_timeout_ms, arrived_at)
        if isinstance(arrival, Failure):
            return refuse(arrival)
        found = await forwarding.before(arrival)
        if isinstance(found, Failure):
            return refuse(found._replace(run=RunStatus.UNKNOWN))
        return found or await answer_resumed(ResumeJob(context, token.ok, offset))

    async def answer_resumed(job: ResumeJob) -> Response:
        context.nursery.start_soon(job.run)
        answer = await answer_job(job, True, context.settings.internal_key)
        return failure_response(answer) if isinstance(answer, Failure) else answer

    @app.post("/v1/services/<service>")
    async def services(service: str) -> Response:
        arrived_at = context.stall_detector.earliest_arrival(request.scope[ARRIVED_AT])
        caller = authenticate_caller()
        if isinstance(caller, Failure):
            return refuse(caller)
        body = await request.get_data()
        read = read_call(
            body,
            service,
            request.headers.get("Idempotency-Key"),
            context.holder.current.configuration,
        )
        if read.is_error():
            return refuse(read.error)
        failure = unavailable()
        if failure is not None:
            return await refuse_request(failure, caller, read.ok.key)
        arrival = read_arrival(body, read.ok.service, read.ok.timeout_ms, arrived_at)
        if isinstance(arrival, Failure):
            return refuse(arrival)
        found = await answer_elsewhere(arrival, caller, read.ok.key)
        if found is not None:
            return found
        context.request_opened()
        try:
            return await answer_call(caller, read.ok, arrival)
        finally:
            context.request_closed()

    async def answer_call(caller: Caller, call: Call, arrival: Arrival) -> Response:
        if call.key is not None:
            request_id = _keyed_request_id(claim_name(caller.customer, call.key))
        else:
            request_id = context.next_request_id()
        arrived_at = arrival.request.arrived_at
        answer = await CallJob(context, caller, call, request_id, arrived_at).run()
        if isinstance(answer, Failure):
            found = await forwarding.after(arrival, answer)
            if found is not None:
                return found
            not_run = answer.run_status is RunStatus.NOT_RUN
            context.counters.count(
                f"{'refused' if not_run else 'failed'}.{answer.code.name.lower()}"
            )
            return failure_response(answer)
        return json_response({"id": request_id, "answer": answer})

    @app.get("/healthz")
    async def healthz() -> Response:
        failure = unavailable()
        if failure is not None:
            return failure_response(failure)
        return json_response({"ok": True})

    return app
