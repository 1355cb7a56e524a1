"""The formats that the gateway needs from an adapter: typed calls, dispatches and answers."""

from typing import NamedTuple, Protocol

from expression import Result

from siskinspoke.coordination.routes import RouteTable
from siskinspoke.coordination.server_places import ServerLoad
from siskinspoke.core.codes import Failure
from siskinspoke.transport.http1 import Headers, RequestHead, ResponseHead


class Prompt(NamedTuple):
    """The size of a prompt and its longest output, in tokens.

    ``parts`` name what the prompt may share with others, in order; its last part is its own.
    """

    tokens: int
    max_tokens: int
    parts: tuple[str, ...] = ()


class Call(NamedTuple):
    """A client's request; ``deadline_ms`` is how long the client waits from its arrival.

    ``headers`` are forwarded to the server unchanged.  ``resume_after`` is the ID of the last event
    that the client has of a stream.
    """

    id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    deadline_ms: float | None
    key: str
    prompt: Prompt | None
    resume_after: str | None

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


class Helper(NamedTuple):
    """Another engine that prefills a part of the prompt, into a reservation if one is named."""

    host: str
    port: int
    reservation: str = ""


class Dispatch(NamedTuple):
    """A call as sent to one server; ``left_ms`` is how long the client will still wait."""

    call: Call
    server: str
    customer: str | None
    left_ms: float
    rank: int
    helpers: tuple[Helper, ...] = ()
    resume_after: str | None = None


class Restrictions(NamedTuple):
    """How a server asks in an answer to get fewer requests.

    ``rate_limit`` is in requests per second from all VMs together, None where none is given.
    ``back_off_ms`` is for how long it accepts nothing from this VM; ``leaving`` means that it is
    about to stop.  ``cold_ms`` is how much longer it is cold.  ``unreadable`` names the fields
    whose values could not be parsed; such a field changes nothing.
    """

    rate_limit: float | None = None
    back_off_ms: float | None = None
    leaving: bool = False
    unreadable: tuple[str, ...] = ()
    cold_ms: float | None = None


class Answer(NamedTuple):
    """The head of a server's answer, decoded.

    ``never_ran`` means that the server has not run the request and never will.  ``misdirected``
    means that another incarnation has the address.  ``at_fault`` is the address of a helper that
    failed.  ``idle_seconds`` is how long the server keeps the idle connection open, if it says so.
    ``load`` is None if the server states none, or none that can be read.
    """

    status: int
    headers: Headers
    request_id: str | None
    never_ran: bool
    misdirected: bool
    at_fault: str | None
    closes: bool
    idle_seconds: float | None
    restrictions: Restrictions = Restrictions()
    load: ServerLoad | None = None


class EngineReport(NamedTuple):
    """An engine's report of itself.

    ``pace`` is over 1 where it is slower than its costs say; ``started`` is the Unix time of its
    start in milliseconds by its own clock, None where it gives none.
    """

    pace: float
    started: int | None


class Wire(Protocol):
    """An adapter's formats."""

    def decode_call(self, head: RequestHead, body: bytes) -> Result[Call, Failure]:
        """Return the call in a client's request."""

    def encode_dispatch(self, dispatch: Dispatch) -> RequestHead:
        """Return the request to send to a server."""

    def decode_answer(self, head: ResponseHead) -> Answer:
        """Return the decoded head of a server's answer."""

    def encode_failure(self, call_id: str, failure: Failure) -> tuple[int, Headers, bytes]:
        """Return the answer for a failure of this system itself."""

    def retry_after_headers(self, retry_after_ms: float) -> Headers:
        """Return the headers that tell when a refused request may be retried."""

    def decode_configuration(self, document: dict) -> Result[RouteTable, Failure]:
        """Return the route table of a configuration."""

    def reserve_order(
        self, server: str, name: str, tokens: int, lease_ms: int
    ) -> tuple[RequestHead, bytes]:
        """Return the request that reserves an engine's memory, or renews a reservation."""

    def report_request(self, server: str) -> RequestHead:
        """Return the request for an engine's report."""

    def decode_report(self, status: int, body: bytes) -> EngineReport | None:
        """Return an engine's report, or None if it cannot be read."""

    def release_order(self, server: str, name: str) -> tuple[RequestHead, bytes]:
        """Return the request that releases a reservation."""
